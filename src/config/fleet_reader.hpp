#pragma once

#include "config/problem.hpp"
#include "config/raw_value.hpp"

#include "core/fleet.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::config {

/// Reads entries from raw tables and collects all problems. Used for TOML and JSON. Not
/// thread-safe.
class fleet_reader {
public:
    /// Reads an entry from a table; the name of the table is the kind of the entry.
    void add(const raw_table& table);

    /// Adds a problem that the caller found.
    void add_problem(problem reported);

    /// Checks values that must be unique and, if the entries are a `complete` fleet, the references
    /// between them. Otherwise a reference may lead to an entry that was not added.
    void check(bool complete);

    const problem_list& found_problems() const { return problems_; }

    /// Entries whose fields were all valid, in the order in which they were added. Entries that
    /// fail a check between fields or entries are included.
    std::vector<core::fleet_entry> entries() const;

    /// Fleet of these entries.
    core::fleet to_fleet() const;

private:
    struct located_entry {
        core::fleet_entry entry;
        raw_table table;
    };

    template <class Entry>
    void read(const raw_table& table);

    /// Reports and removes fields that hold a plaintext API key, so that no message shows the key.
    raw_table remove_plaintext_keys(raw_table table);

    void declare_name(const raw_table& table);
    void check_service(const core::service& entry, const raw_table& table);
    void check_reference(const located_entry& located);
    void check_unique(const located_entry& located);
    void require_declared(const raw_table& table, const std::string& field, const std::string& kind,
                          const std::string& name);
    void require_unique(const raw_table& table, const std::string& field, const std::string& value);

    std::vector<located_entry> entries_;
    problem_list problems_;
    /// Location in the input by kind and name of every entry. Entries with a problem are included,
    /// so that one problem does not cause further ones about references to the entry.
    std::map<std::pair<std::string, std::string>, std::string> declared_;
    /// Location in the input by `kind.field` and value, for values that must be unique.
    std::map<std::pair<std::string, std::string>, std::string> unique_values_;
};

} // namespace gooseberryfall::config
