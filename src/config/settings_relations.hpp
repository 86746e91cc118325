#pragma once

#include "config/daemon_settings.hpp"
#include "config/problem.hpp"
#include "config/raw_value.hpp"

#include <vector>

namespace gooseberryfall::config {

/// Checks constraints that involve several settings, each of which is valid on its own. `tables`
/// supply the line numbers of the problems. Thread-safe.
problem_list check_relations(const daemon_settings& settings, const std::vector<raw_table>& tables);

} // namespace gooseberryfall::config
