#include "serving/fleet_placement.hpp"

#include "core/visitors.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

core::digest to_digest(std::uint64_t fingerprint)
{
    core::digest result{};
    for (std::size_t byte = 0; byte < sizeof fingerprint; ++byte) {
        result.at(byte) = static_cast<std::uint8_t>(fingerprint >> (8 * byte));
    }
    return result;
}

call_refusal to_refusal(slot_rejection_reason reason)
{
    return reason == slot_rejection_reason::no_target ? call_refusal::no_target
                                                      : call_refusal::overloaded;
}

} // namespace

const char* to_text(call_refusal reason)
{
    switch (reason) {
    case call_refusal::overloaded:
        return "overloaded";
    case call_refusal::no_target:
        return "no_target";
    case call_refusal::over_limit:
        return "over_limit";
    case call_refusal::crashes_targets:
        return "crashes_targets";
    }
    return "unknown";
}

fleet_placement::fleet_placement(scheduler_settings settings, double limit_share)
    : scheduler_(settings), limits_(limit_share), crashes_(core::quarantine_settings{})
{
}

void fleet_placement::apply_state(const desired_state& state, core::time_point now)
{
    std::map<core::team_id, team_limit> limits;
    for (const customer_team& team : state.teams) {
        limits[team.id] = {team.rate, team.burst};
    }
    limits_.set(limits, now);
}

void fleet_placement::set_targets(const std::vector<target_entry>& targets)
{
    scheduler_.set_targets(targets);
}

void fleet_placement::begin_term(const limit_tolerance& tolerance, core::time_point now)
{
    scheduler_.clear_work();
    limits_.begin_term(tolerance, now);
    calls_.clear();
    call_order_.clear();
}

fleet_placement::known_call& fleet_placement::remember(const run_key& key,
                                                       const core::team_id& team)
{
    call_order_.push_back(key);
    if (call_order_.size() > calls_max) {
        calls_.erase(call_order_.front());
        call_order_.pop_front();
    }
    known_call& entry = calls_[key];
    entry.team = team;
    return entry;
}

std::optional<fleet_placement::rejected_team>
fleet_placement::find_rejected_team(const run_key& key) const
{
    const auto known = calls_.find(key);
    if (known == calls_.end()) {
        return std::nullopt;
    }
    const auto bucket = limits_.state_of(known->second.team);
    return rejected_team{known->second.team, bucket.value_or(team_limits::bucket_state())};
}

std::vector<addressed_message> fleet_placement::on_admission_request(const slot_call& call,
                                                                     core::time_point now)
{
    const run_key& key = call.question.key;
    const auto known = calls_.find(key);
    if (known != calls_.end() && known->second.refused) {
        return {{key.instance, *known->second.refused}};
    }
    if (known == calls_.end() && call.question.kind == work_kind::online) {
        known_call& entry = remember(key, call.team);
        const core::digest fingerprint = to_digest(call.fingerprint);
        if (crashes_.rule(fingerprint, now) == core::quarantine_ruling::refuse) {
            const auto delay =
                std::chrono::ceil<milliseconds>(crashes_.remaining(fingerprint, now));
            entry.refused =
                slot_reply{key.number, slot_denied{call_refusal::crashes_targets, delay}};
            return {{key.instance, *entry.refused}};
        }
        const bool within_rate = limits_.try_acquire(call.team, now);
        const bool admitted = within_rate || (scheduler_.can_place(call.question, now) &&
                                              limits_.try_acquire_spare(call.team, now));
        if (!admitted) {
            const milliseconds delay =
                limits_.plan_retry(call.team, now, retry_delay_max(call.question));
            entry.refused = slot_reply{key.number, slot_denied{call_refusal::over_limit, delay}};
            return {{key.instance, *entry.refused}};
        }
    }
    std::vector<addressed_message> result =
        to_messages(scheduler_.request_slot(call.question, now), now);
    if (result.empty()) {
        result.push_back({key.instance, slot_waiting{key.number}});
    }
    return result;
}

std::vector<addressed_message> fleet_placement::on_slot_release(const slot_end& end,
                                                                core::time_point now)
{
    const bool died =
        end.ended.outcome == slot_outcome::broken || end.ended.outcome == slot_outcome::silent;
    if (end.fingerprint != 0 && died) {
        crashes_.on_death(to_digest(end.fingerprint), false, now);
    }
    if (end.fingerprint != 0 && end.ended.outcome == slot_outcome::completed) {
        crashes_.on_success(to_digest(end.fingerprint));
    }
    return to_messages(scheduler_.release_slot(end.ended, now), now);
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
    return to_messages(scheduler_.tick(now), now);
}

std::vector<addressed_message> fleet_placement::to_messages(const slot_decisions& decisions,
                                                            core::time_point now)
{
    std::vector<addressed_message> result;
    const auto on_grant = [&](const slot_grant& grant) {
        result.push_back({grant.key.instance,
                          slot_reply{grant.key.number, slot_granted{grant.target, grant.address}}});
    };
    const auto on_refusal = [&](const slot_rejection& refusal) {
        const slot_reply reply{refusal.key.number,
                               slot_denied{to_refusal(refusal.reason), refusal.retry_after}};
        const auto known = calls_.find(refusal.key);
        if (known != calls_.end()) {
            known->second.refused = reply;
            // The request has not run and is charged again if it returns.
            limits_.refund(known->second.team, now);
        }
        result.push_back({refusal.key.instance, reply});
    };
    const auto on_yield = [&](const slot_preemption& yield) {
        result.push_back({yield.key.instance, yield_order{yield.key.number}});
    };
    for (const slot_decision& decision : decisions) {
        std::visit(core::visitors{on_grant, on_refusal, on_yield}, decision);
    }
    return result;
}

} // namespace gooseberryfall::serving
