#pragma once

#include "config/problem.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::config {

// Values of a TOML file or a JSON document before they are validated.

/// A value of a type that no field accepts.
struct unsupported_value {
    /// Description of the type for messages, for example `a table`.
    std::string type;

    bool operator==(const unsupported_value&) const = default;
};

using raw_value = std::variant<unsupported_value, bool, std::int64_t, double, std::string,
                               std::vector<std::string>>;

/// Name and value of a field, with the line of the name (0 for JSON).
struct raw_field {
    std::string name;
    raw_value value;
    std::uint32_t line = 0;
};

/// A TOML table or a JSON object.
struct raw_table {
    /// Name of the section (settings) or kind of the entry (fleet).
    std::string name;
    /// Path of the table, to which problems append the name of the field.
    std::string key_path;
    std::uint32_t line = 0;
    /// Whether the table is an element of an array of tables.
    bool is_array_element = false;
    std::vector<raw_field> fields;

    /// Field by name, or null.
    const raw_field* find(const std::string& field_name) const;

    /// Line of a field, or of the table if it has no such field.
    std::uint32_t line_of(const std::string& field_name) const;
};

/// Joins a path and a name as `key_path.name`; only `name` if the path is empty. Thread-safe.
std::string join_key_path(const std::string& key_path, const std::string& name);

/// Formats the value for messages; long strings are truncated. Thread-safe.
std::string to_text(const raw_value& value);

/// The text as a TOML basic string: in quotation marks, with control characters escaped.
/// Thread-safe.
std::string quoted(const std::string& text);

} // namespace gooseberryfall::config
