#include "core/batch_partition.hpp"

#include "core/verdict.hpp"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

namespace gooseberryfall::core {

namespace {

/// Bytes that a record takes beside its body, and a result that waits to be written.
constexpr std::size_t record_overhead = 192;

/// Records of one group at most; a place in the log has 16 bits for the record.
constexpr std::size_t group_record_limit = 4096;

constexpr std::chrono::milliseconds plan_interval = std::chrono::seconds(1);

/// Time after which a snapshot that had no effect, or a body that was not provided, is asked for
/// again.
constexpr std::chrono::milliseconds snapshot_patience = std::chrono::minutes(1);
constexpr std::chrono::milliseconds body_patience = std::chrono::seconds(5);
constexpr std::uint32_t body_requests_limit = 12;

/// Doublings of the delay after a lost run; enough to reach its maximum.
constexpr std::uint32_t delay_doublings_max = 16;

/// A refusal in the callers' JSON shape. Precondition: the text needs no escapes.
std::string refusal_body(refusal_code code, run_verdict verdict, const char* text)
{
    return std::string(R"({"error":{"code":")") + to_text(code) + R"(","message":")" + text +
           R"(","run":")" + to_text(verdict) + R"("}})";
}

std::string unknown_fate_body()
{
    return refusal_body(refusal_code::target_failed, run_verdict::may_have_run,
                        "the item may have run and must not be repeated");
}

std::string lost_body_body()
{
    return refusal_body(refusal_code::internal, run_verdict::may_have_run,
                        "the item's body is no longer in the log");
}

digest fingerprint_from(const team_id& team, std::uint64_t body_hash)
{
    digest value{};
    std::size_t place = 0;
    std::uint64_t word = body_hash;
    while (place < value.size()) {
        word = stable_hash(team.value(), word);
        for (unsigned byte = 0; byte < sizeof word; ++byte) {
            value[place++] = static_cast<std::uint8_t>(word >> (8 * byte));
        }
    }
    return value;
}

job_status status_of(const job_id& id, const batch_job& job)
{
    job_status status;
    status.job = id;
    status.team = job.team;
    status.items = job.items.size();
    status.succeeded = job.succeeded;
    status.failed = job.failed;
    status.cancelled = job.cancelled;
    status.ended = job.ended();
    status.content = job.content;
    return status;
}

job_snapshot snapshot_of(lease_epoch epoch, const job_id& id, const batch_job& job)
{
    job_snapshot snapshot;
    snapshot.epoch = epoch;
    snapshot.job = id;
    snapshot.team = job.team;
    snapshot.service = job.service;
    snapshot.item_count = job.items.size();
    snapshot.content = job.content;
    snapshot.options = job.options;
    snapshot.cancelled = job.cancelled;
    snapshot.opened_at = job.opened_at;
    snapshot.ended_at = job.ended_at;
    return snapshot;
}

/// Snapshot that ends a job of which only an ignored record is known.
job_snapshot closing_of(lease_epoch epoch, const job_id& id, wall_time ignored_at)
{
    job_snapshot snapshot;
    snapshot.epoch = epoch;
    snapshot.job = id;
    snapshot.opened_at = ignored_at;
    snapshot.ended_at = wall_time();
    return snapshot;
}

replay_settings replay_settings_of(const batch_settings& settings)
{
    return {settings.result_retention, settings.log_retention, settings.upload_lifetime};
}

} // namespace

std::uint32_t partition_of(const job_id& job, std::uint32_t partitions)
{
    assert(partitions > 0);
    return static_cast<std::uint32_t>(stable_hash(job.value()) % partitions);
}

job_id job_id_of(const team_id& team, const std::string& idempotency_key)
{
    // The length keeps team and key apart.
    const std::string text =
        std::to_string(team.value().size()) + ':' + team.value() + idempotency_key;
    char digits[33] = {};
    std::snprintf(digits, sizeof digits, "%016llx%016llx",
                  static_cast<unsigned long long>(stable_hash(text, 1)),
                  static_cast<unsigned long long>(stable_hash(text, 2)));
    return job_id(digits);
}

/// Collects the records of one group up to its limits.
class batch_partition::group_builder {
public:
    group_builder(incarnation_id writer, std::size_t limit)
        : writer_(std::move(writer)), limit_(limit)
    {
    }

    /// Whether a record with a body of this size still fits. An empty group takes any.
    bool fits(std::size_t body_bytes) const
    {
        return records_.empty() || (records_.size() < group_record_limit &&
                                    bytes_ + record_overhead + body_bytes <= limit_);
    }

    void add(batch_body body, std::size_t body_bytes)
    {
        records_.push_back({writer_, 0, std::move(body)});
        bytes_ += record_overhead + body_bytes;
    }

    /// Adds an item to the last record if that carries items of the same kind and job, else to a
    /// new record.
    template <class Carried>
    void add_item(lease_epoch epoch, const job_id& job, typename Carried::item item)
    {
        bytes_ += record_overhead + item.body.size();
        auto* last = records_.empty() ? nullptr : std::get_if<Carried>(&records_.back().body);
        if (last == nullptr || last->job != job) {
            records_.push_back({writer_, 0, Carried{epoch, job, {}}});
            last = std::get_if<Carried>(&records_.back().body);
        }
        last->items.push_back(std::move(item));
    }

    std::vector<batch_record> take() { return std::move(records_); }
    bool empty() const { return records_.empty(); }

private:
    incarnation_id writer_;
    std::size_t limit_;
    std::size_t bytes_ = 0;
    std::vector<batch_record> records_;
};

batch_partition::batch_partition(batch_settings settings)
    : settings_(std::move(settings)), replay_(replay_settings_of(settings_))
{
}

void batch_partition::apply(const batch_read& read)
{
    if (read.earliest > replay_.next_offset()) {
        replay_.restart_at(read.earliest);
        forget_work();
        opening_due_ = own_epoch_.has_value();
    }
    for (const batch_group& group : read.groups) {
        if (group.offset > replay_.next_offset()) {
            break;
        }
        if (group.offset == replay_.next_offset()) {
            for (const batch_change& change : replay_.apply(group)) {
                on_change(change);
            }
        }
    }
    caught_up_ = replay_.next_offset() >= read.head;
}

void batch_partition::begin(lease_epoch epoch)
{
    forget_work();
    own_epoch_ = epoch;
    opening_due_ = true;
}

void batch_partition::end()
{
    forget_work();
    own_epoch_.reset();
    opening_due_ = false;
}

bool batch_partition::active() const
{
    return opened_ && own_epoch_ == replay_.highest_epoch();
}

std::optional<runnable_item>
batch_partition::next(const std::function<bool(const runnable_item&)>& ready, time_point now)
{
    end_delays(now);
    if (!active() || unwritten_bytes_ >= settings_.unwritten_limit) {
        return std::nullopt;
    }
    while (true) {
        std::optional<runnable_item> item;
        const auto accept = [&](const batch_schedule::candidate& candidate) {
            item = make_item(candidate);
            return ready(*item);
        };
        const bool attempts = attempts_open_ < settings_.attempts_ahead;
        const auto chosen = schedule_.choose(attempts, accept);
        if (!chosen) {
            return std::nullopt;
        }
        if (!chosen->attempt) {
            start(*chosen, *item);
            return item;
        }
        begin_attempt(*chosen);
    }
}

std::uint32_t batch_partition::pending(const service_id& service) const
{
    std::uint32_t count = 0;
    for (const auto& [id, work] : work_) {
        const batch_job* job = replay_.find(id);
        if (active() && job->service == service) {
            count += job->open_items() - work.running - work.unwritten;
        }
    }
    return count;
}

void batch_partition::finished(const job_id& id, std::uint32_t index, item_end how,
                               std::string body, time_point now)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    job_work& work = found->second;
    const auto item = work.items.find(index);
    if (item == work.items.end() || item->second.phase != work_phase::running) {
        return;
    }
    const batch_job& job = *replay_.find(id);
    switch (how) {
    case item_end::answered:
        end_item(id, job, work, index, item_status::succeeded, std::move(body));
        break;
    case item_end::yielded:
        on_yielded(id, job, work, index, std::move(body));
        break;
    case item_end::not_run:
        return_item(job, work, index);
        break;
    case item_end::lost:
        on_lost(id, job, work, index, now);
        break;
    case item_end::rejected:
        if (body.empty()) {
            body = refusal_body(refusal_code::target_refused, run_verdict::ran,
                                "the target cannot do this item");
        }
        end_item(id, job, work, index, item_status::failed, std::move(body));
        break;
    }
}

bool batch_partition::is_cancelled(const job_id& job) const
{
    const batch_job* found = replay_.find(job);
    return found == nullptr || found->cancelled;
}

std::vector<batch_record> batch_partition::take_records(wall_time wall)
{
    if (in_flight_) {
        return {};
    }
    group_builder group(settings_.self, settings_.append_limit);
    if (opening_due_) {
        opening_due_ = false;
        group.add(partition_open{*own_epoch_}, 0);
    }
    if (active()) {
        take_attempts(group);
        take_results(group);
        take_snapshots(group, wall);
        take_carried(group);
    }
    in_flight_ = !group.empty();
    return group.take();
}

bool batch_partition::has_open_work() const
{
    return attempts_open_ > 0 || std::any_of(work_.begin(), work_.end(), [](const auto& entry) {
               return entry.second.running + entry.second.unwritten > 0;
           });
}

void batch_partition::append_acknowledged()
{
    in_flight_ = false;
    unwritten_bytes_ -= in_flight_bytes_;
    in_flight_bytes_ = 0;
}

std::optional<job_status> batch_partition::status(const job_id& job) const
{
    const batch_job* found = replay_.find(job);
    if (found == nullptr) {
        return std::nullopt;
    }
    return status_of(job, *found);
}

std::vector<job_status> batch_partition::list() const
{
    std::vector<job_status> jobs;
    jobs.reserve(replay_.jobs().size());
    for (const auto& [id, job] : replay_.jobs()) {
        jobs.push_back(status_of(id, job));
    }
    return jobs;
}

std::vector<result_reference> batch_partition::results(const job_id& job, std::uint32_t first,
                                                       std::uint32_t limit) const
{
    std::vector<result_reference> results;
    const batch_job* found = replay_.find(job);
    const std::uint32_t size = found == nullptr ? 0 : found->items.size();
    for (std::uint32_t index = first; index < size && results.size() < limit; ++index) {
        if (found->items.ended(index)) {
            const bool succeeded = found->items.state(index) == item_state::succeeded;
            results.push_back({index, succeeded ? item_status::succeeded : item_status::failed,
                               found->items.place(index)});
        }
    }
    return results;
}

std::vector<body_position> batch_partition::plan_carry(wall_time wall)
{
    if (!active()) {
        return {};
    }
    if (!planned_at_ || wall - *planned_at_ >= plan_interval) {
        planned_at_ = wall;
        plan_snapshots(wall);
    }
    if (!bodies_asked_.empty()) {
        return ask_again(wall);
    }
    if (!carried_due_.empty()) {
        return {};
    }
    return ask_next(wall);
}

void batch_partition::provide_body(const body_position& position, std::string body)
{
    const auto asked = bodies_asked_.find(position);
    if (asked == bodies_asked_.end()) {
        return;
    }
    carried_due_.push_back({position, std::move(asked->second), std::move(body)});
    bodies_asked_.erase(asked);
}

std::size_t batch_partition::memory() const
{
    constexpr std::size_t node_overhead = 32;
    std::size_t bytes = replay_.memory() + unwritten_bytes_;
    for (const auto& [id, work] : work_) {
        bytes += sizeof id + sizeof work + node_overhead;
        for (const auto& [index, item] : work.items) {
            bytes += sizeof index + sizeof item + node_overhead + item.resume.capacity();
        }
    }
    for (const carried_body& carried : carried_due_) {
        bytes += sizeof carried + carried.body.capacity();
    }
    return bytes;
}

void batch_partition::on_change(const batch_change& change)
{
    if (change.kind == batch_change::change_kind::partition_opened) {
        on_opened(change.epoch);
        return;
    }
    if (!opened_) {
        return;
    }
    // The whole group has been applied: the job may have ended or be gone by now.
    const batch_job* job = replay_.find(change.job);
    if (job == nullptr || job->ended()) {
        drop_work(change.job);
    }
    switch (change.kind) {
    case batch_change::change_kind::job_opened:
        if (job != nullptr && !job->ended()) {
            add_work(change.job, *job);
        }
        break;
    case batch_change::change_kind::job_anchored:
        snapshots_asked_.erase(change.job);
        carrying_[change.job] = 0;
        break;
    case batch_change::change_kind::item_attempted:
        on_attempted(change.job, change.index);
        break;
    case batch_change::change_kind::item_ended:
        on_ended(change.job, change.index);
        break;
    case batch_change::change_kind::partition_opened:
    case batch_change::change_kind::job_cancelled:
    case batch_change::change_kind::job_forgotten:
        break;
    }
}

void batch_partition::on_opened(lease_epoch epoch)
{
    if (opened_ || own_epoch_ != epoch || opening_due_) {
        return;
    }
    opened_ = true;
    for (const auto& [id, job] : replay_.jobs()) {
        if (!job.ended()) {
            add_work(id, job);
        }
        if (job.uncarried > 0) {
            carrying_[id] = 0;
        }
    }
}

void batch_partition::on_attempted(const job_id& job, std::uint32_t index)
{
    const auto found = work_.find(job);
    if (found == work_.end()) {
        return;
    }
    job_work& work = found->second;
    const auto item = work.items.find(index);
    if (item != work.items.end() && item->second.phase == work_phase::attempting) {
        set_phase(work, index, work_phase::cleared);
        refresh(*replay_.find(job), work);
    }
}

void batch_partition::on_ended(const job_id& job, std::uint32_t index)
{
    const auto found = work_.find(job);
    if (found == work_.end()) {
        return;
    }
    job_work& work = found->second;
    const auto item = work.items.find(index);
    if (item != work.items.end()) {
        leave_phase(work, index, item->second.phase);
        work.items.erase(item);
    }
    refresh(*replay_.find(job), work);
}

void batch_partition::forget_work()
{
    opened_ = false;
    work_.clear();
    schedule_.clear();
    attempts_open_ = 0;
    attempts_due_.clear();
    delayed_.clear();
    results_due_.clear();
    unwritten_bytes_ = 0;
    in_flight_bytes_ = 0;
    planned_at_.reset();
    snapshots_due_.clear();
    snapshots_asked_.clear();
    carrying_.clear();
    bodies_asked_.clear();
    carried_due_.clear();
}

void batch_partition::add_work(const job_id& id, const batch_job& job)
{
    job_work& work = work_[id];
    work.order = {job.opened_at, id};
    work.team = job.team;
    work.service = job.service;
    for (std::uint32_t index = 0; index < job.items.size(); ++index) {
        if (job.items.state(index) == item_state::unknown) {
            end_item(id, job, work, index, item_status::failed, lost_body_body());
        }
        else if (!job.items.ended(index) && job.items.attempted(index)) {
            end_item(id, job, work, index, item_status::failed, unknown_fate_body());
        }
    }
    refresh(job, work);
}

void batch_partition::drop_work(const job_id& id)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    for (const auto& [index, item] : found->second.items) {
        leave_phase(found->second, index, item.phase);
    }
    schedule_.remove(found->second.order, found->second.team, found->second.service);
    work_.erase(found);
}

void batch_partition::refresh(const batch_job& job, job_work& work)
{
    while (work.cursor < job.items.size() &&
           (!is_untouched(job, work.cursor) || work.items.contains(work.cursor))) {
        ++work.cursor;
    }
    const bool untouched = work.cursor < job.items.size() || !work.waiting.empty();
    job_offer offer{job.team, job.service, false, false};
    offer.ready = !work.cleared.empty() || (untouched && job.options.repeatable);
    offer.unattempted = untouched && !job.options.repeatable;
    schedule_.set(work.order, offer);
}

bool batch_partition::is_untouched(const batch_job& job, std::uint32_t index)
{
    return job.items.state(index) == item_state::pending && !job.items.attempted(index);
}

void batch_partition::set_phase(job_work& work, std::uint32_t index, work_phase phase)
{
    item_work& item = work.items[index];
    leave_phase(work, index, item.phase);
    item.phase = phase;
    switch (phase) {
    case work_phase::waiting:
        work.waiting.insert(index);
        break;
    case work_phase::delayed:
        break;
    case work_phase::attempting:
        ++attempts_open_;
        break;
    case work_phase::cleared:
        ++attempts_open_;
        work.cleared.insert(index);
        break;
    case work_phase::running:
        ++work.running;
        break;
    case work_phase::unwritten:
        ++work.unwritten;
        break;
    }
}

void batch_partition::leave_phase(job_work& work, std::uint32_t index, work_phase phase)
{
    switch (phase) {
    case work_phase::waiting:
        work.waiting.erase(index);
        break;
    case work_phase::delayed:
        break;
    case work_phase::attempting:
        --attempts_open_;
        break;
    case work_phase::cleared:
        --attempts_open_;
        work.cleared.erase(index);
        break;
    case work_phase::running:
        --work.running;
        break;
    case work_phase::unwritten:
        --work.unwritten;
        break;
    }
}

std::uint32_t batch_partition::next_index(const job_work& work, bool attempt)
{
    if (!attempt && !work.cleared.empty()) {
        return *work.cleared.begin();
    }
    return work.waiting.empty() ? work.cursor : *work.waiting.begin();
}

runnable_item batch_partition::make_item(const batch_schedule::candidate& candidate) const
{
    const batch_job& job = *replay_.find(candidate.job);
    const job_work& work = work_.at(candidate.job);
    runnable_item item;
    item.job = candidate.job;
    item.index = next_index(work, candidate.attempt);
    item.team = job.team;
    item.service = job.service;
    item.body = job.items.place(item.index);
    item.fingerprint = fingerprint_from(job.team, job.items.body_hash(item.index));
    item.repeatable = job.options.repeatable;
    item.max_tokens = job.options.max_tokens;
    if (const auto found = work.items.find(item.index); found != work.items.end()) {
        item.resume = found->second.resume;
    }
    return item;
}

void batch_partition::begin_attempt(const batch_schedule::candidate& candidate)
{
    job_work& work = work_.at(candidate.job);
    const std::uint32_t index = next_index(work, true);
    set_phase(work, index, work_phase::attempting);
    attempts_due_.push_back({candidate.job, index});
    refresh(*replay_.find(candidate.job), work);
}

void batch_partition::start(const batch_schedule::candidate& candidate, const runnable_item& item)
{
    job_work& work = work_.at(candidate.job);
    set_phase(work, item.index, work_phase::running);
    schedule_.charge(item.team);
    refresh(*replay_.find(candidate.job), work);
}

void batch_partition::end_item(const job_id& id, const batch_job& job, job_work& work,
                               std::uint32_t index, item_status status, std::string body)
{
    if (body.size() > settings_.result_limit) {
        status = item_status::failed;
        body = refusal_body(refusal_code::body_too_large, run_verdict::ran,
                            "the answer is too large to be kept");
    }
    set_phase(work, index, work_phase::unwritten);
    work.items[index].resume = std::string();
    unwritten_bytes_ += body.size() + record_overhead;
    results_due_.push_back({id, index, status, std::move(body)});
    refresh(job, work);
}

void batch_partition::return_item(const batch_job& job, job_work& work, std::uint32_t index)
{
    // The attempt record of an item that certainly did not run still holds.
    const bool attempted = job.items.attempted(index);
    set_phase(work, index, attempted ? work_phase::cleared : work_phase::waiting);
    refresh(job, work);
}

void batch_partition::end_delays(time_point now)
{
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        const item_name item = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        if (phase_of(item) == std::optional(work_phase::delayed)) {
            return_item(*replay_.find(item.job), work_.at(item.job), item.index);
        }
    }
}

void batch_partition::on_lost(const job_id& id, const batch_job& job, job_work& work,
                              std::uint32_t index, time_point now)
{
    if (!job.options.repeatable) {
        end_item(id, job, work, index, item_status::failed, unknown_fate_body());
        return;
    }
    item_work& item = work.items.at(index);
    ++item.tries;
    if (item.tries >= settings_.max_tries) {
        end_item(id, job, work, index, item_status::failed,
                 refusal_body(refusal_code::target_failed, run_verdict::may_have_run,
                              "no answer after the allowed number of tries"));
        return;
    }
    if (item.tries == 1) {
        return_item(job, work, index);
        return;
    }
    const auto doublings = std::min(item.tries - 2, delay_doublings_max);
    const auto delay =
        std::min(settings_.retry_delay_min * (1U << doublings), settings_.retry_delay_max);
    set_phase(work, index, work_phase::delayed);
    delayed_.emplace(now + delay, item_name{id, index});
    refresh(job, work);
}

void batch_partition::on_yielded(const job_id& id, const batch_job& job, job_work& work,
                                 std::uint32_t index, std::string body)
{
    if (!job.options.repeatable) {
        end_item(id, job, work, index, item_status::failed, unknown_fate_body());
        return;
    }
    if (!body.empty()) {
        work.items.at(index).resume = std::move(body);
    }
    return_item(job, work, index);
}

void batch_partition::take_attempts(group_builder& group)
{
    while (!attempts_due_.empty() && group.fits(0)) {
        const item_name& item = attempts_due_.front();
        if (replay_.is_open(item.job, item.index)) {
            group.add(item_attempt{*own_epoch_, item.job, item.index}, 0);
        }
        attempts_due_.pop_front();
    }
}

void batch_partition::take_results(group_builder& group)
{
    while (!results_due_.empty() && group.fits(results_due_.front().body.size())) {
        unwritten_result& result = results_due_.front();
        const std::size_t bytes = result.body.size();
        if (replay_.is_open(result.job, result.index)) {
            in_flight_bytes_ += bytes + record_overhead;
            group.add(item_result{*own_epoch_, std::move(result.job), result.index, result.status,
                                  std::move(result.body)},
                      bytes);
        }
        else {
            unwritten_bytes_ -= bytes + record_overhead;
        }
        results_due_.pop_front();
    }
}

void batch_partition::take_snapshots(group_builder& group, wall_time wall)
{
    while (!snapshots_due_.empty() && group.fits(0)) {
        const job_id id = *snapshots_due_.begin();
        snapshots_due_.erase(snapshots_due_.begin());
        const auto stray = replay_.strays().find(id);
        const batch_job* job = replay_.find(id);
        if (job != nullptr && is_ending(id, *job)) {
            snapshots_asked_.erase(id);
        }
        else if (job != nullptr) {
            job_snapshot snapshot = snapshot_of(*own_epoch_, id, *job);
            if (is_expired(*job, wall)) {
                // Also ends what a late reader takes for a job that was opened later.
                snapshot.opened_at = replay_.log_time();
            }
            group.add(std::move(snapshot), 0);
        }
        else if (stray != replay_.strays().end()) {
            group.add(closing_of(*own_epoch_, id, stray->second), 0);
        }
    }
}

void batch_partition::take_carried(group_builder& group)
{
    while (!carried_due_.empty() && group.fits(carried_due_.front().body.size())) {
        carried_body next = std::move(carried_due_.front());
        carried_due_.pop_front();
        const batch_job* job = replay_.find(next.item.job);
        if (job == nullptr || !needs_carry(*job, next.item.index)) {
            continue;
        }
        if (is_unwritten(next.item) || job->items.place(next.item.index) != next.position) {
            // The body is outdated. Carrying it would hide the result.
            std::uint32_t& index =
                carrying_.try_emplace(next.item.job, next.item.index).first->second;
            index = std::min(index, next.item.index);
            continue;
        }
        take_body(group, *job, std::move(next));
    }
}

void batch_partition::take_body(group_builder& group, const batch_job& job, carried_body carried)
{
    const std::uint32_t index = carried.item.index;
    const item_state state = job.items.state(index);
    if (state == item_state::pending) {
        // An attempt record that was not read back yet may lie in front of the job's next snapshot,
        // which makes this record the one that counts.
        const bool attempted =
            job.items.attempted(index) || phase_of(carried.item) == work_phase::attempting;
        group.add_item<carried_items>(*own_epoch_, carried.item.job,
                                      {index, attempted, std::move(carried.body)});
        return;
    }
    const item_status status =
        state == item_state::succeeded ? item_status::succeeded : item_status::failed;
    group.add_item<carried_results>(*own_epoch_, carried.item.job,
                                    {index, status, std::move(carried.body)});
}

std::optional<batch_partition::work_phase> batch_partition::phase_of(const item_name& item) const
{
    const auto work = work_.find(item.job);
    if (work == work_.end()) {
        return std::nullopt;
    }
    const auto found = work->second.items.find(item.index);
    if (found == work->second.items.end()) {
        return std::nullopt;
    }
    return found->second.phase;
}

bool batch_partition::is_unwritten(const item_name& item) const
{
    return phase_of(item) == work_phase::unwritten;
}

void batch_partition::plan_snapshots(wall_time wall)
{
    if (wall - replay_.partition_opened_at() > settings_.log_retention / 2) {
        opening_due_ = true;
    }
    std::erase_if(snapshots_asked_,
                  [wall](const auto& entry) { return wall - entry.second > snapshot_patience; });
    for (const auto& [id, job] : replay_.jobs()) {
        if (needs_snapshot(job, wall)) {
            ask_snapshot(id, wall);
        }
    }
    for (const auto& [id, at] : replay_.strays()) {
        ask_snapshot(id, wall);
    }
}

void batch_partition::ask_snapshot(const job_id& id, wall_time wall)
{
    if (snapshots_asked_.emplace(id, wall).second) {
        snapshots_due_.insert(id);
    }
}

bool batch_partition::is_expired(const batch_job& job, wall_time wall) const
{
    return job.ended_at && *job.ended_at + settings_.result_retention < wall;
}

bool batch_partition::is_ending(const job_id& id, const batch_job& job) const
{
    const auto work = work_.find(id);
    return work != work_.end() && work->second.unwritten == job.open_items();
}

bool batch_partition::needs_snapshot(const batch_job& job, wall_time wall) const
{
    if (job.ended_at) {
        const wall_time expiry = *job.ended_at + settings_.result_retention;
        if (expiry < wall) {
            // Without a misleading record the job is forgotten by time alone.
            return job.misleading_at.has_value();
        }
        // A job that is forgotten well before its first records leave the log is not carried.
        if (expiry < job.anchored_at + settings_.log_retention * 3 / 4) {
            return false;
        }
    }
    return wall - job.anchored_at > settings_.log_retention / 2;
}

bool batch_partition::needs_carry(const batch_job& job, std::uint32_t index)
{
    const bool wanted =
        job.items.ended(index) || (job.items.state(index) == item_state::pending && !job.cancelled);
    return wanted && job.items.is_before(index, job.anchor);
}

std::vector<body_position> batch_partition::ask_again(wall_time wall)
{
    if (wall - bodies_asked_at_ < body_patience) {
        return {};
    }
    bodies_asked_at_ = wall;
    ++bodies_asked_times_;
    if (bodies_asked_times_ >= body_requests_limit) {
        // Other jobs must not wait for a body that cannot be read.
        carry_failures_ += bodies_asked_.size();
        bodies_asked_.clear();
    }
    std::vector<body_position> positions;
    for (const auto& [position, item] : bodies_asked_) {
        positions.push_back(position);
    }
    return positions;
}

std::vector<body_position> batch_partition::ask_next(wall_time wall)
{
    auto next = carrying_.begin();
    while (next != carrying_.end() && bodies_asked_.size() < settings_.carry_batch) {
        const bool done = ask_of(next->first, next->second);
        next = done ? carrying_.erase(next) : std::next(next);
    }
    bodies_asked_at_ = wall;
    bodies_asked_times_ = 0;
    std::vector<body_position> positions;
    for (const auto& [position, item] : bodies_asked_) {
        positions.push_back(position);
    }
    return positions;
}

bool batch_partition::ask_of(const job_id& id, std::uint32_t& index)
{
    const batch_job* job = replay_.find(id);
    const std::uint32_t size = job == nullptr ? 0 : job->items.size();
    while (index < size && bodies_asked_.size() < settings_.carry_batch) {
        if (is_unwritten({id, index})) {
            return false;
        }
        if (needs_carry(*job, index)) {
            bodies_asked_.emplace(job->items.place(index), item_name{id, index});
        }
        ++index;
    }
    return index >= size;
}

} // namespace gooseberryfall::core
