#include "config/json_input.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace gooseberryfall::config {

namespace json = boost::json;

namespace {

/// 2^53: below it every whole number is exact as a double, so that it can be written as an integer.
constexpr double exact_integer_limit = 9'007'199'254'740'992;

raw_value to_raw_list(const json::array& array)
{
    std::vector<std::string> strings;
    for (const json::value& element : array) {
        const json::string* text = element.if_string();
        if (text == nullptr) {
            return unsupported_value{"a list with elements that are not texts"};
        }
        strings.emplace_back(*text);
    }
    return strings;
}

raw_value to_raw_value(const json::value& value)
{
    switch (value.kind()) {
    case json::kind::null:
        return unsupported_value{"null"};
    case json::kind::bool_:
        return value.get_bool();
    case json::kind::int64:
        return value.get_int64();
    case json::kind::uint64:
        return static_cast<double>(value.get_uint64());
    case json::kind::double_:
        return value.get_double();
    case json::kind::string:
        return std::string(value.get_string());
    case json::kind::array:
        return to_raw_list(value.get_array());
    case json::kind::object:
        return unsupported_value{"an object"};
    }
    return unsupported_value{"an unknown value"};
}

struct json_visitor {
    json::value operator()(const unsupported_value&) const { return nullptr; }
    json::value operator()(bool value) const { return value; }
    json::value operator()(std::int64_t value) const { return value; }
    json::value operator()(double value) const
    {
        const bool is_integer = std::abs(value) < exact_integer_limit && std::trunc(value) == value;
        return is_integer ? json::value(static_cast<std::int64_t>(value)) : json::value(value);
    }
    json::value operator()(const std::string& value) const { return json::value(value); }
    json::value operator()(const std::vector<std::string>& value) const
    {
        json::array strings;
        for (const std::string& text : value) {
            strings.emplace_back(text);
        }
        return strings;
    }
};

} // namespace

raw_table to_raw_table(const json::value& value, const std::string& key_path,
                       const std::vector<std::string>& excluded, problem_list& problems)
{
    raw_table table;
    table.name = key_path;
    table.key_path = key_path;
    const json::object* object = value.if_object();
    if (object == nullptr) {
        problems.push_back(
            {"", 0, key_path, "must be an object; found " + to_text(to_raw_value(value))});
        return table;
    }
    for (const auto& [key, member] : *object) {
        const std::string name(key);
        if (std::find(excluded.begin(), excluded.end(), name) == excluded.end()) {
            table.fields.push_back({name, to_raw_value(member)});
        }
    }
    return table;
}

std::vector<json::value> read_array(const json::value& value, const std::string& name,
                                    const std::string& key_path, problem_list& problems)
{
    const json::object* object = value.if_object();
    const json::value* member = object != nullptr ? object->if_contains(name) : nullptr;
    const json::array* array = member != nullptr ? member->if_array() : nullptr;
    if (array == nullptr) {
        const std::string found =
            member == nullptr ? "" : "; found " + to_text(to_raw_value(*member));
        problems.push_back(
            {"", 0, join_key_path(key_path, name),
             (member == nullptr ? "missing; must be a list" : "must be a list") + found});
        return {};
    }
    return {array->begin(), array->end()};
}

json::object to_json_object(const std::vector<raw_field>& fields)
{
    json::object object;
    for (const raw_field& field : fields) {
        object[field.name] = std::visit(json_visitor{}, field.value);
    }
    return object;
}

} // namespace gooseberryfall::config
