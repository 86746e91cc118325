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

/// Reads entries from tables and collects every problem. Used for TOML and JSON. Not thread-safe.
class fleet_reader {
public:
    /// Reads the entry in a table whose name is its kind.
    void add(const raw_table& table);

    /// Adds a problem found by the caller.
    void add_problem(problem fault);

    /// Checks references and values that must be unique. `whole` says that the entries are a whole
    /// fleet; otherwise references may lead to entries that are not here.
    void check(bool whole);

    const problem_list& problems() const { return faults_; }

    /// Entries read, in their order.
    std::vector<core::fleet_entry> entries() const;

    /// The entries as a fleet.
    core::fleet result() const;

private:
    struct located_entry {
        core::fleet_entry entry;
        raw_table table;
    };

    template <class Entry>
    void read(const raw_table& table);

    /// Reports fields that hold a key as it is, and takes them out, so that no message shows it.
    raw_table without_plain_keys(raw_table table);

    void declare(const raw_table& table);
    void check_form(const core::service& entry, const raw_table& table);
    void check_reference(const located_entry& located);
    void check_unique(const located_entry& located);
    void require(const raw_table& table, const std::string& field, const std::string& kind,
                 const std::string& name);
    void claim(const raw_table& table, const std::string& field, const std::string& value);

    std::vector<located_entry> entries_;
    problem_list faults_;
    /// Kind and name of every entry, also of those with a problem, so that one problem does not
    /// make others appear. The value is its place.
    std::map<std::pair<std::string, std::string>, std::string> declared_;
    /// Values that may appear once, by kind and field, with their place.
    std::map<std::pair<std::string, std::string>, std::string> claimed_;
};

} // namespace gooseberryfall::config
