#include "core/batch_runner.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

namespace {

/// A permit that is not renewed for this long is invalid.
constexpr std::chrono::seconds permit_lifetime{1};

/// Reports of unchanged use are repeated, because a governor forgets them after a second.
constexpr std::chrono::milliseconds report_renewal{400};

/// Bound on the rate of reports of changed use, except for online arrivals.
constexpr std::chrono::milliseconds report_interval{50};

/// Time in which a start reaches a new governor and the permit that answers it comes back.
constexpr std::chrono::milliseconds permit_lag{200};

/// Time for which a governor is new; it permits only what it has been told of in its first 500 ms.
constexpr std::chrono::seconds governor_is_new{1};

constexpr std::chrono::milliseconds governed_interval{200};
constexpr std::chrono::seconds query_lifetime{2};
constexpr std::chrono::seconds carry_interval{1};

constexpr unsigned status_ok_first = 200;
constexpr unsigned status_ok_last = 299;
constexpr unsigned status_client_error_first = 400;
constexpr unsigned status_client_error_last = 499;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_too_many = 429;

item_end end_of_answer(unsigned status)
{
    if (status >= status_ok_first && status <= status_ok_last) {
        return item_end::answered;
    }
    const bool client_error =
        status >= status_client_error_first && status <= status_client_error_last;
    if (client_error && status != status_request_timeout && status != status_too_many) {
        return item_end::rejected;
    }
    return item_end::lost;
}

item_end end_of(const dispatch_finished& finished)
{
    switch (finished.outcome) {
    case dispatch_outcome::completed:
        return end_of_answer(finished.status);
    case dispatch_outcome::not_sent:
    case dispatch_outcome::refused:
    case dispatch_outcome::refused_leaving:
    case dispatch_outcome::body_unavailable:
        return item_end::not_run;
    case dispatch_outcome::cancelled:
        return item_end::yielded;
    case dispatch_outcome::connection_lost:
    case dispatch_outcome::timed_out:
    case dispatch_outcome::mismatched:
        return item_end::lost;
    }
    return item_end::lost;
}

bool same_use(const capacity_report& left, const capacity_report& right)
{
    return left.online == right.online && left.batch == right.batch &&
           left.batch_wanted == right.batch_wanted;
}

bool in_use(const capacity_report& report)
{
    return report.online + report.batch + report.batch_wanted > 0;
}

} // namespace

batch_runner::batch_runner(node_parts& parts) : parts_(parts) {}

void batch_runner::acquire(std::uint32_t partition, lease_epoch epoch)
{
    batch_settings settings = parts_.settings.batch;
    settings.partition = partition;
    settings.self = parts_.settings.self;
    auto held = std::make_unique<held_partition>(settings);
    held->epoch = epoch;
    partitions_[partition] = std::move(held);
    parts_.emit(open_batch_stream{partition});
}

void batch_runner::drop(std::uint32_t partition)
{
    if (partitions_.erase(partition) == 0) {
        return;
    }
    parts_.emit(close_batch_stream{partition});
    for (auto& [id, item] : running_) {
        if (item.partition == partition) {
            cancel(id);
        }
    }
}

void batch_runner::on_read(const batch_read& read, time_point now)
{
    const auto found = partitions_.find(read.partition);
    if (found == partitions_.end()) {
        return;
    }
    held_partition& held = *found->second;
    const std::uint64_t ignored_before = held.replay.ignored();
    held.replay.apply(read);
    parts_.counters.records_ignored += held.replay.ignored() - ignored_before;
    if (!held.begun && held.replay.caught_up()) {
        held.begun = true;
        held.replay.begin(held.epoch);
    }
    cancel_jobs_stopped();
    pump(now);
}

bool batch_runner::on_append(std::uint64_t append)
{
    for (auto& [partition, held] : partitions_) {
        if (held->open_append == append) {
            held->open_append.reset();
            held->replay.append_acknowledged();
            append_records();
            return true;
        }
    }
    return false;
}

void batch_runner::on_finished(const dispatch_finished& finished, time_point now)
{
    const auto found = running_.find(finished.dispatch);
    if (found == running_.end()) {
        return;
    }
    const running_item item = found->second;
    running_.erase(found);
    parts_.targets.on_batch_finished(item.target);
    if (item.alone) {
        parts_.reserved_targets.erase(item.target);
    }
    if (item.marked) {
        parts_.marked_targets.erase(item.target);
    }
    const item_end how = end_of(finished);
    switch (finished.outcome) {
    case dispatch_outcome::completed:
        parts_.targets.on_success(item.target);
        parts_.crashes.on_success(item.fingerprint);
        break;
    case dispatch_outcome::connection_lost:
        parts_.targets.on_failure(item.target, now);
        parts_.record_death(item.fingerprint, item.target, item.alone, now);
        break;
    case dispatch_outcome::not_sent:
    case dispatch_outcome::timed_out:
    case dispatch_outcome::mismatched:
        parts_.targets.on_failure(item.target, now);
        break;
    case dispatch_outcome::refused:
        parts_.targets.on_refused(
            item.target, finished.retry_after.value_or(std::chrono::milliseconds(200)), now);
        break;
    case dispatch_outcome::refused_leaving:
        parts_.targets.on_leaving(item.target);
        break;
    case dispatch_outcome::cancelled:
        ++parts_.counters.batch_yielded;
        break;
    case dispatch_outcome::body_unavailable:
        break;
    }
    const auto held = partitions_.find(item.partition);
    if (held == partitions_.end()) {
        return;
    }
    if (how == item_end::answered) {
        ++parts_.counters.batch_completed;
    }
    held->second->replay.finished(item.job, item.index, how, finished.body, now);
}

void batch_runner::on_permit(const instance_id& from, const capacity_permit& permit, time_point now)
{
    permit_state& state = permits_[permit.target];
    if (state.governor != from) {
        state.governor = from;
        state.governor_since = now;
    }
    state.slots = permit.batch;
    state.expires_at = now + permit_lifetime;
    parts_.targets.on_online_elsewhere(permit.target, permit.online_elsewhere, now);
    parts_.targets.on_leaving_word(permit.target, permit.leaving, now);
    cancel_excess(now);
}

void batch_runner::on_report(const instance_id& from, const capacity_report& report, time_point now)
{
    if (!parts_.governor.governs(report.target)) {
        update_governed(now);
    }
    if (parts_.governor.governs(report.target)) {
        parts_.governor.on_report(from, report, now);
    }
}

std::uint32_t batch_runner::permitted(const target_id& id, time_point now) const
{
    const auto found = permits_.find(id);
    if (found == permits_.end() || now >= found->second.expires_at) {
        return 0;
    }
    return found->second.slots;
}

void batch_runner::update_governed(time_point now)
{
    governed_checked_at_ = now;
    poll_load polling;
    std::set<target_id> governed;
    for (const auto& [id, info] : parts_.state.current().targets) {
        if (parts_.governor_of(id, now) == parts_.settings.self.instance) {
            parts_.governor.govern(id, info.slots);
            polling.targets.push_back(info);
            governed.insert(id);
        }
        else {
            parts_.governor.abandon(id);
        }
    }
    if (governed != governed_) {
        governed_ = std::move(governed);
        parts_.emit(std::move(polling));
    }
}

void batch_runner::send_reports(time_point now)
{
    for (const auto& [id, info] : parts_.state.current().targets) {
        capacity_report report;
        report.target = id;
        report.online = parts_.targets.online(id);
        report.batch = parts_.targets.batch(id);
        report.batch_wanted = std::min(info.slots, pending(info.service));
        sent_report& last = reports_[id];
        const bool changed = !last.at || !same_use(last.report, report);
        // Batch streams start and end more often than the interval. An online arrival that had to
        // wait for it would stand behind batch work at a full target.
        const bool arrived = report.online > last.report.online;
        const bool due = !last.at || arrived || now >= *last.at + report_interval;
        const bool renew = last.at && now >= *last.at + report_renewal && in_use(report);
        if (!due || !(changed || renew) || (!last.at && !in_use(report))) {
            continue;
        }
        const instance_id governor = parts_.governor_of(id, now);
        last = {report, governor, now};
        if (governor == parts_.settings.self.instance) {
            on_report(governor, report, now);
        }
        else if (!governor.empty()) {
            parts_.send(governor, report);
        }
    }
}

void batch_runner::send_permits(time_point now)
{
    for (addressed_permit& addressed : parts_.governor.permits(now)) {
        addressed.permit.leaving = parts_.targets.leaving(addressed.permit.target);
        if (addressed.instance == parts_.settings.self.instance) {
            on_permit(addressed.instance, addressed.permit, now);
        }
        else {
            parts_.send(addressed.instance, addressed.permit);
        }
    }
}

std::uint32_t batch_runner::pending(const service_id& service) const
{
    std::uint32_t total = 0;
    for (const auto& [partition, held] : partitions_) {
        if (held->replay.active()) {
            total += held->replay.pending(service);
        }
    }
    return total;
}

void batch_runner::start_items(time_point now)
{
    if (!parts_.is_current(now) || partitions_.empty()) {
        return;
    }
    for (const auto& [id, permit] : permits_) {
        while (parts_.targets.usable(id, now) && !parts_.reserved_targets.contains(id) &&
               parts_.targets.batch(id) < permitted(id, now)) {
            if (!start_item(id, now)) {
                break;
            }
        }
    }
}

bool batch_runner::lately_idle(const service_id& service, const std::set<target_id>& avoided,
                               time_point now)
{
    const std::vector<target_id> targets = parts_.targets.targets_of(service);
    const bool idle = std::any_of(targets.begin(), targets.end(), [&](const target_id& id) {
        return !avoided.contains(id) && parts_.targets.usable(id, now) &&
               parts_.targets.online(id) == 0 && parts_.targets.batch(id) == 0;
    });
    time_point& seen_at = idle_seen_at_.try_emplace(service, now).first->second;
    if (idle) {
        seen_at = now;
    }
    return now < seen_at + parts_.settings.crashes.idle_wait;
}

bool batch_runner::start_item(const target_id& id, time_point now)
{
    const target* info = parts_.targets.find(id);
    if (info == nullptr) {
        return false;
    }
    // Only marked items need it, and usually there are none.
    const std::set<target_id> avoided = parts_.crashes.size() == 0
                                            ? std::set<target_id>()
                                            : parts_.targets_to_avoid(info->service, now);
    const bool idle =
        !avoided.contains(id) && parts_.targets.online(id) == 0 && parts_.targets.batch(id) == 0;
    // A target that is down is always idle. Marked items that try it would be taken for its killers
    // although they are innocent, so they wait for a sound target if there is one.
    const bool sound =
        parts_.targets.sound(id, now) || !parts_.targets.any_sound(info->service, now);
    // Under load no target is ever idle; marked items must not hold up the others until one is.
    const bool may_run_marked = sound && !parts_.marked_targets.contains(id) &&
                                (idle || !lately_idle(info->service, avoided, now));
    quarantine_ruling ruling = quarantine_ruling::run;
    const auto ready = [&](const runnable_item& item) {
        if (item.service != info->service) {
            return false;
        }
        ruling = parts_.crashes.rule(item.fingerprint, now);
        return ruling == quarantine_ruling::run || may_run_marked;
    };
    for (std::size_t step = 0; step < partitions_.size(); ++step) {
        auto position = partitions_.upper_bound(next_partition_);
        if (position == partitions_.end()) {
            position = partitions_.begin();
        }
        next_partition_ = position->first;
        held_partition& held = *position->second;
        const shard_id shard{shard_kind::batch, position->first};
        if (!held.replay.active() || !parts_.shards.held_epoch(shard) ||
            parts_.shards.draining(shard)) {
            continue;
        }
        const std::optional<runnable_item> item = held.replay.next(ready, now);
        if (!item) {
            continue;
        }
        // An accepted item is owed: the quarantine keeps it apart from other work, its tries decide
        // when it ends.
        const bool marked = ruling != quarantine_ruling::run;
        dispatch_item(position->first, *item, *info, {marked, marked && idle, now});
        return true;
    }
    return false;
}

void batch_runner::dispatch_item(std::uint32_t partition, const runnable_item& item,
                                 const target& info, const item_start& how)
{
    running_item state;
    state.partition = partition;
    state.job = item.job;
    state.index = item.index;
    state.fingerprint = item.fingerprint;
    state.target = info.id;
    state.marked = how.marked;
    state.alone = how.alone;
    state.started_at = how.at;
    state.repeatable = item.repeatable;
    dispatch sending;
    sending.dispatch = parts_.next_dispatch++;
    sending.target = info.id;
    sending.address = info.address;
    sending.port = info.port;
    sending.kind = service_kind::engine;
    sending.body =
        item_body{partition, item.job, item.index, item.body, item.resume, item.max_tokens};
    sending.repeatable = item.repeatable;
    sending.timeouts = parts_.settings.timeouts;
    running_.emplace(sending.dispatch, state);
    if (how.alone) {
        parts_.reserved_targets.insert(info.id);
    }
    if (how.marked) {
        parts_.marked_targets.insert(info.id);
    }
    parts_.targets.on_batch_started(info.id);
    ++parts_.counters.batch_dispatched;
    parts_.emit(std::move(sending));
}

void batch_runner::cancel(dispatch_id id)
{
    running_item& item = running_.at(id);
    if (!item.cancelling) {
        item.cancelling = true;
        parts_.emit(cancel_dispatch{id});
    }
}

void batch_runner::make_room(const target_id& id, time_point now)
{
    const target* info = parts_.targets.find(id);
    if (info == nullptr) {
        return;
    }
    std::uint32_t cancelling = 0;
    for (const auto& [dispatch, item] : running_) {
        if (item.target == id && item.cancelling) {
            ++cancelling;
        }
    }
    const std::uint32_t batch = parts_.targets.batch(id) - cancelling;
    const std::uint32_t elsewhere =
        info->slots - std::min(info->slots, parts_.targets.free_slots(id, now));
    if (elsewhere + batch <= info->slots) {
        return;
    }
    // The newest stream has the least text to keep.
    for (auto position = running_.rbegin(); position != running_.rend(); ++position) {
        const running_item& item = position->second;
        if (item.target == id && !item.cancelling && item.repeatable) {
            cancel(position->first);
            return;
        }
    }
}

void batch_runner::cancel_excess(time_point now)
{
    // The permits of a new governor do not know the streams that began under its predecessor's last
    // permit; when they were cut off, their items ran again.
    const auto is_unknown = [&](const running_item& item) {
        const auto permit = permits_.find(item.target);
        return permit != permits_.end() && now < permit->second.governor_since + governor_is_new &&
               now < item.started_at + permit_lag;
    };
    const auto counts_now = [&](const running_item& item) {
        return !item.cancelling && !is_unknown(item);
    };
    std::map<target_id, std::uint32_t> counts;
    for (const auto& [id, item] : running_) {
        if (counts_now(item)) {
            ++counts[item.target];
        }
    }
    for (auto position = running_.rbegin(); position != running_.rend(); ++position) {
        const running_item& item = position->second;
        if (!counts_now(item) || !item.repeatable) {
            continue;
        }
        std::uint32_t& count = counts[item.target];
        if (count > permitted(item.target, now)) {
            --count;
            cancel(position->first);
        }
    }
}

void batch_runner::cancel_jobs_stopped()
{
    for (const auto& [id, item] : running_) {
        const auto held = partitions_.find(item.partition);
        if (held != partitions_.end() && held->second->replay.is_cancelled(item.job)) {
            cancel(id);
        }
    }
}

void batch_runner::plan_carry(time_point now)
{
    for (auto& [partition, held] : partitions_) {
        const bool due = !held->carry_checked_at || now >= *held->carry_checked_at + carry_interval;
        if (!due || !held->replay.active()) {
            continue;
        }
        held->carry_checked_at = now;
        for (const body_position& position : held->replay.plan_carry(parts_.wall)) {
            parts_.emit(read_body{partition, position});
        }
    }
}

void batch_runner::append_records()
{
    for (auto& [partition, held] : partitions_) {
        if (held->open_append) {
            continue;
        }
        std::vector<batch_record> records = held->replay.take_records(parts_.wall);
        if (records.empty()) {
            continue;
        }
        std::vector<batch_body> bodies;
        bodies.reserve(records.size());
        for (batch_record& record : records) {
            bodies.push_back(std::move(record.body));
        }
        held->open_append = parts_.append_batch(partition, std::move(bodies));
    }
}

bool batch_runner::job_running(const job_id& job) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto& entry) { return entry.second.job == job; });
}

void batch_runner::on_query(const instance_id& from, const job_query& query, time_point now)
{
    const waiting_query waiting{from, query, now + query_lifetime};
    if (!try_answer(waiting, now)) {
        queries_.push_back(waiting);
    }
}

void batch_runner::answer(const instance_id& to, const job_answer& reply)
{
    if (to == parts_.settings.self.instance) {
        on_local_answer(reply);
    }
    else {
        parts_.send(to, reply);
    }
}

bool batch_runner::try_answer(const waiting_query& waiting, time_point now)
{
    const job_query& query = waiting.query;
    job_answer reply;
    reply.query = query.query;
    const auto found = partitions_.find(query.partition);
    const shard_id shard{shard_kind::batch, query.partition};
    if (found == partitions_.end() || !parts_.shards.held_epoch(shard)) {
        answer(waiting.from, reply);
        return true;
    }
    const batch_partition& replay = found->second->replay;
    if (!replay.active() || !parts_.is_current(now)) {
        return false;
    }
    if (query.applied && replay.next_offset() <= *query.applied) {
        return false;
    }
    reply.holder = true;
    if (query.list) {
        reply.jobs = replay.list();
        answer(waiting.from, reply);
        return true;
    }
    const std::optional<job_status> status = replay.status(query.job);
    // A cancel is complete only when no stream of the job runs at a target any more.
    if (status && status->cancelled && job_running(query.job)) {
        return false;
    }
    if (status) {
        reply.jobs.push_back(*status);
        reply.results = replay.results(query.job, query.first_result, query.result_limit);
    }
    answer(waiting.from, reply);
    return true;
}

void batch_runner::answer_queries(time_point now)
{
    std::vector<waiting_query> waiting;
    waiting.swap(queries_);
    for (waiting_query& query : waiting) {
        if (now < query.expires_at && !try_answer(query, now)) {
            queries_.push_back(std::move(query));
        }
    }
}

bool batch_runner::is_busy(const shard_id& shard) const
{
    const auto found = partitions_.find(shard.index);
    return shard.kind == shard_kind::batch && found != partitions_.end() &&
           (found->second->open_append || found->second->replay.has_open_work());
}

std::vector<job_status> batch_runner::list_jobs() const
{
    std::vector<job_status> all;
    for (const auto& [partition, held] : partitions_) {
        const std::vector<job_status> jobs = held->replay.list();
        all.insert(all.end(), jobs.begin(), jobs.end());
    }
    return all;
}

void batch_runner::provide_body(std::uint32_t partition, const body_position& position,
                                std::string body)
{
    const auto found = partitions_.find(partition);
    if (found != partitions_.end()) {
        found->second->replay.provide_body(position, std::move(body));
    }
}

void batch_runner::pump(time_point now)
{
    if (!governed_checked_at_ || now >= *governed_checked_at_ + governed_interval) {
        update_governed(now);
        cancel_excess(now);
    }
    send_reports(now);
    send_permits(now);
    start_items(now);
    plan_carry(now);
    append_records();
    answer_queries(now);
}

} // namespace gooseberryfall::core
