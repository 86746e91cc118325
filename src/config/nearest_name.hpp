#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryfall::config {

/// Insertions, deletions and replacements of single characters that turn one text into the other.
/// Thread-safe.
std::size_t edit_distance(const std::string& left, const std::string& right);

/// The known name with the lowest edit distance, the first of several; empty if none is known.
/// Thread-safe.
std::string nearest_name(const std::string& name, const std::vector<std::string>& known);

} // namespace gooseberryfall::config
