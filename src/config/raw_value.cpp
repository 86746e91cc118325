#include "config/raw_value.hpp"

#include "config/units.hpp"

#include <array>
#include <cstdio>

namespace gooseberryfall::config {

namespace {

/// Longer strings are truncated in messages.
constexpr std::size_t shown_bytes_max = 60;

struct text_visitor {
    std::string operator()(const unsupported_value& value) const { return value.type; }
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(std::int64_t value) const { return std::to_string(value); }
    std::string operator()(double value) const
    {
        std::array<char, 40> buffer{};
        std::snprintf(buffer.data(), buffer.size(), "%.9g", value);
        return buffer.data();
    }
    std::string operator()(const std::string& value) const
    {
        const bool is_short = value.size() <= shown_bytes_max;
        return is_short ? quoted(value) : quoted(value.substr(0, shown_bytes_max)) + "...";
    }
    std::string operator()(const std::vector<std::string>& value) const
    {
        return "a list of " + std::to_string(value.size());
    }
};

} // namespace

const raw_field* raw_table::find(const std::string& field_name) const
{
    for (const raw_field& field : fields) {
        if (field.name == field_name) {
            return &field;
        }
    }
    return nullptr;
}

std::uint32_t raw_table::line_of(const std::string& field_name) const
{
    const raw_field* field = find(field_name);
    return field != nullptr ? field->line : line;
}

std::string join_key_path(const std::string& key_path, const std::string& name)
{
    return key_path.empty() ? name : key_path + "." + name;
}

std::string to_text(const raw_value& value)
{
    return std::visit(text_visitor{}, value);
}

std::string quoted(const std::string& text)
{
    std::string result = "\"";
    for (const char character : text) {
        const auto octet = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        }
        else if (octet < 0x20 || octet == 0x7f) {
            std::array<char, 8> buffer{};
            std::snprintf(buffer.data(), buffer.size(), "\\u%04X", static_cast<unsigned>(octet));
            result += buffer.data();
        }
        else {
            result += character;
        }
    }
    return result + "\"";
}

} // namespace gooseberryfall::config
