#pragma once

#include "core/events.hpp"
#include "core/node_parts.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::core {

/// Callers' and operators' calls about jobs: submission, state, results, cancel. Writes to the
/// partition's stream and asks the partition's holder. Not thread-safe.
class job_calls {
public:
    /// Handles a query whose holder is this instance.
    using local_query = std::function<void(const job_query&, time_point)>;

    job_calls(node_parts& parts, local_query ask_local);

    /// A caller starts to submit a job.
    void on_begin(const upload_begin& begin, time_point now);

    /// Items of a submission.
    void on_items(const upload_items& items, time_point now);

    /// The submission has been read whole.
    void on_end(const upload_end& end, time_point now);

    /// A caller asks about a job.
    void on_request(const job_request& request, time_point now);

    /// An operator stops a job.
    void on_operator_cancel(const operator_job_cancel& cancel, time_point now);

    /// An operator lists all jobs.
    void on_operator_list(request_id request, time_point now);

    /// The caller is gone.
    void on_gone(request_id request);

    /// Whether the append belongs to a call.
    bool on_append(const append_acknowledged& done, time_point now);

    /// A holder answered.
    void on_answer(const job_answer& answer, time_point now);

    /// The fleet changed: calls of removed keys are cut off.
    void on_fleet_changed();

    /// Asks again, and gives up on calls that took too long.
    void tick(time_point now);

    /// Calls not answered yet.
    std::size_t live() const { return calls_.size(); }

private:
    enum class step {
        /// Asking whether the job is there already, before items are written.
        checking,
        /// Reading items from the caller.
        uploading,
        /// Waiting for appends to be acknowledged.
        appending,
        /// Waiting for the holder's answer.
        asking,
        /// Listing the jobs of all partitions.
        listing,
    };
    enum class purpose { submit, status, results, cancel, list };

    struct call {
        purpose what = purpose::status;
        step where = step::asking;
        request_id request = 0;
        /// Empty for an operator's call, which may see every team's jobs.
        team_id team;
        key_id key;
        service_id service;
        job_id job;
        job_options options;
        std::uint32_t partition = 0;
        std::string upload;
        std::uint32_t items = 0;
        digest content{};
        bool ended = false;
        /// The job is there already; nothing is written.
        bool exists = false;
        /// Whether a cancel record has been written.
        bool cancel_written = false;
        std::optional<std::uint64_t> open_append;
        std::optional<log_offset> applied;
        std::uint32_t first_result = 0;
        std::uint32_t result_limit = 0;
        std::uint64_t query = 0;
        time_point asked_at;
        time_point step_deadline;
        time_point deadline;
        /// Partitions that a listing still waits for, by query number.
        std::map<std::uint64_t, std::uint32_t> open_queries;
        std::vector<job_status> listed;
    };

    bool admit(call& pending, const std::optional<digest>& key, time_point now);
    call* find(request_id request);
    call* find_query(std::uint64_t query);
    void start(call pending, time_point now);
    void ask(call& pending, time_point now);
    void ask_partition(std::uint32_t partition, const job_query& query, time_point now);
    void append(call& pending, batch_body body);
    void write_open(call& pending);
    void after_check(call& pending, const std::vector<job_status>& jobs, time_point now);
    void on_submit_answer(call& pending, const job_status& status);
    void on_cancel_answer(call& pending, const job_status& status, time_point now);
    void on_list_answer(call& pending, const job_answer& answer);
    void finish(request_id request, action reply);
    void give_up(request_id request, refusal reason);

    node_parts& parts_;
    local_query ask_local_;
    std::map<request_id, call> calls_;
    std::uint64_t next_query_ = 1;
    std::uint64_t next_upload_ = 1;
};

} // namespace gooseberryfall::core
