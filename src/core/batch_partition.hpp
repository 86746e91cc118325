#pragma once

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
    std::uint32_t max_tries = 5;
    /// Bytes of results that wait for their append at most; no item is started beyond.
    std::size_t unwritten_limit = 8U << 20U;
    /// Bytes of bodies in one append.
    std::size_t append_limit = 256U << 10U;
};

/// An item to be run.
struct runnable_item {
    job_id job;
    std::uint32_t index = 0;
    team_id team;
    service_id service;
    body_position body;
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
    /// Refused by the quarantine.
    quarantined,
};

/// Replay of one batch stream, the state of its items, and the choice of what runs next. The bodies
/// stay in the log: an item keeps the place of its body or result. Deterministic. Not thread-safe.
class batch_partition {
public:
    explicit batch_partition(batch_settings settings);

    /// Applies the groups of a read, in order; offsets already applied are skipped.
    void apply(const batch_read& read);

    /// First offset not applied.
    log_offset next_offset() const { return next_offset_; }

    /// Whether the stream has been applied up to the head that the last read named.
    bool caught_up() const { return caught_up_; }

    /// This instance holds the partition under `epoch`: an opening record is queued. Items run only
    /// after it has been read back.
    void begin(lease_epoch epoch);

    /// This instance holds the partition no more. What ran is forgotten.
    void end();

    /// Whether items may run: the opening record has been read back and no later epoch was seen.
    bool active() const;

    /// Next item to run whose service `ready` accepts, fair between teams; the item counts as
    /// running. Nothing if none is ready, too many results wait for their append, or items that may
    /// not be repeated still wait for their attempt record.
    std::optional<runnable_item> next(const std::function<bool(const runnable_item&)>& ready,
                                      time_point now);

    /// Items that wait to be run, by service.
    std::uint32_t pending(const service_id& service) const;

    /// Running an item ended.
    void finished(const job_id& job, std::uint32_t index, item_end how, std::string body,
                  time_point now);

    /// Whether the job is cancelled, or is unknown: its running items are to be cancelled.
    bool is_cancelled(const job_id& job) const;

    /// Records to append as one group, at most `append_limit` bytes; empty if nothing is due. The
    /// caller appends one group at a time and calls again after `append_acknowledged`.
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

    /// Carries old data forward and forgets jobs whose results are past their retention; what is to
    /// be written comes with `take_records`. Returns bodies to be read first; see `provide_bodies`.
    std::vector<body_position> plan_carry(wall_time wall);

    /// Gives a body asked for by `plan_carry`.
    void provide_body(const body_position& position, std::string body);

    /// Records that had no effect.
    std::uint64_t ignored() const { return ignored_; }

    /// Hash over the state that results from replay.
    std::uint64_t state_hash() const;

    /// Bytes of memory that the state takes, estimated.
    std::size_t memory() const;

private:
    enum class item_phase : std::uint8_t { pending, attempting, running, succeeded, failed };

    struct item_state {
        body_position body;
        digest fingerprint{};
        item_phase phase = item_phase::pending;
        bool attempted = false;
        std::uint8_t tries = 0;
    };
    struct job_state {
        team_id team;
        service_id service;
        job_options options;
        digest content{};
        bool cancelled = false;
        wall_time opened_at;
        std::optional<wall_time> ended_at;
        std::uint32_t succeeded = 0;
        std::uint32_t failed = 0;
        std::vector<item_state> items;
    };

    batch_settings settings_;
    log_offset next_offset_ = 0;
    bool caught_up_ = false;
    lease_epoch highest_epoch_ = 0;
    std::optional<lease_epoch> own_epoch_;
    std::map<job_id, job_state> jobs_;
    std::uint64_t ignored_ = 0;
};

} // namespace gooseberryfall::core
