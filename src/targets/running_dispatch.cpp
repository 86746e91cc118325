#include "targets/running_dispatch.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace gooseberryfall::targets {

namespace {

constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

std::optional<std::chrono::milliseconds> retry_after(const http::response_head& head)
{
    const std::string* text = head.headers.find("Retry-After");
    int seconds = 0;
    if (text == nullptr ||
        std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc{} ||
        seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

bool is_refusal(const http::response_head& head)
{
    const bool status = head.status == status_too_many || head.status == status_unavailable;
    return status && head.headers.get("Run-Verdict") == "not_run";
}

bool is_leaving(const http::response_head& head)
{
    return head.headers.get("Leaving") == "true";
}

core::dispatch_outcome to_outcome(const http::call_result& result)
{
    switch (result.outcome) {
    case http::call_outcome::completed:
        return core::dispatch_outcome::completed;
    case http::call_outcome::not_sent:
        return core::dispatch_outcome::not_sent;
    case http::call_outcome::timed_out:
        return result.sent ? core::dispatch_outcome::timed_out : core::dispatch_outcome::not_sent;
    case http::call_outcome::cancelled:
        return core::dispatch_outcome::cancelled;
    case http::call_outcome::connection_lost:
    case http::call_outcome::invalid_response:
        return result.sent ? core::dispatch_outcome::connection_lost
                           : core::dispatch_outcome::not_sent;
    }
    return core::dispatch_outcome::connection_lost;
}

http::client_timeouts to_timeouts(const core::dispatch_timeouts& timeouts)
{
    return {timeouts.connect, timeouts.write, timeouts.first_byte, timeouts.between_bytes};
}

} // namespace

running_dispatch::running_dispatch(const dispatch_context& context, core::dispatch order)
    : context_(context), order_(std::move(order))
{
}

void running_dispatch::cancel()
{
    cancelled_ = true;
    if (call_) {
        call_->cancel();
    }
}

std::string running_dispatch::request_number() const
{
    const core::incarnation_id& self = context_.settings.self;
    return self.instance.value() + "-" + std::to_string(self.number) + "-" +
           std::to_string(order_.dispatch);
}

void running_dispatch::send(http::client_request request)
{
    request.address = order_.address + ":" + std::to_string(order_.port);
    request.headers.set("X-Request-Id", request_number());
    request.timeouts = to_timeouts(order_.timeouts);
    // The client must not send again by itself, even if the request may be repeated: what was
    // sent twice has to be charged twice, may have run, and may have ended the target.
    request.use = http::connection_use::recent;
    http::call_observer observer;
    observer.on_head = [self = shared_from_this(),
                        alive = context_.alive](const http::response_head& head) {
        return *alive ? self->take_head(head) : http::flow::proceed;
    };
    observer.on_piece = [self = shared_from_this(), alive = context_.alive](std::string piece) {
        return *alive ? self->take_piece(std::move(piece)) : http::flow::proceed;
    };
    observer.on_done = [self = shared_from_this(),
                        alive = context_.alive](const http::call_result& result) {
        if (*alive) {
            self->finish(result);
        }
    };
    call_ = context_.client.start(std::move(request), std::move(observer));
}

void running_dispatch::finish_unsent(core::dispatch_outcome outcome)
{
    core::dispatch_finished report;
    report.dispatch = order_.dispatch;
    report.outcome = outcome;
    context_.finish(std::move(report));
}

http::flow running_dispatch::take_head(const http::response_head& head)
{
    const std::string* answered = head.headers.find("X-Request-Id");
    // A refusal without the number, on a connection that was used before, may belong to an earlier
    // request.
    const bool foreign = answered == nullptr ? is_refusal(head) && head.connection_reused
                                             : *answered != request_number();
    if (foreign) {
        mismatched_ = true;
        call_->cancel();
        return http::flow::proceed;
    }
    if (answered != nullptr && is_leaving(head)) {
        context_.callbacks.post(core::target_said_leaving{order_.target});
    }
    if (is_refusal(head)) {
        refused_ = true;
        return http::flow::proceed;
    }
    completeness_ =
        core::response_completeness({.status = head.status,
                                     .is_event_stream = http::is_event_stream(head.headers),
                                     .ends_with_connection = head.ends_with_connection});
    return on_answer(head);
}

http::flow running_dispatch::take_piece(std::string piece)
{
    if (refused_ || mismatched_) {
        return http::flow::proceed;
    }
    completeness_.feed(piece);
    return on_piece(std::move(piece));
}

void running_dispatch::finish(const http::call_result& result)
{
    core::dispatch_finished report;
    report.dispatch = order_.dispatch;
    report.outcome = to_outcome(result);
    report.status = result.head.status;
    report.retry_after = retry_after(result.head);
    if (mismatched_) {
        report.outcome = core::dispatch_outcome::mismatched;
    }
    else if (refused_) {
        // The head alone says that the request did not run, whatever happens to the body.
        report.outcome = is_leaving(result.head) ? core::dispatch_outcome::refused_leaving
                                                 : core::dispatch_outcome::refused;
    }
    else {
        const bool ended = report.outcome == core::dispatch_outcome::completed;
        if (ended && !completeness_.is_whole()) {
            report.outcome = core::dispatch_outcome::connection_lost;
        }
        on_done(result, report);
    }
    context_.finish(std::move(report));
}

} // namespace gooseberryfall::targets
