#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberryfall::http {

/// Header fields in the order of insertion. Names are case-insensitive. Not thread-safe.
class header_fields {
public:
    using field = std::pair<std::string, std::string>;

    header_fields() = default;
    header_fields(std::initializer_list<field> fields) : fields_(fields) {}

    /// Replaces all fields with this name by one.
    void set(std::string_view name, std::string value);

    /// Adds a field, even if one with this name exists.
    void add(std::string name, std::string value);

    /// Removes all fields with this name.
    void remove(std::string_view name);

    /// Removes all fields with these names.
    void remove(std::span<const std::string_view> names);

    /// Value of the first field with this name, or null. The pointer is valid until the next
    /// change.
    const std::string* find(std::string_view name) const;

    /// Value of the first field with this name, or `fallback` if there is none.
    std::string get(std::string_view name, std::string_view fallback = {}) const;

    std::size_t size() const { return fields_.size(); }
    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }

private:
    std::vector<field> fields_;
};

/// Compares two header names or tokens case-insensitively. Thread-safe.
bool equals_ignoring_case(std::string_view a, std::string_view b);

} // namespace gooseberryfall::http
