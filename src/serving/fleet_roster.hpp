#pragma once

#include "serving/fleet_view.hpp"
#include "serving/leadership.hpp"
#include "serving/peer_messages.hpp"
#include "serving/team_limits.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace gooseberryfall::serving {

/// Settings of `fleet_roster`.
struct roster_settings {
    /// An instance that misses this many reports is not named to callers any more.
    int reports_missed = 6;
    /// An instance that has not reported for this long is removed.
    std::chrono::milliseconds member_lifetime{30000};
    /// A block that was sent is not sent again for this long: the report that acknowledges it may
    /// still be on its way.
    std::chrono::milliseconds block_resend{250};
};

/// All instances by their registrations and reports: who lives, who takes callers, who owns which
/// job partitions, and what each of them has been told of the fleet. Deterministic; not
/// thread-safe.
class fleet_roster {
public:
    explicit fleet_roster(core::instance_id self, roster_settings settings = {})
        : self_(std::move(self)), settings_(settings)
    {
    }

    /// All instances that are registered in the store.
    void set_registered(const std::vector<fleet_member>& members, core::time_point now);

    /// The targets that the instances are told of.
    void set_targets(const target_entries& targets);

    /// Counts the changes of what instances are told.
    std::uint64_t revision() const { return revision_; }

    /// What the leader says of the instances and partitions, while another one leads.
    void adopt(const fleet_view& view, core::time_point now);

    /// This instance begins to lead: each of the others has the usual time to report.
    void begin(core::time_point now);

    /// Takes a report to this instance as the leader.
    void take_report(const core::instance_id& from, const instance_report& report,
                     core::time_point now);

    /// Instances that have stopped to report since the last check, and those that are removed.
    struct departures {
        struct silent_member {
            fleet_member member;
            /// It owned partitions of the batch jobs.
            bool owner = false;
        };
        std::vector<silent_member> silent;
        std::vector<fleet_member> gone;
    };
    departures check_silence(std::chrono::milliseconds interval, core::time_point now);

    /// An instance's process has ended: it counts as silent until it reports again.
    void note_ended(const core::instance_id& instance);

    /// Blocks that an instance has to be told; they count as sent.
    std::vector<const fleet_block*> take_missing(const core::instance_id& of, core::time_point now);

    /// Whether the other instance has reported to this one as the leader.
    bool has_reported(const core::instance_id& of) const;

    /// Part of the instances that is alive: a leader that gets reports from some of them only gives
    /// out only that part of the limits.
    double living_share() const;

    /// What the instances have reported as spent in the last `window`, beside `own`, which this
    /// instance has spent in its `uptime`.
    team_spending spent(const team_request_counts& own, std::chrono::milliseconds uptime,
                        std::chrono::milliseconds window) const;

    /// Whether most of the instances have reported to this one as the leader.
    bool most_have_reported() const;

    /// When any other living instance has read the store last, by the reports.
    std::optional<core::time_point> others_read_at() const;

    /// All instances but this one.
    std::vector<core::instance_id> others() const;

    /// Number of instances that live, with this one.
    std::size_t living() const;

    /// Instances that live and take callers.
    ready_members ready() const;

    /// A job partition's owner: of several the one with the highest epoch.
    const partition_owner* owner_of(std::uint32_t partition) const;

private:
    struct member_state {
        fleet_member member;
        bool registered = false;
        bool ready = false;
        bool leaving = false;
        /// Its reports have come of late.
        bool alive = false;
        /// Its process is known to have ended.
        bool ended = false;
        /// It was told to be silent.
        bool silence_told = true;
        core::time_point heard_at;
        /// Its last report to this instance; unset if there was none since this one leads.
        std::optional<core::time_point> reported_at;
        /// When it has read the store last.
        core::time_point store_read_at;
        team_request_counts spent;
        std::chrono::milliseconds uptime{0};
        std::vector<owned_partition> partitions;
        /// Blocks that it holds, by its last report.
        std::vector<block_mark> held;
        /// Blocks that were sent to it, with the time.
        std::map<block_id, std::pair<block_mark, core::time_point>> sent;
    };

    /// Makes the owners and the view anew after a change.
    void refresh();

    core::instance_id self_;
    roster_settings settings_;
    std::map<core::instance_id, member_state> members_;
    std::map<std::uint32_t, partition_owner> owners_;
    fleet_view_source view_;
    std::uint64_t revision_ = 0;
};

} // namespace gooseberryfall::serving
