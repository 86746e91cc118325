#include "targets/online_dispatch.hpp"

#include "targets/forwarding.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace gooseberryfall::targets {

namespace {

std::optional<std::size_t> declared_length(const http::response_head& head)
{
    const std::string* text = head.headers.find("Content-Length");
    if (text == nullptr) {
        return std::nullopt;
    }
    std::size_t length = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), length);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return length;
}

} // namespace

void online_dispatch::begin()
{
    exchange_ = context_.exchanges.find(std::get<core::online_body>(order_.body).request);
    if (!exchange_) {
        // The caller has gone in the meantime.
        finish_unsent(core::dispatch_outcome::cancelled);
        return;
    }
    send(forwarded_request(exchange_->request));
}

http::flow online_dispatch::on_answer(const http::response_head& head)
{
    head_ = head;
    events_ = http::is_event_stream(head.headers) && order_.kind == core::service_kind::engine;
    const std::optional<std::size_t> length = declared_length(head);
    const bool is_short = length && *length <= context_.settings.collect_limit;
    collecting_ = !events_ && is_short;
    if (!collecting_) {
        start();
    }
    return http::flow::proceed;
}

http::flow online_dispatch::on_piece(std::string piece)
{
    if (events_) {
        stream_.feed(piece);
    }
    if (collecting_) {
        collected_ += piece;
        return http::flow::proceed;
    }
    if (!started_) {
        return http::flow::proceed;
    }
    if (!first_piece_) {
        first_piece_ = true;
        context_.callbacks.first_byte(*exchange_);
    }
    return pass_on(std::move(piece));
}

void online_dispatch::on_done(const http::call_result& result, core::dispatch_finished& report)
{
    const bool unfinished = events_ && !stream_.done();
    if (report.outcome == core::dispatch_outcome::completed && unfinished) {
        report.outcome = core::dispatch_outcome::connection_lost;
    }
    report.tokens = stream_.tokens();
    if (report.outcome == core::dispatch_outcome::completed) {
        report.outcome = complete(result.head.status);
    }
    report.answer_started = started_;
}

core::dispatch_outcome online_dispatch::complete(unsigned status)
{
    if (started_) {
        const bool lost = !waiting_.empty() && exchange_->responder->write(std::move(waiting_)) !=
                                                   http::write_result::buffered;
        if (lost) {
            return core::dispatch_outcome::connection_lost;
        }
        exchange_->responder->finish();
        return core::dispatch_outcome::completed;
    }
    if (!exchange_->begin_whole()) {
        return core::dispatch_outcome::cancelled;
    }
    started_ = true;
    context_.callbacks.first_byte(*exchange_);
    http::response whole;
    whole.status = status;
    whole.headers = forwarded_headers(head_, request_number());
    whole.body = std::move(collected_);
    exchange_->responder->send(std::move(whole));
    return core::dispatch_outcome::completed;
}

void online_dispatch::start()
{
    if (events_) {
        exchange_->set_event_stream();
    }
    if (!exchange_->begin_stream()) {
        // The request was refused in the meantime.
        call_->cancel();
        return;
    }
    started_ = true;
    exchange_->responder->start({head_.status, forwarded_headers(head_, request_number())});
    context_.callbacks.post(core::answer_started{order_.dispatch});
}

http::flow online_dispatch::pass_on(std::string piece)
{
    if (!waiting_.empty()) {
        waiting_ += piece;
        return http::flow::pause;
    }
    switch (exchange_->responder->write(std::move(piece))) {
    case http::write_result::buffered:
        return http::flow::proceed;
    case http::write_result::closed:
        call_->cancel();
        return http::flow::proceed;
    case http::write_result::buffer_full:
        // A piece that is not taken has not been moved from.
        waiting_ = std::move(piece); // NOLINT(bugprone-use-after-move)
        wait_for_room();
        return http::flow::pause;
    }
    return http::flow::proceed;
}

void online_dispatch::wait_for_room()
{
    auto self = std::static_pointer_cast<online_dispatch>(shared_from_this());
    exchange_->responder->when_writable([self, &loop = context_.loop, alive = context_.alive] {
        loop.post([self, alive] {
            if (*alive) {
                self->write_waiting();
            }
        });
    });
}

void online_dispatch::write_waiting()
{
    if (waiting_.empty()) {
        return;
    }
    switch (exchange_->responder->write(std::move(waiting_))) {
    case http::write_result::buffered:
        waiting_.clear();
        call_->resume();
        return;
    case http::write_result::closed:
        call_->cancel();
        return;
    case http::write_result::buffer_full:
        wait_for_room();
        return;
    }
}

} // namespace gooseberryfall::targets
