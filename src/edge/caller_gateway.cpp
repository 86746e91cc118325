#include "edge/caller_gateway.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A caller that has less of its usual time left has been refused before.
constexpr double returning_share = 0.985;

/// Time for which a request waits for the first desired state: an instance that has just started
/// reads it within some ms.
constexpr milliseconds state_wait{200};

/// Requests that wait for it at once: bounds memory.
constexpr std::size_t waiting_max = 256;

} // namespace

caller_gateway::caller_gateway(edge_context& context, job_service& jobs)
    : context_(context), jobs_(jobs),
      received_(context.metrics.add_counter("caller_requests", "Requests of callers")),
      answered_(
          context.metrics.add_counter("caller_answers", "Answers of targets passed on whole")),
      broken_off_(
          context.metrics.add_counter("caller_answers_cut", "Requests without a whole end")),
      refused_(context.metrics, "caller_refusals", "Refusals by reason", "reason"),
      first_byte_(context.metrics.add_histogram("caller_first_byte", "Time to the first byte")),
      duration_(context.metrics.add_histogram("caller_duration", "Time to the end of an answer"))
{
}

void caller_gateway::handle(http::request received, std::shared_ptr<http::responder> caller)
{
    received_.add();
    auto decoded = context_.translator.decode(std::move(received));
    if (!decoded) {
        caller->send(context_.translator.encode_refusal(refusal_reason::invalid, {}, {}));
        return;
    }
    if (intake_ended_) {
        refuse(*decoded, refusal_reason::leaving, caller);
        return;
    }
    waiting_request entry{std::move(*decoded), std::move(caller), steady_clock::now()};
    if (context_.routes == nullptr && waiting_.size() < waiting_max) {
        waiting_.push_back(std::move(entry));
        return;
    }
    route(std::move(entry));
}

void caller_gateway::tick(core::time_point now)
{
    for (waiting_request& waiting : std::exchange(waiting_, {})) {
        if (context_.routes != nullptr || now >= waiting.received_at + state_wait) {
            route(std::move(waiting));
        }
        else {
            waiting_.push_back(std::move(waiting));
        }
    }
}

void caller_gateway::route(waiting_request received)
{
    caller_request& request = received.request;
    std::shared_ptr<http::responder>& caller = received.caller;
    const auto table = context_.routes;
    if (table == nullptr) {
        refuse(request, refusal_reason::no_state, caller);
        return;
    }
    const bool about_job = context_.translator.is_job_call(request);
    const serving::route* route = table->find_route(request.host, request.path);
    const bool known = about_job ? table->has_batch_route(request.host) : route != nullptr;
    if (!known) {
        refuse(request, refusal_reason::unknown_route, caller);
        return;
    }
    const serving::customer_team* team = request.key ? table->find_team(*request.key) : nullptr;
    const bool open = !table->state().keyed || (!about_job && route->open);
    if (team == nullptr && !open) {
        refuse(request, refusal_reason::unknown_key, caller);
        return;
    }
    const core::team_id team_id = team == nullptr ? core::team_id() : team->id;
    if (about_job || route->kind == serving::request_kind::batch) {
        jobs_.handle(request, about_job ? nullptr : route, team_id, std::move(caller));
        return;
    }
    admitted_request admitted;
    admitted.table = table;
    admitted.route = route;
    admitted.team = team_id;
    admitted.received_at = received.received_at;
    admitted.returning = is_returning(*route, request);
    admitted.request = std::move(request);
    handle_online(std::move(admitted), std::move(caller));
}

bool caller_gateway::is_returning(const serving::route& route, const caller_request& request)
{
    if (!request.time_limit) {
        return false;
    }
    milliseconds& full = full_limits_[route.name];
    full = std::max(full, *request.time_limit);
    return static_cast<double>(request.time_limit->count()) <
           returning_share * static_cast<double>(full.count());
}

void caller_gateway::refuse(const caller_request& request, refusal_reason reason,
                            const std::shared_ptr<http::responder>& caller)
{
    exchange_end end;
    end.refused = reason;
    count(end);
    const std::uint64_t version = context_.routes == nullptr ? 0 : context_.routes->state().version;
    context_.logger.write(kernel::log_level::info, "request_refused",
                          {{"id", request.id},
                           {"reason", to_text(reason)},
                           {"host", request.host},
                           {"path", request.path},
                           {"state_version", std::to_string(version)}});
    std::optional<milliseconds> retry_after;
    if (reason == refusal_reason::no_state) {
        retry_after = milliseconds(500);
    }
    if (reason == refusal_reason::leaving) {
        // Another instance serves it at once.
        retry_after = milliseconds(1);
    }
    caller->send(context_.translator.encode_refusal(reason, request.id, retry_after));
}

void caller_gateway::handle_online(admitted_request request,
                                   std::shared_ptr<http::responder> caller)
{
    ++open_;
    const auto exchange = std::make_shared<online_exchange>(
        context_, std::move(request), std::move(caller), [this](const exchange_end& end) {
            --open_;
            count(end);
        });
    exchange->start();
}

void caller_gateway::count(const exchange_end& end)
{
    if (end.refused) {
        refused_.increment(to_text(*end.refused));
        return;
    }
    (end.whole ? answered_ : broken_off_).add();
    if (end.first_byte) {
        first_byte_.record(*end.first_byte);
    }
    if (end.whole) {
        duration_.record(end.duration);
    }
}

} // namespace gooseberryfall::edge
