#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberryfall::http {

/// Header fields in order. Names are compared without regard to case. Not thread-safe.
class header_fields {
public:
    using field = std::pair<std::string, std::string>;

    header_fields() = default;
    header_fields(std::initializer_list<field> fields) : fields_(fields) {}

    /// Replaces all fields of the name by one.
    void set(std::string_view name, std::string value);

    /// Adds a field, also if there is one of the name.
    void add(std::string name, std::string value);

    /// Removes all fields of the name.
    void remove(std::string_view name);

    /// Removes all fields of these names.
    void remove(std::span<const std::string_view> names);

    /// Value of the first field of the name, or null. Valid until the next change.
    const std::string* find(std::string_view name) const;

    /// Value of the first field of the name, or `otherwise`.
    std::string get(std::string_view name, std::string_view otherwise = {}) const;

    std::size_t size() const { return fields_.size(); }
    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }

private:
    std::vector<field> fields_;
};

/// Whether two header names or tokens are equal without regard to case. Thread-safe.
bool same_name(std::string_view a, std::string_view b);

} // namespace gooseberryfall::http
