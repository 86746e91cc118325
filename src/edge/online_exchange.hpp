#pragma once

#include "core/response_completeness.hpp"
#include "edge/edge_context.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// An online request whose route and team have been accepted.
struct admitted_request {
    caller_request request;
    /// Keeps `route` alive.
    std::shared_ptr<const serving::route_table> table;
    const serving::route* route = nullptr;
    /// Empty for a route that needs no key.
    core::team_id team;
    core::time_point received_at;
    /// The caller has been rejected before and won't retry again.
    bool is_retry = false;
};

/// Time within which a request on the route gets its response: the shorter one of the limits of its
/// caller and its route. Thread-safe.
std::chrono::milliseconds response_time_limit(const serving::route& route,
                                              const caller_request& request);

/// Result of an exchange, for metrics.
struct exchange_result {
    /// Set if the request was rejected; unset if it ended with a target's response or because the
    /// caller disconnected.
    std::optional<rejection_reason> rejection;
    unsigned status = 0;
    /// The whole response was forwarded to the caller.
    bool complete = false;
    /// Time from the receipt of the request to the first byte of the response to the caller.
    std::optional<std::chrono::milliseconds> first_byte;
    std::chrono::milliseconds duration{0};
};

/// Serves one online request: requests a slot, sends the request to a target, retries on another
/// target if that is allowed, and streams the response to the caller. Keeps itself alive until it
/// ends. To be used on the event loop's thread only.
class online_exchange : public std::enable_shared_from_this<online_exchange> {
public:
    online_exchange(edge_context& context, admitted_request request,
                    std::shared_ptr<http::responder> caller,
                    std::function<void(const exchange_result&)> on_end);

    /// Requests the first slot. Precondition: not called before.
    void start();

    /// Another desired state is in force: if the request waits for a slot of a service to which its
    /// route no longer goes, requests one of the route's service now.
    void on_state_changed();

private:
    /// Progress of the response to the caller.
    enum class response_stage { none, streaming, ended };

    void start_admission();
    /// Service for the next attempt, by the desired state in force. It stays the same as long as
    /// the route goes there.
    core::service_id choose_service() const;
    void on_admission(const admission_decision& decision);
    void send_to_target();
    http::flow on_head(const http::response_head& head);
    http::flow on_piece(std::string piece);
    /// Handles a piece of a response that isn't an event stream.
    http::flow on_plain_piece(std::string piece);
    void on_done(const http::call_result& result);
    /// `repeated`: as in `http::call_result`.
    void on_complete_response(bool repeated);
    void on_attempt_failed(serving::slot_outcome outcome, const std::string& reason,
                           bool may_have_run);
    /// Closes the connection of the current call and counts it as failed. Precondition: a call is
    /// in progress.
    void abandon_attempt(serving::slot_outcome outcome, const std::string& reason);
    /// Whether the response to the current call is a successful event stream.
    bool is_event_stream() const;
    void release_admission(serving::slot_outcome outcome);
    /// Keeps further attempts from the current target.
    void exclude_target();
    void retry();
    void start_streaming();
    http::flow forward(std::string bytes);
    void write_unsent();
    void start_silence_timer();
    void on_caller_disconnected();
    void on_deadline();
    void reject(rejection_reason reason, std::optional<std::chrono::milliseconds> retry_after = {});
    void finish(const exchange_result& summary);
    bool is_repeatable() const;
    std::chrono::milliseconds time_left() const;
    std::chrono::milliseconds elapsed() const;

    edge_context& context_;
    admitted_request admitted_;
    std::shared_ptr<http::responder> caller_;
    std::function<void(const exchange_result&)> on_end_;
    std::chrono::steady_clock::time_point started_at_;
    std::chrono::steady_clock::time_point deadline_;
    std::shared_ptr<http::scheduled_task> deadline_timer_;
    std::shared_ptr<http::scheduled_task> silence_timer_;
    std::uint64_t fingerprint_ = 0;
    /// Number of the slot request or of the run that holds the slot; 0 if there is none.
    std::uint64_t admission_ = 0;
    /// Number of the slot request that was rejected, as in the log of the leader.
    std::uint64_t rejected_admission_ = 0;
    bool awaiting_admission_ = false;
    /// Service of the last slot request.
    core::service_id service_;
    /// The request has been counted against its team's limit.
    bool charged_ = false;
    std::vector<core::target_id> excluded_targets_;
    /// Number of attempts in which the request may have run.
    std::uint32_t attempts_ = 0;
    bool may_have_run_ = false;

    // The current call to a target.
    std::shared_ptr<http::ongoing_call> call_;
    /// Incremented for each call, so that callbacks of an earlier call are ignored.
    std::uint64_t call_generation_ = 0;
    core::target_id target_;
    /// As known when the request was sent.
    serving::target_process target_process_;
    std::string address_;
    std::chrono::steady_clock::time_point sent_at_;
    std::chrono::steady_clock::time_point last_received_at_;
    /// Time from sending the request to the target to the first byte of its response body.
    std::optional<std::chrono::milliseconds> target_first_byte_;
    http::response_head head_{0, {}};
    target_response_flags response_flags_;
    /// The caller has got events of an earlier call, which the current call is to continue.
    bool continues_stream_ = false;
    /// The body of a plain response is streamed to the caller, since it is too large to be
    /// buffered.
    bool streams_body_ = false;
    std::string buffered_body_;
    core::response_completeness completeness_;
    /// Of a stream that may be resumed at another target.
    serving::event_splitter events_;

    // The response to the caller.
    response_stage stage_ = response_stage::none;
    std::optional<std::uint64_t> last_event_;
    std::optional<std::chrono::milliseconds> caller_first_byte_;
    /// Bytes that the caller's connection has not taken yet.
    std::string unsent_;
};

} // namespace gooseberryfall::edge
