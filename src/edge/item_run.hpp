#pragma once

#include "edge/edge_context.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::edge {

/// What a run of a batch item needs to know.
struct item_order {
    serving::item_key key;
    serving::job_item item;
    serving::item_progress progress;
    core::team_id team;
    std::string host;
    core::service_id service;
    /// Tokens that are expected to be left to generate.
    std::uint32_t tokens_left = 0;
    /// When the result is due, and when the item is given up.
    std::chrono::steady_clock::time_point due_at;
    std::chrono::steady_clock::time_point end_at;
};

/// How a run of a batch item ended.
enum class item_outcome {
    /// The whole output is there.
    completed,
    /// The target says that the item can never be done.
    impossible,
    /// The target answered that it failed.
    failed,
    /// No slot, or the run was cut short: the item may go on at once, from its progress.
    interrupted,
};

/// End of a run.
struct item_end {
    item_outcome outcome = item_outcome::interrupted;
    serving::item_progress progress;
    /// Whether an event came in this run.
    bool advanced = false;
    /// Time from the first event to the end.
    std::chrono::milliseconds run_time{0};
};

/// One run of a batch item: waits for a slot and goes on from the item's progress. For the loop's
/// thread.
class item_run : public std::enable_shared_from_this<item_run> {
public:
    /// `on_end` is called once, unless the run is stopped.
    item_run(edge_context& context, item_order order, std::function<void(const item_end&)> on_end);

    /// Begins. Precondition: not called before.
    void start();

    /// Ends the run without calling back.
    void stop();

    /// Progress so far.
    const serving::item_progress& progress() const { return order_.progress; }

private:
    void on_slot(const admission_decision& answer);
    void send();
    http::flow on_head(const http::response_head& head);
    http::flow on_piece(const std::string& piece);
    void on_done(const http::call_result& result);
    void on_whole_answer();
    void watch_stall();
    void yield();
    void end_slot(serving::slot_outcome outcome);
    void cancel_call();
    void finish(item_outcome outcome, const char* reason);

    edge_context& context_;
    item_order order_;
    std::function<void(const item_end&)> on_end_;
    std::uint64_t slot_ = 0;
    core::target_id target_;
    std::string address_;
    std::shared_ptr<http::ongoing_call> call_;
    std::shared_ptr<http::scheduled_task> stall_watch_;
    std::chrono::steady_clock::time_point sent_at_;
    std::chrono::steady_clock::time_point heard_at_;
    std::optional<std::chrono::milliseconds> first_event_;
    http::response_head head_{0, {}};
    target_answer facts_;
    serving::event_splitter events_;
    std::string plain_body_;
    bool has_text_ = false;
    bool done_ = false;
};

} // namespace gooseberryfall::edge
