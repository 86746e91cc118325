#pragma once

#include "core/quarantine.hpp"
#include "serving/desired_state.hpp"
#include "serving/peer_messages.hpp"
#include "serving/slot_scheduler.hpp"
#include "serving/team_limits.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::serving {

/// A message and the instance that it is for.
struct addressed_message {
    core::instance_id to;
    peer_message message;
};

/// Answers the calls for slots of all instances: rate of the team, requests that crash targets,
/// then a slot. Deterministic; not thread-safe.
class fleet_placement {
public:
    explicit fleet_placement(scheduler_settings settings = {}, double limit_share = 1.0);

    /// Takes the limits of the teams from a desired state.
    void apply_state(const desired_state& state, core::time_point now);

    /// Replaces the targets.
    void set_targets(const std::vector<target_entry>& targets);

    /// Begins to place for others with an empty memory.
    void begin_term(const limit_tolerance& tolerance, core::time_point now);

    /// Sets the span in which requests count against a team's limit.
    void set_limit_window(std::chrono::milliseconds window, core::time_point now)
    {
        limits_.set_window(window, now);
    }

    /// Learns what was spent before; see `team_limits::apply_spending`.
    void apply_fleet_spending(const team_spending& spent, const limit_tolerance& tolerance,
                              core::time_point now)
    {
        limits_.apply_spending(spent, tolerance, now);
    }

    /// Team of a call that was refused, with its bucket, for logs. Empty if it is not remembered.
    struct rejected_team {
        core::team_id team;
        team_limits::bucket_state bucket;
    };
    std::optional<rejected_team> find_rejected_team(const run_key& key) const;

    /// Sets the part of the limits that is given out here.
    void set_limit_share(double share, core::time_point now) { limits_.set_share(share, now); }

    std::vector<addressed_message> on_admission_request(const slot_call& call,
                                                        core::time_point now);
    std::vector<addressed_message> on_slot_release(const slot_end& end, core::time_point now);
    std::vector<addressed_message> on_run_report(const core::instance_id& from,
                                                 const std::vector<reported_run>& runs,
                                                 core::time_point now);
    std::vector<addressed_message> remove_instance(const core::instance_id& instance,
                                                   core::time_point now);
    std::vector<addressed_message> tick(core::time_point now);

    const slot_scheduler& request_scheduler() const { return scheduler_; }

private:
    struct known_call {
        core::team_id team;
        std::optional<slot_reply> refused;
    };

    /// Calls remembered, so that a repeated one is neither charged nor decided again.
    static constexpr std::size_t calls_max = 4096;

    std::vector<addressed_message> to_messages(const slot_decisions& decisions,
                                               core::time_point now);
    known_call& remember(const run_key& key, const core::team_id& team);

    slot_scheduler scheduler_;
    team_limits limits_;
    core::quarantine crashes_;
    std::map<run_key, known_call> calls_;
    std::deque<run_key> call_order_;
};

} // namespace gooseberryfall::serving
