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

// Tables of fields: each names a member of a struct once, and is used to read, check, write and
// document it. `Access` is a pointer to a member, or a generic lambda that returns a reference.

/// One field of `Object`.
template <class Object>
struct field {
    std::string name;
    /// What is allowed, as the end of the sentence "must be ...".
    std::string allowed;
    /// Returns false and changes nothing if the value is not allowed.
    std::function<bool(Object&, const raw_value&)> read;
    std::function<raw_value(const Object&)> write;
    bool required = false;
    /// Whether the value must not be shown in a message.
    bool secret = false;
    /// One sentence on what it is for.
    std::string meaning = {};

    field needed() &&
    {
        required = true;
        return std::move(*this);
    }

    field hidden() &&
    {
        secret = true;
        return std::move(*this);
    }

    field about(std::string sentence) &&
    {
        meaning = std::move(sentence);
        return std::move(*this);
    }
};

template <class Object>
using field_table = std::vector<field<Object>>;

/// Text of a member that is a string or a name.
inline const std::string& text_of(const std::string& text)
{
    return text;
}
template <class Tag>
const std::string& text_of(const core::basic_id<Tag>& id)
{
    return id.value();
}

template <class Object, class Access>
using member_type = std::remove_cvref_t<std::invoke_result_t<Access, Object&>>;

template <class Object, class Access>
field<Object> text_field(std::string name, Access access, const text_form& form)
{
    return {std::move(name), form.allowed,
            [access, form](Object& object, const raw_value& value) {
                const auto* text = std::get_if<std::string>(&value);
                if (text == nullptr || !form.accepts(*text)) {
                    return false;
                }
                std::invoke(access, object) = member_type<Object, Access>(*text);
                return true;
            },
            [access](const Object& object) -> raw_value {
                return text_of(std::invoke(access, object));
            }};
}

template <class Object, class Access>
field<Object> number_field(std::string name, Access access, double low, double high)
{
    return {std::move(name), allowed_number(low, high),
            [access, low, high](Object& object, const raw_value& value) {
                const auto number = number_in(value, low, high);
                if (number) {
                    std::invoke(access, object) = *number;
                }
                return number.has_value();
            },
            [access](const Object& object) -> raw_value { return std::invoke(access, object); }};
}

template <class Object, class Access>
field<Object> count_field(std::string name, Access access, std::int64_t low, std::int64_t high)
{
    return {std::move(name), allowed_count(low, high),
            [access, low, high](Object& object, const raw_value& value) {
                const auto number = count_in(value, low, high);
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
field<Object> duration_field(std::string name, Access access, std::chrono::milliseconds low,
                             std::chrono::milliseconds high)
{
    return {std::move(name), allowed_duration(low, high),
            [access, low, high](Object& object, const raw_value& value) {
                const auto length = duration_in(value, low, high);
                using target = member_type<Object, Access>;
                const bool whole = length && *length % target(1) == std::chrono::nanoseconds(0);
                if (whole) {
                    std::invoke(access, object) = std::chrono::duration_cast<target>(*length);
                }
                return whole;
            },
            [access](const Object& object) -> raw_value {
                return format_duration(std::invoke(access, object));
            }};
}

template <class Object, class Access>
field<Object> size_field(std::string name, Access access, std::uint64_t low, std::uint64_t high)
{
    return {std::move(name), allowed_size(low, high),
            [access, low, high](Object& object, const raw_value& value) {
                const auto bytes = size_in(value, low, high);
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

/// Names of an enumeration's values, in their order.
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

/// A list of texts. `read` gives a member from a text, or nothing; `write` gives the text.
template <class Object, class Access, class Read, class Write>
field<Object> list_field(std::string name, Access access, std::string allowed, Read read_one,
                         Write write_one)
{
    return {std::move(name), std::move(allowed),
            [access, read_one](Object& object, const raw_value& value) {
                const auto* texts = std::get_if<std::vector<std::string>>(&value);
                member_type<Object, Access> result;
                for (std::size_t index = 0; texts != nullptr && index < texts->size(); ++index) {
                    const auto one = read_one((*texts)[index]);
                    if (!one) {
                        return false;
                    }
                    result.push_back(*one);
                }
                if (texts != nullptr) {
                    std::invoke(access, object) = std::move(result);
                }
                return texts != nullptr;
            },
            [access, write_one](const Object& object) -> raw_value {
                std::vector<std::string> texts;
                for (const auto& one : std::invoke(access, object)) {
                    texts.push_back(write_one(one));
                }
                return texts;
            }};
}

/// Names of all fields with a prefix.
template <class Object>
std::vector<std::string> names_of(const field_table<Object>& fields, const std::string& prefix)
{
    std::vector<std::string> names;
    for (const field<Object>& one : fields) {
        names.push_back(prefix + one.name);
    }
    return names;
}

/// Reads one field and adds a problem if its value is not allowed.
template <class Object>
void read_field(Object& object, const field<Object>& definition, const raw_field& given,
                const raw_table& table, problem_list& faults)
{
    if (definition.read(object, given.value)) {
        return;
    }
    const std::string found = definition.secret ? "" : "; found " + to_text(given.value);
    faults.push_back({"", given.line, place_in(table.place, given.name),
                      "must be " + definition.allowed + found});
}

/// Reads a table into the object. Adds a problem for every value that is not allowed, every unknown
/// name and every missing field. `known` are the names, with section or kind, that an unknown one
/// is compared with.
template <class Object>
void read_fields(Object& object, const raw_table& table, const field_table<Object>& fields,
                 const std::vector<std::string>& known, problem_list& faults)
{
    for (const raw_field& given : table.fields) {
        const field<Object>* definition = nullptr;
        for (const field<Object>& candidate : fields) {
            definition = candidate.name == given.name ? &candidate : definition;
        }
        if (definition != nullptr) {
            read_field(object, *definition, given, table, faults);
            continue;
        }
        const std::string nearest = nearest_name(place_in(table.name, given.name), known);
        faults.push_back({"", given.line, place_in(table.place, given.name),
                          "unknown key; the nearest known key is " + nearest});
    }
    for (const field<Object>& definition : fields) {
        if (definition.required && table.find(definition.name) == nullptr) {
            faults.push_back({"", table.line, place_in(table.place, definition.name),
                              "missing; must be " + definition.allowed});
        }
    }
}

/// Fields of the object, in the order of the table. Without `defaults`, optional fields that have
/// the value of a new object are left out.
template <class Object>
std::vector<raw_field> write_fields(const Object& object, const field_table<Object>& fields,
                                    bool defaults)
{
    const Object untouched{};
    std::vector<raw_field> result;
    for (const field<Object>& definition : fields) {
        raw_value value = definition.write(object);
        if (defaults || definition.required || value != definition.write(untouched)) {
            result.push_back({definition.name, std::move(value)});
        }
    }
    return result;
}

} // namespace gooseberryfall::config
