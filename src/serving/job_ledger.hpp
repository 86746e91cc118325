#pragma once

#include "core/types.hpp"
#include "serving/desired_state.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberryfall::serving {

/// One request of a batch job.
struct job_item {
    std::string id;
    /// Path at the target.
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Tokens of the prompt and the longest output together.
    std::uint64_t tokens = 0;

    bool operator==(const job_item&) const = default;
};

/// A job as submitted. The caller chooses the id, which identifies the job.
struct job_submission {
    std::string id;
    core::team_id team;
    /// Name of the route.
    std::string route;
    std::vector<job_item> items;

    bool operator==(const job_submission&) const = default;
};

/// How an item ended.
enum class result_state { complete, dead_letter };

/// Result of an item at its position in the job's list.
struct job_result {
    std::uint32_t item = 0;
    result_state state = result_state::complete;
    std::string output;

    bool operator==(const job_result&) const = default;
};

/// Output that the interrupted run of an item has generated.
struct item_progress {
    /// Id of the last event; unset if there was none.
    std::optional<std::uint64_t> last_event;
    /// Data of the events so far, joined by line feeds.
    std::string text;

    bool operator==(const item_progress&) const = default;
};

// Records of a partition, from which its ledger can be rebuilt.

/// A job is accepted. Written before the submission is confirmed to the caller.
struct job_accepted {
    job_submission job;
    core::wall_time accepted_at;
};

/// An item has a result, at a fixed position in the job's list of results.
struct item_finished {
    std::string job;
    std::uint32_t position = 0;
    job_result result;
};

/// The caller has closed the job.
struct job_closed {
    std::string job;
};

/// Progress of an unfinished item.
struct item_progressed {
    std::string job;
    std::uint32_t item = 0;
    item_progress progress;
};

/// Failed runs of an unfinished item. Replaces the earlier record of the item.
struct item_failed {
    std::string job;
    std::uint32_t item = 0;
    /// Number of runs that a target answered as failed.
    std::uint32_t failures = 0;
};

using job_record =
    std::variant<job_accepted, item_finished, job_closed, item_progressed, item_failed>;

/// Identifies an item of the ledger.
struct item_key {
    std::string job;
    std::uint32_t item = 0;

    auto operator<=>(const item_key&) const = default;
};

/// Outcome of a submission.
enum class accept_result {
    /// New; the record has to be written before the submission is confirmed to the caller.
    newly_accepted,
    /// It was accepted before.
    duplicate,
    /// Its record is being written.
    write_pending,
    /// The team's pending tokens would exceed the route's limit.
    over_limit,
};

/// An item that is ready to run.
struct runnable_item {
    item_key key;
    core::wall_time due_at;
    /// Service whose targets run it.
    core::service_id service;
    /// Upper bound of the tokens that are left to generate.
    std::uint64_t tokens_left = 0;
};

/// Settings of `job_ledger`.
struct ledger_settings {
    /// Retry delay of an item after its first failed run; doubles with each further one, and starts
    /// over when a run makes progress.
    std::chrono::milliseconds retry_delay_min{200};
    std::chrono::milliseconds retry_delay_max{3000};
};

/// Jobs of one partition: which were accepted, which items have run, and the position of each
/// result. Only the owner of the partition has a valid ledger: the store rejects the records of a
/// replaced owner. Deterministic; not thread-safe.
class job_ledger {
public:
    explicit job_ledger(ledger_settings settings = {}) : settings_(settings) {}

    /// Applies a record that was read from the store, in any order of keys.
    void load(job_record record);

    /// Call after all records have been loaded.
    void finish_loading();

    /// Accepts or rejects a submission. If the result is `newly_accepted`, sets `record`, and
    /// `confirm_accepted` has to be called once it is written. `pending_tokens_max` of 0 means no
    /// limit.
    accept_result accept(const job_submission& job, core::wall_time now,
                         std::uint64_t pending_tokens_max, std::optional<job_record>& record);

    /// The record of the job's acceptance has been written.
    void confirm_accepted(const std::string& job);

    /// Whether the job is accepted and its record written.
    bool has(const std::string& job) const;

    /// Whether the job is accepted, or its record is being written.
    bool holds(const std::string& job) const { return jobs_.contains(job); }

    /// Team of an accepted job; the empty team if there is none.
    core::team_id team_of(const std::string& job) const;

    /// Route of an accepted job; empty if there is none.
    std::string route_of(const std::string& job) const;

    /// Closes a job: none of its items runs from now on, whether it is cancelled or deleted.
    /// Returns the record to be written, or nothing if it is written already. Precondition: the job
    /// is known.
    std::optional<job_record> close(const std::string& job);

    /// The record of the job's closing has been written.
    void confirm_closed(const std::string& job);

    /// Items that are ready to run, the earliest deadline first within each service. Each service
    /// has its own places, so that items that can't run do not delay those of other services.
    /// `routes` holds the batch routes by name; jobs of other routes are left out. `places` holds
    /// the maximum number of items of each service; a service that isn't named has none.
    std::vector<runnable_item> runnable(const std::map<std::string, const route*>& routes,
                                        const std::map<core::service_id, std::size_t>& places,
                                        core::time_point now) const;

    /// Sets whether the item is being run. Clear it when a run has ended without a result.
    void set_running(const item_key& key, bool running);

    /// A run has failed; the item is retried after a delay. `target_failed`: the target has
    /// reported the failure. Returns the number of failures that targets have reported.
    std::uint32_t record_failure(const item_key& key, bool target_failed, core::time_point now);

    /// Sets the progress of the item's run.
    void advance(const item_key& key, item_progress progress);

    /// The item has ended. Returns the record to be written, or nothing if the item is unknown or
    /// has a result already. The result is readable once it is confirmed.
    std::optional<job_record> finish(const item_key& key, result_state state, std::string output);

    /// The record of a result has been written.
    void confirm_finished(const std::string& job, std::uint32_t position);

    /// Records of all progress of at least `step` bytes more than was written before.
    std::vector<job_record> progress_records(std::size_t step);

    /// Item, its progress, and the time of the job's acceptance. Precondition: the item or job
    /// exists.
    const job_item& item(const item_key& key) const;
    const item_progress& progress(const item_key& key) const;
    core::wall_time accepted_at(const std::string& job) const;

    /// Body of an item of an accepted job, or null.
    const std::string* body(const std::string& job, const std::string& item) const;

    /// Number of items; 0 if the job is unknown.
    std::uint32_t item_count(const std::string& job) const;

    /// Confirmed results starting at position `first_position`, at most `bytes_max` bytes of output
    /// but at least one result.
    std::vector<job_result> results(const std::string& job, std::uint32_t first_position,
                                    std::size_t bytes_max) const;

    /// Id of an item. Precondition: the item exists.
    const std::string& item_id(const item_key& key) const { return item(key).id; }

    /// Jobs that were accepted before `limit` and have ended: no items are left to run, and all
    /// results are written.
    std::vector<std::string> deletable_jobs(core::wall_time limit) const;

    /// Removes a job. Precondition: it has ended.
    void remove(const std::string& job);

    /// Number of items without a result in accepted jobs that are not closed.
    std::size_t pending_items() const;

    /// Pending items of all jobs, in no particular order.
    std::vector<item_key> pending_item_keys() const;

    /// Tokens of a team's pending items on a route.
    std::uint64_t pending_tokens(const core::team_id& team, const std::string& route) const;

private:
    struct item_entry {
        job_item spec;
        item_progress progress;
        std::size_t written_progress = 0;
        bool running = false;
        /// Has a result, written or being written.
        bool finished = false;
        std::uint32_t failures = 0;
        std::uint32_t retries = 0;
        core::time_point retry_at{};
    };
    struct job_entry {
        core::team_id team;
        std::string route;
        core::wall_time accepted_at;
        std::vector<item_entry> items;
        /// By position; those below `confirmed` are readable.
        std::vector<job_result> results;
        std::vector<bool> written;
        std::uint32_t confirmed = 0;
        /// The record of its acceptance is being written.
        bool acceptance_pending = false;
        bool closed = false;
        /// The record of its closing is in the log.
        bool close_written = false;
    };

    item_entry* find_item(const item_key& key);
    static void update_confirmed(job_entry& job);

    ledger_settings settings_;
    std::map<std::string, job_entry> jobs_;
    /// Loaded records that `finish_loading` applies, since those of the jobs may come after them.
    std::vector<job_record> unapplied_;
};

} // namespace gooseberryfall::serving
