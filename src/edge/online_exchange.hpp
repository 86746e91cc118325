#pragma once

#include "edge/edge_context.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// An online request that has been let in.
struct admitted_request {
    caller_request request;
    /// Keeps `route` alive.
    std::shared_ptr<const serving::route_table> table;
    const serving::route* route = nullptr;
    /// Empty for a route that needs no key.
    core::team_id team;
    core::time_point received_at;
    /// The caller was refused before and will not come again.
    bool returning = false;
};

/// How an exchange ended, for metrics.
struct exchange_end {
    /// Unset if the target's answer was passed on whole.
    std::optional<refusal_reason> refused;
    unsigned status = 0;
    bool whole = false;
    std::optional<std::chrono::milliseconds> first_byte;
    std::chrono::milliseconds duration{0};
};

/// One online request on its way: waits for a slot, goes to a target, and its answer goes back
/// piece by piece. Keeps itself alive until it ends. For the loop's thread.
class online_exchange : public std::enable_shared_from_this<online_exchange> {
public:
    online_exchange(edge_context& context, admitted_request request,
                    std::shared_ptr<http::responder> caller,
                    std::function<void(const exchange_end&)> on_end);

    /// Begins. Precondition: not called before.
    void start();

private:
    /// How far the answer to the caller is.
    enum class answer_stage { none, streaming, ended };

    void ask_for_slot();
    void on_slot(const admission_decision& answer);
    void send();
    http::flow on_head(const http::response_head& head);
    http::flow on_piece(std::string piece);
    void on_done(const http::call_result& result);
    void on_whole_answer();
    void on_failure(serving::slot_outcome outcome, const std::string& reason, bool may_have_run);
    void end_run(serving::slot_outcome outcome);
    void retry();
    void start_streaming();
    http::flow pass_on(std::string bytes);
    void write_held();
    void watch_silence();
    void on_caller_gone();
    void on_expired();
    void refuse(refusal_reason reason, std::optional<std::chrono::milliseconds> retry_after = {});
    void finish(const exchange_end& end);
    bool may_repeat() const;
    std::chrono::milliseconds time_left() const;
    std::chrono::milliseconds age() const;

    edge_context& context_;
    admitted_request admitted_;
    std::shared_ptr<http::responder> caller_;
    std::function<void(const exchange_end&)> on_end_;
    std::chrono::steady_clock::time_point begun_at_;
    std::chrono::steady_clock::time_point end_at_;
    std::shared_ptr<http::scheduled_task> expiry_;
    std::shared_ptr<http::scheduled_task> silence_watch_;
    std::uint64_t fingerprint_ = 0;
    std::uint64_t slot_ = 0;
    /// The call that was denied, as the leader's log names it.
    std::uint64_t denied_call_ = 0;
    bool asking_ = false;
    bool charged_ = false;
    std::vector<core::target_id> excluded_;
    /// Targets at which the request may have run.
    std::uint32_t sent_ = 0;
    bool may_have_run_ = false;

    // The call to the target under way.
    std::shared_ptr<http::ongoing_call> call_;
    std::uint64_t call_number_ = 0;
    core::target_id target_;
    std::string address_;
    std::chrono::steady_clock::time_point sent_at_;
    std::optional<std::chrono::milliseconds> first_event_;
    http::response_head head_{0, {}};
    target_answer facts_;
    bool head_rejected_ = false;
    std::string collected_;
    serving::event_splitter events_;

    // The answer to the caller.
    answer_stage stage_ = answer_stage::none;
    std::optional<std::uint64_t> last_event_;
    std::optional<std::chrono::milliseconds> first_byte_;
    std::string held_;
};

} // namespace gooseberryfall::edge
