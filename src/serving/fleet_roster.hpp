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
    /// An instance that misses more reports than this is not advertised to callers any more.
    int missed_reports_max = 6;
    /// An instance that has not reported for this long is removed.
    std::chrono::milliseconds member_lifetime{30000};
    /// An instance that can't be heard keeps its share of decisions by capacity for this long, if
    /// fewer than half of the instances report: more likely this one is cut off than the others
    /// gone.
    std::chrono::milliseconds isolation_hold{8000};
    /// An instance that last read the store so much earlier than the others can't own job
    /// partitions.
    std::chrono::milliseconds store_lag_max{5000};
    /// Minimum time before a block is sent again, as the report that acknowledges it may still be
    /// in flight.
    std::chrono::milliseconds block_resend_delay{250};
};

/// Tracks all instances (its members) by their registrations and reports: which are alive, which
/// accept callers, which own which job partitions, and which blocks of the fleet view each of them
/// holds. Deterministic; not thread-safe.
class fleet_roster {
public:
    explicit fleet_roster(core::instance_id self, roster_settings settings = {})
        : self_(std::move(self)), settings_(settings)
    {
    }

    /// Sets all instances that are registered in the store.
    void set_registered(const std::vector<fleet_member>& members, core::time_point now);

    /// Sets the targets in the fleet view that is sent to the instances.
    void set_targets(const target_entries& targets);

    /// Increases with each change of the fleet view.
    std::uint64_t revision() const { return revision_; }

    /// Replaces the states of instances and partition owners by those in the leader's view, while
    /// another instance leads.
    void apply_view(const fleet_view& view, core::time_point now);

    /// This instance starts leading: each of the others has the usual time to report.
    void start_leading(core::time_point now);

    /// Applies a report to this instance as the leader.
    void apply_report(const core::instance_id& from, const instance_report& report,
                      core::time_point now);

    /// Instances that have become unresponsive since the last check, and those that are removed.
    struct departures {
        struct unresponsive_member {
            fleet_member member;
            /// It owned partitions of the batch jobs.
            bool owned_partitions = false;
        };
        std::vector<unresponsive_member> unresponsive;
        std::vector<fleet_member> removed;
    };
    /// Marks the instances that have missed too many reports, and removes those whose lifetime has
    /// passed. `interval` is the time between reports.
    departures expire_members(std::chrono::milliseconds interval, core::time_point now);

    /// An instance's process has ended: it counts as unresponsive until it reports again.
    void mark_exited(const core::instance_id& instance);

    /// Stale blocks of an instance, without those that may still be in flight, to be sent to it
    /// now. They count as sent.
    std::vector<const fleet_block*> take_blocks_to_send(const core::instance_id& receiver,
                                                        core::time_point now);

    /// Whether the other instance has reported to this one as the leader.
    bool has_reported(const core::instance_id& peer) const;

    /// Fraction of the instances that are alive. A leader that gets reports from only some of them
    /// grants only this fraction of the limits.
    double alive_share() const;

    /// Requests that the fleet has sent in the last `window`: those that the instances have
    /// reported and `own`, which this instance has sent in its `uptime`. Extrapolated to instances
    /// that have not reported.
    team_spending fleet_spending(const team_sent_requests& own, std::chrono::milliseconds uptime,
                                 std::chrono::milliseconds window, core::time_point now) const;

    /// Whether most of the instances have reported to this one as the leader.
    bool majority_reported() const;

    /// Latest time at which any other instance that is alive has read the store, by its reports.
    std::optional<core::time_point> latest_peer_store_read() const;

    /// Largest capacity of the instances that may own job partitions now: those that report, don't
    /// leave and reach the store, and those that have still time to report. `interval` is the time
    /// between reports. Zero if there are none.
    double largest_owner_capacity(std::chrono::milliseconds interval, core::time_point now) const;

    /// All instances but this one.
    std::vector<core::instance_id> peers() const;

    /// Number of instances with this one.
    std::size_t size() const { return members_.size() + (members_.contains(self_) ? 0 : 1); }

    /// Other instances that have not reported since this one leads.
    std::vector<core::instance_id> unreported_peers() const;

    /// Number of instances that are alive, including this one.
    std::size_t alive_count() const;

    /// Instances that are alive and accept callers.
    ready_members ready() const;

    /// Owner of a job partition, or null; of several the one with the highest epoch.
    const partition_owner* owner_of(std::uint32_t partition) const;

private:
    struct member_state {
        fleet_member member;
        bool registered = false;
        bool ready = false;
        bool leaving = false;
        /// It has reported recently.
        bool alive = false;
        /// Its process is known to have ended.
        bool exited = false;
        /// `expire_members` has returned it as unresponsive since its last report. Also true until
        /// its first report.
        bool declared_unresponsive = true;
        /// Its last report or its appearance in the leader's view. Also set when it is first
        /// registered and when this instance starts leading, to give it the usual time to report.
        core::time_point last_active_at;
        /// Its last report to this instance; unset if there was none since this one leads.
        std::optional<core::time_point> reported_at;
        /// When it last read the store.
        core::time_point store_read_at;
        team_sent_requests recent_requests;
        std::chrono::milliseconds uptime{0};
        std::vector<owned_partition> partitions;
        /// Blocks that it holds, according to its last report.
        std::vector<block_version> acknowledged_blocks;
        /// Last version of each block that was sent to it, and when.
        std::map<block_id, std::pair<block_version, core::time_point>> sent_blocks;
    };

    /// Recomputes the owners and the view after a change.
    void rebuild_view();
    /// Whether the instance has read the store much earlier than the one that read it last.
    bool lags_behind_store(const member_state& state) const;

    core::instance_id self_;
    roster_settings settings_;
    std::map<core::instance_id, member_state> members_;
    std::map<std::uint32_t, partition_owner> owners_;
    fleet_view_source view_;
    std::uint64_t revision_ = 0;
};

} // namespace gooseberryfall::serving
