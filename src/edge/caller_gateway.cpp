#include "edge/caller_gateway.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A request with less than this share of its route's full time limit is a retry: the caller has
/// been rejected before.
constexpr double first_attempt_min_share = 0.985;

/// Maximum time for which a request waits for the first desired state. An instance that has just
/// started reads it within a few milliseconds.
constexpr milliseconds initial_state_wait{200};

/// Maximum number of requests that wait for the first desired state; bounds memory.
constexpr std::size_t pending_max = 256;

/// Time to write a response that becomes ready when its time limit ends.
constexpr milliseconds final_write_time{100};

} // namespace

caller_gateway::caller_gateway(edge_context& context, job_service& jobs)
    : context_(context), jobs_(jobs),
      received_(context.metrics.add_counter("caller_requests", "Requests of callers")),
      completed_(
          context.metrics.add_counter("caller_answers", "Answers of targets passed on whole")),
      incomplete_(
          context.metrics.add_counter("caller_answers_cut", "Requests without a whole end")),
      rejected_(context.metrics, "caller_refusals", "Refusals by reason", "reason"),
      first_byte_(context.metrics.add_histogram("caller_first_byte", "Time to the first byte")),
      duration_(context.metrics.add_histogram("caller_duration", "Time to the end of an answer"))
{
}

void caller_gateway::handle(http::request received, std::shared_ptr<http::responder> caller)
{
    received_.add();
    auto decoded = context_.translator.decode(std::move(received));
    if (!decoded) {
        caller->send(context_.translator.encode_rejection(rejection_reason::invalid, {}, {}));
        return;
    }
    if (draining_) {
        reject(*decoded, rejection_reason::leaving, caller);
        return;
    }
    pending_request entry{std::move(*decoded), std::move(caller), steady_clock::now()};
    if (context_.routes == nullptr && pending_.size() < pending_max) {
        pending_.push_back(std::move(entry));
        return;
    }
    dispatch(std::move(entry));
}

void caller_gateway::tick(core::time_point now)
{
    for (pending_request& pending : std::exchange(pending_, {})) {
        if (context_.routes != nullptr || now >= pending.received_at + initial_state_wait) {
            dispatch(std::move(pending));
        }
        else {
            pending_.push_back(std::move(pending));
        }
    }
}

http::head_decision caller_gateway::examine_head(const http::request& received)
{
    http::head_decision decision;
    const auto table = context_.routes;
    auto decoded = context_.translator.decode(received);
    if (!decoded) {
        received_.add();
        decision.refusal = context_.translator.encode_rejection(rejection_reason::invalid, {}, {});
        return decision;
    }
    // `handle` then refuses or delays the request for another reason.
    if (table == nullptr || draining_) {
        return decision;
    }
    const lookup_result found = look_up(*decoded, *table);
    if (found.refusal) {
        received_.add();
        decision.refusal = make_rejection(*decoded, *found.refusal);
    }
    else if (!found.team.empty()) {
        decision.group = "team " + found.team.value();
    }
    return decision;
}

caller_gateway::lookup_result caller_gateway::look_up(const caller_request& request,
                                                      const serving::route_table& table) const
{
    lookup_result result;
    result.about_job = context_.translator.is_job_call(request);
    result.route = table.find_route(request.host, request.path);
    // A call about a job needs no route: the job may outlast the one on which it was submitted.
    if (!result.about_job && result.route == nullptr) {
        result.refusal = rejection_reason::unknown_route;
        return result;
    }
    const serving::customer_team* team =
        request.api_key ? table.find_team(*request.api_key) : nullptr;
    const bool anonymous_allowed =
        !table.state().requires_api_key || (!result.about_job && result.route->allows_anonymous);
    if (team != nullptr) {
        result.team = team->id;
    }
    else if (!anonymous_allowed) {
        result.refusal = rejection_reason::unknown_key;
    }
    return result;
}

void caller_gateway::dispatch(pending_request received)
{
    caller_request& request = received.request;
    std::shared_ptr<http::responder>& caller = received.caller;
    const auto table = context_.routes;
    if (table == nullptr) {
        reject(request, rejection_reason::no_state, caller);
        return;
    }
    const lookup_result found = look_up(request, *table);
    if (found.refusal) {
        reject(request, *found.refusal, caller);
        return;
    }
    const bool about_job = found.about_job;
    const serving::route* route = found.route;
    const core::team_id& team_id = found.team;
    if (about_job || route->kind == serving::request_kind::batch) {
        jobs_.handle(request, about_job ? nullptr : route, team_id, std::move(caller));
        return;
    }
    if (!ends_before_exit(received.received_at, *route, request)) {
        reject(request, rejection_reason::leaving, caller);
        return;
    }
    admitted_request admitted;
    admitted.table = table;
    admitted.route = route;
    admitted.team = team_id;
    admitted.received_at = received.received_at;
    admitted.is_retry = detect_retry(*route, request);
    admitted.request = std::move(request);
    handle_online(std::move(admitted), std::move(caller));
}

bool caller_gateway::ends_before_exit(core::time_point received_at, const serving::route& route,
                                      const caller_request& request) const
{
    return !exit_at_ ||
           received_at + response_time_limit(route, request) + final_write_time <= *exit_at_;
}

bool caller_gateway::detect_retry(const serving::route& route, const caller_request& request)
{
    if (!request.time_limit) {
        return false;
    }
    milliseconds& longest = longest_time_limits_[route.name];
    longest = std::max(longest, *request.time_limit);
    return static_cast<double>(request.time_limit->count()) <
           first_attempt_min_share * static_cast<double>(longest.count());
}

void caller_gateway::reject(const caller_request& request, rejection_reason reason,
                            const std::shared_ptr<http::responder>& caller)
{
    caller->send(make_rejection(request, reason));
}

http::response caller_gateway::make_rejection(const caller_request& request,
                                              rejection_reason reason)
{
    exchange_result result;
    result.rejection = reason;
    record_result(result);
    const std::uint64_t version = context_.routes == nullptr ? 0 : context_.routes->state().version;
    context_.logger.write(kernel::log_level::info, "request_refused",
                          {{"id", request.id},
                           {"reason", to_text(reason)},
                           {"host", request.host},
                           {"path", request.path},
                           {"state_version", std::to_string(version)}});
    std::optional<milliseconds> retry_after;
    if (reason == rejection_reason::no_state) {
        retry_after = milliseconds(500);
    }
    if (reason == rejection_reason::leaving) {
        // Another instance can serve the request at once.
        retry_after = milliseconds(1);
    }
    return context_.translator.encode_rejection(reason, request.id, retry_after);
}

void caller_gateway::handle_online(admitted_request request,
                                   std::shared_ptr<http::responder> caller)
{
    const std::uint64_t number = next_exchange_++;
    const auto exchange =
        std::make_shared<online_exchange>(context_, std::move(request), std::move(caller),
                                          [this, number](const exchange_result& result) {
                                              exchanges_.erase(number);
                                              record_result(result);
                                          });
    exchanges_.emplace(number, exchange);
    exchange->start();
}

void caller_gateway::on_state_changed()
{
    for (const auto& [number, open] : exchanges_) {
        if (const auto exchange = open.lock()) {
            exchange->on_state_changed();
        }
    }
}

void caller_gateway::record_result(const exchange_result& result)
{
    if (result.rejection) {
        rejected_.increment(to_text(*result.rejection));
        return;
    }
    (result.complete ? completed_ : incomplete_).add();
    if (result.first_byte) {
        first_byte_.record(*result.first_byte);
    }
    if (result.complete) {
        duration_.record(result.duration);
    }
}

} // namespace gooseberryfall::edge
