#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::serving {

/// An instance of the fleet. Its id is the `ip:port` at which other instances reach it.
struct fleet_member {
    core::instance_id id;
    /// Human-readable name.
    std::string name;
    core::data_centre_id data_centre;
    /// `ip:port` for callers.
    std::string callers_address;
    /// Processor cores that the instance may use.
    double capacity = 1.0;
    /// Wall-clock milliseconds of its start.
    std::int64_t started_at = 0;

    bool operator==(const fleet_member&) const = default;
};

/// Whether `a` takes precedence over `b` as the leader: higher capacity first, then the earlier
/// start, then the lower id. Thread-safe.
bool ranks_before(const fleet_member& a, const fleet_member& b);

/// Settings of `leadership`.
struct leadership_settings {
    /// Interval between heartbeats of the leader in a fleet of up to 100 instances. A larger fleet
    /// uses `heartbeat_interval_per_member` times its size, which bounds the number of messages
    /// that the leader sends per second.
    std::chrono::milliseconds heartbeat_interval{100};
    std::chrono::milliseconds heartbeat_interval_per_member{1};
    /// Heartbeat intervals without a heartbeat after which an election starts. 2.5 tolerates two
    /// lost heartbeats.
    double heartbeat_timeout_intervals = 2.5;
    /// Time from the start of an election until a candidate may lead, in which instances that know
    /// a leader respond to its queries: several round trips within a region.
    std::chrono::milliseconds election_delay{80};
    /// Added to `election_delay` by every registered instance but the first by rank. It does not
    /// grow with the rank: after all processes have ended, most entries that rank first belong to
    /// ended processes.
    std::chrono::milliseconds lower_rank_delay{20};
    /// Interval between rounds of leader queries in an election.
    std::chrono::milliseconds query_interval{20};
    /// Instances that are queried in each round: the first ones by rank, and others round-robin.
    std::size_t queries_by_rank = 8;
    std::size_t queries_round_robin = 8;
    /// After the leader has resigned, no leader is queried for. Instead each instance waits this
    /// long for each registered instance that ranks before it.
    std::chrono::milliseconds resignation_delay_per_rank{30};
    /// Upper limit of the ranks that count for `resignation_delay_per_rank`: most instances further
    /// down may have ended long ago.
    std::size_t resignation_ranks_max = 10;
    /// A candidate that has sent no query for this long does not count any more.
    std::chrono::milliseconds candidate_lifetime{100};
    /// An election ends after this time even if peers report a leader: a leader that this instance
    /// gets no heartbeats from is of no use to it.
    std::chrono::milliseconds election_timeout{2000};
    /// Time to wait for the list of instances before an instance that can read the store leads
    /// without it. An instance that can do neither has nothing to lead with: it would only place
    /// its own requests, at targets that it does not know.
    std::chrono::milliseconds member_list_timeout{700};
    /// A leader whose process stalled for longer than this has probably been replaced.
    std::chrono::milliseconds stall_max{300};
    /// Additional wait of an instance that cannot read the platform's store and knows no other
    /// candidate, so that an instance that can read it leads instead.
    std::chrono::milliseconds unreadable_store_delay{800};
};

/// Elects the instance that places the requests of the whole fleet.
///
/// The leader only assigns slots, and two leaders for a moment only put some requests into a
/// target's own queue. No guarantee depends on a single leader, so no consensus is needed: each
/// instance follows the leader whose heartbeats it receives.
///
/// Load pattern: all processes end and start again within some ms, and callers send at full rate.
/// An instance without a leader queries the others. Those that know a leader respond; if none does,
/// the candidate that ranks first leads after `election_delay`. Deterministic; not thread-safe.
class leadership {
public:
    leadership(fleet_member self, leadership_settings settings, core::time_point now);

    /// Sets all registered instances.
    void set_members(const std::vector<fleet_member>& members);

    /// A heartbeat of another leader, which sends one each `interval`. `resigning`: the sender has
    /// just stopped leading.
    void on_heartbeat(const fleet_member& from, bool resigning, std::chrono::milliseconds interval,
                      core::time_point now);

    /// Another instance takes part in an election. `store_readable`: it can read the store.
    void on_candidate(const fleet_member& from, bool store_readable, core::time_point now);

    /// Another instance has recently received a heartbeat of a leader.
    void on_leader_hint(core::time_point now) { last_hint_at_ = now; }

    /// Advances the time; call it about every 20 ms. `store_readable`: this instance can read the
    /// store. `peer_is_newer`: another instance has read the store later. A leader that cannot
    /// read the store steps down in favour of such an instance.
    void tick(core::time_point now, bool store_readable, bool peer_is_newer);

    /// Instances to send a leader query to now; empty unless an election runs and a round is due.
    std::vector<core::instance_id> take_queries(core::time_point now);

    /// Stops leading for good.
    void resign();

    bool leads() const { return leads_; }

    /// Whether the process has stalled since the last `tick` for so long that it has probably been
    /// replaced if it leads. The next `tick` ends its leadership; until then it must not decide.
    bool has_stalled(core::time_point now) const
    {
        return now - last_tick_at_ > settings_.stall_max;
    }

    /// The leader, if its heartbeats are recent and it is not this instance.
    std::optional<core::instance_id> leader(core::time_point now) const;

    /// The leader (possibly this instance), if its last heartbeat is recent enough to name it to
    /// other instances.
    std::optional<fleet_member> recent_leader(core::time_point now) const;

    /// Time without a leader; zero if there is one.
    core::duration leaderless_for(core::time_point now) const;

    /// Interval between heartbeats while this instance leads.
    std::chrono::milliseconds heartbeat_interval() const;

    const fleet_member& self() const { return self_; }

private:
    struct candidate {
        fleet_member member;
        bool store_readable = false;
        core::time_point seen_at;
    };

    std::chrono::milliseconds heartbeat_timeout() const;
    std::size_t capped_rank() const;
    bool has_better_candidate(bool store_readable, core::time_point now) const;
    bool should_lead(bool store_readable, core::time_point now) const;
    void start_election(core::time_point now);

    fleet_member self_;
    leadership_settings settings_;
    /// In order of rank.
    std::vector<fleet_member> members_;
    /// Other instances are known, from the list of instances or from a heartbeat.
    bool peers_known_ = false;
    /// The list of instances is known. Until then this instance ranks behind all others.
    bool members_known_ = false;
    std::optional<fleet_member> leader_;
    /// Interval of the leader's heartbeats.
    std::chrono::milliseconds leader_interval_;
    core::time_point last_heartbeat_at_;
    core::time_point last_tick_at_;
    /// Start of the current election; unset while there is a leader.
    std::optional<core::time_point> election_start_;
    /// The previous leader, if the election started because it resigned.
    std::optional<core::instance_id> resigned_leader_;
    std::map<core::instance_id, candidate> candidates_;
    std::optional<core::time_point> last_hint_at_;
    core::time_point last_queries_at_{};
    std::size_t round_robin_position_ = 0;
    bool leads_ = false;
    /// This instance has resigned for good.
    bool withdrawn_ = false;
};

} // namespace gooseberryfall::serving
