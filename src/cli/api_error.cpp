#include "cli/api_error.hpp"

#include "config/fleet_json.hpp"

#include <boost/json.hpp>

namespace gooseberryfall::cli {

namespace {

std::string string_member(const boost::json::object& object, const char* name)
{
    const auto* member = object.if_contains(name);
    const auto* text = member != nullptr ? member->if_string() : nullptr;
    return text != nullptr ? std::string(*text) : std::string();
}

} // namespace

std::optional<api_error> parse_api_error(std::string_view body)
{
    const auto parsed = config::parse_json(body);
    const auto* root = parsed ? parsed->if_object() : nullptr;
    const auto* member = root != nullptr ? root->if_contains("error") : nullptr;
    const auto* details = member != nullptr ? member->if_object() : nullptr;
    if (details == nullptr) {
        return std::nullopt;
    }
    return api_error{string_member(*details, "code"), string_member(*details, "message"),
                     string_member(*details, "run") == "not_run"};
}

} // namespace gooseberryfall::cli
