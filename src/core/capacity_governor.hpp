#pragma once

#include "core/fleet.hpp"
#include "core/messages.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace gooseberryfall::core {

/// Settings of `capacity_governor`.
struct governor_settings {
    /// Slots always left free for online arrivals.
    std::uint32_t headroom_min = 1;
    /// Part of the slots that the headroom is at most.
    double headroom_max_part = 0.25;
    /// Time over which the peak of online use is remembered.
    duration peak_window = std::chrono::seconds(2);
    /// Age after which an instance's report counts no more.
    duration report_lifetime = std::chrono::seconds(1);
    /// Off lets batch work use all slots, whatever online work runs; the baseline of the
    /// performance tests.
    bool hold_back_batch = true;
};

/// A permit for one instance.
struct addressed_permit {
    instance_id instance;
    capacity_permit permit;
};

/// Decides how many batch streams run on each target that this instance governs. One instance
/// decides for a target, from the reports of all. Not thread-safe.
class capacity_governor {
public:
    explicit capacity_governor(governor_settings settings);

    /// Sets the slots of a target that this instance governs from now on, or changes them.
    void govern(const target_id& id, std::uint32_t slots);

    /// Stops governing a target.
    void abandon(const target_id& id);

    /// Whether the target is governed here.
    bool governs(const target_id& id) const;

    /// An instance reported its use; this instance reports to itself in the same way.
    void on_report(const instance_id& from, const capacity_report& report, time_point now);

    /// The target's own report of running requests, which lags; a lower bound of what others use.
    void on_target_report(const target_id& id, std::uint32_t running, time_point now);

    /// Permits that changed, or are due for renewal, since the last call.
    std::vector<addressed_permit> permits(time_point now);

    /// Batch streams that the target may run in all now.
    std::uint32_t batch_limit(const target_id& id, time_point now) const;

private:
    struct instance_use {
        capacity_report report;
        time_point at;
        std::uint32_t permitted = 0;
        std::uint32_t told_elsewhere = 0;
        std::optional<time_point> permitted_at;
    };
    struct governed_target {
        std::uint32_t slots = 1;
        std::map<instance_id, instance_use> uses;
        /// Total online use over time, for the peak.
        std::deque<std::pair<time_point, std::uint32_t>> history;
    };

    governor_settings settings_;
    std::map<target_id, governed_target> targets_;
};

} // namespace gooseberryfall::core
