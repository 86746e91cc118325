#include "serving/slot_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

/// Weight of the previous value in the running averages of a service.
constexpr double average_decay = 0.95;
/// Least number of usable slots for the interval at which slots become free.
constexpr double usable_slots_min = 0.1;
/// Duration of an online request, until it has been measured.
constexpr core::duration default_online_duration = std::chrono::seconds(1);
/// Lower bound of a run's expected remaining time, however long it has lasted.
constexpr milliseconds remaining_min{20};
/// Callers observe a retry delay of at most the time to their deadline divided by this.
constexpr int retry_delay_divisor = 3;
/// Time for a grant to reach its instance and to appear in that instance's report.
constexpr milliseconds grant_round_trip{350};

core::duration from_milliseconds(double value)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(value));
}

void update_average(double& average, double sample)
{
    average = average == 0 ? sample : average * average_decay + sample * (1 - average_decay);
}

core::time_point expiry_of(const slot_request& request, core::time_point now)
{
    return request.time_to_expiry ? now + *request.time_to_expiry : core::time_point::max();
}

} // namespace

milliseconds retry_delay_max(const slot_request& request)
{
    return request.time_to_deadline / retry_delay_divisor;
}

bool slot_scheduler::can_place(const slot_request& request, core::time_point now)
{
    service_pool& pool = pool_for(request.service);
    return pool.online.empty() && choose_placement(pool, request, now).target != nullptr;
}

void slot_scheduler::set_targets(const std::vector<target_entry>& targets, core::time_point now)
{
    targets_known_ = true;
    std::map<core::service_id, std::set<core::target_id>> present;
    for (const target_entry& entry : targets) {
        present[entry.service].insert(entry.id);
        service_pool& pool = pool_for(entry.service);
        const auto [position, added] = pool.targets.try_emplace(entry.id);
        target_state& state = position->second;
        const bool restarted = !added && (state.entry.started_at != entry.started_at ||
                                          state.entry.address != entry.address);
        if (added || restarted) {
            state.health = target_health(settings_.health);
            state.speed = target_speed(settings_.speed);
            state.prefixes.clear();
            state.rate = target_allowance();
        }
        state.entry = entry;
        const auto cold = cold_rates_.find(entry.service);
        state.rate.set(entry.rate_limit, rate_share_,
                       cold == cold_rates_.end() ? std::nullopt : std::optional(cold->second),
                       entry.cold, now);
        state.memory.set_capacity(pool.memory_capacity);
        if (added) {
            state.running = 0;
            for (const auto& [key, existing] : runs_) {
                const bool is_here = existing.target == entry.id;
                state.running += is_here && !existing.preempted ? 1 : 0;
                state.memory.charge(is_here ? existing.memory : 0);
            }
        }
    }
    for (auto& [service, pool] : pools_) {
        const auto& retained = present[service];
        std::erase_if(pool.targets,
                      [&](const auto& entry) { return !retained.contains(entry.first); });
        pool.has_rate_limits =
            std::any_of(pool.targets.begin(), pool.targets.end(),
                        [](const auto& entry) { return entry.second.rate.is_limited(); });
    }
}

core::duration slot_scheduler::expected_first_event_delay(const service_pool& pool) const
{
    return pool.first_event_delay == 0 ? core::duration(settings_.default_first_event_delay)
                                       : from_milliseconds(pool.first_event_delay);
}

core::duration slot_scheduler::expected_duration(const service_pool& pool,
                                                 std::uint32_t tokens) const
{
    const double token_time = pool.token_time == 0 ? settings_.default_token_time : pool.token_time;
    return expected_first_event_delay(pool) + from_milliseconds(token_time * tokens);
}

core::duration slot_scheduler::remaining(const service_pool& pool, const active_run& run,
                                         core::time_point now) const
{
    const auto target = pool.targets.find(run.target);
    const core::duration duration = target == pool.targets.end()
                                        ? expected_duration(pool, run.tokens)
                                        : expected_duration(pool, target->second, run.tokens, now);
    const core::duration estimate = run.granted_at + duration - now;
    return std::max<core::duration>(estimate, remaining_min);
}

core::duration slot_scheduler::slack(const service_pool& pool, const active_run& run,
                                     core::time_point now) const
{
    return run.due_at - now - remaining(pool, run, now);
}

core::duration slot_scheduler::slack(const service_pool& pool, const queued_request& queued,
                                     core::time_point now) const
{
    return queued.deadline - now - expected_duration(pool, queued.request.tokens);
}

bool slot_scheduler::expires_during_run(const service_pool& pool, const queued_request& queued,
                                        core::time_point now) const
{
    const std::chrono::duration<double> duration = expected_duration(pool, queued.request.tokens);
    return queued.expires_at - now < duration * settings_.expiry_margin_factor;
}

bool slot_scheduler::usable(const service_pool& pool, const target_state& target,
                            core::time_point now) const
{
    if (target.health.available(now)) {
        return true;
    }
    if (!target.health.paused_for_failure_rate(now)) {
        return false;
    }
    // A high failure rate at many targets is more likely caused by the requests or the network, so
    // only a limited fraction of the targets is paused for it.
    const auto failure_paused =
        std::count_if(pool.targets.begin(), pool.targets.end(),
                      [&](const auto& t) { return t.second.health.paused_for_failure_rate(now); });
    return static_cast<double>(failure_paused) >
           settings_.failure_paused_share_max * static_cast<double>(pool.targets.size());
}

std::uint32_t slot_scheduler::slots_of(const target_state& target)
{
    return target.health.on_probation() ? 1 : target.entry.slots;
}

std::uint32_t slot_scheduler::free_slots(const service_pool& pool, const target_state& target,
                                         core::time_point now) const
{
    if (!usable(pool, target, now) || !target.rate.allows(now)) {
        return 0;
    }
    const std::uint32_t slots = slots_of(target);
    return slots > target.running ? slots - target.running : 0;
}

core::duration slot_scheduler::mean_online_duration(const service_pool& pool) const
{
    return pool.online_duration == 0 ? default_online_duration
                                     : from_milliseconds(pool.online_duration);
}

double slot_scheduler::usable_slots(const service_pool& pool, core::time_point now) const
{
    double total = 0;
    for (const auto& [id, target] : pool.targets) {
        total += usable(pool, target, now) ? busy_slots_max(pool, target) : 0;
    }
    return total;
}

double slot_scheduler::busy_slots_max(const service_pool& pool, const target_state& target) const
{
    const double slots = target.entry.slots;
    if (!target.rate.is_limited()) {
        return slots;
    }
    const std::chrono::duration<double> duration = mean_online_duration(pool);
    return std::min(slots, target.rate.rate() * duration.count());
}

void slot_scheduler::count_foreign_request(const core::target_id& target, core::time_point now)
{
    for (auto& [service, pool] : pools_) {
        const auto found = pool.targets.find(target);
        if (found != pool.targets.end()) {
            found->second.rate.take(now);
        }
    }
}

void slot_scheduler::grant(target_state& target, const slot_request& request,
                           core::time_point due_at, core::time_point now, slot_decisions& out)
{
    active_run run;
    run.target = target.entry.id;
    run.service = request.service;
    run.kind = request.kind;
    run.tokens = request.tokens;
    run.memory = memory_of(request);
    run.load_at_grant = static_cast<double>(target.running) / target.entry.slots;
    run.granted_at = now;
    run.reported_at = now;
    run.due_at = due_at;
    count_start(pool_for(request.service), request, run, now);
    runs_[request.key] = run;
    ++target.running;
    target.memory.charge(run.memory);
    service_pool& pool = pool_for(request.service);
    update_average(pool.request_tokens, static_cast<double>(run.tokens));
    update_average(pool.request_memory, static_cast<double>(run.memory));
    target.rate.take(now);
    for (const std::uint64_t prefix : request.prefixes) {
        target.prefixes.use(prefix);
    }
    connections_.take(request.key.instance, target.entry.id);
    out.emplace_back(slot_grant{request.key, target.entry.id, target.entry.address});
}

void slot_scheduler::reject(service_pool& pool, const slot_request& request, core::time_point now,
                            slot_rejection_reason reason, slot_decisions& out)
{
    const double slots = std::max(usable_slots_min, usable_slots(pool, now));
    const auto interval = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(mean_online_duration(pool)) / slots);
    const milliseconds delay = pool.retries.next_delay(now, interval, retry_delay_max(request));
    out.emplace_back(slot_rejection{request.key, reason, delay});
}

core::time_point slot_scheduler::last_start(const service_pool& pool,
                                            const queued_request& queued) const
{
    return queued.request.is_retry ? queued.objective_at + settings_.retry_lateness_max
                                   : queued.objective_at - expected_first_event_delay(pool);
}

std::vector<core::duration> slot_scheduler::slot_waits(const service_pool& pool,
                                                       const core::service_id& service,
                                                       core::time_point now) const
{
    std::vector<core::duration> waits;
    std::map<core::target_id, std::vector<core::duration>> limited_runs;
    for (const auto& [key, run] : runs_) {
        if (run.service != service || run.preempted) {
            continue;
        }
        const auto target = pool.targets.find(run.target);
        if (target == pool.targets.end() || !usable(pool, target->second, now)) {
            continue;
        }
        const bool limited = target->second.rate.is_limited();
        (limited ? limited_runs[run.target] : waits).push_back(remaining(pool, run, now));
    }
    for (const auto& [id, target] : pool.targets) {
        if (!target.rate.is_limited() || !usable(pool, target, now)) {
            continue;
        }
        // Each slot waits for its run to end, if it has one, and for the rate to allow a request.
        std::vector<core::duration> runs = std::move(limited_runs[id]);
        runs.resize(std::max<std::size_t>(runs.size(), slots_of(target)));
        std::sort(runs.begin(), runs.end());
        for (std::size_t index = 0; index < runs.size(); ++index) {
            waits.push_back(std::max(runs[index], target.rate.next_at(index, now) - now));
        }
    }
    std::sort(waits.begin(), waits.end());
    return waits;
}

core::duration slot_scheduler::predicted_wait(const service_pool& pool,
                                              const std::vector<core::duration>& waits,
                                              std::size_t ahead) const
{
    if (waits.empty()) {
        return core::duration::max() / 4;
    }
    if (ahead >= waits.size()) {
        const auto queue_rounds = static_cast<std::int64_t>(ahead / waits.size());
        return expected_duration(pool, 0) * queue_rounds + waits.back();
    }
    return waits[ahead];
}

slot_decisions slot_scheduler::request_slot(const slot_request& request, core::time_point now)
{
    slot_decisions out;
    const auto existing = runs_.find(request.key);
    if (existing != runs_.end()) {
        service_pool& pool = pool_for(existing->second.service);
        const auto target = pool.targets.find(existing->second.target);
        if (target != pool.targets.end() && !existing->second.preempted) {
            out.emplace_back(
                slot_grant{request.key, existing->second.target, target->second.entry.address});
            return out;
        }
        release(existing);
    }
    service_pool& pool = pool_for(request.service);
    auto& queue = request.kind == work_kind::online ? pool.online : pool.batch;
    const auto duplicate =
        std::find_if(queue.begin(), queue.end(), [&](const queued_request& queued) {
            return queued.request.key == request.key;
        });
    if (duplicate != queue.end()) {
        duplicate->requested_at = now;
        duplicate->deadline = now + request.time_to_deadline;
        duplicate->expires_at = expiry_of(request, now);
        return out;
    }
    if (pool.targets.empty() && targets_known_) {
        if (request.kind == work_kind::online) {
            reject(pool, request, now, slot_rejection_reason::no_target, out);
        }
        return out;
    }
    queued_request queued{request, now, now + request.time_to_objective,
                          now + request.time_to_deadline, expiry_of(request, now)};
    fair_shares& shares = shares_of(pool, request.kind);
    queued.team = shares.index_of(request.team);
    shares.arrive(queued.team, now);
    if (request.kind == work_kind::batch) {
        queue.push_back(std::move(queued));
        fill_free_slots(pool, now, out);
        return out;
    }
    // Queued requests have precedence for a free slot. A request that has already failed at some
    // targets is exempt, since it may only continue at other targets.
    const bool may_skip_queue = pool.online.empty() || !request.excluded.empty();
    if (may_skip_queue && try_place(pool, request, now, out)) {
        return out;
    }
    queue_online(pool, std::move(queued), now, out);
    return out;
}

bool slot_scheduler::is_waiting(const run_key& key) const
{
    return std::any_of(pools_.begin(), pools_.end(), [&key](const auto& entry) {
        const std::vector<queued_request>& queue = entry.second.online;
        return std::any_of(queue.begin(), queue.end(), [&key](const queued_request& queued) {
            return queued.request.key == key;
        });
    });
}

void slot_scheduler::withdraw(const run_key& key)
{
    const auto has_key = [&key](const queued_request& queued) { return queued.request.key == key; };
    for (auto& [service, pool] : pools_) {
        std::erase_if(pool.online, has_key);
        std::erase_if(pool.batch, has_key);
    }
}

void slot_scheduler::release(std::map<run_key, active_run>::iterator position)
{
    const active_run& run = position->second;
    auto& targets = pool_for(run.service).targets;
    const auto target = targets.find(run.target);
    if (target != targets.end()) {
        target->second.memory.release(run.memory);
        if (!run.preempted && target->second.running > 0) {
            --target->second.running;
        }
    }
    runs_.erase(position);
}

void slot_scheduler::record_measurements(service_pool& pool, const active_run& run,
                                         const slot_result& run_result, core::time_point now)
{
    if (run_result.outcome != slot_outcome::completed || !run_result.first_event_delay) {
        return;
    }
    update_average(pool.first_event_delay,
                   static_cast<double>(run_result.first_event_delay->count()));
    const milliseconds generation_time = run_result.duration - *run_result.first_event_delay;
    const std::uint32_t tokens = run.size_estimated ? 0 : run.tokens;
    if (tokens > 0) {
        update_average(pool.token_time, static_cast<double>(generation_time.count()) / tokens);
    }
    if (run.kind == work_kind::online) {
        update_average(pool.online_duration, static_cast<double>(run_result.duration.count()));
    }
    const auto target = pool.targets.find(run.target);
    if (target != pool.targets.end()) {
        // The run itself is still counted.
        const double beside = std::max(1U, target->second.running) - 1;
        const double load = (run.load_at_grant + beside / target->second.entry.slots) / 2;
        target->second.speed.record({*run_result.first_event_delay, generation_time, tokens, load},
                                    pool.usual_speed, now);
    }
}

slot_decisions slot_scheduler::release_slot(const slot_result& run_result, core::time_point now)
{
    slot_decisions out;
    withdraw(run_result.key);
    const auto found = runs_.find(run_result.key);
    if (found == runs_.end()) {
        return out;
    }
    const active_run run = found->second;
    service_pool& pool = pool_for(run.service);
    record_measurements(pool, run, run_result, now);
    shares_of(pool, run.kind).finish(run.team, run.work, run.contended, now - run.granted_at);
    if (run_result.outcome == slot_outcome::completed) {
        connections_.add(run_result.key.instance, run.target, now);
    }
    const auto target = pool.targets.find(run.target);
    if (target != pool.targets.end()) {
        target->second.health.record(run_result.outcome, run.granted_at, now);
    }
    release(found);
    fill_free_slots(pool, now, out);
    return out;
}

slot_decisions slot_scheduler::reconcile(const core::instance_id& instance,
                                         const std::vector<reported_run>& runs,
                                         core::time_point now)
{
    slot_decisions out;
    std::set<std::uint64_t> reported;
    for (const reported_run& entry : runs) {
        reported.insert(entry.number);
        const run_key key{instance, entry.number};
        auto existing = runs_.find(key);
        for (auto& [service, pool] : pools_) {
            const auto target = pool.targets.find(entry.target);
            if (target == pool.targets.end()) {
                continue;
            }
            if (entry.unresponsive) {
                target->second.health.record_unresponsive(now);
            }
            if (existing == runs_.end()) {
                active_run discovered;
                discovered.target = entry.target;
                discovered.service = service;
                discovered.kind = entry.kind;
                discovered.granted_at = now;
                // The due time is unknown; a late one allows the run to be preempted.
                discovered.due_at = now + std::chrono::seconds(10);
                estimate_size(pool, target->second, discovered);
                existing = runs_.emplace(key, discovered).first;
                ++target->second.running;
            }
        }
        if (existing != runs_.end()) {
            existing->second.reported_at = now;
        }
    }
    std::set<core::service_id> freed_services;
    const auto first = runs_.lower_bound(run_key{instance, 0});
    for (auto entry = first; entry != runs_.end() && entry->first.instance == instance;) {
        const auto current = entry++;
        const bool settled = now - current->second.granted_at > grant_round_trip;
        if (!reported.contains(current->first.number) && settled) {
            freed_services.insert(current->second.service);
            release(current);
        }
    }
    for (const core::service_id& service : freed_services) {
        fill_free_slots(pool_for(service), now, out);
    }
    return out;
}

slot_decisions slot_scheduler::remove_instance(const core::instance_id& instance,
                                               core::time_point now)
{
    slot_decisions out;
    connections_.remove_instance(instance);
    const auto first = runs_.lower_bound(run_key{instance, 0});
    for (auto entry = first; entry != runs_.end() && entry->first.instance == instance;) {
        release(entry++);
    }
    for (auto& [service, pool] : pools_) {
        const auto belongs_to_instance = [&instance](const queued_request& queued) {
            return queued.request.key.instance == instance;
        };
        std::erase_if(pool.online, belongs_to_instance);
        std::erase_if(pool.batch, belongs_to_instance);
        fill_free_slots(pool, now, out);
    }
    return out;
}

slot_decisions slot_scheduler::tick(core::time_point now)
{
    slot_decisions out;
    std::vector<run_key> unreported_keys;
    for (const auto& [key, entry] : runs_) {
        if (now - entry.reported_at > settings_.unreported_timeout) {
            unreported_keys.push_back(key);
        }
    }
    for (const run_key& key : unreported_keys) {
        release(runs_.find(key));
    }
    estimate_sizes();
    for (auto& [service, pool] : pools_) {
        plan_batch(service, pool, now);
        fill_free_slots(pool, now, out);
        reject_infeasible(service, pool, now, out);
        reject_expiring_items(pool, now, out);
    }
    return out;
}

void slot_scheduler::clear_requests(core::time_point now)
{
    runs_.clear();
    connections_.clear();
    for (auto& [service, pool] : pools_) {
        pool.online.clear();
        pool.batch.clear();
        pool.online_shares.clear();
        pool.batch_shares.clear();
        for (auto& [id, target] : pool.targets) {
            target.running = 0;
            target.memory.clear();
            target.rate.forget_history(now);
        }
    }
}

scheduler_stats slot_scheduler::stats() const
{
    scheduler_stats result;
    for (const auto& [service, pool] : pools_) {
        result.targets += pool.targets.size();
        result.online_waiting += pool.online.size();
        result.batch_waiting += pool.batch.size();
        double slots = 0;
        for (const auto& [id, target] : pool.targets) {
            slots += busy_slots_max(pool, target);
        }
        result.slots += static_cast<std::size_t>(std::ceil(slots));
    }
    for (const auto& [key, entry] : runs_) {
        ++(entry.kind == work_kind::online ? result.online_running : result.batch_running);
    }
    return result;
}

} // namespace gooseberryfall::serving
