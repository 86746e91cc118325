#include "engine_state.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <optional>

namespace gooseberryfall::stand_ins {

namespace json = boost::json;

namespace {

/// Bytes of the serialized messages that identify a prompt prefix in the cache.
constexpr std::size_t prompt_prefix_size = 256;

std::int64_t now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

http::response make_json_response(const json::value& value, unsigned status = 200)
{
    http::response json_response;
    json_response.status = status;
    json_response.headers.set("Content-Type", "application/json");
    json_response.body = json::serialize(value);
    return json_response;
}

std::optional<std::string> find_query(const http::target_parts& parts, const std::string& name)
{
    const auto found = parts.query.find(name);
    if (found == parts.query.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::uint32_t parse_number(const std::string& text)
{
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

/// A request that runs or waits for a slot.
struct engine_state::stream {
    std::string id;
    std::shared_ptr<http::responder> responder;
    std::size_t record = 0;
    bool is_event_stream = false;
    std::string prompt_prefix;
    std::string text;
    std::uint32_t token_count = 0;
    std::uint32_t token_limit = 0;
    bool truncate = false;
    bool ended = false;
};

engine_state::engine_state(http::event_loop& loop, engine_settings settings)
    : loop_(loop), settings_(settings)
{
    refresh_load_report();
}

void engine_state::refresh_load_report()
{
    reported_running_ = static_cast<std::uint32_t>(running_.size());
    reported_pending_ = static_cast<std::uint32_t>(pending_.size());
    loop_.post_after(std::max(settings_.report_lag, std::chrono::milliseconds(1)),
                     [this] { refresh_load_report(); });
}

void engine_state::handle(const http::request& request,
                          const std::shared_ptr<http::responder>& responder)
{
    const auto parts = http::parse_target(request.target);
    if (!parts) {
        responder->send(make_json_response(
            {{"error", "malformed request target, expected a path with an optional query"}}, 400));
        return;
    }
    if (parts->path == "/control") {
        apply_control(*parts, responder);
        return;
    }
    if (parts->path == "/control/records") {
        send_records(responder);
        return;
    }
    if (unresponsive_) {
        // Holds the responder, so that the connection stays open without a response.
        responder->when_ended([responder](bool) {});
        return;
    }
    if (parts->path == "/v1/load") {
        send_load(responder);
        return;
    }
    constexpr std::string_view requests_prefix = "/v1/requests/";
    if (parts->path.starts_with(requests_prefix) && parts->path.ends_with("/cancel")) {
        const std::size_t id_size =
            parts->path.size() - requests_prefix.size() - std::string_view("/cancel").size();
        cancel(parts->path.substr(requests_prefix.size(), id_size), responder);
        return;
    }
    if (settings_.plain) {
        handle_plain(request, responder);
        return;
    }
    if (parts->path == "/v1/chat/completions") {
        handle_completion(request, responder);
        return;
    }
    responder->send(make_json_response({{"error", "unknown path"}}, 404));
}

void engine_state::apply_control(const http::target_parts& parts,
                                 const std::shared_ptr<http::responder>& caller)
{
    if (const auto value = find_query(parts, "leaving")) {
        leaving_ = *value == "1";
    }
    if (const auto value = find_query(parts, "silent")) {
        unresponsive_ = *value == "1";
    }
    if (const auto value = find_query(parts, "crash_text")) {
        crash_text_ = *value;
    }
    if (const auto value = find_query(parts, "truncate_next")) {
        truncate_next_ = parse_number(*value);
    }
    if (const auto value = find_query(parts, "mismatch_next")) {
        mismatch_next_ = parse_number(*value);
    }
    if (const auto value = find_query(parts, "refuse_next")) {
        reject_next_ = parse_number(*value);
    }
    if (const auto value = find_query(parts, "delay_ms")) {
        extra_delay_ = std::chrono::milliseconds(parse_number(*value));
    }
    if (const auto value = find_query(parts, "token_ms")) {
        settings_.token_interval = std::chrono::milliseconds(parse_number(*value));
    }
    caller->send(make_json_response({{"ok", true}, {"refused", rejected_count_}}));
}

void engine_state::send_records(const std::shared_ptr<http::responder>& caller)
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
    caller->send(make_json_response({{"records", std::move(list)}}));
}

void engine_state::send_load(const std::shared_ptr<http::responder>& caller)
{
    caller->send(make_json_response({{"running", reported_running_},
                                     {"waiting", reported_pending_},
                                     {"slots", settings_.slots},
                                     {"leaving", leaving_}}));
}

std::size_t engine_state::add_record(const http::request& request)
{
    engine_record added_record;
    added_record.at_us = now_us();
    added_record.request_id = request.headers.get("X-Request-Id");
    added_record.method = request.method;
    added_record.path = request.target;
    added_record.body = request.body;
    added_record.end = "running";
    for (const auto& [name, value] : request.headers) {
        std::string header_line = name;
        header_line += ": ";
        header_line += value;
        added_record.headers.push_back(std::move(header_line));
    }
    records_.push_back(std::move(added_record));
    return records_.size() - 1;
}

bool engine_state::inject_fault(const http::request& request,
                                const std::shared_ptr<http::responder>& caller)
{
    const bool rejects = leaving_ || reject_next_ > 0;
    if (rejects) {
        reject_next_ -= reject_next_ > 0 ? 1 : 0;
        ++rejected_count_;
        http::response rejection = make_json_response({{"error", "not admitted"}}, 503);
        rejection.headers.set("Run-Verdict", "not_run");
        rejection.headers.set("Leaving", leaving_ ? "true" : "false");
        rejection.headers.set("X-Request-Id", request.headers.get("X-Request-Id"));
        caller->send(std::move(rejection));
        return true;
    }
    const bool must_crash =
        !crash_text_.empty() && request.body.find(crash_text_) != std::string::npos;
    if (must_crash) {
        // Exits without any clean-up, as a crash does.
        std::_Exit(1);
    }
    if (mismatch_next_ > 0) {
        --mismatch_next_;
        http::response mismatched = make_json_response({{"error", "another request's answer"}});
        mismatched.headers.set("X-Request-Id", "not-yours");
        caller->send(std::move(mismatched));
        return true;
    }
    return false;
}

void engine_state::handle_plain(const http::request& request,
                                const std::shared_ptr<http::responder>& caller)
{
    if (inject_fault(request, caller)) {
        return;
    }
    const std::size_t entry = add_record(request);
    loop_.post_after(settings_.plain_response_time + extra_delay_, [this, entry, request, caller] {
        records_[entry].end = "completed";
        http::response plain_response =
            make_json_response({{"path", request.target},
                                {"echo", request.body},
                                {"request_id", request.headers.get("X-Request-Id")}});
        plain_response.headers.set("X-Request-Id", request.headers.get("X-Request-Id"));
        caller->send(std::move(plain_response));
    });
}

void engine_state::handle_completion(const http::request& request,
                                     const std::shared_ptr<http::responder>& caller)
{
    if (inject_fault(request, caller)) {
        return;
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body, error);
    const std::size_t entry = add_record(request);
    if (error || !parsed.is_object() || !parsed.as_object().contains("messages")) {
        records_[entry].end = "completed";
        http::response invalid_request = make_json_response(
            {{"error", "the request body is not a JSON object with messages"}}, 400);
        invalid_request.headers.set("X-Request-Id", request.headers.get("X-Request-Id"));
        caller->send(std::move(invalid_request));
        return;
    }
    const json::object& fields = parsed.as_object();
    auto added = std::make_shared<stream>();
    added->id = request.headers.get("X-Request-Id");
    if (added->id.empty() || running_.contains(added->id)) {
        added->id += "unnamed-" + std::to_string(next_generated_id_++);
    }
    added->responder = caller;
    added->record = entry;
    const json::value* streaming = fields.if_contains("stream");
    added->is_event_stream = streaming != nullptr && streaming->is_bool() && streaming->as_bool();
    added->prompt_prefix = json::serialize(fields.at("messages")).substr(0, prompt_prefix_size);
    const json::value* max_tokens = fields.if_contains("max_tokens");
    added->token_limit = max_tokens != nullptr && max_tokens->is_int64()
                             ? static_cast<std::uint32_t>(max_tokens->as_int64())
                             : settings_.default_tokens;
    const json::value* resume_text = fields.if_contains("resume_text");
    if (resume_text != nullptr && resume_text->is_string()) {
        // Each token is one word and a blank, so the blanks count the tokens already sent.
        const auto sent_tokens =
            std::count(resume_text->as_string().begin(), resume_text->as_string().end(), ' ');
        added->token_count = static_cast<std::uint32_t>(sent_tokens);
    }
    if (truncate_next_ > 0) {
        --truncate_next_;
        added->truncate = true;
    }
    caller->when_ended([this, added](bool complete) {
        if (!complete) {
            end_stream(added, "cancelled");
        }
    });
    pending_.push_back(added);
    start_pending();
}

void engine_state::start_pending()
{
    while (!pending_.empty() && running_.size() < settings_.slots) {
        const std::shared_ptr<stream> next = pending_.front();
        pending_.pop_front();
        if (next->ended) {
            continue;
        }
        running_[next->id] = next;
        records_[next->record].started_us = now_us();
        start_prefill(next);
    }
}

bool engine_state::touch_cache(const std::string& prompt_prefix)
{
    const auto found = std::find(prefix_cache_.begin(), prefix_cache_.end(), prompt_prefix);
    const bool hit = found != prefix_cache_.end();
    if (hit) {
        prefix_cache_.erase(found);
    }
    prefix_cache_.push_front(prompt_prefix);
    if (prefix_cache_.size() > settings_.cache_entries) {
        prefix_cache_.pop_back();
    }
    return hit;
}

void engine_state::start_prefill(const std::shared_ptr<stream>& running)
{
    const bool cached = touch_cache(running->prompt_prefix);
    const auto delay =
        (cached ? settings_.cached_prefill_time : settings_.prefill_time) + extra_delay_;
    loop_.post_after(delay, [this, running] {
        if (running->ended) {
            return;
        }
        if (running->is_event_stream) {
            http::response_head head;
            head.headers.set("Content-Type", "text/event-stream");
            head.headers.set("X-Request-Id", records_[running->record].request_id);
            running->responder->start(std::move(head));
        }
        generate_tokens(running);
    });
}

void engine_state::generate_tokens(const std::shared_ptr<stream>& running)
{
    if (running->ended) {
        return;
    }
    if (running->truncate && running->token_count * 2 >= running->token_limit) {
        running->responder->abort();
        end_stream(running, "cancelled");
        return;
    }
    if (running->token_count >= running->token_limit) {
        send_completion(*running);
        end_stream(running, "completed");
        return;
    }
    send_token(*running);
    loop_.post_after(settings_.token_interval, [this, running] { generate_tokens(running); });
}

void engine_state::send_token(stream& running)
{
    const std::string token = "w" + std::to_string(running.token_count) + " ";
    ++running.token_count;
    if (!running.is_event_stream) {
        running.text += token;
        return;
    }
    const json::object event{
        {"choices",
         json::array{json::object{{"index", 0}, {"delta", json::object{{"content", token}}}}}}};
    running.responder->write("data: " + json::serialize(event) + "\n\n");
}

void engine_state::send_completion(stream& running)
{
    const json::object usage{{"completion_tokens", running.token_count}};
    if (running.is_event_stream) {
        const json::object event{
            {"choices", json::array{json::object{
                            {"index", 0}, {"delta", json::object{}}, {"finish_reason", "stop"}}}},
            {"usage", usage}};
        running.responder->write("data: " + json::serialize(event) + "\n\ndata: [DONE]\n\n");
        running.responder->finish();
        return;
    }
    http::response completion = make_json_response(
        {{"object", "chat.completion"},
         {"choices", json::array{json::object{{"index", 0},
                                              {"message", json::object{{"role", "assistant"},
                                                                       {"content", running.text}}},
                                              {"finish_reason", "stop"}}}},
         {"usage", usage}});
    completion.headers.set("X-Request-Id", records_[running.record].request_id);
    running.responder->send(std::move(completion));
}

void engine_state::end_stream(const std::shared_ptr<stream>& running, const std::string& reason)
{
    if (running->ended) {
        return;
    }
    running->ended = true;
    records_[running->record].end = reason;
    records_[running->record].ended_us = now_us();
    running_.erase(running->id);
    start_pending();
}

void engine_state::cancel(const std::string& request_id,
                          const std::shared_ptr<http::responder>& caller)
{
    const auto found = running_.find(request_id);
    if (found != running_.end()) {
        const std::shared_ptr<stream> running = found->second;
        running->responder->abort();
        end_stream(running, "cancelled");
    }
    caller->send(make_json_response({{"ok", true}}));
}

} // namespace gooseberryfall::stand_ins
