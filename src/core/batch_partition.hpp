#pragma once

#include "core/batch_replay.hpp"
#include "core/batch_schedule.hpp"
#include "core/events.hpp"
#include "core/messages.hpp"
#include "core/records.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::core {

/// Partition that a job belongs to. Precondition: `partitions` is above 0. Thread-safe.
std::uint32_t partition_of(const job_id& job, std::uint32_t partitions);

/// Id of a team's job: hash of team and idempotency key. Thread-safe.
job_id job_id_of(const team_id& team, const std::string& idempotency_key);

/// Settings of `batch_partition`.
struct batch_settings {
    std::uint32_t partition = 0;
    incarnation_id self;
    /// Time for which results are kept after a job has ended.
    std::chrono::milliseconds result_retention = std::chrono::hours(72);
    /// Retention of the log; data older than half of it is carried forward.
    std::chrono::milliseconds log_retention = std::chrono::hours(24 * 7);
    /// Failed tries after which an item ends as failed.
    std::uint32_t max_tries = 6;
    /// Delay of an item before its third try; doubles with each further one. A burst of crashes
    /// must not use up the tries of an item that is sound.
    std::chrono::milliseconds retry_delay_min{1000};
    std::chrono::milliseconds retry_delay_max{30000};
    /// Bytes of results that wait for their append at most; no item is started beyond.
    std::size_t unwritten_limit = 8U << 20U;
    /// Bytes of bodies in one append.
    std::size_t append_limit = 256U << 10U;
    /// Bytes of one result at most. A longer one would not fit the log's record size of 1 MiB and
    /// could never be written; the item ends as failed.
    std::size_t result_limit = 960U << 10U;
    /// Time after which an upload without its closing record is dropped.
    std::chrono::milliseconds upload_lifetime = std::chrono::hours(1);
    /// Items that have an attempt record, or wait for it, and have not been sent. If the holder
    /// dies, they end as failed without having run.
    std::uint32_t attempts_ahead = 8;
    /// Bodies that are carried forward at once.
    std::uint32_t carry_batch = 16;
};

/// An item to be run.
struct runnable_item {
    job_id job;
    std::uint32_t index = 0;
    team_id team;
    service_id service;
    body_position body;
    /// Hash of team and body: the same for the same body.
    digest fingerprint{};
    bool repeatable = true;
    std::uint32_t max_tokens = 0;
    /// Text generated before an interruption.
    std::string resume;
};

/// How running an item ended.
enum class item_end {
    /// The target answered; the body is the result.
    answered,
    /// Cancelled to make room for online work; the body is the text generated so far.
    yielded,
    /// Certainly not run.
    not_run,
    /// May have run.
    lost,
    /// The target answered that this item cannot be done.
    rejected,
};

/// One batch stream and its items: replays the stream and, while this instance holds the partition,
/// chooses what runs next and says what is to be written. The bodies stay in the log: an item keeps
/// the place of its body or result. Deterministic. Not thread-safe.
class batch_partition {
public:
    /// Precondition: the log's retention is at least four times the lifetime of uploads.
    explicit batch_partition(batch_settings settings);

    /// Applies the groups of a read, in order; offsets already applied are skipped. If the log has
    /// lost groups that were not applied, everything is forgotten and replay starts at its earliest
    /// offset; a holder then opens the partition again.
    void apply(const batch_read& read);

    /// First offset not applied.
    log_offset next_offset() const { return replay_.next_offset(); }

    /// Whether the stream has been applied up to the head that the last read named.
    bool caught_up() const { return caught_up_; }

    /// This instance holds the partition under `epoch`: an opening record is queued. Items run only
    /// after it has been read back.
    void begin(lease_epoch epoch);

    /// This instance holds the partition no more. What ran is forgotten. A group that is being
    /// appended is still to be acknowledged.
    void end();

    /// Whether items may run: the opening record has been read back and no later epoch was seen.
    bool active() const;

    /// Next item to run whose service `ready` accepts, in turn between teams, oldest job first
    /// within a team; the item counts as running. Nothing if none is ready, too many results wait
    /// for their append, or items that may not be repeated still wait for their attempt record.
    /// `ready` is asked about each service once, or once more for each attempt record.
    std::optional<runnable_item> next(const std::function<bool(const runnable_item&)>& ready,
                                      time_point now);

    /// Items that wait to be run, by service. 0 unless active.
    std::uint32_t pending(const service_id& service) const;

    /// Whether items run, or attempts or results have not been read back.
    bool has_open_work() const;

    /// Running an item ended. Ignored unless the item was handed out and is still to be run. With
    /// `yielded` the body is the whole text generated so far; an item that may not be repeated
    /// ends as failed then, since sending it again would run it twice. With `rejected` an empty
    /// body stands for a refusal by the target.
    void finished(const job_id& job, std::uint32_t index, item_end how, std::string body,
                  time_point now);

    /// Whether the job is cancelled, or is unknown: its running items are to be cancelled.
    bool is_cancelled(const job_id& job) const;

    /// Records to append as one group, at most `append_limit` bytes of bodies if there is more than
    /// one; empty if nothing is due or the last group was not acknowledged yet. Sequence numbers
    /// are 0: the caller numbers the records, because it appends others to the stream, too.
    std::vector<batch_record> take_records(wall_time wall);

    /// The last group was acknowledged by the log.
    void append_acknowledged();

    /// State of a job, or nothing.
    std::optional<job_status> status(const job_id& job) const;

    /// States of all jobs.
    std::vector<job_status> list() const;

    /// Places of results from index `first` on, at most `limit`.
    std::vector<result_reference> results(const job_id& job, std::uint32_t first,
                                          std::uint32_t limit) const;

    /// Plans what is to be carried forward; to be called every second or so while active. What is
    /// to be written comes with `take_records`. Returns bodies to be read first; see
    /// `provide_body`. Bodies that are not provided are asked for again.
    std::vector<body_position> plan_carry(wall_time wall);

    /// Gives a body asked for by `plan_carry`.
    void provide_body(const body_position& position, std::string body);

    /// Records that had no effect.
    std::uint64_t ignored() const { return replay_.ignored(); }

    /// Bodies that could not be read in order to be carried forward.
    std::uint64_t carry_failures() const { return carry_failures_; }

    /// Hash over the state that results from replay.
    std::uint64_t state_hash() const { return replay_.state_hash(); }

    /// Bytes of memory that the state takes, estimated.
    std::size_t memory() const;

private:
    enum class work_phase : std::uint8_t {
        /// Waits to be run; was handed out before.
        waiting,
        /// Its target died more than once; it waits before it is run again.
        delayed,
        /// Its attempt record has not been read back.
        attempting,
        /// May be sent; its attempt record has been read back.
        cleared,
        running,
        /// Its result has not been read back.
        unwritten,
    };
    /// An item that this holder has begun with.
    struct item_work {
        work_phase phase = work_phase::waiting;
        std::uint32_t tries = 0;
        std::string resume;
    };
    /// A live job at its holder.
    struct job_work {
        job_order order;
        team_id team;
        service_id service;
        /// First item that was not looked at yet.
        std::uint32_t cursor = 0;
        std::map<std::uint32_t, item_work> items;
        std::set<std::uint32_t> waiting;
        std::set<std::uint32_t> cleared;
        std::uint32_t running = 0;
        /// Items whose result is to be read back.
        std::uint32_t unwritten = 0;
    };
    struct unwritten_result {
        job_id job;
        std::uint32_t index = 0;
        item_status status = item_status::succeeded;
        std::string body;
    };
    struct item_name {
        job_id job;
        std::uint32_t index = 0;
    };
    struct carried_body {
        body_position position;
        item_name item;
        std::string body;
    };
    class group_builder;

    void on_change(const batch_change& change);
    void on_opened(lease_epoch epoch);
    void on_attempted(const job_id& job, std::uint32_t index);
    void on_ended(const job_id& job, std::uint32_t index);
    void forget_work();

    /// Begins to work on a job; items that must not run end as failed.
    void add_work(const job_id& id, const batch_job& job);
    void drop_work(const job_id& id);
    /// Tells the schedule what the job offers.
    void refresh(const batch_job& job, job_work& work);
    static bool is_untouched(const batch_job& job, std::uint32_t index);
    void set_phase(job_work& work, std::uint32_t index, work_phase phase);
    void leave_phase(job_work& work, std::uint32_t index, work_phase phase);
    static std::uint32_t next_index(const job_work& work, bool attempt);
    runnable_item make_item(const batch_schedule::candidate& candidate) const;
    void begin_attempt(const batch_schedule::candidate& candidate);
    void start(const batch_schedule::candidate& candidate, const runnable_item& item);

    void end_item(const job_id& id, const batch_job& job, job_work& work, std::uint32_t index,
                  item_status status, std::string body);
    void return_item(const batch_job& job, job_work& work, std::uint32_t index);
    void on_lost(const job_id& id, const batch_job& job, job_work& work, std::uint32_t index,
                 time_point now);
    /// Makes the items wait to be run whose delay has passed.
    void end_delays(time_point now);
    void on_yielded(const job_id& id, const batch_job& job, job_work& work, std::uint32_t index,
                    std::string body);

    void take_attempts(group_builder& group);
    void take_results(group_builder& group);
    void take_snapshots(group_builder& group, wall_time wall);
    void take_carried(group_builder& group);

    void plan_snapshots(wall_time wall);
    void ask_snapshot(const job_id& id, wall_time wall);
    bool is_expired(const batch_job& job, wall_time wall) const;
    /// Whether the last results of a job are on their way to the log.
    bool is_ending(const job_id& id, const batch_job& job) const;
    bool needs_snapshot(const batch_job& job, wall_time wall) const;
    /// Phase of an item that this holder has begun with.
    std::optional<work_phase> phase_of(const item_name& item) const;
    /// Whether a result of the item is on its way to the log.
    bool is_unwritten(const item_name& item) const;
    /// Adds a body to the group as what its item is now.
    void take_body(group_builder& group, const batch_job& job, carried_body carried);
    static bool needs_carry(const batch_job& job, std::uint32_t index);
    std::vector<body_position> ask_again(wall_time wall);
    std::vector<body_position> ask_next(wall_time wall);
    /// Asks for bodies of one job from its index on, and says whether it was looked through.
    bool ask_of(const job_id& id, std::uint32_t& index);

    batch_settings settings_;
    batch_replay replay_;
    bool caught_up_ = false;

    std::optional<lease_epoch> own_epoch_;
    bool opening_due_ = false;
    bool opened_ = false;
    std::map<job_id, job_work> work_;
    batch_schedule schedule_;

    /// Items in the phases `attempting` and `cleared`.
    std::uint32_t attempts_open_ = 0;
    std::deque<item_name> attempts_due_;
    std::multimap<time_point, item_name> delayed_;
    std::deque<unwritten_result> results_due_;
    std::size_t unwritten_bytes_ = 0;
    std::size_t in_flight_bytes_ = 0;
    bool in_flight_ = false;

    std::optional<wall_time> planned_at_;
    std::set<job_id> snapshots_due_;
    /// When a snapshot was last asked for, until it is read back.
    std::map<job_id, wall_time> snapshots_asked_;
    /// Jobs whose items are being carried forward, with the next index to look at.
    std::map<job_id, std::uint32_t> carrying_;
    std::map<body_position, item_name> bodies_asked_;
    wall_time bodies_asked_at_;
    std::uint32_t bodies_asked_times_ = 0;
    std::deque<carried_body> carried_due_;
    std::uint64_t carry_failures_ = 0;
};

} // namespace gooseberryfall::core
