#include "engine_state.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <optional>

namespace gooseberryfall::stand_ins {

namespace json = boost::json;

namespace {

constexpr std::size_t prefix_length = 256;

std::int64_t now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

http::response json_answer(const json::value& value, unsigned status = 200)
{
    http::response answer;
    answer.status = status;
    answer.headers.set("Content-Type", "application/json");
    answer.body = json::serialize(value);
    return answer;
}

std::optional<std::string> query(const http::target_parts& parts, const std::string& name)
{
    const auto found = parts.query.find(name);
    if (found == parts.query.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::uint32_t number(const std::string& text)
{
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

/// One request that the engine runs or holds back.
struct engine_state::stream {
    std::string id;
    std::shared_ptr<http::responder> responder;
    std::size_t record = 0;
    bool events = false;
    std::string prefix;
    std::string text;
    std::uint32_t tokens = 0;
    std::uint32_t wanted = 0;
    bool truncate = false;
    bool ended = false;
};

engine_state::engine_state(http::event_loop& loop, engine_settings settings)
    : loop_(loop), settings_(settings)
{
    take_report();
}

void engine_state::take_report()
{
    reported_running_ = static_cast<std::uint32_t>(running_.size());
    reported_waiting_ = static_cast<std::uint32_t>(waiting_.size());
    loop_.post_after(std::max(settings_.report_lag, std::chrono::milliseconds(1)),
                     [this] { take_report(); });
}

void engine_state::handle(const http::request& request,
                          const std::shared_ptr<http::responder>& responder)
{
    const auto parts = http::parse_target(request.target);
    if (!parts) {
        responder->send(json_answer({{"error", "malformed path"}}, 400));
        return;
    }
    if (parts->path == "/control") {
        control(*parts, responder);
        return;
    }
    if (parts->path == "/control/records") {
        send_records(responder);
        return;
    }
    if (silent_) {
        // The connection stays open without an answer.
        responder->when_ended([responder](bool) {});
        return;
    }
    if (parts->path == "/v1/load") {
        send_load(responder);
        return;
    }
    constexpr std::string_view requests = "/v1/requests/";
    if (parts->path.starts_with(requests) && parts->path.ends_with("/cancel")) {
        const std::size_t length =
            parts->path.size() - requests.size() - std::string_view("/cancel").size();
        cancel(parts->path.substr(requests.size(), length), responder);
        return;
    }
    if (settings_.plain) {
        answer_plain(request, responder);
        return;
    }
    if (parts->path == "/v1/chat/completions") {
        complete(request, responder);
        return;
    }
    responder->send(json_answer({{"error", "unknown path"}}, 404));
}

void engine_state::control(const http::target_parts& parts,
                           const std::shared_ptr<http::responder>& to)
{
    if (const auto value = query(parts, "leaving")) {
        leaving_ = *value == "1";
    }
    if (const auto value = query(parts, "silent")) {
        silent_ = *value == "1";
    }
    if (const auto value = query(parts, "crash_text")) {
        crash_text_ = *value;
    }
    if (const auto value = query(parts, "truncate_next")) {
        truncate_next_ = number(*value);
    }
    if (const auto value = query(parts, "mismatch_next")) {
        mismatch_next_ = number(*value);
    }
    if (const auto value = query(parts, "refuse_next")) {
        refuse_next_ = number(*value);
    }
    if (const auto value = query(parts, "delay_ms")) {
        extra_delay_ = std::chrono::milliseconds(number(*value));
    }
    if (const auto value = query(parts, "token_ms")) {
        settings_.token_interval = std::chrono::milliseconds(number(*value));
    }
    to->send(json_answer({{"ok", true}, {"refused", refused_}}));
}

void engine_state::send_records(const std::shared_ptr<http::responder>& to)
{
    json::array list;
    for (const engine_record& entry : records_) {
        json::array headers(entry.headers.begin(), entry.headers.end());
        list.push_back({{"at_us", entry.at_us},
                        {"started_us", entry.started_us},
                        {"ended_us", entry.ended_us},
                        {"request_id", entry.request_id},
                        {"method", entry.method},
                        {"path", entry.path},
                        {"body", entry.body},
                        {"headers", std::move(headers)},
                        {"end", entry.end}});
    }
    to->send(json_answer({{"records", std::move(list)}}));
}

void engine_state::send_load(const std::shared_ptr<http::responder>& to)
{
    to->send(json_answer({{"running", reported_running_},
                          {"waiting", reported_waiting_},
                          {"slots", settings_.slots},
                          {"leaving", leaving_}}));
}

std::size_t engine_state::record(const http::request& request)
{
    engine_record entry;
    entry.at_us = now_us();
    entry.request_id = request.headers.get("X-Request-Id");
    entry.method = request.method;
    entry.path = request.target;
    entry.body = request.body;
    entry.end = "running";
    for (const auto& [name, value] : request.headers) {
        std::string line = name;
        line += ": ";
        line += value;
        entry.headers.push_back(std::move(line));
    }
    records_.push_back(std::move(entry));
    return records_.size() - 1;
}

bool engine_state::fails(const http::request& request, const std::shared_ptr<http::responder>& to)
{
    const bool refuse = leaving_ || refuse_next_ > 0;
    if (refuse) {
        refuse_next_ -= refuse_next_ > 0 ? 1 : 0;
        ++refused_;
        http::response answer = json_answer({{"error", "not admitted"}}, 503);
        answer.headers.set("Run-Verdict", "not_run");
        answer.headers.set("Leaving", leaving_ ? "true" : "false");
        answer.headers.set("X-Request-Id", request.headers.get("X-Request-Id"));
        to->send(std::move(answer));
        return true;
    }
    const bool crash = !crash_text_.empty() && request.body.find(crash_text_) != std::string::npos;
    if (crash) {
        // Ends as a crash would, without any clean-up.
        std::_Exit(1);
    }
    if (mismatch_next_ > 0) {
        --mismatch_next_;
        http::response answer = json_answer({{"error", "another request's answer"}});
        answer.headers.set("X-Request-Id", "not-yours");
        to->send(std::move(answer));
        return true;
    }
    return false;
}

void engine_state::answer_plain(const http::request& request,
                                const std::shared_ptr<http::responder>& to)
{
    if (fails(request, to)) {
        return;
    }
    const std::size_t entry = record(request);
    loop_.post_after(settings_.plain_time + extra_delay_, [this, entry, request, to] {
        records_[entry].end = "completed";
        http::response answer = json_answer({{"path", request.target},
                                             {"echo", request.body},
                                             {"request_id", request.headers.get("X-Request-Id")}});
        answer.headers.set("X-Request-Id", request.headers.get("X-Request-Id"));
        to->send(std::move(answer));
    });
}

void engine_state::complete(const http::request& request,
                            const std::shared_ptr<http::responder>& to)
{
    if (fails(request, to)) {
        return;
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body, error);
    const std::size_t entry = record(request);
    if (error || !parsed.is_object() || !parsed.as_object().contains("messages")) {
        records_[entry].end = "completed";
        http::response answer = json_answer({{"error", "the request cannot be run"}}, 400);
        answer.headers.set("X-Request-Id", request.headers.get("X-Request-Id"));
        to->send(std::move(answer));
        return;
    }
    const json::object& fields = parsed.as_object();
    auto added = std::make_shared<stream>();
    added->id = request.headers.get("X-Request-Id");
    if (added->id.empty() || running_.contains(added->id)) {
        added->id += "unnamed-" + std::to_string(next_unnamed_++);
    }
    added->responder = to;
    added->record = entry;
    const json::value* streaming = fields.if_contains("stream");
    added->events = streaming != nullptr && streaming->is_bool() && streaming->as_bool();
    added->prefix = json::serialize(fields.at("messages")).substr(0, prefix_length);
    const json::value* wanted = fields.if_contains("max_tokens");
    added->wanted = wanted != nullptr && wanted->is_int64()
                        ? static_cast<std::uint32_t>(wanted->as_int64())
                        : settings_.default_tokens;
    const json::value* resume = fields.if_contains("resume_text");
    if (resume != nullptr && resume->is_string()) {
        // Each token is one word and a blank.
        const auto done = std::count(resume->as_string().begin(), resume->as_string().end(), ' ');
        added->tokens = static_cast<std::uint32_t>(done);
    }
    if (truncate_next_ > 0) {
        --truncate_next_;
        added->truncate = true;
    }
    to->when_ended([this, added](bool whole) {
        if (!whole) {
            end(added, "cancelled");
        }
    });
    waiting_.push_back(added);
    admit();
}

void engine_state::admit()
{
    while (!waiting_.empty() && running_.size() < settings_.slots) {
        const std::shared_ptr<stream> next = waiting_.front();
        waiting_.pop_front();
        if (next->ended) {
            continue;
        }
        running_[next->id] = next;
        records_[next->record].started_us = now_us();
        prefill(next);
    }
}

bool engine_state::use_cache(const std::string& prefix)
{
    const auto found = std::find(cache_.begin(), cache_.end(), prefix);
    const bool hit = found != cache_.end();
    if (hit) {
        cache_.erase(found);
    }
    cache_.push_front(prefix);
    if (cache_.size() > settings_.cache_entries) {
        cache_.pop_back();
    }
    return hit;
}

void engine_state::prefill(const std::shared_ptr<stream>& running)
{
    const bool cached = use_cache(running->prefix);
    const auto delay = (cached ? settings_.prefill_cached : settings_.prefill) + extra_delay_;
    loop_.post_after(delay, [this, running] {
        if (running->ended) {
            return;
        }
        if (running->events) {
            http::response_head head;
            head.headers.set("Content-Type", "text/event-stream");
            head.headers.set("X-Request-Id", records_[running->record].request_id);
            running->responder->start(std::move(head));
        }
        generate(running);
    });
}

void engine_state::generate(const std::shared_ptr<stream>& running)
{
    if (running->ended) {
        return;
    }
    if (running->truncate && running->tokens * 2 >= running->wanted) {
        running->responder->abort();
        end(running, "cancelled");
        return;
    }
    if (running->tokens >= running->wanted) {
        finish(*running);
        end(running, "completed");
        return;
    }
    send_token(*running);
    loop_.post_after(settings_.token_interval, [this, running] { generate(running); });
}

void engine_state::send_token(stream& running)
{
    const std::string token = "w" + std::to_string(running.tokens) + " ";
    ++running.tokens;
    if (!running.events) {
        running.text += token;
        return;
    }
    const json::object event{
        {"choices",
         json::array{json::object{{"index", 0}, {"delta", json::object{{"content", token}}}}}}};
    running.responder->write("data: " + json::serialize(event) + "\n\n");
}

void engine_state::finish(stream& running)
{
    const json::object usage{{"completion_tokens", running.tokens}};
    if (running.events) {
        const json::object event{
            {"choices", json::array{json::object{
                            {"index", 0}, {"delta", json::object{}}, {"finish_reason", "stop"}}}},
            {"usage", usage}};
        running.responder->write("data: " + json::serialize(event) + "\n\ndata: [DONE]\n\n");
        running.responder->finish();
        return;
    }
    http::response answer = json_answer(
        {{"object", "chat.completion"},
         {"choices", json::array{json::object{{"index", 0},
                                              {"message", json::object{{"role", "assistant"},
                                                                       {"content", running.text}}},
                                              {"finish_reason", "stop"}}}},
         {"usage", usage}});
    answer.headers.set("X-Request-Id", records_[running.record].request_id);
    running.responder->send(std::move(answer));
}

void engine_state::end(const std::shared_ptr<stream>& running, const std::string& how)
{
    if (running->ended) {
        return;
    }
    running->ended = true;
    records_[running->record].end = how;
    records_[running->record].ended_us = now_us();
    running_.erase(running->id);
    admit();
}

void engine_state::cancel(const std::string& request_id, const std::shared_ptr<http::responder>& to)
{
    const auto found = running_.find(request_id);
    if (found != running_.end()) {
        const std::shared_ptr<stream> running = found->second;
        running->responder->abort();
        end(running, "cancelled");
    }
    to->send(json_answer({{"ok", true}}));
}

} // namespace gooseberryfall::stand_ins
