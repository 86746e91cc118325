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
    /// Items that run or wait for a slot at once: bounds memory and connections.
    std::size_t items_max = 64;
    /// Time for a submission or an end to be written before its outcome is called uncertain.
    std::chrono::milliseconds write_wait{3000};
    /// Between two writings of the progress of long items.
    std::chrono::milliseconds progress_interval{1500};
    /// New output of an item that is worth writing.
    std::size_t progress_step = 1200;
    /// A route that is missing from the desired state for so long has been removed: items of its
    /// jobs are given up.
    std::chrono::milliseconds route_missing_max{3000};
    /// Time after its acceptance for which the results of a job can be read; a job that is open is
    /// kept for longer. 0 keeps jobs for good.
    std::chrono::milliseconds results_kept{0};
    /// Added to `results_kept`: callers count from when they sent the job first, and clocks of
    /// instances differ.
    std::chrono::milliseconds results_kept_margin{30000};
    /// Output in one page of results.
    std::size_t page_bytes = 900U << 10U;
};

using job_callback = std::function<void(const job_answer&, std::chrono::milliseconds retry_after)>;

/// A partition of the batch jobs that this instance owns: takes its log over, answers its calls and
/// runs its items. For the loop's thread.
class job_partition {
public:
    /// `epoch` is higher than that of every owner before. `on_lost` is called when another instance
    /// has taken the partition, or the log cannot be read.
    job_partition(edge_context& context, store& durable, topic_partition place, std::uint64_t epoch,
                  partition_settings settings, std::function<void()> on_lost);
    ~job_partition();
    job_partition(const job_partition&) = delete;
    job_partition& operator=(const job_partition&) = delete;
    job_partition(job_partition&&) = delete;
    job_partition& operator=(job_partition&&) = delete;

    /// Begins to take the log over.
    void start();

    /// Replaces the time for which results are kept.
    void set_results_kept(std::chrono::milliseconds kept) { settings_.results_kept = kept; }

    /// Whether the log has been taken over.
    bool active() const { return writer_ != nullptr; }

    /// Whether calls are answered here.
    bool serves() const { return active() && !lost_ && !releasing_; }

    /// Answers a call of a team. Precondition: `serves()`. `owner_is_certain`: no other instance
    /// can have taken the partition unnoticed, so that an unknown job does not exist.
    void handle(const core::team_id& team, const job_call& call, bool owner_is_certain,
                const job_callback& done);

    /// Starts items and gives up what has to be. To be called every 20 ms or so.
    void tick(core::time_point now);

    /// Writes the progress of all items, ends their runs, and calls back.
    void release(const std::function<void()>& done);

    std::uint64_t epoch() const { return epoch_; }
    std::size_t running() const { return runs_.size(); }
    std::size_t open_items() const { return ledger_.open_items(); }

private:
    struct waiting_reader {
        std::string job;
        std::uint32_t from = 0;
        core::time_point until;
        job_callback done;
    };

    void fence();
    void load(const std::optional<std::string>& after);
    void on_loaded();
    void lose(const std::string& reason);
    void submit(const core::team_id& team, const submit_job& call, const job_callback& done);
    void answer_once_written(const serving::job_record& record, job_outcome outcome,
                             const job_callback& done, std::function<void()> on_written);
    void read(const read_results& call, const job_callback& done);
    void answer_readers(const std::string& job);
    results_page page_of(const std::string& job, std::uint32_t from) const;
    void end_job_call(const end_job& call, const job_callback& done);
    void stop_runs_of(const std::string& job);
    void start_items(core::time_point now);
    bool start_item(const serving::runnable_item& item, core::time_point now);
    void on_item_end(const serving::item_key& key, const item_end& end);
    void finish_item(const serving::item_key& key, serving::result_state state,
                     const std::string& output);
    void give_up_items(core::time_point now);
    /// Deletes the jobs whose results need not be kept any more.
    void delete_jobs();
    std::uint32_t tokens_left(const serving::item_key& key) const;

    edge_context& context_;
    store& store_;
    topic_partition place_;
    std::uint64_t epoch_;
    partition_settings settings_;
    std::function<void()> on_lost_;
    serving::job_ledger ledger_;
    fleet_wire::job_record_reader reader_;
    /// Keys that were read, until the writer has them.
    fleet_wire::job_keys loaded_keys_;
    std::unique_ptr<job_writer> writer_;
    std::map<serving::item_key, std::shared_ptr<item_run>> runs_;
    /// Time that items have been generating, in all their runs.
    std::map<serving::item_key, std::chrono::milliseconds> run_times_;
    std::list<waiting_reader> readers_;
    std::map<std::string, core::time_point> route_missing_since_;
    core::time_point progress_written_at_{};
    core::time_point checked_at_{};
    /// Milliseconds that an item needs for a token, from whole runs.
    double token_time_;
    bool lost_ = false;
    bool releasing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
