// How `slot_scheduler` divides the slots among teams.

#include "serving/slot_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::serving {

using std::chrono::milliseconds;

slot_scheduler::service_pool& slot_scheduler::pool_for(const core::service_id& service)
{
    const auto [position, added] = pools_.try_emplace(service);
    if (added) {
        position->second.online_shares.set_weights(team_weights_);
        position->second.batch_shares.set_weights(team_weights_);
    }
    return position->second;
}

void slot_scheduler::set_team_weights(const std::map<core::team_id, double>& weights)
{
    team_weights_ = weights;
    for (auto& [service, pool] : pools_) {
        pool.online_shares.set_weights(weights);
        pool.batch_shares.set_weights(weights);
    }
}

std::vector<slot_scheduler::service_shares> slot_scheduler::report_shares(core::time_point now)
{
    std::vector<service_shares> result;
    for (auto& [service, pool] : pools_) {
        const double slots = usable_slots(pool, now);
        for (const work_kind kind : {work_kind::online, work_kind::batch}) {
            const double available =
                kind == work_kind::online
                    ? slots
                    : std::max(slots * settings_.batch_share_min, slots - pool.online_slots);
            result.push_back({service, kind, shares_of(pool, kind).report(available, now)});
        }
    }
    return result;
}

void slot_scheduler::count_start(service_pool& pool, const slot_request& request, active_run& run,
                                 core::time_point now)
{
    fair_shares& shares = shares_of(pool, request.kind);
    run.team = shares.index_of(request.team);
    run.work = expected_duration(pool, request.tokens);
    // A batch item is queued before its slot is chosen, even when slots are free.
    run.contended =
        request.kind == work_kind::online ? !pool.online.empty() : pool.batch.size() > 1;
    shares.start(run.team, run.work, run.contended, now);
}

void slot_scheduler::queue_online(service_pool& pool, queued_request queued, core::time_point now,
                                  slot_decisions& out)
{
    const std::vector<core::duration> waits = slot_waits(pool, queued.request.service, now);
    const auto is_in_time = [&](const queued_request& entry, std::size_t ahead) {
        const core::duration wait =
            targets_known_ ? predicted_wait(pool, waits, ahead) : core::duration::zero();
        return now + wait <= last_start(pool, entry);
    };
    core::duration own_work = expected_duration(pool, queued.request.tokens);
    std::size_t ahead = 0;
    for (const queued_request& other : pool.online) {
        if (other.team == queued.team) {
            own_work += expected_duration(pool, other.request.tokens);
            ++ahead;
        }
    }
    queued.share_position = pool.online_shares.virtual_time_after(queued.team, own_work);
    if (is_in_time(queued, pool.online.size())) {
        pool.online.push_back(std::move(queued));
        return;
    }
    for (const queued_request& other : pool.online) {
        const bool first =
            other.team != queued.team && other.share_position <= queued.share_position;
        ahead += first ? 1 : 0;
    }
    const auto refuse = [&] {
        pool.online_shares.refuse(queued.team, share_refusal::arrival,
                                  expected_duration(pool, queued.request.tokens), now);
        reject(pool, queued.request, now, slot_rejection_reason::overloaded, out);
    };
    if (ahead >= pool.online.size() || !is_in_time(queued, ahead)) {
        refuse();
        return;
    }
    // The last one belongs to the team that has received, and waits for, the most.
    const auto last =
        std::max_element(pool.online.begin(), pool.online.end(), [](const auto& a, const auto& b) {
            return std::pair(a.share_position, a.objective_at) <
                   std::pair(b.share_position, b.objective_at);
        });
    if (is_in_time(*last, pool.online.size())) {
        pool.online.push_back(std::move(queued));
        return;
    }
    if (queued.request.is_retry && !last->request.is_retry) {
        // A retry displaces no first attempt.
        refuse();
        return;
    }
    reject_waiting(pool, *last, share_refusal::displaced, now, out);
    *last = std::move(queued);
}

void slot_scheduler::reject_waiting(service_pool& pool, const queued_request& queued,
                                    share_refusal reason, core::time_point now, slot_decisions& out)
{
    pool.online_shares.refuse(queued.team, reason, expected_duration(pool, queued.request.tokens),
                              now);
    slot_request request = queued.request;
    request.time_to_deadline = std::chrono::duration_cast<milliseconds>(queued.deadline - now);
    reject(pool, request, now, slot_rejection_reason::overloaded, out);
}

void slot_scheduler::sort_by_share(service_pool& pool) const
{
    std::sort(pool.online.begin(), pool.online.end(),
              [](const auto& a, const auto& b) { return a.objective_at < b.objective_at; });
    std::map<fair_shares::team_index, core::duration> work;
    for (queued_request& queued : pool.online) {
        core::duration& own = work[queued.team];
        own += expected_duration(pool, queued.request.tokens);
        queued.share_position = pool.online_shares.virtual_time_after(queued.team, own);
    }
    if (work.size() > 1) {
        std::stable_sort(pool.online.begin(), pool.online.end(), [](const auto& a, const auto& b) {
            return a.share_position < b.share_position;
        });
    }
}

} // namespace gooseberryfall::serving
