#pragma once

#include "core/types.hpp"

#include <chrono>
#include <optional>

namespace gooseberryfall::serving {

/// Settings of `job_owner_policy`.
struct job_owner_settings {
    /// An instance qualifies if its capacity is at least this fraction of the largest one.
    double capacity_share_min = 0.5;
    /// Time for which an owner stays one although a larger instance is back. Longer than a process
    /// that restarts again and again stays up, since each change of the owners hands partitions
    /// over.
    std::chrono::milliseconds yield_delay{10000};
};

/// Decides whether an instance takes part in owning job partitions: as long as its capacity is at
/// least a fraction of the largest one of the instances that may own some now. The leader tells
/// that capacity to all; an instance that hasn't been told stays as it is.
///
/// Load pattern: a fleet of few large and many small instances starts at once, and its large
/// instances may all be lost, for good or for the time of a restart. Deterministic; not
/// thread-safe.
class job_owner_policy {
public:
    explicit job_owner_policy(job_owner_settings settings = {}) : settings_(settings) {}

    /// Whether an instance of this capacity, which owns partitions (`owns`) or not, is to own some
    /// from now on. `largest` is the capacity told by the leader, unset if there is none.
    bool update(double capacity, bool owns, std::optional<double> largest, core::time_point now);

private:
    job_owner_settings settings_;
    /// Since when an owner has not qualified.
    std::optional<core::time_point> unqualified_since_;
};

} // namespace gooseberryfall::serving
