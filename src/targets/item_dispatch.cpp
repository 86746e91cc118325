#include "targets/item_dispatch.hpp"

#include <boost/json.hpp>

#include <utility>

namespace gooseberryfall::targets {

namespace json = boost::json;

void item_dispatch::begin()
{
    auto self = std::static_pointer_cast<item_dispatch>(shared_from_this());
    context_.callbacks.read_body(item(), [self, &loop = context_.loop, alive = context_.alive](
                                             tl::expected<std::string, std::string> body) {
        loop.post([self, alive, body = std::move(body)] {
            if (*alive) {
                self->on_body(body);
            }
        });
    });
}

http::flow item_dispatch::on_answer(const http::response_head& head)
{
    events_ = http::is_event_stream(head.headers);
    return http::flow::proceed;
}

http::flow item_dispatch::on_piece(std::string piece)
{
    if (events_) {
        stream_.feed(piece);
    }
    else if (collected_.size() + piece.size() <= context_.settings.result_limit) {
        collected_ += piece;
    }
    else {
        too_long_ = true;
        call_->cancel();
    }
    return http::flow::proceed;
}

void item_dispatch::on_done(const http::call_result&, core::dispatch_finished& report)
{
    report.tokens = stream_.tokens();
    if (too_long_) {
        report.outcome = core::dispatch_outcome::completed;
        constexpr unsigned status_too_large = 413;
        report.status = status_too_large;
        report.body = R"({"error": {"code": "body_too_large", "message": )"
                      R"("the answer is longer than a result may be", "run": "ran"}})";
        return;
    }
    if (report.outcome == core::dispatch_outcome::cancelled) {
        report.body = item().resume + stream_.text();
        return;
    }
    const bool unfinished = events_ && (!stream_.done() || stream_.failed());
    if (report.outcome == core::dispatch_outcome::completed && unfinished) {
        report.outcome = core::dispatch_outcome::connection_lost;
    }
    if (report.outcome == core::dispatch_outcome::completed) {
        report.body = events_ ? whole_answer() : std::move(collected_);
    }
}

void item_dispatch::on_body(const tl::expected<std::string, std::string>& body)
{
    // An item that is cancelled before it was sent says nothing about its target.
    if (cancelled_ || !body) {
        finish_unsent(core::dispatch_outcome::body_unavailable);
        return;
    }
    boost::system::error_code error;
    json::value parsed = json::parse(*body, error);
    if (error || !parsed.is_object()) {
        core::dispatch_finished report;
        report.dispatch = order_.dispatch;
        report.outcome = core::dispatch_outcome::completed;
        constexpr unsigned status_bad_request = 400;
        report.status = status_bad_request;
        report.body = R"({"error": {"code": "bad_request", "message": )"
                      R"("the item is no JSON object", "run": "not_run"}})";
        context_.finish(std::move(report));
        return;
    }
    json::object& fields = parsed.as_object();
    fields["stream"] = true;
    if (!item().resume.empty()) {
        fields["resume_text"] = item().resume;
    }
    if (item().max_tokens > 0 && !fields.contains("max_tokens")) {
        fields["max_tokens"] = item().max_tokens;
    }
    http::client_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.set("Content-Type", "application/json");
    request.body = json::serialize(parsed);
    send(std::move(request));
}

std::string item_dispatch::whole_answer() const
{
    const std::string text = item().resume + stream_.text();
    json::object choice{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", text}}},
                        {"finish_reason", stream_.finish_reason()}};
    json::object answer{{"object", "chat.completion"},
                        {"choices", json::array{std::move(choice)}},
                        {"usage", {{"completion_tokens", stream_.tokens()}}}};
    return json::serialize(answer);
}

} // namespace gooseberryfall::targets
