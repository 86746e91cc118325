#include "http/header_fields.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace gooseberryfall::http {

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

void header_fields::set(std::string_view name, std::string value)
{
    remove(name);
    fields_.emplace_back(std::string(name), std::move(value));
}

void header_fields::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

void header_fields::remove(std::string_view name)
{
    std::erase_if(fields_,
                  [name](const field& entry) { return equals_ignoring_case(entry.first, name); });
}

void header_fields::remove(std::span<const std::string_view> names)
{
    for (const std::string_view name : names) {
        remove(name);
    }
}

const std::string* header_fields::find(std::string_view name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [name](const field& entry) {
        return equals_ignoring_case(entry.first, name);
    });
    return found == fields_.end() ? nullptr : &found->second;
}

std::string header_fields::get(std::string_view name, std::string_view fallback) const
{
    const std::string* found = find(name);
    return found == nullptr ? std::string(fallback) : *found;
}

} // namespace gooseberryfall::http
