// Which waiting requests `slot_scheduler` starts next, and which it rejects.

#include "serving/slot_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace gooseberryfall::serving {

using std::chrono::milliseconds;

void slot_scheduler::reject_infeasible(const core::service_id& service, service_pool& pool,
                                       core::time_point now, slot_decisions& out)
{
    std::erase_if(pool.batch, [&](const queued_request& queued) {
        return now - queued.requested_at > settings_.batch_request_ttl;
    });
    if (pool.online.empty()) {
        return;
    }
    sort_by_share(pool);
    const std::vector<core::duration> waits = slot_waits(pool, service, now);
    std::vector<queued_request> retained;
    for (queued_request& queued : pool.online) {
        const core::duration wait =
            targets_known_ ? predicted_wait(pool, waits, retained.size()) : core::duration::zero();
        if (now + wait > last_start(pool, queued) || now >= queued.deadline) {
            reject_waiting(pool, queued, share_refusal::waited, now, out);
            continue;
        }
        retained.push_back(std::move(queued));
    }
    pool.online = std::move(retained);
}

void slot_scheduler::reject_expiring_items(service_pool& pool, core::time_point now,
                                           slot_decisions& out)
{
    if (!targets_known_) {
        return;
    }
    std::erase_if(pool.batch, [&](const queued_request& queued) {
        if (!expires_during_run(pool, queued, now)) {
            return false;
        }
        out.emplace_back(slot_rejection{queued.request.key, slot_rejection_reason::overloaded, {}});
        pool.batch_shares.refuse(queued.team, share_refusal::waited,
                                 expected_duration(pool, queued.request.tokens), now);
        return true;
    });
}

slot_scheduler::queued_request* slot_scheduler::next_online(service_pool& pool,
                                                            core::time_point now, bool late)
{
    const core::duration first_event = expected_first_event_delay(pool);
    queued_request* best = nullptr;
    for (queued_request& queued : pool.online) {
        const bool is_late = now + first_event > queued.objective_at;
        if (is_late != late) {
            continue;
        }
        const auto rank = [&pool](const queued_request& entry) {
            return std::tuple(pool.online_shares.virtual_time(entry.team), !entry.request.is_retry,
                              entry.objective_at);
        };
        if (best == nullptr || rank(queued) < rank(*best)) {
            best = &queued;
        }
    }
    return best;
}

slot_scheduler::queued_request* slot_scheduler::next_batch(service_pool& pool, core::time_point now,
                                                           bool urgent_only)
{
    // Items that would expire during their run come after all others, since their run is wasted.
    // Items that cannot meet their due time have lost most of their value and run last. The others
    // run in order of their due times; urgent items are placed by an earlier call with
    // `urgent_only`.
    queued_request* best = nullptr;
    std::tuple<bool, bool, double, core::time_point, core::duration> best_rank;
    for (queued_request& queued : pool.batch) {
        if (pool.overloaded && queued.unplanned) {
            // It may be an item that was deferred a moment ago and has been requested again.
            continue;
        }
        if (now < queued.held_until) {
            continue;
        }
        const core::duration slack_left = slack(pool, queued, now);
        const bool expires = expires_during_run(pool, queued, now);
        const bool late = queued.deferred || slack_left < core::duration::zero();
        if (urgent_only && (expires || late || slack_left > settings_.urgent_margin)) {
            continue;
        }
        // While all items fit, due times alone decide.
        const bool by_share = pool.overloaded && !urgent_only;
        const double received = by_share ? pool.batch_shares.virtual_time(queued.team) : 0.0;
        const std::tuple rank(expires, late, received, queued.deadline,
                              expected_duration(pool, queued.request.tokens));
        if (best == nullptr || rank < best_rank) {
            best = &queued;
            best_rank = rank;
        }
    }
    return best;
}

void slot_scheduler::plan_batch(const core::service_id& service, service_pool& pool,
                                core::time_point now)
{
    const bool has_new_items =
        std::any_of(pool.batch.begin(), pool.batch.end(),
                    [](const queued_request& queued) { return queued.unplanned; });
    const auto elapsed = now - pool.planned_at;
    if (elapsed < settings_.plan_interval && !(pool.overloaded && has_new_items)) {
        return;
    }
    std::vector<team_task> tasks;
    std::vector<bool*> deferred;
    std::size_t online = 0;
    for (auto& [key, run] : runs_) {
        if (run.service != service || run.preempted) {
            continue;
        }
        if (run.kind == work_kind::online) {
            ++online;
            continue;
        }
        tasks.push_back({{remaining(pool, run, now), run.due_at}, run.team});
        deferred.push_back(&run.deferred);
    }
    for (queued_request& waiting : pool.batch) {
        tasks.push_back(
            {{expected_duration(pool, waiting.request.tokens), waiting.deadline}, waiting.team});
        deferred.push_back(&waiting.deferred);
        waiting.unplanned = false;
    }
    const double weight = std::clamp(
        std::chrono::duration<double>(elapsed) / settings_.online_average_window, 0.0, 1.0);
    pool.online_slots += (static_cast<double>(online) - pool.online_slots) * weight;
    pool.planned_at = now;
    const double slots = usable_slots(pool, now);
    const std::vector<bool> chosen = select_feasible_by_team(
        tasks, pool.batch_shares,
        std::max(slots * settings_.batch_share_min, slots - pool.online_slots), now);
    pool.overloaded = false;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        *deferred[index] = !chosen[index];
        pool.overloaded = pool.overloaded || !chosen[index];
    }
}

bool slot_scheduler::has_room_for_batch(service_pool& pool, core::time_point now) const
{
    while (!pool.early_preemptions.empty() &&
           pool.early_preemptions.front() + settings_.early_preemption_window <= now) {
        pool.early_preemptions.pop_front();
    }
    if (pool.early_preemptions.empty()) {
        return true;
    }
    std::size_t free = 0;
    for (const auto& [id, target] : pool.targets) {
        free += free_slots(pool, target, now);
    }
    return free > pool.early_preemptions.size();
}

void slot_scheduler::fill_free_slots(service_pool& pool, core::time_point now, slot_decisions& out)
{
    const auto place_online = [&](queued_request* queued) {
        if (queued == nullptr) {
            return false;
        }
        slot_request request = queued->request;
        request.time_to_deadline = std::chrono::duration_cast<milliseconds>(queued->deadline - now);
        const run_key key = request.key;
        if (!try_place(pool, request, now, out)) {
            return false;
        }
        std::erase_if(pool.online,
                      [&key](const queued_request& entry) { return entry.request.key == key; });
        return true;
    };
    const auto place_batch = [&](queued_request* queued, rate_use use) {
        if (queued == nullptr) {
            return false;
        }
        target_state* target = choose_target(pool, queued->request, queued->deadline, now, use);
        if (target == nullptr) {
            return false;
        }
        if (hold_for_faster_target(pool, *queued, *target, now)) {
            return true;
        }
        const run_key key = queued->request.key;
        grant(*target, queued->request, queued->deadline, now, out);
        std::erase_if(pool.batch,
                      [&key](const queued_request& entry) { return entry.request.key == key; });
        return true;
    };
    while (place_batch(next_batch(pool, now, true), rate_use::surplus)) {
    }
    while (place_online(next_online(pool, now, false))) {
    }
    if (next_online(pool, now, false) != nullptr) {
        return;
    }
    while (has_room_for_batch(pool, now) &&
           place_batch(next_batch(pool, now, false), rate_use::surplus)) {
    }
    while (place_online(next_online(pool, now, true))) {
    }
}

} // namespace gooseberryfall::serving
