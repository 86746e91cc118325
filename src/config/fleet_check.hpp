#pragma once

#include "config/problem.hpp"

#include "core/fleet.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// A valid fleet, and what in it is probably a mistake.
struct checked_fleet {
    core::fleet state;
    /// Entries without effect and limits that contradict each other, by line.
    problem_list warnings;
};

/// Parses a fleet file as `parse_fleet` does and also looks for entries that have no effect and for
/// limits that cannot hold together. Thread-safe.
checked<checked_fleet> check_fleet(const std::string& text, const std::string& file);

/// Reads and checks a fleet file. Thread-safe.
checked<checked_fleet> check_fleet_file(const std::string& file);

/// What a change of `base` means for callers, one sentence for each effect: teams that may send
/// less, keys that stop working, routes that end or need a key, capacity that is lost. Empty if no
/// caller loses anything. Thread-safe.
std::vector<std::string> describe_effects(const core::fleet_difference& change,
                                          const core::fleet& base);

} // namespace gooseberryfall::config
