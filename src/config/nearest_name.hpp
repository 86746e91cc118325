#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryfall::config {

/// Levenshtein distance: the lowest number of insertions, deletions and substitutions of single
/// characters that turn one string into the other. Thread-safe.
std::size_t edit_distance(const std::string& left, const std::string& right);

/// The known name with the lowest edit distance to `name`; the first one of equals, or an empty
/// string if `known` is empty. Thread-safe.
std::string nearest_name(const std::string& name, const std::vector<std::string>& known);

} // namespace gooseberryfall::config
