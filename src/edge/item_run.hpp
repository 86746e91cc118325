#pragma once

#include "core/response_completeness.hpp"
#include "edge/edge_context.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::edge {

/// Input of a run of a batch item.
struct item_run_input {
    serving::item_key key;
    serving::job_item item;
    serving::item_progress progress;
    core::team_id team;
    std::string host;
    core::service_id service;
    /// Number of tokens that are expected to remain to be generated.
    std::uint32_t remaining_tokens = 0;
    /// When the result is due by the route's objective.
    std::chrono::steady_clock::time_point due_at;
    /// When the item is abandoned.
    std::chrono::steady_clock::time_point expires_at;
};

/// Outcome of a run of a batch item.
enum class item_run_outcome {
    /// The output is complete.
    completed,
    /// The target reported that the item can never be processed.
    unprocessable,
    /// The target responded that the item failed.
    target_failed,
    /// No slot was granted, or the run was cut short. The item may resume from its progress at
    /// once.
    interrupted,
};

/// Result of a run of a batch item.
struct item_run_result {
    item_run_outcome outcome = item_run_outcome::interrupted;
    serving::item_progress progress;
    /// Whether any output arrived in this run.
    bool made_progress = false;
    /// Time from the first output to the end of the run.
    std::chrono::milliseconds run_time{0};
};

/// One run of a batch item: requests a slot, sends the item to a target and resumes its output from
/// the item's progress. To be used on the event loop's thread only.
class item_run : public std::enable_shared_from_this<item_run> {
public:
    /// `on_end` is called once, unless `stop` is called before.
    item_run(edge_context& context, item_run_input input,
             std::function<void(const item_run_result&)> on_end);

    /// Requests a slot. Precondition: not called before.
    void start();

    /// Ends the run without calling back.
    void stop();

    /// Whether it waits for a slot, so that no target has got the item in this run.
    bool is_waiting() const { return target_.empty() && !done_; }

    /// Host with which the item is sent.
    const std::string& host() const { return input_.host; }

    /// Service whose targets run the item.
    const core::service_id& service() const { return input_.service; }

    /// Progress of the item, including the output of this run.
    const serving::item_progress& progress() const { return input_.progress; }

private:
    void on_admission(const admission_decision& decision);
    void send_to_target();
    http::flow on_head(const http::response_head& head);
    http::flow on_piece(const std::string& piece);
    /// Whether the response is the output of the item.
    bool has_usable_body() const;
    void take_events(const std::string& piece);
    /// Ends the run because its response exceeds a size limit, as a target that sends without end
    /// does.
    void abandon_oversized_response();
    /// Ends the run and closes its connection, since the target may still be working on it.
    void abandon(serving::slot_outcome outcome, const char* reason);
    void on_done(const http::call_result& result);
    /// `repeated`: as in `http::call_result`.
    void on_complete_response(bool repeated);
    void start_stall_timer();
    void preempt();
    void release_admission(serving::slot_outcome outcome);
    void cancel_call();
    void finish(item_run_outcome outcome, const char* reason);

    edge_context& context_;
    item_run_input input_;
    std::function<void(const item_run_result&)> on_end_;
    /// Number of the slot request or of the run that holds the slot; 0 if there is none.
    std::uint64_t admission_ = 0;
    core::target_id target_;
    /// As known when the request was sent.
    serving::target_process target_process_;
    std::string address_;
    std::shared_ptr<http::ongoing_call> call_;
    std::shared_ptr<http::scheduled_task> stall_timer_;
    std::chrono::steady_clock::time_point sent_at_;
    std::chrono::steady_clock::time_point last_received_at_;
    /// Time from sending the item to the first byte of usable output.
    std::optional<std::chrono::milliseconds> target_first_byte_;
    http::response_head head_{0, {}};
    target_response_flags response_flags_;
    core::response_completeness completeness_;
    serving::event_splitter events_;
    std::string plain_body_;
    /// Size of the response body so far.
    std::size_t received_bytes_ = 0;
    bool has_text_ = false;
    bool done_ = false;
};

} // namespace gooseberryfall::edge
