#pragma once

#include "edge/edge_context.hpp"
#include "edge/job_service.hpp"
#include "edge/online_exchange.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Entry point of callers' requests: decodes each request, looks up its route and team, and
/// dispatches it as an online request or a job call. To be used on the event loop's thread only.
class caller_gateway {
public:
    caller_gateway(edge_context& context, job_service& jobs);

    /// Handles one request. While no desired state is known, the request waits for it for a short
    /// time.
    void handle(http::request received, std::shared_ptr<http::responder> caller);

    /// Decides from the head of a request, before its body is read: refuses it for the same reasons
    /// as `handle` if its route or key is unknown, and names its team as the group that its memory
    /// counts for. Refuses neither while no desired state is known nor while this instance drains.
    http::head_decision examine_head(const http::request& received);

    /// Processes timeouts. To be called about every 20 ms.
    void tick(core::time_point now);

    /// This instance exits at `exit_at`, whatever is still open. From now on it rejects requests
    /// whose time limit ends later, because their responses might be cut.
    void set_exit_time(core::time_point exit_at) { exit_at_ = exit_at; }

    /// Another desired state is in force.
    void on_state_changed();

    /// Rejects all requests from now on, before this instance exits.
    void begin_drain() { draining_ = true; }

    /// Number of online requests whose response is not complete yet.
    std::size_t open_requests() const { return exchanges_.size(); }

private:
    struct pending_request {
        caller_request request;
        std::shared_ptr<http::responder> caller;
        core::time_point received_at;
    };

    /// Route and team of a request, or why it is refused.
    struct lookup_result {
        bool about_job = false;
        const serving::route* route = nullptr;
        core::team_id team;
        std::optional<rejection_reason> refusal;
    };

    lookup_result look_up(const caller_request& request, const serving::route_table& table) const;
    void dispatch(pending_request received);
    /// Whether a request that was received at this time gets its response before this instance
    /// exits.
    bool ends_before_exit(core::time_point received_at, const serving::route& route,
                          const caller_request& request) const;
    http::response make_rejection(const caller_request& request, rejection_reason reason);
    void reject(const caller_request& request, rejection_reason reason,
                const std::shared_ptr<http::responder>& caller);
    void handle_online(admitted_request request, std::shared_ptr<http::responder> caller);
    bool detect_retry(const serving::route& route, const caller_request& request);
    void record_result(const exchange_result& result);

    edge_context& context_;
    job_service& jobs_;
    /// Online requests that haven't ended, by the order in which they came.
    std::map<std::uint64_t, std::weak_ptr<online_exchange>> exchanges_;
    std::uint64_t next_exchange_ = 0;
    bool draining_ = false;
    std::optional<core::time_point> exit_at_;
    /// Requests that wait for the first desired state.
    std::vector<pending_request> pending_;
    /// Longest time limit that callers have sent, by route: a first attempt has all of it left.
    std::map<std::string, std::chrono::milliseconds> longest_time_limits_;

    kernel::counter& received_;
    kernel::counter& completed_;
    kernel::counter& incomplete_;
    kernel::counter_family rejected_;
    kernel::latency_histogram& first_byte_;
    kernel::latency_histogram& duration_;
};

} // namespace gooseberryfall::edge
