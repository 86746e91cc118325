#include "serving/slot_scheduler.hpp"

#include "serving/deadline_planner.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

/// Weight of the past in the averages of a service.
constexpr double memory = 0.95;
/// Prompt parts remembered for each target; enough for the shared parts of a few services.
constexpr std::size_t prefixes_max = 512;
/// Load, in parts of a target's slots, that a cached prompt prefix is worth.
constexpr double prefix_bonus = 0.2;
/// Load that the same data centre is worth: it only decides between equals.
constexpr double data_centre_bonus = 0.05;
/// Least time left that a run is expected to need, however long it has lasted.
constexpr milliseconds remaining_min{20};
/// Callers honour a delay of at most this part of the time that they have left.
constexpr int patience_divisor = 3;
/// Time for a grant to reach its instance and come back in a report.
constexpr milliseconds grant_transit{350};

core::duration from_milliseconds(double value)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(value));
}

void average_in(double& average, double sample)
{
    average = average == 0 ? sample : average * memory + sample * (1 - memory);
}

bool contains(const std::vector<core::target_id>& list, const core::target_id& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

milliseconds retry_delay_max(const slot_request& question)
{
    return question.time_to_deadline / patience_divisor;
}

bool slot_scheduler::can_place(const slot_request& question, core::time_point now)
{
    lane& of = lane_of(question.service);
    return of.online.empty() && (choose_target(of, question, now) != nullptr ||
                                 choose_victim(of, question, now).has_value());
}

void slot_scheduler::set_targets(const std::vector<target_entry>& targets)
{
    targets_known_ = true;
    std::map<core::service_id, std::set<core::target_id>> present;
    for (const target_entry& entry : targets) {
        present[entry.service].insert(entry.id);
        lane& of = lane_of(entry.service);
        const auto [position, added] = of.targets.try_emplace(entry.id);
        target_state& state = position->second;
        const bool restarted = !added && (state.entry.started_at != entry.started_at ||
                                          state.entry.address != entry.address);
        if (added || restarted) {
            state.health = target_health(settings_.health);
            state.prefixes.clear();
        }
        state.entry = entry;
        if (added) {
            state.running = 0;
            for (const auto& [key, known] : runs_) {
                state.running += known.target == entry.id && !known.yielding ? 1 : 0;
            }
        }
    }
    for (auto& [service, of] : lanes_) {
        const auto& kept = present[service];
        std::erase_if(of.targets, [&](const auto& entry) { return !kept.contains(entry.first); });
    }
}

core::duration slot_scheduler::expected_first_event_delay(const lane& of) const
{
    return of.first_event_delay == 0 ? core::duration(settings_.first_event_guess)
                                     : from_milliseconds(of.first_event_delay);
}

core::duration slot_scheduler::expected_duration(const lane& of, std::uint32_t tokens) const
{
    const double token_time = of.token_time == 0 ? settings_.token_time_guess : of.token_time;
    return expected_first_event_delay(of) + from_milliseconds(token_time * tokens);
}

core::duration slot_scheduler::remaining(const lane& of, const run& entry,
                                         core::time_point now) const
{
    const core::duration left = entry.granted_at + expected_duration(of, entry.tokens) - now;
    return std::max<core::duration>(left, remaining_min);
}

core::duration slot_scheduler::slack(const lane& of, const run& entry, core::time_point now) const
{
    return entry.due_at - now - remaining(of, entry, now);
}

core::duration slot_scheduler::slack(const lane& of, const waiting_work& work,
                                     core::time_point now) const
{
    return work.end_at - now - expected_duration(of, work.question.tokens);
}

bool slot_scheduler::usable(const lane& of, const target_state& target, core::time_point now) const
{
    if (target.health.available(now)) {
        return true;
    }
    if (!target.health.paused_for_share(now)) {
        return false;
    }
    // A share of failures at many targets is more likely a fault of the requests or of the network:
    // only a part of the targets is set aside for it.
    const auto set_aside = std::count_if(of.targets.begin(), of.targets.end(), [&](const auto& t) {
        return t.second.health.paused_for_share(now);
    });
    return static_cast<double>(set_aside) >
           settings_.set_aside_max * static_cast<double>(of.targets.size());
}

std::uint32_t slot_scheduler::free_slots(const lane& of, const target_state& target,
                                         core::time_point now) const
{
    if (!usable(of, target, now)) {
        return 0;
    }
    const std::uint32_t slots = target.health.on_probation() ? 1 : target.entry.slots;
    return slots > target.running ? slots - target.running : 0;
}

std::size_t slot_scheduler::usable_slots(const lane& of, core::time_point now) const
{
    std::size_t total = 0;
    for (const auto& [id, target] : of.targets) {
        total += usable(of, target, now) ? target.entry.slots : 0;
    }
    return total;
}

slot_scheduler::target_state* slot_scheduler::choose_target(lane& of, const slot_request& question,
                                                            core::time_point now)
{
    const double usual = of.token_time == 0 ? settings_.token_time_guess : of.token_time;
    target_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (auto& [id, target] : of.targets) {
        if (contains(question.excluded, id) || free_slots(of, target, now) == 0) {
            continue;
        }
        double cost = static_cast<double>(target.running) / target.entry.slots;
        const bool slow = target.health.token_time() > settings_.slow_factor * usual;
        // A full target's worth of load: slow targets come after all others.
        cost += slow ? 1.0 : 0.0;
        for (const std::uint64_t prefix : question.prefixes) {
            const auto& kept = target.prefixes;
            cost -= std::find(kept.begin(), kept.end(), prefix) != kept.end() ? prefix_bonus : 0;
        }
        cost -= target.entry.data_centre == question.data_centre ? data_centre_bonus : 0;
        if (cost < best_cost) {
            best_cost = cost;
            best = &target;
        }
    }
    return best;
}

std::optional<run_key> slot_scheduler::choose_victim(const lane& of, const slot_request& question,
                                                     core::time_point now) const
{
    std::optional<run_key> victim;
    // What cannot be done in time has lost most of its worth and goes first. Then the run that is
    // due last: taking turns instead would bring all items to their due times unfinished.
    std::tuple<bool, bool, core::time_point, core::duration> last(
        false, false, core::time_point::min(), core::duration::zero());
    for (const auto& [key, entry] : runs_) {
        if (entry.kind != work_kind::batch || entry.yielding || entry.service != question.service ||
            contains(question.excluded, entry.target)) {
            continue;
        }
        const auto target = of.targets.find(entry.target);
        const bool reachable = target != of.targets.end() && target->second.health.available(now) &&
                               !target->second.health.on_probation();
        const core::duration left = slack(of, entry, now);
        const bool late = entry.deferred || left < core::duration::zero();
        if (!reachable || (!late && left < settings_.yield_margin)) {
            continue;
        }
        const core::duration needed = remaining(of, entry, now);
        const std::tuple rank(late, needed > settings_.nearly_done, entry.due_at, needed);
        if (rank > last) {
            last = rank;
            victim = key;
        }
    }
    return victim;
}

void slot_scheduler::grant(target_state& target, const slot_request& question,
                           core::time_point due_at, core::time_point now, slot_decisions& out)
{
    run entry;
    entry.target = target.entry.id;
    entry.service = question.service;
    entry.kind = question.kind;
    entry.tokens = question.tokens;
    entry.granted_at = now;
    entry.seen_at = now;
    entry.due_at = due_at;
    runs_[question.key] = entry;
    ++target.running;
    for (const std::uint64_t prefix : question.prefixes) {
        std::erase(target.prefixes, prefix);
        target.prefixes.push_back(prefix);
    }
    while (target.prefixes.size() > prefixes_max) {
        target.prefixes.pop_front();
    }
    out.emplace_back(slot_grant{question.key, target.entry.id, target.entry.address});
}

void slot_scheduler::refuse(lane& of, const slot_request& question, core::time_point now,
                            slot_rejection_reason reason, slot_decisions& out)
{
    const double duration = of.online_duration == 0 ? 1000.0 : of.online_duration;
    const auto slots = static_cast<double>(std::max<std::size_t>(1, usable_slots(of, now)));
    const milliseconds delay =
        of.returns.next_delay(now, from_milliseconds(duration / slots), retry_delay_max(question));
    out.emplace_back(slot_rejection{question.key, reason, delay});
}

bool slot_scheduler::try_place(lane& of, const slot_request& question, core::time_point now,
                               slot_decisions& out)
{
    const core::time_point end_at = now + question.time_to_deadline;
    if (target_state* target = choose_target(of, question, now)) {
        grant(*target, question, end_at, now, out);
        return true;
    }
    if (question.kind != work_kind::online) {
        return false;
    }
    const std::optional<run_key> victim = choose_victim(of, question, now);
    if (!victim) {
        return false;
    }
    run& yielded = runs_.at(*victim);
    yielded.yielding = true;
    if (now < yielded.granted_at + expected_first_event_delay(of)) {
        of.short_gaps.push_back(now);
    }
    target_state& target = of.targets.at(yielded.target);
    --target.running;
    out.emplace_back(slot_preemption{*victim});
    grant(target, question, end_at, now, out);
    return true;
}

core::time_point slot_scheduler::last_start(const lane& of, const waiting_work& work) const
{
    return work.question.is_retry ? work.objective_at + settings_.late_patience
                                  : work.objective_at - expected_first_event_delay(of);
}

std::vector<core::duration> slot_scheduler::run_ends(const lane& of,
                                                     const core::service_id& service,
                                                     core::time_point now) const
{
    std::vector<core::duration> ends;
    for (const auto& [key, entry] : runs_) {
        if (entry.service != service || entry.yielding) {
            continue;
        }
        const auto target = of.targets.find(entry.target);
        if (target != of.targets.end() && usable(of, target->second, now)) {
            ends.push_back(remaining(of, entry, now));
        }
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

core::duration slot_scheduler::predicted_wait(const lane& of,
                                              const std::vector<core::duration>& ends,
                                              std::size_t ahead) const
{
    if (ends.empty()) {
        return core::duration::max() / 4;
    }
    if (ahead >= ends.size()) {
        const auto rounds = static_cast<std::int64_t>(ahead / ends.size());
        return expected_duration(of, 0) * rounds + ends.back();
    }
    return ends[ahead];
}

slot_decisions slot_scheduler::request_slot(const slot_request& question, core::time_point now)
{
    slot_decisions out;
    const auto known = runs_.find(question.key);
    if (known != runs_.end()) {
        lane& of = lane_of(known->second.service);
        const auto target = of.targets.find(known->second.target);
        if (target != of.targets.end() && !known->second.yielding) {
            out.emplace_back(
                slot_grant{question.key, known->second.target, target->second.entry.address});
            return out;
        }
        release(known);
    }
    lane& of = lane_of(question.service);
    auto& queue = question.kind == work_kind::online ? of.online : of.batch;
    const auto same = std::find_if(queue.begin(), queue.end(), [&](const waiting_work& work) {
        return work.question.key == question.key;
    });
    if (same != queue.end()) {
        same->asked_at = now;
        same->end_at = now + question.time_to_deadline;
        return out;
    }
    if (of.targets.empty() && targets_known_) {
        if (question.kind == work_kind::online) {
            refuse(of, question, now, slot_rejection_reason::no_target, out);
        }
        return out;
    }
    waiting_work work{question, now, now + question.time_to_objective,
                      now + question.time_to_deadline};
    if (question.kind == work_kind::batch) {
        queue.push_back(std::move(work));
        fill(of, now, out);
        return out;
    }
    // Whoever waits already has the better claim to a free slot, but for a request that may go on
    // at another target than those that are free.
    const bool first = of.online.empty() || !question.excluded.empty();
    if (first && try_place(of, question, now, out)) {
        return out;
    }
    const core::duration wait =
        targets_known_ ? predicted_wait(of, run_ends(of, question.service, now), of.online.size())
                       : core::duration::zero();
    if (now + wait > last_start(of, work)) {
        refuse(of, question, now, slot_rejection_reason::overloaded, out);
        return out;
    }
    of.online.push_back(std::move(work));
    return out;
}

void slot_scheduler::withdraw(const run_key& key)
{
    const auto is_key = [&key](const waiting_work& work) { return work.question.key == key; };
    for (auto& [service, of] : lanes_) {
        std::erase_if(of.online, is_key);
        std::erase_if(of.batch, is_key);
    }
}

void slot_scheduler::release(std::map<run_key, run>::iterator position)
{
    const run& entry = position->second;
    if (!entry.yielding) {
        auto& targets = lane_of(entry.service).targets;
        const auto target = targets.find(entry.target);
        if (target != targets.end() && target->second.running > 0) {
            --target->second.running;
        }
    }
    runs_.erase(position);
}

void slot_scheduler::measure(lane& of, const run& entry, const slot_result& ended)
{
    if (ended.outcome != slot_outcome::completed || !ended.first_event_delay) {
        return;
    }
    average_in(of.first_event_delay, static_cast<double>(ended.first_event_delay->count()));
    const milliseconds rest = ended.duration - *ended.first_event_delay;
    if (entry.tokens > 0) {
        average_in(of.token_time, static_cast<double>(rest.count()) / entry.tokens);
    }
    if (entry.kind == work_kind::online) {
        average_in(of.online_duration, static_cast<double>(ended.duration.count()));
    }
    const auto target = of.targets.find(entry.target);
    if (target != of.targets.end()) {
        target->second.health.record_speed(rest, entry.tokens);
    }
}

slot_decisions slot_scheduler::release_slot(const slot_result& ended, core::time_point now)
{
    slot_decisions out;
    withdraw(ended.key);
    const auto found = runs_.find(ended.key);
    if (found == runs_.end()) {
        return out;
    }
    const run entry = found->second;
    lane& of = lane_of(entry.service);
    measure(of, entry, ended);
    const auto target = of.targets.find(entry.target);
    if (target != of.targets.end()) {
        target->second.health.record(ended.outcome, now);
    }
    release(found);
    fill(of, now, out);
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
        auto known = runs_.find(key);
        for (auto& [service, of] : lanes_) {
            const auto target = of.targets.find(entry.target);
            if (target == of.targets.end()) {
                continue;
            }
            if (entry.unresponsive) {
                target->second.health.record_silence(now);
            }
            if (known == runs_.end()) {
                run learnt;
                learnt.target = entry.target;
                learnt.service = service;
                learnt.kind = entry.kind;
                learnt.granted_at = now;
                // What is not known counts as due far ahead, so that it may be asked to yield.
                learnt.due_at = now + std::chrono::seconds(10);
                known = runs_.emplace(key, learnt).first;
                ++target->second.running;
            }
        }
        if (known != runs_.end()) {
            known->second.seen_at = now;
        }
    }
    std::set<core::service_id> freed;
    const auto first = runs_.lower_bound(run_key{instance, 0});
    for (auto entry = first; entry != runs_.end() && entry->first.instance == instance;) {
        const auto current = entry++;
        const bool settled = now - current->second.granted_at > grant_transit;
        if (!reported.contains(current->first.number) && settled) {
            freed.insert(current->second.service);
            release(current);
        }
    }
    for (const core::service_id& service : freed) {
        fill(lane_of(service), now, out);
    }
    return out;
}

slot_decisions slot_scheduler::remove_instance(const core::instance_id& instance,
                                               core::time_point now)
{
    slot_decisions out;
    const auto first = runs_.lower_bound(run_key{instance, 0});
    for (auto entry = first; entry != runs_.end() && entry->first.instance == instance;) {
        release(entry++);
    }
    for (auto& [service, of] : lanes_) {
        const auto of_instance = [&instance](const waiting_work& work) {
            return work.question.key.instance == instance;
        };
        std::erase_if(of.online, of_instance);
        std::erase_if(of.batch, of_instance);
        fill(of, now, out);
    }
    return out;
}

void slot_scheduler::refuse_hopeless(const core::service_id& service, lane& of,
                                     core::time_point now, slot_decisions& out)
{
    std::erase_if(of.batch, [&](const waiting_work& work) {
        return now - work.asked_at > settings_.batch_question_lifetime;
    });
    if (of.online.empty()) {
        return;
    }
    std::sort(of.online.begin(), of.online.end(),
              [](const auto& a, const auto& b) { return a.objective_at < b.objective_at; });
    const std::vector<core::duration> ends = run_ends(of, service, now);
    std::vector<waiting_work> kept;
    for (waiting_work& work : of.online) {
        const core::duration wait =
            targets_known_ ? predicted_wait(of, ends, kept.size()) : core::duration::zero();
        if (now + wait > last_start(of, work) || now >= work.end_at) {
            slot_request asked = work.question;
            asked.time_to_deadline = std::chrono::duration_cast<milliseconds>(work.end_at - now);
            refuse(of, asked, now, slot_rejection_reason::overloaded, out);
            continue;
        }
        kept.push_back(std::move(work));
    }
    of.online = std::move(kept);
}

slot_scheduler::waiting_work* slot_scheduler::next_online(lane& of, core::time_point now, bool late)
{
    const core::duration first_event = expected_first_event_delay(of);
    waiting_work* best = nullptr;
    for (waiting_work& work : of.online) {
        const bool is_late = now + first_event > work.objective_at;
        if (is_late != late) {
            continue;
        }
        const auto rank = [](const waiting_work& entry) {
            return std::pair(!entry.question.is_retry, entry.objective_at);
        };
        if (best == nullptr || rank(work) < rank(*best)) {
            best = &work;
        }
    }
    return best;
}

slot_scheduler::waiting_work* slot_scheduler::next_batch(lane& of, core::time_point now,
                                                         bool urgent_only)
{
    // An item that cannot be done in time has lost most of its worth: it goes last. The others go
    // by their due times; one that has become urgent is asked for before.
    waiting_work* best = nullptr;
    std::tuple<bool, core::time_point, core::duration> best_rank;
    for (waiting_work& work : of.batch) {
        if (of.overloaded && work.unplanned) {
            // It may be one of those that were deferred a moment ago.
            continue;
        }
        const core::duration left = slack(of, work, now);
        const bool late = work.deferred || left < core::duration::zero();
        if (urgent_only && (late || left > settings_.urgent_margin)) {
            continue;
        }
        const std::tuple rank(late, work.end_at, expected_duration(of, work.question.tokens));
        if (best == nullptr || rank < best_rank) {
            best = &work;
            best_rank = rank;
        }
    }
    return best;
}

void slot_scheduler::plan_batch(const core::service_id& service, lane& of, core::time_point now)
{
    const bool came = std::any_of(of.batch.begin(), of.batch.end(),
                                  [](const waiting_work& work) { return work.unplanned; });
    const auto elapsed = now - of.planned_at;
    if (elapsed < settings_.plan_interval && !(of.overloaded && came)) {
        return;
    }
    std::vector<deadline_task> work;
    std::vector<bool*> deferred;
    std::size_t online = 0;
    for (auto& [key, entry] : runs_) {
        if (entry.service != service || entry.yielding) {
            continue;
        }
        if (entry.kind == work_kind::online) {
            ++online;
            continue;
        }
        work.push_back({remaining(of, entry, now), entry.due_at});
        deferred.push_back(&entry.deferred);
    }
    for (waiting_work& waiting : of.batch) {
        work.push_back({expected_duration(of, waiting.question.tokens), waiting.end_at});
        deferred.push_back(&waiting.deferred);
        waiting.unplanned = false;
    }
    const double weight =
        std::clamp(std::chrono::duration<double>(elapsed) / settings_.online_memory, 0.0, 1.0);
    of.online_slots += (static_cast<double>(online) - of.online_slots) * weight;
    of.planned_at = now;
    const auto slots = static_cast<double>(usable_slots(of, now));
    const std::vector<bool> chosen = deadline_planner::select_feasible(
        work, std::max(slots * settings_.batch_share_min, slots - of.online_slots), now);
    of.overloaded = false;
    for (std::size_t index = 0; index < work.size(); ++index) {
        *deferred[index] = !chosen[index];
        of.overloaded = of.overloaded || !chosen[index];
    }
}

bool slot_scheduler::has_room_for_batch(lane& of, core::time_point now) const
{
    while (!of.short_gaps.empty() && of.short_gaps.front() + settings_.short_gap_memory <= now) {
        of.short_gaps.pop_front();
    }
    if (of.short_gaps.empty()) {
        return true;
    }
    std::size_t free = 0;
    for (const auto& [id, target] : of.targets) {
        free += free_slots(of, target, now);
    }
    return free > of.short_gaps.size();
}

void slot_scheduler::fill(lane& of, core::time_point now, slot_decisions& out)
{
    const auto place_online = [&](waiting_work* work) {
        if (work == nullptr) {
            return false;
        }
        slot_request question = work->question;
        question.time_to_deadline = std::chrono::duration_cast<milliseconds>(work->end_at - now);
        const run_key key = question.key;
        if (!try_place(of, question, now, out)) {
            return false;
        }
        std::erase_if(of.online,
                      [&key](const waiting_work& entry) { return entry.question.key == key; });
        return true;
    };
    const auto place_batch = [&](waiting_work* work) {
        if (work == nullptr) {
            return false;
        }
        target_state* target = choose_target(of, work->question, now);
        if (target == nullptr) {
            return false;
        }
        const run_key key = work->question.key;
        grant(*target, work->question, work->end_at, now, out);
        std::erase_if(of.batch,
                      [&key](const waiting_work& entry) { return entry.question.key == key; });
        return true;
    };
    while (place_batch(next_batch(of, now, true))) {
    }
    while (place_online(next_online(of, now, false))) {
    }
    if (next_online(of, now, false) != nullptr) {
        return;
    }
    while (has_room_for_batch(of, now) && place_batch(next_batch(of, now, false))) {
    }
    while (place_online(next_online(of, now, true))) {
    }
}

slot_decisions slot_scheduler::tick(core::time_point now)
{
    slot_decisions out;
    std::vector<run_key> unreported;
    for (const auto& [key, entry] : runs_) {
        if (now - entry.seen_at > settings_.unreported_max) {
            unreported.push_back(key);
        }
    }
    for (const run_key& key : unreported) {
        release(runs_.find(key));
    }
    for (auto& [service, of] : lanes_) {
        plan_batch(service, of, now);
        fill(of, now, out);
        refuse_hopeless(service, of, now, out);
    }
    return out;
}

void slot_scheduler::clear_work()
{
    runs_.clear();
    for (auto& [service, of] : lanes_) {
        of.online.clear();
        of.batch.clear();
        for (auto& [id, target] : of.targets) {
            target.running = 0;
        }
    }
}

scheduler_stats slot_scheduler::stats() const
{
    scheduler_stats result;
    for (const auto& [service, of] : lanes_) {
        result.targets += of.targets.size();
        result.online_waiting += of.online.size();
        result.batch_waiting += of.batch.size();
        for (const auto& [id, target] : of.targets) {
            result.slots += target.entry.slots;
        }
    }
    for (const auto& [key, entry] : runs_) {
        ++(entry.kind == work_kind::online ? result.online_running : result.batch_running);
    }
    return result;
}

} // namespace gooseberryfall::serving
