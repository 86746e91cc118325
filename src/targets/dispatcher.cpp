#include "targets/dispatcher.hpp"

#include "targets/event_stream.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <optional>
#include <string_view>

namespace gooseberryfall::targets {

namespace json = boost::json;

namespace {

constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

/// Headers that belong to one connection, and those that carry credentials or our own marks. They
/// do not go on to a target.
constexpr std::array<std::string_view, 18> request_headers_removed{
    "Authorization", "Proxy-Authorization", "Cookie",     "X-Api-Key", "Api-Key",
    "X-Request-Id",  "Connection",          "Keep-Alive", "TE",        "Trailer",
    "Upgrade",       "Transfer-Encoding",   "Host",       "Expect",    "Proxy-Connection",
    "Repeatable",    "Content-Length",      "Run-Verdict"};

constexpr std::array<std::string_view, 10> response_headers_removed{
    "X-Request-Id",   "Connection", "Keep-Alive",        "Trailer",     "Upgrade",
    "Content-Length", "Set-Cookie", "Transfer-Encoding", "Run-Verdict", "Proxy-Connection"};

template <std::size_t Count>
http::header_fields without(http::header_fields fields,
                            const std::array<std::string_view, Count>& names)
{
    for (const std::string_view name : names) {
        fields.remove(name);
    }
    return fields;
}

/// Below this length a key cannot be told from ordinary text inside a longer value.
constexpr std::size_t embedded_key_length = 8;

/// The key that a caller sent; empty if there is none.
std::string key_of(const http::header_fields& headers)
{
    constexpr std::string_view bearer = "Bearer ";
    const std::string value = headers.get("Authorization");
    return value.starts_with(bearer) ? value.substr(bearer.size()) : std::string();
}

bool holds_key(const std::string& text, const std::string& key)
{
    if (key.size() < embedded_key_length) {
        return !key.empty() && text == key;
    }
    return text.find(key) != std::string::npos;
}

/// Whether one parameter of a query, still encoded, holds the key in its name or value.
bool parameter_holds_key(const std::string& parameter, const std::string& key)
{
    const auto parts = http::parse_target("/?" + parameter);
    if (!parts) {
        return holds_key(parameter, key);
    }
    return std::any_of(parts->query.begin(), parts->query.end(), [&](const auto& entry) {
        return holds_key(entry.first, key) || holds_key(entry.second, key);
    });
}

/// The target without parameters that hold the key.
std::string without_key(const std::string& target, const std::string& key)
{
    const std::size_t question = target.find('?');
    if (question == std::string::npos) {
        return target;
    }
    std::string kept;
    std::size_t begin = question + 1;
    while (begin <= target.size()) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string parameter = target.substr(begin, end - begin);
        if (!parameter_holds_key(parameter, key)) {
            kept += (kept.empty() ? "?" : "&") + parameter;
        }
        begin = end + 1;
    }
    return target.substr(0, question) + kept;
}

/// The fields without those that hold the key.
http::header_fields without_key(const http::header_fields& fields, const std::string& key)
{
    http::header_fields kept;
    for (const auto& [name, value] : fields) {
        if (!holds_key(value, key)) {
            kept.add(name, value);
        }
    }
    return kept;
}

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

bool is_event_stream(const http::response_head& head)
{
    return head.headers.get("Content-Type").starts_with("text/event-stream");
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
    case http::call_outcome::invalid_answer:
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

/// One dispatch: the call to the target and what is common to requests and items.
class dispatcher::running_dispatch : public std::enable_shared_from_this<running_dispatch> {
public:
    running_dispatch(dispatcher& owner, core::dispatch order)
        : owner_(owner), order_(std::move(order))
    {
    }
    virtual ~running_dispatch() = default;
    running_dispatch(const running_dispatch&) = delete;
    running_dispatch& operator=(const running_dispatch&) = delete;
    running_dispatch(running_dispatch&&) = delete;
    running_dispatch& operator=(running_dispatch&&) = delete;

    /// Begins the dispatch.
    virtual void begin() = 0;

    /// Ends the call at the target. The end is reported by `on_done`.
    void cancel()
    {
        cancelled_ = true;
        if (call_) {
            call_->cancel();
        }
    }

protected:
    /// The answer's head came and it is neither a refusal nor another request's answer.
    virtual http::flow on_answer(const http::response_head& head) = 0;
    virtual http::flow on_piece(std::string piece) = 0;
    /// The call ended; fills the report.
    virtual void on_done(const http::call_result& result, core::dispatch_finished& report) = 0;

    std::string request_number() const
    {
        const core::incarnation_id& self = owner_.settings_.self;
        return self.instance.value() + "-" + std::to_string(self.number) + "-" +
               std::to_string(order_.dispatch);
    }

    /// Sends the request.
    void send(http::client_request request)
    {
        request.address = order_.address + ":" + std::to_string(order_.port);
        request.headers.set("X-Request-Id", request_number());
        request.timeouts = to_timeouts(order_.timeouts);
        // The client must not send again by itself, even if the request may be repeated: what was
        // sent twice has to be charged twice, may have run, and may have ended the target.
        request.use = http::connection_use::recent;
        http::call_observer observer;
        observer.on_head = [self = shared_from_this()](const http::response_head& head) {
            return self->take_head(head);
        };
        observer.on_piece = [self = shared_from_this()](std::string piece) {
            return self->take_piece(std::move(piece));
        };
        observer.on_done = [self = shared_from_this(),
                            alive = owner_.alive_](const http::call_result& result) {
            if (*alive) {
                self->finish(result);
            }
        };
        call_ = owner_.client_.start(std::move(request), std::move(observer));
    }

    /// Reports an end without a call.
    void finish_unsent(core::dispatch_outcome outcome)
    {
        core::dispatch_finished report;
        report.dispatch = order_.dispatch;
        report.outcome = outcome;
        owner_.finish(std::move(report));
    }

    dispatcher& owner_;
    core::dispatch order_;
    std::shared_ptr<http::ongoing_call> call_;
    bool cancelled_ = false;

private:
    http::flow take_head(const http::response_head& head)
    {
        const std::string* answered = head.headers.find("X-Request-Id");
        if (answered != nullptr && *answered != request_number()) {
            mismatched_ = true;
            call_->cancel();
            return http::flow::go_on;
        }
        if (is_refusal(head)) {
            refused_ = true;
            return http::flow::go_on;
        }
        return on_answer(head);
    }

    http::flow take_piece(std::string piece)
    {
        if (refused_ || mismatched_) {
            return http::flow::go_on;
        }
        return on_piece(std::move(piece));
    }

    void finish(const http::call_result& result)
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
            const bool leaving = result.head.headers.get("Leaving") == "true";
            report.outcome =
                leaving ? core::dispatch_outcome::refused_leaving : core::dispatch_outcome::refused;
        }
        else {
            on_done(result, report);
        }
        owner_.finish(std::move(report));
    }

    bool refused_ = false;
    bool mismatched_ = false;
};

/// A caller's request.
class dispatcher::online_dispatch : public dispatcher::running_dispatch {
public:
    using running_dispatch::running_dispatch;

    void begin() override
    {
        exchange_ = owner_.exchanges_.find(std::get<core::online_body>(order_.body).request);
        if (!exchange_) {
            // The caller has gone in the meantime.
            finish_unsent(core::dispatch_outcome::cancelled);
            return;
        }
        http::client_request request;
        request.method = exchange_->request.method;
        const std::string key = key_of(exchange_->request.headers);
        // Callers also put their key where it is not asked for, for example into the query.
        request.target = without_key(exchange_->request.target, key);
        request.headers =
            without_key(without(exchange_->request.headers, request_headers_removed), key);
        request.body = exchange_->request.body;
        send(std::move(request));
    }

protected:
    http::flow on_answer(const http::response_head& head) override
    {
        head_ = head;
        events_ = is_event_stream(head) && order_.kind == core::service_kind::engine;
        const std::optional<std::size_t> length = declared_length(head);
        const bool is_short = length && *length <= owner_.settings_.collect_limit;
        collecting_ = !events_ && is_short;
        if (!collecting_) {
            start();
        }
        return http::flow::go_on;
    }

    http::flow on_piece(std::string piece) override
    {
        if (events_) {
            stream_.feed(piece);
        }
        if (collecting_) {
            collected_ += piece;
            return http::flow::go_on;
        }
        if (!started_) {
            return http::flow::go_on;
        }
        if (!first_piece_) {
            first_piece_ = true;
            owner_.callbacks_.first_byte(*exchange_);
        }
        return pass_on(std::move(piece));
    }

    void on_done(const http::call_result& result, core::dispatch_finished& report) override
    {
        const bool unfinished = events_ && !stream_.done();
        if (report.outcome == core::dispatch_outcome::completed && unfinished) {
            report.outcome = core::dispatch_outcome::connection_lost;
        }
        report.answer_started = started_;
        report.tokens = stream_.tokens();
        if (report.outcome != core::dispatch_outcome::completed) {
            return;
        }
        if (started_) {
            const bool lost =
                !waiting_.empty() &&
                exchange_->responder->write(std::move(waiting_)) != http::write_result::taken;
            if (lost) {
                report.outcome = core::dispatch_outcome::connection_lost;
                return;
            }
            exchange_->responder->finish();
            return;
        }
        if (!exchange_->begin_whole()) {
            report.outcome = core::dispatch_outcome::cancelled;
            return;
        }
        owner_.callbacks_.first_byte(*exchange_);
        http::response whole;
        whole.status = result.head.status;
        whole.headers = answer_headers();
        whole.body = std::move(collected_);
        report.answer_started = true;
        exchange_->responder->send(std::move(whole));
    }

private:
    http::header_fields answer_headers() const
    {
        http::header_fields headers = without(head_.headers, response_headers_removed);
        headers.set("Run-Verdict", "ran");
        headers.set("Request-Id", request_number());
        return headers;
    }

    void start()
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
        exchange_->responder->start({head_.status, answer_headers()});
        owner_.callbacks_.post(core::answer_started{order_.dispatch});
    }

    http::flow pass_on(std::string piece)
    {
        if (!waiting_.empty()) {
            waiting_ += piece;
            return http::flow::pause;
        }
        switch (exchange_->responder->write(std::move(piece))) {
        case http::write_result::taken:
            return http::flow::go_on;
        case http::write_result::gone:
            call_->cancel();
            return http::flow::go_on;
        case http::write_result::full:
            // A piece that is not taken has not been moved from.
            waiting_ = std::move(piece); // NOLINT(bugprone-use-after-move)
            wait_for_room();
            return http::flow::pause;
        }
        return http::flow::go_on;
    }

    void wait_for_room()
    {
        auto self = std::static_pointer_cast<online_dispatch>(shared_from_this());
        exchange_->responder->when_room([self, &loop = owner_.loop_, alive = owner_.alive_] {
            loop.post([self, alive] {
                if (*alive) {
                    self->write_waiting();
                }
            });
        });
    }

    void write_waiting()
    {
        if (waiting_.empty()) {
            return;
        }
        switch (exchange_->responder->write(std::move(waiting_))) {
        case http::write_result::taken:
            waiting_.clear();
            call_->resume();
            return;
        case http::write_result::gone:
            call_->cancel();
            return;
        case http::write_result::full:
            wait_for_room();
            return;
        }
    }

    std::shared_ptr<exchange> exchange_;
    http::response_head head_;
    bool events_ = false;
    bool collecting_ = false;
    bool started_ = false;
    bool first_piece_ = false;
    std::string collected_;
    /// A piece that the caller's buffer had no room for.
    std::string waiting_;
    event_stream stream_{false};
};

/// A batch item. It is run as a stream, so that the text so far is there when it has to yield.
class dispatcher::item_dispatch : public dispatcher::running_dispatch {
public:
    using running_dispatch::running_dispatch;

    void begin() override
    {
        auto self = std::static_pointer_cast<item_dispatch>(shared_from_this());
        owner_.callbacks_.read_body(item(), [self, &loop = owner_.loop_, alive = owner_.alive_](
                                                tl::expected<std::string, std::string> body) {
            loop.post([self, alive, body = std::move(body)] {
                if (*alive) {
                    self->on_body(body);
                }
            });
        });
    }

protected:
    http::flow on_answer(const http::response_head& head) override
    {
        events_ = is_event_stream(head);
        return http::flow::go_on;
    }

    http::flow on_piece(std::string piece) override
    {
        if (events_) {
            stream_.feed(piece);
        }
        else if (collected_.size() + piece.size() <= owner_.settings_.result_limit) {
            collected_ += piece;
        }
        else {
            too_long_ = true;
            call_->cancel();
        }
        return http::flow::go_on;
    }

    void on_done(const http::call_result&, core::dispatch_finished& report) override
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

private:
    const core::item_body& item() const { return std::get<core::item_body>(order_.body); }

    void on_body(const tl::expected<std::string, std::string>& body)
    {
        if (cancelled_) {
            finish_unsent(core::dispatch_outcome::not_sent);
            return;
        }
        if (!body) {
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
            owner_.finish(std::move(report));
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

    /// The answer in the shape of a request that did not ask for a stream.
    std::string whole_answer() const
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

    bool events_ = false;
    bool too_long_ = false;
    std::string collected_;
    event_stream stream_{true};
};

dispatcher::dispatcher(http::event_loop& loop, http::client& client, exchange_table& exchanges,
                       dispatcher_settings settings, dispatcher_callbacks callbacks)
    : loop_(loop), client_(client), exchanges_(exchanges), settings_(std::move(settings)),
      callbacks_(std::move(callbacks))
{
}

dispatcher::~dispatcher()
{
    *alive_ = false;
}

void dispatcher::perform(const core::dispatch& order)
{
    assert(loop_.is_current());
    std::shared_ptr<running_dispatch> running;
    if (std::holds_alternative<core::online_body>(order.body)) {
        running = std::make_shared<online_dispatch>(*this, order);
    }
    else {
        running = std::make_shared<item_dispatch>(*this, order);
    }
    const bool inserted = running_.emplace(order.dispatch, running).second;
    assert(inserted);
    static_cast<void>(inserted);
    running->begin();
}

void dispatcher::cancel(core::dispatch_id id)
{
    assert(loop_.is_current());
    const auto found = running_.find(id);
    if (found != running_.end()) {
        const std::shared_ptr<running_dispatch> running = found->second;
        running->cancel();
    }
}

std::size_t dispatcher::size() const
{
    return running_.size();
}

void dispatcher::finish(core::dispatch_finished finished)
{
    running_.erase(finished.dispatch);
    callbacks_.post(std::move(finished));
}

} // namespace gooseberryfall::targets
