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
    /// Slots always left free for online arrivals, except that batch work may use an idle target's
    /// only slot.
    std::uint32_t headroom_min = 1;
    /// Part of the slots that the headroom is at most.
    double headroom_max_part = 0.05;
    /// Time over which the strongest growth of online use is remembered.
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
        /// Last permit sent.
        std::uint32_t permitted = 0;
        std::uint32_t told_elsewhere = 0;
        std::optional<time_point> sent_at;
        /// Time at which a permit was last raised.
        std::optional<time_point> raised_at;
        /// Larger permit sent before, which the instance may still use.
        std::uint32_t withdrawn = 0;
        std::optional<time_point> withdrawn_at;

        std::uint32_t demand() const { return report.batch + report.batch_wanted; }
    };
    /// Use of a target during one step of time.
    struct use_sample {
        time_point at;
        std::uint32_t online_low = 0;
        std::uint32_t online_high = 0;
        std::uint32_t online_last = 0;
        /// Online and batch.
        std::uint32_t all_high = 0;
    };
    struct governed_target {
        std::uint32_t slots = 1;
        std::map<instance_id, instance_use> uses;
        std::deque<use_sample> samples;
        /// Time of the first report.
        std::optional<time_point> since;
        /// Requests that the target reports beyond those of the instances' reports.
        std::uint32_t unseen = 0;
        std::optional<time_point> unseen_at;
        bool changed = false;
        std::optional<time_point> checked_at;
    };
    /// What is worked out for one instance.
    struct allotment {
        instance_id instance;
        instance_use* use = nullptr;
        bool reporting = false;
        std::uint32_t demand = 0;
        std::uint32_t fair = 0;
        std::uint32_t reserved = 0;
        std::uint32_t permit = 0;
    };

    bool is_reporting(const instance_use& use, time_point now) const;
    std::uint32_t online_of(const governed_target& governed, time_point now) const;
    /// What the instances report, and what permits that they cannot have answered yet allow.
    std::uint32_t may_use_now(const governed_target& governed, time_point now) const;
    bool is_new(const governed_target& governed, time_point now) const;
    void record(governed_target& governed, time_point now) const;
    void forget_silent(governed_target& governed, time_point now) const;
    std::uint32_t growth(const governed_target& governed, time_point now) const;
    std::uint32_t headroom(const governed_target& governed, time_point now) const;
    std::uint32_t limit_of(const governed_target& governed, time_point now) const;
    std::vector<allotment> allot(const target_id& id, governed_target& governed,
                                 time_point now) const;
    void send_permits(const target_id& id, governed_target& governed, time_point now,
                      std::vector<addressed_permit>& sent) const;

    governor_settings settings_;
    std::map<target_id, governed_target> targets_;
};

} // namespace gooseberryfall::core
