// The parts of `slot_scheduler` that follow from the speed and the memory of single targets.

#include "serving/slot_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

namespace {

core::duration multiply(core::duration time, double factor)
{
    return factor == 1 ? time
                       : std::chrono::duration_cast<core::duration>(
                             std::chrono::duration<double, core::duration::period>(time) * factor);
}

double to_milliseconds(core::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Largest preference of a batch item for a slow target on which it ends in time, in milliseconds:
/// the cost of a full target, as in slot_scheduler_placement.cpp.
constexpr double slow_target_bonus_max = 64.0;

} // namespace

void slot_scheduler::set_target_memory(const std::map<core::service_id, std::uint64_t>& tokens)
{
    for (const auto& [service, capacity] : tokens) {
        pool_for(service);
    }
    for (auto& [service, pool] : pools_) {
        const auto found = tokens.find(service);
        pool.memory_capacity = found == tokens.end() ? 0 : found->second;
        for (auto& [id, target] : pool.targets) {
            target.memory.set_capacity(pool.memory_capacity);
        }
    }
}

core::duration slot_scheduler::expected_first_event_delay(const service_pool& pool,
                                                          const target_state& target,
                                                          core::time_point now) const
{
    return multiply(expected_first_event_delay(pool), target.speed.first_event_factor(now));
}

core::duration slot_scheduler::expected_duration(const service_pool& pool,
                                                 const target_state& target, std::uint32_t tokens,
                                                 core::time_point now) const
{
    const core::duration first_event = expected_first_event_delay(pool);
    const core::duration generation = expected_duration(pool, tokens) - first_event;
    return multiply(first_event, target.speed.first_event_factor(now)) +
           multiply(generation, target.speed.token_factor(now));
}

bool slot_scheduler::is_slow(const target_state& target, core::time_point now) const
{
    return target.speed.token_factor(now) >= settings_.slow_factor ||
           target.speed.first_event_factor(now) >= settings_.slow_factor;
}

slot_scheduler::usual_times slot_scheduler::usual_times_of(const service_pool& pool,
                                                           std::uint32_t tokens) const
{
    const core::duration first_event = expected_first_event_delay(pool);
    return {to_milliseconds(first_event),
            to_milliseconds(expected_duration(pool, tokens) - first_event)};
}

double slot_scheduler::speed_cost(const usual_times& usual, const target_state& target,
                                  const slot_request& request, core::time_point due_at,
                                  core::time_point now) const
{
    const double first_event_factor = target.speed.first_event_factor(now);
    const double token_factor = target.speed.token_factor(now);
    if (first_event_factor == 1 && token_factor == 1) {
        return 0;
    }
    const double first_event_extra = usual.first_event * (first_event_factor - 1);
    const double generation_extra = usual.generation * (token_factor - 1);
    if (request.kind == work_kind::online) {
        // An idle target is measured again after a while, at the cost of one request.
        if (target.running == 0 && target.speed.needs_probe(now)) {
            return 0;
        }
        return first_event_extra + settings_.online_length_weight * generation_extra;
    }
    const double extra = first_event_extra + generation_extra;
    const double duration = usual.first_event + usual.generation + extra;
    return duration <= to_milliseconds(due_at - now)
               ? -std::clamp(extra, -slow_target_bonus_max, slow_target_bonus_max)
               : extra;
}

bool slot_scheduler::hold_for_faster_target(const service_pool& pool, queued_request& queued,
                                            const target_state& chosen, core::time_point now) const
{
    const std::uint32_t tokens = queued.request.tokens;
    const core::duration here = expected_duration(pool, chosen, tokens, now);
    const core::duration usual = expected_duration(pool, tokens);
    // Online requests have precedence for the next slot.
    if (!pool.online.empty() || here <= usual || now + here <= queued.deadline) {
        return false;
    }
    std::uint32_t running = 0;
    for (const auto& [id, target] : pool.targets) {
        running += is_slow(target, now) || !usable(pool, target, now) ? 0 : target.running;
    }
    if (running == 0) {
        return false;
    }
    const core::duration wait = mean_online_duration(pool) / running;
    if (wait + usual >= here) {
        return false;
    }
    queued.held_until = now + settings_.fast_target_wait;
    return true;
}

std::uint64_t slot_scheduler::memory_of(const slot_request& request)
{
    return std::uint64_t{request.prompt_tokens} + request.tokens;
}

void slot_scheduler::estimate_size(const service_pool& pool, target_state& target, active_run& run)
{
    target.memory.release(run.memory);
    run.size_estimated = true;
    run.tokens = static_cast<std::uint32_t>(pool.request_tokens);
    const std::uint64_t fallback = target.memory.capacity() / std::max(1U, target.entry.slots);
    run.memory =
        pool.request_memory > 0 ? static_cast<std::uint64_t>(pool.request_memory) : fallback;
    target.memory.charge(run.memory);
}

void slot_scheduler::estimate_sizes()
{
    for (auto& [key, run] : runs_) {
        if (!run.size_estimated) {
            continue;
        }
        service_pool& pool = pool_for(run.service);
        const auto target = pool.targets.find(run.target);
        if (target != pool.targets.end()) {
            estimate_size(pool, target->second, run);
        }
    }
}

} // namespace gooseberryfall::serving
