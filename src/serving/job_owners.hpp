#pragma once

#include <optional>

namespace gooseberryfall::serving {

/// Largest capacities of instances that an instance knows of, in processor cores.
struct known_capacities {
    /// Of the whole list of instances; unset until it has been read from the store.
    std::optional<double> listed;
    /// Of the leader, if there is one.
    std::optional<double> leader;
    /// Of the ready instances that the leader has told of: a part of a large fleet.
    double ready = 0;
};

/// Whether an instance takes part in owning job partitions: if its capacity is at least a share of
/// the largest one known. An instance that knows neither the list nor a leader waits.
///
/// Load pattern: a fleet of few large and many small instances starts at once, and what the leader
/// tells first are the instances that started first. The leader itself is one of the largest.
/// Thread-safe.
bool may_own_jobs(double capacity, const known_capacities& known, double capacity_share_min);

} // namespace gooseberryfall::serving
