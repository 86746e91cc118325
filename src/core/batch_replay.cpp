#include "core/batch_replay.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cstring>
#include <variant>

namespace gooseberryfall::core {

namespace {

/// Items of one job at most. Four times the design scale; bounds the memory of one upload.
constexpr std::uint32_t item_count_limit = 1'000'000;

constexpr std::chrono::milliseconds sweep_interval = std::chrono::hours(1);

/// Accumulates 64-bit words into a hash.
class word_hash {
public:
    void add(std::uint64_t word) { value_ = std::rotl(value_ ^ word, 29) * 0x9e3779b97f4a7c15ULL; }

    /// Eight bytes at a time, because uploads run to hundreds of megabytes.
    void add(const std::string& text)
    {
        std::size_t place = 0;
        for (; place + sizeof(std::uint64_t) <= text.size(); place += sizeof(std::uint64_t)) {
            std::uint64_t word = 0;
            std::memcpy(&word, text.data() + place, sizeof word);
            add(word);
        }
        std::uint64_t rest = 0;
        std::memcpy(&rest, text.data() + place, text.size() - place);
        add(rest);
        add(text.size());
    }

    std::uint64_t value() const { return value_ ^ (value_ >> 32); }

private:
    std::uint64_t value_ = 0x51ed270b7f4a7c15ULL;
};

std::uint64_t hash_of_body(const std::string& body)
{
    word_hash hash;
    hash.add(body);
    return hash.value();
}

void add_place(word_hash& hash, const body_position& place)
{
    hash.add(place.position.offset);
    hash.add((std::uint64_t{place.position.record} << 32) | place.index);
}

void add_items(word_hash& hash, const item_table& items, bool cancelled)
{
    for (std::uint32_t index = 0; index < items.size(); ++index) {
        // What a cancelled job has not run is not carried forward and has no meaning any more.
        if (cancelled && !items.ended(index)) {
            hash.add(0);
            continue;
        }
        const bool attempted = !items.ended(index) && items.attempted(index);
        hash.add((static_cast<std::uint64_t>(items.state(index)) << 1) | (attempted ? 1 : 0));
        add_place(hash, items.place(index));
    }
}

void add_job(word_hash& hash, const job_id& id, const batch_job& job)
{
    hash.add(id.value());
    hash.add(job.team.value());
    hash.add(job.service.value());
    // `misleading_at` is left out: it may refer to a record that has left the log.
    hash.add((job.options.repeatable ? 1U : 0U) | (job.cancelled ? 2U : 0U));
    hash.add(job.options.max_tokens);
    hash.add(std::string(job.content.begin(), job.content.end()));
    hash.add(static_cast<std::uint64_t>(job.opened_at.time_since_epoch().count()));
    hash.add(
        static_cast<std::uint64_t>(job.ended_at.value_or(wall_time()).time_since_epoch().count()));
    hash.add((std::uint64_t{job.succeeded} << 32) | job.failed);
    add_items(hash, job.items, job.cancelled);
}

} // namespace

batch_replay::batch_replay(replay_settings settings) : settings_(settings)
{
    // An upload must be gone, and its job be carried, before its chunks leave the log.
    assert(settings_.upload_lifetime * 4 <= settings_.log_retention);
}

std::vector<batch_change> batch_replay::apply(const batch_group& group)
{
    assert(group.offset == next_offset_);
    changes_.clear();
    log_time_ = std::max(log_time_, group.appended_at);
    drop_old_uploads();
    drop_old_entries();
    forget_expired_jobs();
    record_position position{group.offset, 0};
    for (const batch_record& record : group.records) {
        const bool effective = item_table::fits(position) && apply_record(record, position);
        ignored_ += effective ? 0 : 1;
        ++position.record;
    }
    next_offset_ = group.offset + 1;
    return std::exchange(changes_, {});
}

void batch_replay::restart_at(log_offset earliest)
{
    *this = batch_replay(settings_);
    next_offset_ = earliest;
}

const batch_job* batch_replay::find(const job_id& job) const
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

bool batch_replay::is_open(const job_id& job, std::uint32_t index) const
{
    const batch_job* found = find(job);
    return found != nullptr && !found->cancelled && index < found->items.size() &&
           !found->items.ended(index);
}

std::uint64_t batch_replay::state_hash() const
{
    word_hash hash;
    hash.add(next_offset_);
    for (const auto& [id, job] : jobs_) {
        add_job(hash, id, job);
    }
    for (const auto& [id, upload] : uploads_) {
        hash.add(id);
        add_items(hash, upload.items, false);
    }
    return hash.value();
}

std::size_t batch_replay::memory() const
{
    // Red-black tree nodes carry three pointers and a colour beside their value.
    constexpr std::size_t node_overhead = 32;
    constexpr std::size_t id_bytes = 48;
    std::size_t bytes = sizeof(batch_replay);
    for (const auto& [id, job] : jobs_) {
        bytes += sizeof(job_id) + sizeof(batch_job) + node_overhead + id_bytes + job.items.memory();
    }
    for (const auto& [id, upload] : uploads_) {
        bytes += 2 * id_bytes + sizeof(upload_state) + node_overhead + upload.items.memory();
    }
    return bytes +
           writers_.size() * (sizeof(incarnation_id) + sizeof(writer_state) + node_overhead);
}

void batch_replay::drop_old_uploads()
{
    while (!upload_order_.empty() &&
           upload_order_.front().first + settings_.upload_lifetime < log_time_) {
        const auto upload = uploads_.find(upload_order_.front().second);
        // An upload of the same name may have been started after the first one was closed.
        if (upload != uploads_.end() && upload->second.started_at == upload_order_.front().first) {
            uploads_.erase(upload);
        }
        upload_order_.pop_front();
    }
}

void batch_replay::drop_old_entries()
{
    if (log_time_ - entries_dropped_at_ < sweep_interval) {
        return;
    }
    entries_dropped_at_ = log_time_;
    std::erase_if(writers_, [this](const auto& entry) {
        return entry.second.seen_at + settings_.log_retention < log_time_;
    });
    std::erase_if(strays_, [this](const auto& entry) {
        return entry.second + settings_.log_retention < log_time_;
    });
}

void batch_replay::forget_expired_jobs()
{
    auto next = ended_jobs_.begin();
    while (next != ended_jobs_.end() && next->first + settings_.result_retention < log_time_) {
        const auto job = jobs_.find(next->second);
        ++next;
        if (!job->second.misleading_at) {
            forget(job);
        }
    }
}

void batch_replay::forget(job_iterator job)
{
    if (job->second.ended_at) {
        ended_jobs_.erase({*job->second.ended_at, job->first});
    }
    note(batch_change::change_kind::job_forgotten, job->first);
    jobs_.erase(job);
}

bool batch_replay::is_repeated(const batch_record& record)
{
    // A record without a number is judged by its body alone.
    if (record.sequence == 0) {
        return false;
    }
    writer_state& writer = writers_[record.writer];
    writer.seen_at = log_time_;
    if (record.sequence <= writer.sequence) {
        return true;
    }
    writer.sequence = record.sequence;
    return false;
}

bool batch_replay::apply_record(const batch_record& record, const record_position& position)
{
    const bool repeated = is_repeated(record);
    const bool effective =
        !repeated &&
        std::visit([&](const auto& body) { return apply_body(body, position); }, record.body);
    if (!effective) {
        note_ignored(record.body, repeated);
    }
    return effective;
}

void batch_replay::note_ignored(const batch_body& body, bool repeated)
{
    const auto* open = std::get_if<job_open>(&body);
    const auto* snapshot = std::get_if<job_snapshot>(&body);
    if (open == nullptr && (snapshot == nullptr || is_closing(*snapshot))) {
        return;
    }
    const job_id& id = open != nullptr ? open->job : snapshot->job;
    if (const auto known = jobs_.find(id); known != jobs_.end()) {
        known->second.misleading_at = log_time_;
    }
    else if (snapshot != nullptr || repeated) {
        strays_[id] = log_time_;
    }
}

bool batch_replay::apply_body(const partition_open& body, const record_position&)
{
    if (!admit(body.epoch)) {
        return false;
    }
    partition_opened_at_ = log_time_;
    changes_.push_back({batch_change::change_kind::partition_opened, body.epoch, {}, 0});
    return true;
}

bool batch_replay::apply_body(const upload_chunk& body, const record_position& position)
{
    const auto found = uploads_.find(body.upload);
    const std::uint32_t expected = found == uploads_.end() ? 0 : found->second.items.size();
    if (body.first_index != expected || body.items.empty() ||
        body.items.size() > item_count_limit - expected) {
        return false;
    }
    if (found == uploads_.end()) {
        upload_order_.emplace_back(log_time_, body.upload);
    }
    upload_state& upload =
        uploads_.try_emplace(body.upload, upload_state{log_time_, {}}).first->second;
    std::uint32_t index = 0;
    for (const std::string& item : body.items) {
        upload.items.append({position, index}, hash_of_body(item));
        ++index;
    }
    return true;
}

bool batch_replay::apply_body(const job_open& body, const record_position&)
{
    upload_state upload{log_time_, {}};
    if (const auto found = uploads_.find(body.upload); found != uploads_.end()) {
        upload = std::move(found->second);
        uploads_.erase(found);
    }
    if (jobs_.contains(body.job) || upload.items.size() != body.item_count) {
        return false;
    }
    batch_job job;
    job.team = body.team;
    job.service = body.service;
    job.options = body.options;
    job.content = body.content;
    job.opened_at = log_time_;
    job.anchored_at = upload.started_at;
    job.items = std::move(upload.items);
    job.items.shrink();
    if (const auto stray = strays_.find(body.job); stray != strays_.end()) {
        job.misleading_at = stray->second;
        strays_.erase(stray);
    }
    const auto added = jobs_.emplace(body.job, std::move(job)).first;
    note(batch_change::change_kind::job_opened, body.job);
    settle(added);
    return true;
}

bool batch_replay::apply_body(const item_attempt& body, const record_position&)
{
    if (!admit(body.epoch) || !is_open(body.job, body.index)) {
        return false;
    }
    batch_job& job = jobs_.find(body.job)->second;
    if (job.items.attempted(body.index)) {
        return false;
    }
    job.items.set_attempted(body.index);
    note(batch_change::change_kind::item_attempted, body.job, body.index);
    return true;
}

bool batch_replay::apply_body(const item_result& body, const record_position& position)
{
    if (!admit(body.epoch) || !is_open(body.job, body.index)) {
        return false;
    }
    set_result(jobs_.find(body.job), body.index, {position, 0}, body.status);
    return true;
}

bool batch_replay::apply_body(const job_cancel& body, const record_position&)
{
    const auto job = jobs_.find(body.job);
    if (job == jobs_.end() || job->second.cancelled) {
        return false;
    }
    // A job whose items have all ended is marked, too, so that the mark does not depend on results
    // that a reader which started late may not know.
    job->second.cancelled = true;
    if (!job->second.ended_at) {
        set_ended(job, log_time_);
    }
    note(batch_change::change_kind::job_cancelled, body.job);
    return true;
}

bool batch_replay::apply_body(const job_snapshot& body, const record_position& position)
{
    if (!admit(body.epoch) || body.item_count > item_count_limit) {
        return false;
    }
    auto found = jobs_.find(body.job);
    if (is_closing(body)) {
        return close_job(body);
    }
    if (found == jobs_.end()) {
        found = jobs_.emplace(body.job, batch_job{}).first;
    }
    batch_job& job = found->second;
    if (job.cancelled && !body.cancelled) {
        return false;
    }
    if (job.items.size() != body.item_count || job.content != body.content) {
        job.items = {};
        job.items.append_unknown(body.item_count);
        job.succeeded = 0;
        job.failed = 0;
    }
    job.team = body.team;
    job.service = body.service;
    job.options = body.options;
    job.content = body.content;
    job.cancelled = body.cancelled;
    job.misleading_at.reset();
    job.opened_at = body.opened_at;
    job.anchored_at = log_time_;
    job.anchor = position;
    job.uncarried = body.item_count;
    job.items.begin_snapshot();
    note(batch_change::change_kind::job_anchored, body.job);
    set_ended(found, body.ended_at);
    settle(found);
    return true;
}

bool batch_replay::apply_body(const carried_items& body, const record_position& position)
{
    const auto job = jobs_.find(body.job);
    if (!admit(body.epoch) || job == jobs_.end()) {
        return false;
    }
    bool effective = false;
    std::uint32_t index = 0;
    for (const carried_items::item& item : body.items) {
        effective = set_carried_body(job->second, item, {position, index}) || effective;
        ++index;
    }
    return effective;
}

bool batch_replay::apply_body(const carried_results& body, const record_position& position)
{
    const auto job = jobs_.find(body.job);
    if (!admit(body.epoch) || job == jobs_.end()) {
        return false;
    }
    bool effective = false;
    std::uint32_t index = 0;
    for (const carried_results::item& item : body.items) {
        if (item.index < job->second.items.size()) {
            set_result(job, item.index, {position, index}, item.status);
            effective = true;
        }
        ++index;
    }
    return effective;
}

bool batch_replay::admit(lease_epoch epoch)
{
    // A reader that starts after the opening record learns the epoch from later records.
    highest_epoch_ = std::max(highest_epoch_, epoch);
    return epoch == highest_epoch_;
}

bool batch_replay::is_closing(const job_snapshot& body) const
{
    return body.ended_at && *body.ended_at + settings_.result_retention < log_time_;
}

bool batch_replay::close_job(const job_snapshot& body)
{
    // Neither a job that was opened after the record was written is forgotten, nor one for which a
    // further misleading record was appended in the meantime.
    const auto job = jobs_.find(body.job);
    if (job != jobs_.end()) {
        const bool covers = job->second.opened_at <= body.opened_at &&
                            job->second.misleading_at.value_or(wall_time()) <= body.opened_at;
        if (covers) {
            forget(job);
        }
        return covers;
    }
    const auto stray = strays_.find(body.job);
    if (stray == strays_.end() || stray->second > body.opened_at) {
        return false;
    }
    strays_.erase(stray);
    return true;
}

void batch_replay::set_result(job_iterator job, std::uint32_t index, const body_position& place,
                              item_status status)
{
    batch_job& state = job->second;
    if (state.items.ended(index)) {
        --(state.items.state(index) == item_state::succeeded ? state.succeeded : state.failed);
    }
    else {
        note(batch_change::change_kind::item_ended, job->first, index);
    }
    if (state.items.is_before(index, state.anchor)) {
        --state.uncarried;
    }
    state.items.set_result(index, place, status);
    ++(status == item_status::succeeded ? state.succeeded : state.failed);
    settle(job);
}

bool batch_replay::set_carried_body(batch_job& job, const carried_items::item& item,
                                    const body_position& place)
{
    if (item.index >= job.items.size()) {
        return false;
    }
    const bool uncarried = job.items.is_before(item.index, job.anchor);
    if (job.items.ended(item.index)) {
        // The item ended after its body was read, or it never did: a reader that starts late may
        // have counted a result of an outdated epoch.
        if (!uncarried) {
            return false;
        }
        --(job.items.state(item.index) == item_state::succeeded ? job.succeeded : job.failed);
    }
    job.uncarried -= uncarried ? 1 : 0;
    job.items.set_body(item.index, place, hash_of_body(item.body), item.attempted);
    return true;
}

void batch_replay::set_ended(job_iterator job, std::optional<wall_time> at)
{
    if (job->second.ended_at) {
        ended_jobs_.erase({*job->second.ended_at, job->first});
    }
    job->second.ended_at = at;
    if (at) {
        job->second.items.release_hashes();
        ended_jobs_.emplace(*at, job->first);
    }
}

void batch_replay::settle(job_iterator job)
{
    // The end is set only when all items have been carried, because a reader that starts at the
    // snapshot does not know earlier.
    const batch_job& state = job->second;
    if (!state.ended_at && state.all_ended() && state.uncarried == 0) {
        set_ended(job, log_time_);
    }
}

void batch_replay::note(batch_change::change_kind kind, const job_id& job, std::uint32_t index)
{
    changes_.push_back({kind, 0, job, index});
}

} // namespace gooseberryfall::core
