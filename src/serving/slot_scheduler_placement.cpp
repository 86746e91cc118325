// How `slot_scheduler` chooses the target of a request, and the batch run that yields to it.

#include "serving/slot_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace gooseberryfall::serving {

namespace {

/// Expected delay, in milliseconds, of a request by the other runs at a target whose slots are all
/// in use but one: about the usual time to the first event. A power of two, so that targets of
/// equal speed compare exactly as by their load alone.
constexpr double full_load_delay = 64.0;
/// Delay that is saved by a cached prompt prefix: load of a fifth of the slots is accepted for it.
constexpr double prefix_bonus = 0.2 * full_load_delay;
/// Delay that is saved in the same data centre: one of the usual eight slots. This is more than the
/// difference of the latencies (0.9 and 0.2 ms), since callers wait for several round trips.
constexpr double data_centre_bonus = 0.125 * full_load_delay;
/// Delay that is saved by an idle connection: four of the usual eight slots, because a new
/// connection costs a round trip before the request is sent.
constexpr double connection_bonus = 0.5 * full_load_delay;
/// Cost of a target that names a rate limit or is cold: that of a full one, so that the others are
/// used first.
constexpr double rate_limit_cost = 1.0 * full_load_delay;

/// Whether a request may use a target's rate limit.
bool may_use(const target_allowance& rate, rate_use use, core::time_point now)
{
    return use == rate_use::all ? rate.allows(now) : rate.has_surplus(now);
}

bool contains(const std::vector<core::target_id>& list, const core::target_id& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

slot_scheduler::target_state* slot_scheduler::choose_target(service_pool& pool,
                                                            const slot_request& request,
                                                            core::time_point due_at,
                                                            core::time_point now, rate_use use)
{
    const std::uint64_t memory = memory_of(request);
    const usual_times usual = usual_times_of(pool, request.tokens);
    const std::vector<core::target_id> connected =
        connections_.targets_of(request.key.instance, now);
    target_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (auto& [id, target] : pool.targets) {
        if (contains(request.excluded, id) || free_slots(pool, target, now) == 0 ||
            !may_use(target.rate, use, now) || !target.memory.fits(memory)) {
            continue;
        }
        if (target.memory.exceeds_all(memory)) {
            const auto used = static_cast<double>(target.memory.used());
            if (best == nullptr || used < best_cost) {
                best_cost = used;
                best = &target;
            }
            continue;
        }
        double cost = static_cast<double>(target.running) / target.entry.slots * full_load_delay *
                      target.speed.first_event_factor(now);
        cost += speed_cost(usual, target, request, due_at, now);
        cost += target.rate.is_limited() ? rate_limit_cost : 0.0;
        for (const std::uint64_t prefix : request.prefixes) {
            cost -= target.prefixes.contains(prefix) ? prefix_bonus : 0;
        }
        const bool has_connection = std::binary_search(connected.begin(), connected.end(), id);
        cost -= has_connection ? connection_bonus : 0;
        cost -= target.entry.data_centre == request.data_centre ? data_centre_bonus : 0;
        if (cost < best_cost) {
            best_cost = cost;
            best = &target;
        }
    }
    return best;
}

std::optional<run_key> slot_scheduler::choose_victim(const service_pool& pool,
                                                     const slot_request& request,
                                                     core::time_point now, rate_use use) const
{
    std::optional<run_key> victim;
    // Runs that cannot meet their due time have lost most of their value and are preempted first,
    // then the run that is due last. With round robin, all items would reach their due times
    // unfinished.
    std::tuple<bool, bool, bool, core::time_point, core::duration> last(
        false, false, false, core::time_point::min(), core::duration::zero());
    const std::uint64_t memory = memory_of(request);
    for (const auto& [key, run] : runs_) {
        if (run.kind != work_kind::batch || run.preempted || run.service != request.service ||
            contains(request.excluded, run.target)) {
            continue;
        }
        const auto target = pool.targets.find(run.target);
        const bool reachable =
            target != pool.targets.end() && target->second.health.available(now) &&
            !target->second.health.on_probation() && may_use(target->second.rate, use, now) &&
            target->second.memory.fits(memory);
        const core::duration slack_left = slack(pool, run, now);
        const bool late = run.deferred || slack_left < core::duration::zero();
        if (!reachable || (!late && slack_left < settings_.preemption_margin)) {
            continue;
        }
        const core::duration needed = remaining(pool, run, now);
        const std::tuple rank(late, needed > settings_.nearly_done_max,
                              !is_slow(target->second, now), run.due_at, needed);
        if (rank > last) {
            last = rank;
            victim = key;
        }
    }
    return victim;
}

slot_scheduler::placement slot_scheduler::choose_placement(service_pool& pool,
                                                           const slot_request& request,
                                                           core::time_point now)
{
    const bool online = request.kind == work_kind::online;
    for (const rate_use use : {rate_use::surplus, rate_use::all}) {
        if (use == rate_use::all && !pool.has_rate_limits) {
            break;
        }
        if (target_state* target =
                choose_target(pool, request, now + request.time_to_deadline, now, use)) {
            if (online && is_slow(*target, now) &&
                expected_first_event_delay(pool, *target, now) > request.time_to_objective) {
                const auto victim = choose_victim(pool, request, now, use);
                target_state* other = victim ? &pool.targets.at(runs_.at(*victim).target) : nullptr;
                if (other != nullptr && !is_slow(*other, now)) {
                    return {other, victim};
                }
            }
            return {target, std::nullopt};
        }
        if (!online) {
            continue;
        }
        if (const auto victim = choose_victim(pool, request, now, use)) {
            return {&pool.targets.at(runs_.at(*victim).target), victim};
        }
    }
    return {};
}

bool slot_scheduler::try_place(service_pool& pool, const slot_request& request,
                               core::time_point now, slot_decisions& out)
{
    const placement chosen = choose_placement(pool, request, now);
    if (chosen.target == nullptr) {
        return false;
    }
    if (chosen.victim) {
        preempt(pool, *chosen.victim, now, out);
    }
    grant(*chosen.target, request, now + request.time_to_deadline, now, out);
    return true;
}

void slot_scheduler::preempt(service_pool& pool, const run_key& victim, core::time_point now,
                             slot_decisions& out)
{
    active_run& run = runs_.at(victim);
    run.preempted = true;
    if (now < run.granted_at + expected_first_event_delay(pool)) {
        pool.early_preemptions.push_back(now);
    }
    // Its memory stays charged until its instance has released it, since the target would preempt
    // a request that arrives before that.
    --pool.targets.at(run.target).running;
    out.emplace_back(slot_preemption{victim});
}

} // namespace gooseberryfall::serving
