#pragma once

#include "core/types.hpp"
#include "serving/deadline_planner.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace gooseberryfall::serving {

/// Why a request was refused for want of slots.
enum class share_refusal {
    /// On arrival: the requests ahead of it leave it no time.
    arrival,
    /// It waited, and the request of a team that has used less took its place.
    displaced,
    /// It waited, and no slot became free in time.
    waited,
};

/// Text form for logs and metrics. Thread-safe.
const char* to_text(share_refusal reason);

/// Settings of `fair_shares`.
struct fair_share_settings {
    /// A team may make up for what it has used less than the others during this time. It covers the
    /// chance in the arrivals of a team that asks for less than its share.
    std::chrono::milliseconds credit_window{3000};
    /// Largest slot time that it may make up for: some online requests. When teams that rested ask
    /// again, this is the most that each of the others loses.
    std::chrono::milliseconds credit_max{6000};
    /// Time constant of the decay of a team's usage in reports.
    std::chrono::milliseconds usage_window{3000};
    /// Teams with an account of their own; further ones share the account of requests without a
    /// team. Four times the number of teams that the fleet is designed for.
    std::size_t teams_max = 4096;
};

/// A team in one period of a report. Slots are averages over the period.
struct team_share {
    core::team_id team;
    /// What weighted max-min fairness grants it: what it asked for, or its part.
    double share_slots = 0;
    double used_slots = 0;
    /// Slots that it used and those that its refused requests would have used.
    double asked_slots = 0;
    std::uint64_t refused_on_arrival = 0;
    std::uint64_t refused_displaced = 0;
    std::uint64_t refused_after_wait = 0;

    bool is_over_share() const { return asked_slots > share_slots; }
};

/// Orders teams by the slot time that they have received, for weighted max-min fairness.
///
/// Load pattern: dozens of teams, a few of them large, that together ask for up to twice the slots
/// while each is within its rate limit. In order of arrival, the team that asks most gets most.
///
/// Start-time fair queueing: each team has a virtual time, its slot time divided by its weight. The
/// team with the least goes next, and the one with the most gives way. Only slot time that was
/// granted while requests waited counts, so that the use of idle slots is held against nobody. A
/// team that asks again after a rest begins at the virtual time of the fleet some seconds ago; it
/// can therefore neither save up its share for longer nor be starved by others that do. Each
/// decision takes constant time; finding a team by its name takes time logarithmic in the number of
/// teams. Deterministic; not thread-safe.
class fair_shares {
public:
    /// Identifies a team in this object. Indexes stay valid until `clear`.
    using team_index = std::size_t;
    /// The account of requests without a team.
    static constexpr team_index no_team = 0;

    explicit fair_shares(fair_share_settings settings = {});

    /// Sets the weights of teams; the others have a weight of 1. Precondition: weights are
    /// positive.
    void set_weights(const std::map<core::team_id, double>& weights);

    /// Index of a team, which is added if it is new.
    team_index index_of(const core::team_id& team);

    double weight(team_index team) const { return teams_[team].weight; }

    /// Counts the arrival of a request: a team that has rested catches up with the others, except
    /// for its credit.
    void arrive(team_index team, core::time_point now);

    /// Virtual time of a team, in seconds: the team with the least goes next.
    double virtual_time(team_index team) const { return teams_[team].virtual_time; }

    /// Virtual time that a team will have after slot time of `ahead`, the sum of its requests that
    /// wait: among waiting requests, the one with the largest value gives way.
    double virtual_time_after(team_index team, core::duration ahead) const;

    /// Whether a request that arrives behind slot time of `ahead` of its team belongs to a team
    /// that has used, or waits for, more than the others have received.
    bool is_over_share(team_index team, core::duration ahead) const
    {
        return virtual_time_after(team, ahead) > virtual_time_;
    }

    /// Counts the start of a run that is expected to take `work`. `contended`: requests wait, so
    /// that the slot time counts against the team.
    void start(team_index team, core::duration work, bool contended, core::time_point now);

    /// Counts the end of a run: replaces the slot time that `start` has counted by that which the
    /// run has taken. `work` and `contended` are those passed to `start`.
    void finish(team_index team, core::duration work, bool contended, core::duration taken);

    /// Counts a refusal for reports.
    void refuse(team_index team, share_refusal reason, core::duration work, core::time_point now);

    /// Shares and usage of the teams that used a slot or were refused one lately, given the number
    /// of slots. Takes time proportional to the number of teams; to be called once a second.
    std::vector<team_share> report(double slots, core::time_point now);

    /// Forgets all teams except for their weights: all have equal claims again.
    void clear();

private:
    struct team_account {
        core::team_id team;
        double weight = 1;
        double virtual_time = 0;
        /// Slot time in seconds, used and refused, that decays with `usage_window`.
        double used = 0;
        double refused = 0;
        core::time_point updated_at{};
        std::uint64_t refusals[3] = {0, 0, 0};
    };

    /// Least virtual time of a team that asks now.
    double floor_for(double weight, core::time_point now);
    void decay(team_account& account, core::time_point now) const;

    fair_share_settings settings_;
    std::map<core::team_id, double> weights_;
    std::vector<team_account> teams_;
    std::map<core::team_id, team_index> indexes_;
    /// Virtual time of the last request that was chosen among waiting ones.
    double virtual_time_ = 0;
    struct past_virtual_time {
        core::time_point at;
        double value = 0;
    };
    /// Its values during the last credit window, oldest first, at intervals of `history_step`.
    std::deque<past_virtual_time> history_;
    static constexpr std::chrono::milliseconds history_step{250};
};

/// Divides slots by weighted max-min fairness: nobody gets more than it asks for, and what some
/// leave goes to the others in proportion to their weights. Thread-safe. Precondition: both lists
/// have the same length, and weights are positive.
std::vector<double> divide_by_weight(const std::vector<double>& asked,
                                     const std::vector<double>& weights, double slots);

/// A task and its team.
struct team_task {
    deadline_task task;
    fair_shares::team_index team = fair_shares::no_team;
};

/// Selects the tasks that can be done by their due times with a number of slots, as
/// `deadline_planner` does; when they don't fit, the slots are divided among the teams first.
/// Returns for each task whether it is selected. Thread-safe as long as `shares` isn't changed.
std::vector<bool> select_feasible_by_team(const std::vector<team_task>& tasks,
                                          const fair_shares& shares, double slots,
                                          core::time_point now);

} // namespace gooseberryfall::serving
