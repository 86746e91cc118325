#pragma once

#include "core/types.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::core {

/// Weight of a candidate for a key; the candidate with the highest weight is chosen. Thread-safe.
std::uint64_t rendezvous_weight(const std::string& key, const std::string& candidate);

/// Chosen candidate for the key, or an empty name if there is none. Thread-safe.
template <class Id>
Id rendezvous(const std::string& key, const std::vector<Id>& candidates)
{
    Id chosen;
    std::uint64_t highest = 0;
    for (const Id& candidate : candidates) {
        const std::uint64_t weight = rendezvous_weight(key, candidate.value());
        const bool better = weight > highest || (weight == highest && candidate < chosen);
        if (chosen.empty() || better) {
            chosen = candidate;
            highest = weight;
        }
    }
    return chosen;
}

} // namespace gooseberryfall::core
