#pragma once

#include "config/problem.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::config {

// Values as they stand in a TOML file or a JSON document, before their meaning is known.

/// A value of a type that no field takes.
struct other_value {
    /// For example `a table`.
    std::string type;

    bool operator==(const other_value&) const = default;
};

using raw_value =
    std::variant<other_value, bool, std::int64_t, double, std::string, std::vector<std::string>>;

/// Name and value, with the line of the name (0 for JSON).
struct raw_field {
    std::string name;
    raw_value value;
    std::uint32_t line = 0;
};

/// Fields that belong together.
struct raw_table {
    /// Name of the section, or kind of the entry.
    std::string name;
    /// Prefix of field names in problems.
    std::string place;
    std::uint32_t line = 0;
    /// Whether it stands in an array of tables.
    bool listed = false;
    std::vector<raw_field> fields;

    /// Field by name, or null.
    const raw_field* find(const std::string& field_name) const;

    /// Line of a field, or of the table if the field is not there.
    std::uint32_t line_of(const std::string& field_name) const;
};

/// `place.name`, without the dot if the place is empty. Thread-safe.
std::string place_in(const std::string& place, const std::string& name);

/// The value as it is written, shortened if it is long. Thread-safe.
std::string to_text(const raw_value& value);

/// Text in quotation marks; control characters are escaped, so that the result is a TOML basic
/// string. Thread-safe.
std::string quoted(const std::string& text);

} // namespace gooseberryfall::config
