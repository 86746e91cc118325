#pragma once

#include "core/fleet.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// Human-readable description of a change of `base`, one line for each entry: added with its
/// fields, changed with the fields that differ, or removed. Digests are not shown. Thread-safe.
std::vector<std::string> describe(const core::fleet_difference& change, const core::fleet& base);

} // namespace gooseberryfall::config
