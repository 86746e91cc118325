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

admission_rejection_reason to_refusal(slot_refusal_reason reason)
{
    return reason == slot_refusal_reason::no_target ? admission_rejection_reason::no_target
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

fleet_placement::fleet_placement(scheduler_settings settings, double limit_share)
    : slots_(settings), limits_(limit_share), crashes_(core::quarantine_settings{})
{
}

void fleet_placement::set_state(const desired_state& state, core::time_point now)
{
    std::map<core::team_id, team_limit> limits;
    for (const customer_team& team : state.teams) {
        limits[team.id] = {team.rate, team.burst};
    }
    limits_.set(limits, now);
}

void fleet_placement::set_targets(const std::vector<target_entry>& targets)
{
    slots_.set_targets(targets);
}

void fleet_placement::restart(const limit_tolerance& tolerance, core::time_point now)
{
    slots_.clear_work();
    limits_.restart(tolerance, now);
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

std::optional<fleet_placement::denied_team> fleet_placement::team_of(const run_key& key) const
{
    const auto known = calls_.find(key);
    if (known == calls_.end()) {
        return std::nullopt;
    }
    const auto bucket = limits_.state_of(known->second.team);
    return denied_team{known->second.team, bucket.value_or(team_limits::bucket_state())};
}

std::vector<addressed_message> fleet_placement::on_call(const admission_request& call,
                                                        core::time_point now)
{
    const run_key& key = call.slot.key;
    const auto known = calls_.find(key);
    if (known != calls_.end() && known->second.refused) {
        return {{key.instance, *known->second.refused}};
    }
    if (known == calls_.end() && call.slot.kind == work_kind::online) {
        known_call& entry = remember(key, call.team);
        const core::digest fingerprint = to_digest(call.fingerprint);
        if (crashes_.rule(fingerprint, now) == core::quarantine_ruling::refuse) {
            const auto delay =
                std::chrono::ceil<milliseconds>(crashes_.remaining(fingerprint, now));
            entry.refused = admission_reply{
                key.number, admission_rejected{admission_rejection_reason::crashes_targets, delay}};
            return {{key.instance, *entry.refused}};
        }
        const bool within_rate = limits_.take(call.team, now);
        const bool admitted =
            within_rate || (slots_.can_place(call.slot, now) && limits_.take_spare(call.team, now));
        if (!admitted) {
            const milliseconds delay = limits_.plan_return(call.team, now, patience_of(call.slot));
            entry.refused = admission_reply{
                key.number, admission_rejected{admission_rejection_reason::over_limit, delay}};
            return {{key.instance, *entry.refused}};
        }
    }
    std::vector<addressed_message> result = to_messages(slots_.ask(call.slot, now), now);
    if (result.empty()) {
        result.push_back({key.instance, admission_pending{key.number}});
    }
    return result;
}

std::vector<addressed_message> fleet_placement::on_end(const slot_release& end,
                                                       core::time_point now)
{
    const bool died = end.run_result.outcome == slot_outcome::broken ||
                      end.run_result.outcome == slot_outcome::silent;
    if (end.fingerprint != 0 && died) {
        crashes_.on_death(to_digest(end.fingerprint), false, now);
    }
    if (end.fingerprint != 0 && end.run_result.outcome == slot_outcome::completed) {
        crashes_.on_success(to_digest(end.fingerprint));
    }
    return to_messages(slots_.give_back(end.run_result, now), now);
}

std::vector<addressed_message> fleet_placement::on_report(const core::instance_id& from,
                                                          const std::vector<reported_run>& runs,
                                                          core::time_point now)
{
    return to_messages(slots_.reconcile(from, runs, now), now);
}

std::vector<addressed_message> fleet_placement::forget_instance(const core::instance_id& instance,
                                                                core::time_point now)
{
    return to_messages(slots_.forget_instance(instance, now), now);
}

std::vector<addressed_message> fleet_placement::tick(core::time_point now)
{
    return to_messages(slots_.tick(now), now);
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
    const auto on_refusal = [&](const slot_refusal& refusal) {
        const admission_reply reply{
            refusal.key.number,
            admission_rejected{to_refusal(refusal.reason), refusal.retry_after}};
        const auto known = calls_.find(refusal.key);
        if (known != calls_.end()) {
            known->second.refused = reply;
            // The request has not run and is charged again if it returns.
            limits_.give_back(known->second.team, now);
        }
        result.push_back({refusal.key.instance, reply});
    };
    const auto on_yield = [&](const slot_yield& yield) {
        result.push_back({yield.key.instance, preemption_order{yield.key.number}});
    };
    for (const slot_decision& decision : decisions) {
        std::visit(core::visitors{on_grant, on_refusal, on_yield}, decision);
    }
    return result;
}

} // namespace gooseberryfall::serving
