#pragma once

#include "core/events.hpp"
#include "core/item_table.hpp"
#include "core/messages.hpp"
#include "core/records.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::core {

/// Settings of `batch_replay`. The same on all instances, because they decide what is forgotten.
struct replay_settings {
    std::chrono::milliseconds result_retention{0};
    std::chrono::milliseconds log_retention{0};
    /// Time after which an upload without its closing record is dropped.
    std::chrono::milliseconds upload_lifetime{0};
};

/// A job as the log tells it.
struct batch_job {
    team_id team;
    service_id service;
    job_options options;
    digest content{};
    bool cancelled = false;
    /// Time of the last opening record or snapshot that was ignored since the last snapshot. It
    /// would have an effect for a reader that starts between it and the record that made it
    /// ineffective: that reader takes a second opening for a new job and runs its items again. Such
    /// a job is therefore forgotten by a snapshot record only, which ends what such a reader made
    /// up.
    std::optional<wall_time> misleading_at;
    wall_time opened_at;
    std::optional<wall_time> ended_at;
    /// Time of the oldest record that the job needs, if it has been carried whole since then.
    wall_time anchored_at;
    /// Place of the last snapshot; items in front of it have not been carried since.
    record_position anchor;
    /// Items in front of `anchor`.
    std::uint32_t uncarried = 0;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    item_table items;

    /// Items without a result.
    std::uint32_t open_items() const { return items.size() - succeeded - failed; }
    bool all_ended() const { return open_items() == 0; }

    /// Whether nothing of the job will run any more.
    bool ended() const { return cancelled || all_ended(); }
};

/// Something that applying a group changed.
struct batch_change {
    enum class change_kind {
        partition_opened,
        job_opened,
        job_cancelled,
        job_forgotten,
        job_anchored,
        item_attempted,
        item_ended
    };
    change_kind kind = change_kind::partition_opened;
    lease_epoch epoch = 0;
    job_id job;
    std::uint32_t index = 0;
};

/// State that results from replaying a batch stream. Deterministic, and the same whether a reader
/// starts at the stream's beginning or at any offset that the log's retention allows. Time is the
/// append time of the groups. Not thread-safe.
///
/// How carrying forward keeps this true: a snapshot makes all that is known of a job's items
/// subject to replacement by `carried_items` and `carried_results`. For a reader that saw all
/// records the replacement says the same with a later place; a reader that started late learns what
/// it missed and gives up what it judged wrongly, for example a result of an outdated epoch whose
/// successor's opening it did not see. A snapshot that was written in ignorance of a cancellation
/// has no effect. The holder keeps two rules in return: it carries no body of an item whose result
/// is on its way, and it writes no snapshot of a job whose last results are.
class batch_replay {
public:
    explicit batch_replay(replay_settings settings);

    /// Applies a group and returns what changed. Precondition: `group.offset == next_offset()`.
    std::vector<batch_change> apply(const batch_group& group);

    /// Forgets everything and continues at the log's earliest offset.
    void restart_at(log_offset earliest);

    /// First offset not applied.
    log_offset next_offset() const { return next_offset_; }

    /// Highest epoch seen.
    lease_epoch highest_epoch() const { return highest_epoch_; }

    /// Append time of the last record that opened the highest epoch.
    wall_time partition_opened_at() const { return partition_opened_at_; }

    /// Highest append time seen.
    wall_time log_time() const { return log_time_; }

    const std::map<job_id, batch_job>& jobs() const { return jobs_; }

    /// Unknown jobs of which an opening record or a snapshot was ignored, with the time of that
    /// record. A reader that starts late may take the record for a job. A snapshot whose end is
    /// past the retention ends that; its `opened_at` is the time up to which it covers records.
    const std::map<job_id, wall_time>& strays() const { return strays_; }

    /// A job, or null. Valid until the next `apply`.
    const batch_job* find(const job_id& job) const;

    /// Whether an item of a live job has no result yet.
    bool is_open(const job_id& job, std::uint32_t index) const;

    /// Records that had no effect.
    std::uint64_t ignored() const { return ignored_; }

    /// Hash over jobs and uploads.
    std::uint64_t state_hash() const;

    /// Bytes of memory taken, estimated.
    std::size_t memory() const;

private:
    struct upload_state {
        wall_time started_at;
        item_table items;
    };
    struct writer_state {
        std::uint64_t sequence = 0;
        wall_time seen_at;
    };
    using job_iterator = std::map<job_id, batch_job>::iterator;

    void drop_old_uploads();
    /// Drops writers and strays whose records have left the log.
    void drop_old_entries();
    void forget_expired_jobs();
    void forget(job_iterator job);

    /// Whether a record is the repetition of one that was applied.
    bool is_repeated(const batch_record& record);
    bool apply_record(const batch_record& record, const record_position& position);
    /// Remembers that a record had no effect which it would have for a late reader.
    void note_ignored(const batch_body& body, bool repeated);
    bool apply_body(const partition_open& body, const record_position& position);
    bool apply_body(const upload_chunk& body, const record_position& position);
    bool apply_body(const job_open& body, const record_position& position);
    bool apply_body(const item_attempt& body, const record_position& position);
    bool apply_body(const item_result& body, const record_position& position);
    bool apply_body(const job_cancel& body, const record_position& position);
    bool apply_body(const job_snapshot& body, const record_position& position);
    bool apply_body(const carried_items& body, const record_position& position);
    bool apply_body(const carried_results& body, const record_position& position);

    /// Whether the epoch is not outdated.
    bool admit(lease_epoch epoch);
    /// Whether a snapshot is one that makes its job forgotten.
    bool is_closing(const job_snapshot& body) const;
    bool close_job(const job_snapshot& body);
    void set_result(job_iterator job, std::uint32_t index, const body_position& place,
                    item_status status);
    bool set_carried_body(batch_job& job, const carried_items::item& item,
                          const body_position& place);
    void set_ended(job_iterator job, std::optional<wall_time> at);
    /// Ends the job once all of its items are known and have ended.
    void settle(job_iterator job);
    void note(batch_change::change_kind kind, const job_id& job, std::uint32_t index = 0);

    replay_settings settings_;
    log_offset next_offset_ = 0;
    wall_time log_time_;
    lease_epoch highest_epoch_ = 0;
    wall_time partition_opened_at_;
    std::map<job_id, batch_job> jobs_;
    /// Ended jobs by the time of their end.
    std::set<std::pair<wall_time, job_id>> ended_jobs_;
    std::map<job_id, wall_time> strays_;
    std::map<std::string, upload_state> uploads_;
    /// Uploads in the order of their start.
    std::deque<std::pair<wall_time, std::string>> upload_order_;
    std::map<incarnation_id, writer_state> writers_;
    wall_time entries_dropped_at_;
    std::uint64_t ignored_ = 0;
    std::vector<batch_change> changes_;
};

} // namespace gooseberryfall::core
