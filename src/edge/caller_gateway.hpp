#pragma once

#include "edge/edge_context.hpp"
#include "edge/job_service.hpp"
#include "edge/online_exchange.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Takes the requests of callers: decodes them, finds route and team, and hands them on. For the
/// loop's thread.
class caller_gateway {
public:
    caller_gateway(edge_context& context, job_service& jobs);

    /// Handles one request. Until a desired state is known it waits for a moment.
    void handle(http::request received, std::shared_ptr<http::responder> caller);

    /// Time has passed; to be called every 20 ms.
    void tick(core::time_point now);

    /// Refuses all requests from now on: this instance ends soon.
    void end_intake() { intake_ended_ = true; }

    /// Online requests that have no final answer yet.
    std::size_t open() const { return open_; }

private:
    struct waiting_request {
        caller_request request;
        std::shared_ptr<http::responder> caller;
        core::time_point received_at;
    };

    void route(waiting_request received);
    void refuse(const caller_request& request, refusal_reason reason,
                const std::shared_ptr<http::responder>& caller);
    void handle_online(admitted_request request, std::shared_ptr<http::responder> caller);
    bool is_returning(const serving::route& route, const caller_request& request);
    void count(const exchange_end& end);

    edge_context& context_;
    job_service& jobs_;
    std::size_t open_ = 0;
    bool intake_ended_ = false;
    /// Requests that wait for the first desired state.
    std::vector<waiting_request> waiting_;
    /// Longest time limit that callers of a route have sent: first attempts have all of it.
    std::map<std::string, std::chrono::milliseconds> full_limits_;

    kernel::counter& received_;
    kernel::counter& answered_;
    kernel::counter& broken_off_;
    kernel::counter_family refused_;
    kernel::latency_histogram& first_byte_;
    kernel::latency_histogram& duration_;
};

} // namespace gooseberryfall::edge
