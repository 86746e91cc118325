#include "serving/fleet_placement.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

admission_rejection_reason to_rejection_reason(slot_rejection_reason reason)
{
    return reason == slot_rejection_reason::no_target ? admission_rejection_reason::no_target
                                                      : admission_rejection_reason::overloaded;
}

} // namespace

const char* to_text(admission_rejection_reason reason)
{
    switch (reason) {
    case admission_rejection_reason::overloaded:
        return "overloaded";
    case admission_rejection_reason::no_target:
        return "no_target";
    case admission_rejection_reason::over_limit:
        return "over_limit";
    case admission_rejection_reason::crashes_targets:
        return "crashes_targets";
    }
    return "unknown";
}

fleet_placement::fleet_placement(scheduler_settings settings, quarantine_settings quarantine)
    : scheduler_(settings), quarantine_(quarantine)
{
}

void fleet_placement::apply_state(const desired_state& state, core::time_point now)
{
    std::map<core::team_id, team_limit> limits;
    std::map<core::team_id, double> weights;
    for (const customer_team& team : state.teams) {
        limits[team.id] = {team.rate, team.burst};
        if (team.weight > 0) {
            weights[team.id] = team.weight;
        }
    }
    limits_.set(limits, now);
    scheduler_.set_team_weights(weights);
    std::map<core::service_id, std::uint64_t> memory;
    for (const target_service& service : state.services) {
        memory[service.id] = service.target_memory;
    }
    scheduler_.set_target_memory(memory);
}

void fleet_placement::set_targets(const std::vector<target_entry>& targets, core::time_point now)
{
    scheduler_.set_targets(targets, now);
}

void fleet_placement::begin_term(const limit_tolerance& tolerance, core::time_point now)
{
    scheduler_.clear_requests(now);
    limits_.begin_term(tolerance, now);
    admission_records_.clear();
    admission_order_.clear();
}

fleet_placement::admission_record&
fleet_placement::record_admission(const run_key& key, const admission_request& admission)
{
    admission_order_.push_back(key);
    if (admission_order_.size() > admission_records_max) {
        admission_records_.erase(admission_order_.front());
        admission_order_.pop_front();
    }
    admission_record& new_record = admission_records_[key];
    new_record.team = admission.slot.team;
    new_record.counts = !admission.charged;
    new_record.traits = admission.traits;
    return new_record;
}

admission_reply fleet_placement::refuse_for_trait(const run_key& key, admission_record& record,
                                                  const crash_quarantine::refusal& refusal)
{
    record.refused_trait = refusal.trait;
    record.rejected_reply =
        admission_reply{key.number, admission_rejected{admission_rejection_reason::crashes_targets,
                                                       refusal.retry_after}};
    return *record.rejected_reply;
}

std::optional<fleet_placement::rejected_team>
fleet_placement::find_rejected_team(const run_key& key) const
{
    const auto record = admission_records_.find(key);
    if (record == admission_records_.end()) {
        return std::nullopt;
    }
    const auto bucket = limits_.state_of(record->second.team);
    return rejected_team{record->second.team, bucket.value_or(team_limits::bucket_state()),
                         record->second.refused_trait};
}

std::vector<addressed_message>
fleet_placement::on_admission_request(const admission_request& admission, core::time_point now)
{
    const run_key& key = admission.slot.key;
    const auto record = admission_records_.find(key);
    if (record != admission_records_.end() && record->second.rejected_reply) {
        return {{key.instance, *record->second.rejected_reply}};
    }
    if (record == admission_records_.end() && admission.slot.kind == work_kind::online) {
        admission_record& new_record = record_admission(key, admission);
        const auto refusal = quarantine_.rule(
            key, admission.traits, [this](const run_key& other) { return is_active(other); }, now);
        if (refusal) {
            return {{key.instance, refuse_for_trait(key, new_record, *refusal)}};
        }
        const core::team_id& team = admission.slot.team;
        const bool within_rate = admission.charged || limits_.try_acquire(team, now);
        const bool admitted = within_rate || (scheduler_.can_place(admission.slot, now) &&
                                              limits_.try_acquire_spare(team, now));
        if (!admitted) {
            const milliseconds delay =
                limits_.plan_retry(team, now, retry_delay_max(admission.slot));
            new_record.rejected_reply = admission_reply{
                key.number, admission_rejected{admission_rejection_reason::over_limit, delay}};
            return {{key.instance, *new_record.rejected_reply}};
        }
    }
    std::vector<addressed_message> result =
        to_messages(scheduler_.request_slot(admission.slot, now), now);
    if (result.empty()) {
        result.push_back({key.instance, admission_pending{key.number}});
    }
    return result;
}

std::vector<addressed_message> fleet_placement::on_slot_release(const slot_release& release,
                                                                core::time_point now)
{
    const slot_result& ended = release.run_result;
    run_evidence evidence{release.target, release.traits, ended.outcome, {}, now - ended.duration};
    if (ended.first_event_delay) {
        evidence.output_time = ended.duration - *ended.first_event_delay;
    }
    quarantine_.record(evidence, now);
    return to_messages(scheduler_.release_slot(ended, now), now);
}

std::vector<addressed_message> fleet_placement::on_run_report(const core::instance_id& from,
                                                              const std::vector<reported_run>& runs,
                                                              core::time_point now)
{
    return to_messages(scheduler_.reconcile(from, runs, now), now);
}

std::vector<addressed_message> fleet_placement::remove_instance(const core::instance_id& instance,
                                                                core::time_point now)
{
    return to_messages(scheduler_.remove_instance(instance, now), now);
}

std::vector<addressed_message> fleet_placement::tick(core::time_point now)
{
    std::vector<addressed_message> result;
    const bool newly_refused = quarantine_.tick(now);
    if (std::exchange(marks_received_, false) || newly_refused) {
        result = refuse_waiting(now);
    }
    const std::vector<addressed_message> placed = to_messages(scheduler_.tick(now), now);
    result.insert(result.end(), placed.begin(), placed.end());
    return result;
}

std::vector<addressed_message> fleet_placement::refuse_waiting(core::time_point now)
{
    std::vector<addressed_message> result;
    for (auto& [key, record] : admission_records_) {
        if (record.rejected_reply || !scheduler_.is_waiting(key)) {
            continue;
        }
        const auto refusal = quarantine_.refusal_of(record.traits, now);
        if (!refusal) {
            continue;
        }
        scheduler_.withdraw(key);
        if (record.counts) {
            limits_.refund(record.team, now);
        }
        result.push_back({key.instance, refuse_for_trait(key, record, *refusal)});
    }
    return result;
}

std::vector<addressed_message> fleet_placement::to_messages(const slot_decisions& decisions,
                                                            core::time_point now)
{
    std::vector<addressed_message> result;
    const auto on_grant = [&](const slot_grant& grant) {
        result.push_back(
            {grant.key.instance,
             admission_reply{grant.key.number, admission_granted{grant.target, grant.address}}});
    };
    const auto on_rejection = [&](const slot_rejection& rejection) {
        const admission_reply reply{
            rejection.key.number,
            admission_rejected{to_rejection_reason(rejection.reason), rejection.retry_after}};
        const auto record = admission_records_.find(rejection.key);
        if (record != admission_records_.end()) {
            record->second.rejected_reply = reply;
            // The request has not run and is charged again if it is retried.
            if (record->second.counts) {
                limits_.refund(record->second.team, now);
            }
        }
        result.push_back({rejection.key.instance, reply});
    };
    const auto on_preemption = [&](const slot_preemption& preemption) {
        result.push_back({preemption.key.instance, preemption_order{preemption.key.number}});
    };
    for (const slot_decision& decision : decisions) {
        std::visit(core::visitors{on_grant, on_rejection, on_preemption}, decision);
    }
    return result;
}

} // namespace gooseberryfall::serving
