#pragma once

#include "config/daemon_settings.hpp"
#include "config/problem.hpp"
#include "config/raw_value.hpp"

#include <vector>

namespace gooseberryfall::config {

/// Problems between settings whose own values are allowed. `tables` give the lines. Thread-safe.
problem_list check_relations(const daemon_settings& settings, const std::vector<raw_table>& tables);

} // namespace gooseberryfall::config
