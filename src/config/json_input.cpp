#include "config/json_input.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace gooseberryfall::config {

namespace json = boost::json;

namespace {

/// Whole numbers up to here are the same as text of an integer and as a double.
constexpr double exact_limit = 9'007'199'254'740'992;

raw_value list_of(const json::array& array)
{
    std::vector<std::string> texts;
    for (const json::value& element : array) {
        const json::string* text = element.if_string();
        if (text == nullptr) {
            return other_value{"a list that holds other values than texts"};
        }
        texts.emplace_back(*text);
    }
    return texts;
}

raw_value value_of(const json::value& value)
{
    switch (value.kind()) {
    case json::kind::null:
        return other_value{"null"};
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
        return list_of(value.get_array());
    case json::kind::object:
        return other_value{"an object"};
    }
    return other_value{"an unknown value"};
}

struct json_visitor {
    json::value operator()(const other_value&) const { return nullptr; }
    json::value operator()(bool value) const { return value; }
    json::value operator()(std::int64_t value) const { return value; }
    json::value operator()(double value) const
    {
        const bool whole = std::abs(value) < exact_limit && std::trunc(value) == value;
        return whole ? json::value(static_cast<std::int64_t>(value)) : json::value(value);
    }
    json::value operator()(const std::string& value) const { return json::value(value); }
    json::value operator()(const std::vector<std::string>& value) const
    {
        json::array texts;
        for (const std::string& text : value) {
            texts.emplace_back(text);
        }
        return texts;
    }
};

} // namespace

raw_table table_of(const json::value& value, const std::string& place,
                   const std::vector<std::string>& apart, problem_list& faults)
{
    raw_table table;
    table.name = place;
    table.place = place;
    const json::object* object = value.if_object();
    if (object == nullptr) {
        faults.push_back({"", 0, place, "must be an object; found " + to_text(value_of(value))});
        return table;
    }
    for (const auto& [key, member] : *object) {
        const std::string name(key);
        if (std::find(apart.begin(), apart.end(), name) == apart.end()) {
            table.fields.push_back({name, value_of(member)});
        }
    }
    return table;
}

std::vector<json::value> array_of(const json::value& value, const std::string& name,
                                  const std::string& place, problem_list& faults)
{
    const json::object* object = value.if_object();
    const json::value* member = object != nullptr ? object->if_contains(name) : nullptr;
    const json::array* array = member != nullptr ? member->if_array() : nullptr;
    if (array == nullptr) {
        const std::string found = member == nullptr ? "" : "; found " + to_text(value_of(*member));
        faults.push_back(
            {"", 0, place_in(place, name),
             (member == nullptr ? "missing; must be a list" : "must be a list") + found});
        return {};
    }
    return {array->begin(), array->end()};
}

json::object object_of(const std::vector<raw_field>& fields)
{
    json::object object;
    for (const raw_field& field : fields) {
        object[field.name] = std::visit(json_visitor{}, field.value);
    }
    return object;
}

} // namespace gooseberryfall::config
