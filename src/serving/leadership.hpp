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
    /// Name for people.
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

/// Whether `a` is to lead rather than `b`: the larger one, then the older one. Thread-safe.
bool ranks_before(const fleet_member& a, const fleet_member& b);

/// Settings of `leadership`.
struct leadership_settings {
    /// Between two heartbeats of the leader, in a fleet of up to 100 instances. Larger fleets have
    /// `interval_per_member` for each, so that the leader's messages a second stay bounded.
    std::chrono::milliseconds interval{100};
    std::chrono::milliseconds interval_per_member{1};
    /// Intervals without a heartbeat after which another leader is searched for: two are missed.
    double silence_intervals = 2.5;
    /// Time in which instances that know a leader answer a search, several round trips in a
    /// region.
    std::chrono::milliseconds search{80};
    /// Added to a search by all but the first one of the registered instances. Not more for
    /// each: after all have ended, most entries that rank first are those of ended processes.
    std::chrono::milliseconds search_step{20};
    /// Between two rounds of questions in a search.
    std::chrono::milliseconds question_interval{20};
    /// Instances that are asked in a round: those that rank first, and others in turn.
    std::size_t questions_first = 8;
    std::size_t questions_in_turn = 8;
    /// After a leader has said that it goes, nobody asks: each instance waits this long for each
    /// registered one that ranks before it.
    std::chrono::milliseconds step{30};
    /// Instances that count for the step; most of those further down may be long gone.
    std::size_t steps_max = 10;
    /// A candidate that does not ask again for so long does not count any more.
    std::chrono::milliseconds candidate_lifetime{100};
    /// Time after which a search ends whatever others say: a leader that others hear, but not this
    /// instance, is no use to it.
    std::chrono::milliseconds search_max{2000};
    /// Time to wait for the list of instances before one leads without it.
    std::chrono::milliseconds lone_wait{700};
    /// A leader that was not running for this long has probably been replaced.
    std::chrono::milliseconds pause_max{300};
    /// An instance that cannot read the platform's store and knows no other candidate gives the
    /// others this much longer to take the leader's place.
    std::chrono::milliseconds unfit_delay{800};
};

/// Which instance places the requests of the whole fleet.
///
/// The leader only gives out slots, and two leaders for a moment
/// put some requests into a target's own queue. No promise depends on there being one, so no
/// agreement is needed; each instance follows the leader whose heartbeats it gets.
///
/// Load pattern: all processes end and start again within some ms, and callers come at full rate.
/// An instance without a leader asks the others: those that know one answer, and if none does,
/// the candidate that ranks first leads after `search`. Deterministic; not thread-safe.
class leadership {
public:
    leadership(fleet_member self, leadership_settings settings, core::time_point now);

    /// All instances that are registered.
    void set_members(const std::vector<fleet_member>& members);

    /// A heartbeat of another leader, which sends them at this interval. `resigning`: it has just
    /// stopped to.
    void on_digest(const fleet_member& from, bool resigning, std::chrono::milliseconds interval,
                   core::time_point now);

    /// Another instance searches for a leader, too. `fit`: it can read the store.
    void on_candidate(const fleet_member& from, bool fit, core::time_point now);

    /// Another instance has had a heartbeat of a leader lately.
    void on_hint(core::time_point now) { hint_at_ = now; }

    /// Time has passed; to be called every 20 ms or so. `fit`: this instance can read the store.
    /// `others_know_more`: another instance has read it later. A leader that cannot read the store
    /// steps down for such an instance.
    void tick(core::time_point now, bool fit, bool others_know_more);

    /// Instances to ask for a leader now; empty unless one is searched for and a round is due.
    std::vector<core::instance_id> take_questions(core::time_point now);

    /// Stops to lead, and does not begin again.
    void leave();

    bool leads() const { return leads_; }

    /// The leader, if its heartbeats are recent and it is not this instance.
    std::optional<core::instance_id> leader(core::time_point now) const;

    /// The leader, if its last heartbeat is so recent that others may be told of it.
    std::optional<fleet_member> leader_to_tell(core::time_point now) const;

    /// Time without a leader; zero if there is one.
    core::duration leaderless_for(core::time_point now) const;

    /// Between two heartbeats while this instance leads.
    std::chrono::milliseconds interval() const;

    const fleet_member& self() const { return self_; }

private:
    struct candidate {
        fleet_member member;
        bool fit = false;
        core::time_point heard_at;
    };

    std::chrono::milliseconds silence() const;
    std::size_t position() const;
    bool better_candidate(bool fit, core::time_point now) const;
    bool is_time_to_lead(bool fit, core::time_point now) const;
    void search(core::time_point now);

    fleet_member self_;
    leadership_settings settings_;
    /// By rank, the first one first.
    std::vector<fleet_member> members_;
    /// Others are known, by the list of instances or by a heartbeat.
    bool others_known_ = false;
    std::optional<fleet_member> leader_;
    /// Interval of the leader's heartbeats.
    std::chrono::milliseconds leader_interval_;
    core::time_point heard_at_;
    core::time_point ticked_at_;
    /// Since when a leader is searched for; unset while there is one.
    std::optional<core::time_point> searching_since_;
    /// The leader before has said that it goes.
    bool resigned_ = false;
    std::map<core::instance_id, candidate> candidates_;
    std::optional<core::time_point> hint_at_;
    core::time_point asked_at_{};
    std::size_t next_in_turn_ = 0;
    bool leads_ = false;
    bool left_ = false;
};

} // namespace gooseberryfall::serving
