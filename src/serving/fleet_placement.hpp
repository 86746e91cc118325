#pragma once

#include "serving/crash_quarantine.hpp"
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

/// A message and the instance that receives it.
struct addressed_message {
    core::instance_id to;
    peer_message message;
};

/// Processes the admission requests of all instances: rejects requests that crash targets, applies
/// the team's rate limit and then requests a slot. Deterministic; not thread-safe.
class fleet_placement {
public:
    explicit fleet_placement(scheduler_settings settings = {}, quarantine_settings quarantine = {});

    /// Applies the team limits of a desired state.
    void apply_state(const desired_state& state, core::time_point now);

    /// Replaces the targets.
    void set_targets(const std::vector<target_entry>& targets, core::time_point now);

    /// Sets the fraction of the targets' rate limits that may be used here.
    void set_rate_share(double share) { scheduler_.set_rate_share(share); }

    /// Sets what the cold targets of a service may get from here.
    void set_cold_rates(std::map<core::service_id, cold_rate> rates)
    {
        scheduler_.set_cold_rates(std::move(rates));
    }

    /// Counts a request that another instance has placed at a target.
    void count_foreign_request(const core::target_id& target, core::time_point now)
    {
        scheduler_.count_foreign_request(target, now);
    }

    /// Starts to place requests for other instances: drops all runs and recorded admissions, and
    /// resets the limits as in `team_limits::begin_term`.
    void begin_term(const limit_tolerance& tolerance, core::time_point now);

    /// Sets the window in which requests count against a team's limit.
    void set_limit_window(std::chrono::milliseconds window, core::time_point now)
    {
        limits_.set_window(window, now);
    }

    /// Applies the spending before this term; see `team_limits::apply_spending`.
    void apply_fleet_spending(const team_spending& spending, const limit_tolerance& tolerance,
                              core::time_point now)
    {
        limits_.apply_spending(spending, tolerance, now);
    }

    /// Team of a rejected request and its bucket, for logs. Empty if the request is not recorded.
    struct rejected_team {
        core::team_id team;
        team_limits::bucket_state bucket;
        /// The trait for which the request was refused, if it was for one.
        std::optional<request_trait> trait;
    };
    std::optional<rejected_team> find_rejected_team(const run_key& key) const;

    /// Sets the fraction of the limits that this instance may admit.
    void set_limit_share(double share, core::time_point now) { limits_.set_share(share, now); }

    std::vector<addressed_message> on_admission_request(const admission_request& admission,
                                                        core::time_point now);
    std::vector<addressed_message> on_slot_release(const slot_release& release,
                                                   core::time_point now);
    std::vector<addressed_message> on_run_report(const core::instance_id& from,
                                                 const std::vector<reported_run>& runs,
                                                 core::time_point now);
    std::vector<addressed_message> remove_instance(const core::instance_id& instance,
                                                   core::time_point now);
    std::vector<addressed_message> tick(core::time_point now);

    const slot_scheduler& request_scheduler() const { return scheduler_; }

    /// Shares and usage of teams; see `slot_scheduler::report_shares`.
    std::vector<slot_scheduler::service_shares> report_shares(core::time_point now)
    {
        return scheduler_.report_shares(now);
    }

    /// Adds or replaces marks; see `crash_quarantine`.
    void merge_crash_marks(const crash_marks& marks, core::time_point now)
    {
        quarantine_.merge(marks, now);
        marks_received_ = true;
    }
    void replace_crash_marks(const crash_marks& marks, core::time_point now)
    {
        quarantine_.replace(marks, now);
        marks_received_ = true;
    }

    /// What is known about requests that crash targets.
    const crash_quarantine& quarantine() const { return quarantine_; }

    /// Changes of it since the last call.
    std::vector<quarantine_event> take_quarantine_events() { return quarantine_.take_events(); }

private:
    struct admission_record {
        core::team_id team;
        /// The request counts against the limit of its team.
        bool counts = false;
        request_traits traits;
        std::optional<admission_reply> rejected_reply;
        /// The trait for which the request was refused, if it was for one.
        std::optional<request_trait> refused_trait;
    };

    /// Number of admissions that are recorded, so that a repeated request is neither charged nor
    /// decided again.
    static constexpr std::size_t admission_records_max = 4096;

    std::vector<addressed_message> to_messages(const slot_decisions& decisions,
                                               core::time_point now);
    admission_record& record_admission(const run_key& key, const admission_request& admission);
    /// Refuses a request that was or is about to be queued.
    admission_reply refuse_for_trait(const run_key& key, admission_record& record,
                                     const crash_quarantine::refusal& refusal);
    /// Refuses the waiting requests whose traits are refused by now.
    std::vector<addressed_message> refuse_waiting(core::time_point now);
    bool is_active(const run_key& key) const
    {
        return scheduler_.has_run(key) || scheduler_.is_waiting(key);
    }

    slot_scheduler scheduler_;
    team_limits limits_;
    crash_quarantine quarantine_;
    /// Marks were received since the last tick.
    bool marks_received_ = false;
    std::map<run_key, admission_record> admission_records_;
    std::deque<run_key> admission_order_;
};

} // namespace gooseberryfall::serving
