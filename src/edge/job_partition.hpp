#pragma once

#include "edge/edge_context.hpp"
#include "edge/item_run.hpp"
#include "edge/job_writer.hpp"
#include "edge/store.hpp"

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Settings of `job_partition`.
struct partition_settings {
    store_limits limits;
    /// Maximum number of items of each service that run or wait for a slot at the same time; bounds
    /// memory and connections.
    std::size_t concurrent_items_max = 64;
    /// Time after which a submission or cancellation that isn't known to be written gets the
    /// response `job_outcome::uncertain`.
    std::chrono::milliseconds write_timeout{3000};
    /// Interval at which the progress of long items is written.
    std::chrono::milliseconds progress_interval{1500};
    /// Bytes of new output of an item from which its progress is written.
    std::size_t progress_min_bytes = 1200;
    /// A batch route that has been missing from the desired state for this long is taken as
    /// removed, and the items of its jobs are abandoned.
    std::chrono::milliseconds route_missing_max{3000};
    /// Time after the acceptance of a job for which its results can be read; an unfinished job is
    /// kept for longer. 0 keeps jobs forever.
    std::chrono::milliseconds results_retention{0};
    /// Added to `results_retention`, since callers count from their first submission of the job and
    /// the clocks of instances differ.
    std::chrono::milliseconds results_retention_margin{30000};
    /// Maximum bytes of output in one page of results.
    std::size_t results_page_bytes = 900U << 10U;
};

using job_response_callback =
    std::function<void(const job_response&, std::chrono::milliseconds retry_after)>;

/// A partition of the batch jobs that this instance owns: takes over the partition's log, serves
/// its calls and runs its items. To be used on the event loop's thread only.
class job_partition {
public:
    /// Precondition: `epoch` is higher than that of every earlier owner. `on_lost` is called when
    /// another instance has taken over the partition, now or in between.
    job_partition(edge_context& context, store& durable_store, topic_partition log_partition,
                  std::uint64_t epoch, partition_settings settings, std::function<void()> on_lost);
    ~job_partition();
    job_partition(const job_partition&) = delete;
    job_partition& operator=(const job_partition&) = delete;
    job_partition(job_partition&&) = delete;
    job_partition& operator=(job_partition&&) = delete;

    /// Starts to take over the log. `fenced_sequence`: this instance has written under the epoch
    /// already, last with this sequence number, so that earlier owners are fenced.
    void start(std::optional<std::uint64_t> fenced_sequence = {});

    /// Replaces `partition_settings::results_retention`.
    void set_results_retention(std::chrono::milliseconds retention)
    {
        settings_.results_retention = retention;
    }

    /// Whether the log has been taken over and loaded.
    bool is_loaded() const { return writer_ != nullptr; }

    /// Whether the job is accepted or its record is being written.
    bool holds(const std::string& job) const { return ledger_.holds(job); }

    /// Whether this partition accepts calls.
    bool serves() const { return is_loaded() && !lost_ && !releasing_; }

    /// Serves a call of a team. Precondition: `serves()`. `membership_confirmed`: this instance is
    /// certainly in the group. Else, and while the ownership is being verified, another instance
    /// may have taken over the partition: what isn't known here may exist.
    void handle(const core::team_id& team, const job_call& call, bool membership_confirmed,
                const job_response_callback& done);

    /// Starts items, writes progress and abandons expired items. To be called about every 20 ms.
    /// `membership_confirmed`: as in `handle`.
    void tick(core::time_point now, bool membership_confirmed);

    /// Another instance may have owned the partition in between. Fences it with this epoch, which
    /// is higher than its own, and finds out from the log whether it has written there. If so, the
    /// partition is lost, since the ledger lacks those records.
    void verify_ownership(std::uint64_t epoch);

    /// Another desired state is in force: withdraws the items that wait for a slot as their route
    /// no longer has it. They are started anew as it is now.
    void on_state_changed();

    /// Stops all runs, writes the progress of their items and calls `done`.
    void release(const std::function<void()>& done);

    /// Sequence number with which `start` can load the log anew under `epoch()`, if another owner
    /// has written to it and has been fenced.
    std::optional<std::uint64_t> reload_sequence() const { return reload_sequence_; }

    /// Epoch with which the partition was taken over. Identifies this object.
    std::uint64_t first_epoch() const { return epoch_; }
    /// Epoch by which the store fences earlier owners.
    std::uint64_t epoch() const { return is_loaded() ? writer_->epoch() : epoch_; }
    /// Number of items that run or wait for a slot.
    std::size_t running() const { return runs_.size(); }
    std::size_t pending_item_count() const { return ledger_.pending_items(); }

private:
    struct pending_read {
        std::string job;
        std::uint32_t first_position = 0;
        core::time_point deadline;
        job_response_callback done;
    };

    void fence();
    void load(const std::optional<std::string>& after);
    void on_loaded();
    void start_verification();
    void on_fenced();
    /// Whether no other instance can have written to the log.
    bool is_verified() const { return !unverified_epoch_; }
    void mark_lost(const std::string& reason);
    void handle_submit(const core::team_id& team, const submit_job& call,
                       const job_response_callback& done);
    void respond_after_write(const serving::job_record& record, job_outcome outcome,
                             const job_response_callback& done, std::function<void()> on_written);
    void handle_read(const read_results& call, bool confirmed, const job_response_callback& done);
    static void respond_with_page(const results_page& page, bool confirmed,
                                  const job_response_callback& done);
    void complete_reads(const std::string& job);
    results_page make_results_page(const std::string& job, std::uint32_t first_position) const;
    void handle_cancel(const cancel_job& call, const job_response_callback& done);
    void stop_runs(const std::string& job);
    void start_items(core::time_point now);
    bool start_item(const serving::runnable_item& item, core::time_point now);
    void on_item_end(const serving::item_key& key, const item_run_result& run_result);
    /// Writes the failed runs of an item, which may run again once they are in the log.
    void write_failures(const serving::item_key& key, std::uint32_t failures);
    void finish_item(const serving::item_key& key, serving::result_state state,
                     const std::string& output);
    void abandon_expired_items(core::time_point now);
    void delete_old_jobs();
    std::uint32_t remaining_tokens(const serving::item_key& key) const;

    edge_context& context_;
    store& store_;
    topic_partition log_partition_;
    std::uint64_t epoch_;
    partition_settings settings_;
    std::function<void()> on_lost_;
    serving::job_ledger ledger_;
    fleet_wire::job_record_assembler assembler_;
    /// Keys read from the log, until they are moved to the writer.
    fleet_wire::job_key_index loaded_keys_;
    /// Time limit of the reads with which this instance takes the partition over.
    serving::adaptive_timeout load_timeout_;
    std::unique_ptr<job_writer> writer_;
    std::map<serving::item_key, std::shared_ptr<item_run>> runs_;
    /// Generation time of each item over all its runs.
    std::map<serving::item_key, std::chrono::milliseconds> generation_times_;
    std::list<pending_read> pending_reads_;
    std::map<std::string, core::time_point> route_missing_since_;
    core::time_point progress_written_at_{};
    core::time_point expiry_checked_at_{};
    /// Average milliseconds per token, from completed items.
    double token_time_ms_;
    /// Offset after the last record that was loaded.
    std::uint64_t loaded_end_offset_ = 0;
    /// Sequence number of the last append before the log was loaded.
    std::uint64_t first_sequence_ = 0;
    std::optional<std::uint64_t> reload_sequence_;
    /// Epoch of the last call of `verify_ownership`, until its outcome is known.
    std::optional<std::uint64_t> unverified_epoch_;
    bool lost_ = false;
    bool releasing_ = false;
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
