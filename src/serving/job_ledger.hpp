#pragma once

#include "core/types.hpp"

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

/// A job as it was submitted. The id is the caller's; a job of the same id is the same job.
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

/// What an item's interrupted run has generated.
struct item_progress {
    std::optional<std::uint64_t> last_event;
    /// Data of the events so far, joined by line feeds.
    std::string text;

    bool operator==(const item_progress&) const = default;
};

// Records of a partition. They are enough to rebuild its ledger.

/// A job was accepted. Written before the caller is told so.
struct job_opened {
    job_submission job;
    core::wall_time accepted_at;
};

/// A result stands at a position from now on.
struct item_finished {
    std::string job;
    std::uint32_t position = 0;
    job_result result;
};

/// The caller has ended the job.
struct job_closed {
    std::string job;
};

/// An unfinished item has come so far.
struct item_advanced {
    std::string job;
    std::uint32_t item = 0;
    item_progress progress;
};

using job_record = std::variant<job_opened, item_finished, job_closed, item_advanced>;

/// Names an item of the ledger.
struct item_key {
    std::string job;
    std::uint32_t item = 0;

    auto operator<=>(const item_key&) const = default;
};

/// What comes of a submission.
enum class accept_verdict {
    /// New; the record has to be written before the caller is told.
    opened,
    /// It was accepted before.
    known,
    /// Its record is being written.
    opening,
    /// The team's tokens that wait would exceed the route's limit.
    over_limit,
};

/// An item that may be run.
struct runnable_item {
    item_key key;
    core::wall_time due_at;
    /// Tokens that are left to generate, at most.
    std::uint64_t tokens_left = 0;
};

/// Settings of `job_ledger`.
struct ledger_settings {
    /// Pause of an item after its first failed run; doubled with each one that follows.
    std::chrono::milliseconds first_pause{200};
    std::chrono::milliseconds pause_max{3000};
};

/// Jobs of one partition: what was accepted, what has run, and at which position each result
/// stands. Whoever owns the partition has the only ledger; the store rejects the records of an
/// owner that was replaced. Deterministic; not thread-safe.
class job_ledger {
public:
    explicit job_ledger(ledger_settings settings = {}) : settings_(settings) {}

    /// Applies a record that was read from the store, in any order of keys.
    void load(job_record record);

    /// To be called when all records have been loaded.
    void finish_loading();

    /// Takes a submission. If it is `opened`, `record` is set and `opened` has to be called once it
    /// is written. `waiting_max` of 0 means no limit.
    accept_verdict accept(const job_submission& job, core::wall_time now, std::uint64_t waiting_max,
                          std::optional<job_record>& record);

    /// The job's record has been written.
    void confirm_opened(const std::string& job);

    /// Whether the job is known and accepted.
    bool has(const std::string& job) const;

    /// Team of an accepted job; the empty team if there is none.
    core::team_id team_of(const std::string& job) const;

    /// Route of an accepted job; empty if there is none.
    std::string route_of(const std::string& job) const;

    /// Ends a job. Returns the record to be written, or nothing if it is written already.
    /// Precondition: the job is known.
    std::optional<job_record> close(const std::string& job);

    /// The record of a job's end has been written.
    void confirm_closed(const std::string& job);

    /// Items that may run now, the most urgent first, at most `limit`. `objective` is the time
    /// that a route's jobs have.
    std::vector<runnable_item>
    runnable(const std::map<std::string, std::chrono::milliseconds>& objectives, std::size_t limit,
             core::time_point now) const;

    /// The item is being run, or its run has ended without a result.
    void set_running(const item_key& key, bool running);

    /// A run has failed; the item pauses. `counts` if the target answered that it failed.
    /// Returns the number of failures that count.
    std::uint32_t record_failure(const item_key& key, bool counts, core::time_point now);

    /// The item's run has come so far.
    void advance(const item_key& key, item_progress progress);

    /// The item has ended. Returns the record to be written, or nothing if it has a result already
    /// or its job is closed. The result can be read once it is confirmed.
    std::optional<job_record> finish(const item_key& key, result_state state, std::string output);

    /// The record of a result has been written.
    void confirm_finished(const std::string& job, std::uint32_t position);

    /// Progress that is worth writing: at least `step` bytes more than was written before.
    std::vector<job_record> progress_records(std::size_t step);

    /// Item, progress and acceptance. Precondition: the item exists.
    const job_item& item(const item_key& key) const;
    const item_progress& progress(const item_key& key) const;
    core::wall_time accepted_at(const std::string& job) const;

    /// Body of an item of an accepted job, or null.
    const std::string* body(const std::string& job, const std::string& item) const;

    /// Number of items; 0 if the job is not known.
    std::uint32_t item_count(const std::string& job) const;

    /// Confirmed results from a position on, at most `bytes_max` bytes of output but at least one.
    std::vector<job_result> results(const std::string& job, std::uint32_t from,
                                    std::size_t bytes_max) const;

    /// Id of an item. Precondition: the item exists.
    const std::string& item_id(const item_key& key) const { return item(key).id; }

    /// Jobs that were accepted before `limit` and have ended: no item is left to be run, and no
    /// result to be written.
    std::vector<std::string> expired(core::wall_time limit) const;

    /// Drops all that is known of a job. Precondition: it has ended.
    void forget(const std::string& job);

    /// Items that are neither finished nor given up.
    std::size_t open_items() const;

    /// Open items of all jobs, in no particular order.
    std::vector<item_key> open_item_keys() const;

    /// Tokens of a team's items that wait on a route.
    std::uint64_t waiting_tokens(const core::team_id& team, const std::string& route) const;

private:
    struct item_entry {
        job_item spec;
        item_progress progress;
        std::size_t written_progress = 0;
        bool running = false;
        /// Has a result, written or being written.
        bool finished = false;
        std::uint32_t failures = 0;
        std::uint32_t pauses = 0;
        core::time_point paused_until{};
    };
    struct job_entry {
        core::team_id team;
        std::string route;
        core::wall_time accepted_at;
        std::vector<item_entry> items;
        /// By position; those below `confirmed` can be read.
        std::vector<job_result> results;
        std::vector<bool> written;
        std::uint32_t confirmed = 0;
        bool opening = false;
        bool closed = false;
        /// The record of its end is in the log.
        bool close_written = false;
    };

    item_entry* find(const item_key& key);
    static void count_confirmed(job_entry& job);

    ledger_settings settings_;
    std::map<std::string, job_entry> jobs_;
    /// Records of jobs whose opening has not been loaded yet.
    std::vector<job_record> early_;
};

} // namespace gooseberryfall::serving
