#pragma once

#include "config/digests.hpp"
#include "config/endpoint.hpp"
#include "config/field_values.hpp"
#include "config/nearest_name.hpp"
#include "config/problem.hpp"
#include "config/raw_value.hpp"
#include "config/units.hpp"

#include <functional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace gooseberryfall::config {

// Tables of fields. A field describes one member of a struct for reading, validation, writing and
// documentation. `Access` is a pointer to a member, or a generic lambda that returns a reference.

/// Descriptor of one field of `Object`.
template <class Object>
struct field {
    std::string name;
    /// Description of the allowed values, as the end of the sentence "must be ...".
    std::string allowed;
    /// Sets the member from a value. Returns false and changes nothing if the value is not allowed.
    std::function<bool(Object&, const raw_value&)> read;
    /// Returns the value of the member.
    std::function<raw_value(const Object&)> write;
    /// Whether the field must be present in the input.
    bool required = false;
    /// Whether the value must not appear in messages.
    bool secret = false;
    /// Purpose of the field in one sentence, for the reference page.
    std::string description = {};

    field as_required() &&
    {
        required = true;
        return std::move(*this);
    }

    field as_secret() &&
    {
        secret = true;
        return std::move(*this);
    }

    field described_as(std::string sentence) &&
    {
        description = std::move(sentence);
        return std::move(*this);
    }
};

template <class Object>
using field_table = std::vector<field<Object>>;

/// String value of a member that is a string or an id.
inline const std::string& as_string(const std::string& text)
{
    return text;
}
template <class Tag>
const std::string& as_string(const core::basic_id<Tag>& id)
{
    return id.value();
}

template <class Object, class Access>
using member_type = std::remove_cvref_t<std::invoke_result_t<Access, Object&>>;

template <class Object, class Access>
field<Object> text_field(std::string name, Access access, const string_rule& rule)
{
    return {std::move(name), rule.allowed,
            [access, rule](Object& object, const raw_value& value) {
                const auto* text = std::get_if<std::string>(&value);
                if (text == nullptr || !rule.accepts(*text)) {
                    return false;
                }
                std::invoke(access, object) = member_type<Object, Access>(*text);
                return true;
            },
            [access](const Object& object) -> raw_value {
                return as_string(std::invoke(access, object));
            }};
}

template <class Object, class Access>
field<Object> number_field(std::string name, Access access, double lowest, double highest)
{
    return {std::move(name), number_range_text(lowest, highest),
            [access, lowest, highest](Object& object, const raw_value& value) {
                const auto number = number_in_range(value, lowest, highest);
                if (number) {
                    std::invoke(access, object) = *number;
                }
                return number.has_value();
            },
            [access](const Object& object) -> raw_value { return std::invoke(access, object); }};
}

template <class Object, class Access>
field<Object> count_field(std::string name, Access access, std::int64_t lowest,
                          std::int64_t highest)
{
    return {std::move(name), count_range_text(lowest, highest),
            [access, lowest, highest](Object& object, const raw_value& value) {
                const auto number = count_in_range(value, lowest, highest);
                if (number) {
                    std::invoke(access, object) = static_cast<member_type<Object, Access>>(*number);
                }
                return number.has_value();
            },
            [access](const Object& object) -> raw_value {
                return static_cast<std::int64_t>(std::invoke(access, object));
            }};
}

template <class Object, class Access>
field<Object> duration_field(std::string name, Access access, std::chrono::milliseconds lowest,
                             std::chrono::milliseconds highest)
{
    return {std::move(name), duration_range_text(lowest, highest),
            [access, lowest, highest](Object& object, const raw_value& value) {
                const auto duration = duration_in_range(value, lowest, highest);
                using target = member_type<Object, Access>;
                const bool is_whole =
                    duration && *duration % target(1) == std::chrono::nanoseconds(0);
                if (is_whole) {
                    std::invoke(access, object) = std::chrono::duration_cast<target>(*duration);
                }
                return is_whole;
            },
            [access](const Object& object) -> raw_value {
                return format_duration(std::invoke(access, object));
            }};
}

template <class Object, class Access>
field<Object> size_field(std::string name, Access access, std::uint64_t lowest,
                         std::uint64_t highest)
{
    return {std::move(name), size_range_text(lowest, highest),
            [access, lowest, highest](Object& object, const raw_value& value) {
                const auto bytes = size_in_range(value, lowest, highest);
                if (bytes) {
                    std::invoke(access, object) = static_cast<member_type<Object, Access>>(*bytes);
                }
                return bytes.has_value();
            },
            [access](const Object& object) -> raw_value {
                return format_size(std::invoke(access, object));
            }};
}

template <class Object, class Access>
field<Object> flag_field(std::string name, Access access)
{
    return {std::move(name), "true or false",
            [access](Object& object, const raw_value& value) {
                const auto* flag = std::get_if<bool>(&value);
                if (flag != nullptr) {
                    std::invoke(access, object) = *flag;
                }
                return flag != nullptr;
            },
            [access](const Object& object) -> raw_value { return std::invoke(access, object); }};
}

/// Field of an enumeration. `choices` are the names of its values, in the order of the enumerators,
/// which count from 0.
template <class Object, class Access>
field<Object> choice_field(std::string name, Access access, std::vector<std::string> choices)
{
    std::string allowed = "one of";
    for (std::size_t index = 0; index < choices.size(); ++index) {
        allowed += (index == 0 ? " " : ", ") + quoted(choices[index]);
    }
    return {std::move(name), std::move(allowed),
            [access, choices](Object& object, const raw_value& value) {
                const auto* text = std::get_if<std::string>(&value);
                for (std::size_t index = 0; text != nullptr && index < choices.size(); ++index) {
                    if (choices[index] == *text) {
                        std::invoke(access, object) =
                            static_cast<member_type<Object, Access>>(index);
                        return true;
                    }
                }
                return false;
            },
            [access, choices](const Object& object) -> raw_value {
                return choices.at(static_cast<std::size_t>(std::invoke(access, object)));
            }};
}

template <class Object, class Access>
field<Object> digest_field(std::string name, Access access)
{
    return {std::move(name), "a SHA-256 digest of 64 hexadecimal digits",
            [access](Object& object, const raw_value& value) {
                const auto* text = std::get_if<std::string>(&value);
                const auto bytes = text != nullptr ? from_hex(*text) : std::nullopt;
                if (bytes) {
                    std::invoke(access, object) = *bytes;
                }
                return bytes.has_value();
            },
            [access](const Object& object) -> raw_value {
                return to_hex(std::invoke(access, object));
            }};
}

/// Field of a list of strings. `parse_element` returns an element from its string, or nothing;
/// `format_element` returns the string of an element.
template <class Object, class Access, class Read, class Write>
field<Object> list_field(std::string name, Access access, std::string allowed, Read parse_element,
                         Write format_element)
{
    return {std::move(name), std::move(allowed),
            [access, parse_element](Object& object, const raw_value& value) {
                const auto* strings = std::get_if<std::vector<std::string>>(&value);
                member_type<Object, Access> result;
                for (std::size_t index = 0; strings != nullptr && index < strings->size();
                     ++index) {
                    const auto element = parse_element((*strings)[index]);
                    if (!element) {
                        return false;
                    }
                    result.push_back(*element);
                }
                if (strings != nullptr) {
                    std::invoke(access, object) = std::move(result);
                }
                return strings != nullptr;
            },
            [access, format_element](const Object& object) -> raw_value {
                std::vector<std::string> strings;
                for (const auto& element : std::invoke(access, object)) {
                    strings.push_back(format_element(element));
                }
                return strings;
            }};
}

/// Names of all fields, each preceded by `prefix`.
template <class Object>
std::vector<std::string> field_names(const field_table<Object>& fields, const std::string& prefix)
{
    std::vector<std::string> names;
    for (const field<Object>& field_definition : fields) {
        names.push_back(prefix + field_definition.name);
    }
    return names;
}

/// Sets one field of the object from the input, or adds a problem if its value is not allowed.
template <class Object>
void read_field(Object& object, const field<Object>& definition, const raw_field& input_field,
                const raw_table& table, problem_list& problems)
{
    if (definition.read(object, input_field.value)) {
        return;
    }
    const std::string found_text = definition.secret ? "" : "; found " + to_text(input_field.value);
    problems.push_back({"", input_field.line, join_key_path(table.key_path, input_field.name),
                        "must be " + definition.allowed + found_text});
}

/// Reads a table into the object. Adds a problem for every value that is not allowed, every unknown
/// name and every missing required field. The nearest of the `known` names, which include the
/// section or kind, is suggested for an unknown name.
template <class Object>
void read_fields(Object& object, const raw_table& table, const field_table<Object>& fields,
                 const std::vector<std::string>& known, problem_list& problems)
{
    for (const raw_field& input_field : table.fields) {
        const field<Object>* definition = nullptr;
        for (const field<Object>& candidate : fields) {
            definition = candidate.name == input_field.name ? &candidate : definition;
        }
        if (definition != nullptr) {
            read_field(object, *definition, input_field, table, problems);
            continue;
        }
        const std::string nearest =
            nearest_name(join_key_path(table.name, input_field.name), known);
        problems.push_back({"", input_field.line, join_key_path(table.key_path, input_field.name),
                            "unknown key; the nearest known key is " + nearest});
    }
    for (const field<Object>& definition : fields) {
        if (definition.required && table.find(definition.name) == nullptr) {
            problems.push_back({"", table.line, join_key_path(table.key_path, definition.name),
                                "missing; must be " + definition.allowed});
        }
    }
}

/// Fields of the object with their values, in the order of the table. Without `defaults`, optional
/// fields that have their default value are left out.
template <class Object>
std::vector<raw_field> write_fields(const Object& object, const field_table<Object>& fields,
                                    bool defaults)
{
    const Object default_object{};
    std::vector<raw_field> result;
    for (const field<Object>& definition : fields) {
        raw_value value = definition.write(object);
        if (defaults || definition.required || value != definition.write(default_object)) {
            result.push_back({definition.name, std::move(value)});
        }
    }
    return result;
}

} // namespace gooseberryfall::config
