#include "callers/callers_api.hpp"

#include "callers/inference_request.hpp"
#include "config/config.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <string_view>

namespace gooseberryfall::callers {

namespace json = boost::json;

namespace {

constexpr std::string_view inference_path = "/v1/chat/completions";
constexpr std::string_view batches_path = "/v1/batches";
constexpr std::size_t idempotency_key_limit = 200;
constexpr std::string_view bearer_prefix = "Bearer ";

std::optional<core::digest> key_of(const http::header_fields& headers)
{
    const std::string* value = headers.find("Authorization");
    if (value == nullptr || !value->starts_with(bearer_prefix)) {
        return std::nullopt;
    }
    return config::sha256(std::string_view(*value).substr(bearer_prefix.size()));
}

std::optional<bool> repeatable_of(const http::header_fields& headers)
{
    const std::string* value = headers.find("Repeatable");
    if (value == nullptr) {
        return std::nullopt;
    }
    return *value != "false";
}

std::string query_value(const http::target_parts& parts, const std::string& name)
{
    const auto found = parts.query.find(name);
    return found == parts.query.end() ? std::string() : found->second;
}

std::uint32_t query_number(const http::target_parts& parts, const std::string& name,
                           std::uint32_t otherwise)
{
    const std::string text = query_value(parts, name);
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && !text.empty() ? value : otherwise;
}

std::string job_json(const core::job_status& status)
{
    const json::object object{{"id", status.job.value()},      {"items", status.items},
                              {"succeeded", status.succeeded}, {"failed", status.failed},
                              {"cancelled", status.cancelled}, {"ended", status.ended}};
    return json::serialize(object);
}

std::string result_line(const core::result_reference& reference, const std::string& body)
{
    boost::system::error_code error;
    json::value parsed = json::parse(body, error);
    if (error) {
        parsed = json::string(body);
    }
    const bool succeeded = reference.status == core::item_status::succeeded;
    const json::object line{{"index", reference.index},
                            {"status", succeeded ? "succeeded" : "failed"},
                            {"body", std::move(parsed)}};
    return json::serialize(line) + "\n";
}

http::response json_response(std::string body)
{
    http::response answer;
    answer.headers.set("Content-Type", "application/json");
    answer.body = std::move(body);
    return answer;
}

} // namespace

/// Results of a job that are being read from the log.
struct callers_api::result_page {
    core::results_reply reply;
    std::size_t next = 0;
    std::string lines;
    std::string error;
};

callers_api::callers_api(http::event_loop& loop, targets::exchange_table& exchanges,
                         callers_settings settings, callers_callbacks callbacks)
    : loop_(loop), exchanges_(exchanges), settings_(std::move(settings)),
      callbacks_(std::move(callbacks))
{
    http::server_handlers handlers;
    handlers.handle = [this](http::request request, const std::shared_ptr<http::responder>& to) {
        handle(std::move(request), to);
    };
    handlers.streams_body = [](const http::request& request) {
        const auto parts = http::parse_target(request.target);
        return request.method == "POST" && parts && parts->path == batches_path;
    };
    settings_.server.make_request_id = [this] { return std::to_string(next_request_++); };
    server_ = std::make_unique<http::server>(loop_, settings_.server, std::move(handlers));
}

callers_api::~callers_api()
{
    server_.reset();
    loop_.run_and_wait([this] {
        *alive_ = false;
        uploads_.clear();
    });
}

tl::expected<std::uint16_t, std::string> callers_api::start()
{
    return server_->start();
}

void callers_api::announce_closing()
{
    server_->announce_closing();
}

void callers_api::drain(std::function<void()> drained)
{
    server_->drain(std::move(drained));
}

std::shared_ptr<targets::exchange> callers_api::open(http::request request,
                                                     std::shared_ptr<http::responder> responder)
{
    auto opened = std::make_shared<targets::exchange>(next_request_++, std::move(request),
                                                      std::move(responder));
    exchanges_.add(opened);
    opened->responder->when_ended([this, alive = alive_, id = opened->id](bool whole) {
        if (!*alive) {
            return;
        }
        uploads_.erase(id);
        // An exchange that is still there has no final answer: the caller left before.
        if (!whole && exchanges_.take(id)) {
            callbacks_.try_post(core::caller_gone{id});
        }
    });
    return opened;
}

void callers_api::refuse(const std::shared_ptr<targets::exchange>& exchange,
                         core::refusal_code code, const std::string& text)
{
    exchanges_.take(exchange->id);
    exchange->refuse({code, text, core::run_verdict::not_run, std::nullopt});
}

void callers_api::post(const std::shared_ptr<targets::exchange>& exchange, core::event what)
{
    if (callbacks_.try_post(std::move(what))) {
        return;
    }
    exchanges_.take(exchange->id);
    exchange->refuse({core::refusal_code::overloaded, "this instance is overloaded",
                      core::run_verdict::not_run, std::chrono::seconds(1)});
}

void callers_api::handle(http::request request, const std::shared_ptr<http::responder>& responder)
{
    const auto parts = http::parse_target(request.target);
    if (!parts) {
        responder->send(http::error_response(
            {400, "bad_request", "the path is malformed", "not_run", std::nullopt}));
        return;
    }
    const bool local =
        parts->path == "/healthz" || parts->path == "/readyz" || parts->path == "/metrics";
    if (local) {
        handle_local(parts->path, responder);
        return;
    }
    const std::shared_ptr<targets::exchange> opened = open(std::move(request), responder);
    if (parts->path == batches_path) {
        handle_upload(opened, *parts);
        return;
    }
    if (parts->path.starts_with(std::string(batches_path) + "/")) {
        handle_job(opened, *parts);
        return;
    }
    if (parts->path == "/v1/directory") {
        handle_directory(opened, *parts);
        return;
    }
    handle_online(opened, parts->path);
}

void callers_api::handle_local(const std::string& path,
                               const std::shared_ptr<http::responder>& responder)
{
    if (path == "/metrics") {
        http::response answer;
        answer.headers.set("Content-Type", "text/plain; version=0.0.4");
        answer.body = callbacks_.metrics();
        responder->send(std::move(answer));
        return;
    }
    const health_state health = callbacks_.health();
    http::response answer = json_response(
        json::serialize(json::object{{"current", health.current}, {"leaving", health.leaving}}));
    const bool ready = health.current && !health.leaving;
    if (path == "/readyz" && !ready) {
        answer.status = 503;
    }
    responder->send(std::move(answer));
}

void callers_api::handle_online(const std::shared_ptr<targets::exchange>& exchange,
                                const std::string& path)
{
    const http::request& request = exchange->request;
    core::online_arrival arrival;
    arrival.request = exchange->id;
    arrival.key = key_of(request.headers);
    arrival.method = request.method;
    arrival.path = path;
    arrival.body = config::sha256(request.target + "\n" + request.body);
    arrival.repeatable = repeatable_of(request.headers);
    if (path == inference_path) {
        if (request.method != "POST") {
            refuse(exchange, core::refusal_code::bad_request, "use POST");
            return;
        }
        const auto parsed = parse_inference_request(request.body);
        if (!parsed) {
            refuse(exchange, core::refusal_code::bad_request, parsed.error());
            return;
        }
        arrival.model = core::model_id(parsed->model);
        arrival.max_tokens = parsed->max_tokens;
        arrival.prefix = parsed->prefix;
    }
    post(exchange, std::move(arrival));
}

void callers_api::handle_upload(const std::shared_ptr<targets::exchange>& exchange,
                                const http::target_parts& parts)
{
    const http::request& request = exchange->request;
    if (request.method != "POST" || !request.reader) {
        refuse(exchange, core::refusal_code::bad_request, "use POST with the items as the body");
        return;
    }
    const std::string idempotency_key = request.headers.get("Idempotency-Key");
    if (idempotency_key.empty() || idempotency_key.size() > idempotency_key_limit) {
        refuse(exchange, core::refusal_code::bad_request,
               "the header Idempotency-Key must have 1 to 200 characters");
        return;
    }
    core::upload_begin begin;
    begin.request = exchange->id;
    begin.key = key_of(request.headers);
    begin.idempotency_key = idempotency_key;
    begin.model = core::model_id(query_value(parts, "model"));
    begin.options.repeatable = repeatable_of(request.headers).value_or(true);
    begin.options.max_tokens = query_number(parts, "max_tokens", 0);
    const std::string options = begin.model.value() +
                                (begin.options.repeatable ? " repeatable " : " once ") +
                                std::to_string(begin.options.max_tokens);
    job_upload::observer observer;
    observer.on_items = [this, exchange](core::upload_items items) {
        post(exchange, std::move(items));
    };
    observer.on_end = [this, exchange](const core::upload_end& end) {
        uploads_.erase(exchange->id);
        post(exchange, end);
    };
    observer.on_error = [this, exchange](core::refusal_code code, const std::string& text) {
        uploads_.erase(exchange->id);
        callbacks_.try_post(core::caller_gone{exchange->id});
        refuse(exchange, code, text);
    };
    observer.on_gone = [this, exchange] {
        uploads_.erase(exchange->id);
        if (exchanges_.take(exchange->id)) {
            callbacks_.try_post(core::caller_gone{exchange->id});
        }
    };
    uploads_[exchange->id] = std::make_shared<job_upload>(
        exchange->id, request.reader, settings_.uploads, options, std::move(observer));
    post(exchange, std::move(begin));
}

void callers_api::handle_job(const std::shared_ptr<targets::exchange>& exchange,
                             const http::target_parts& parts)
{
    const std::string rest = parts.path.substr(batches_path.size() + 1);
    const std::size_t slash = rest.find('/');
    const std::string job = rest.substr(0, slash);
    const std::string call = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string& method = exchange->request.method;
    core::job_request request;
    request.request = exchange->id;
    request.key = key_of(exchange->request.headers);
    request.job = core::job_id(job);
    if (call.empty() && method == "GET") {
        request.call = core::job_call::status;
    }
    else if (call == "results" && method == "GET") {
        request.call = core::job_call::results;
        request.first_result = query_number(parts, "from", 0);
        request.result_limit =
            std::min(query_number(parts, "limit", settings_.page_results), settings_.page_results);
    }
    else if (call == "cancel" && method == "POST") {
        request.call = core::job_call::cancel;
    }
    else {
        refuse(exchange, core::refusal_code::unknown_route,
               "a job has GET, GET /results and POST /cancel");
        return;
    }
    post(exchange, std::move(request));
}

void callers_api::handle_directory(const std::shared_ptr<targets::exchange>& exchange,
                                   const http::target_parts& parts)
{
    core::directory_request request;
    request.request = exchange->id;
    request.key = key_of(exchange->request.headers);
    request.data_centre = core::data_centre_id(query_value(parts, "data_centre"));
    post(exchange, std::move(request));
}

void callers_api::perform(const core::refuse& action)
{
    const auto exchange = exchanges_.take(action.request);
    if (exchange) {
        exchange->refuse(action.reason);
    }
}

void callers_api::perform(const core::finish_answer& action)
{
    exchanges_.take(action.request);
}

void callers_api::perform(const core::upload_continue& action)
{
    loop_.post([this, alive = alive_, id = action.request] {
        if (!*alive) {
            return;
        }
        const auto found = uploads_.find(id);
        if (found != uploads_.end()) {
            const std::shared_ptr<job_upload> upload = found->second;
            upload->go_on();
        }
    });
}

void callers_api::send_json(core::request_id id, const std::string& body)
{
    const auto exchange = exchanges_.take(id);
    if (!exchange || !exchange->begin_whole()) {
        return;
    }
    http::response answer = json_response(body);
    answer.headers.set("Request-Id", std::to_string(id));
    exchange->responder->send(std::move(answer));
}

void callers_api::perform(const core::job_reply& action)
{
    send_json(action.request, job_json(action.status));
}

void callers_api::perform(const core::directory_reply& action)
{
    json::array instances;
    for (const core::directory_entry& entry : action.entries) {
        instances.push_back({{"id", entry.instance.value()},
                             {"data_centre", entry.data_centre.value()},
                             {"address", entry.address}});
    }
    const json::object object{{"instances", std::move(instances)},
                              {"valid_for_ms", action.valid_for.count()}};
    send_json(action.request, json::serialize(object));
}

void callers_api::perform(const core::results_reply& action)
{
    auto page = std::make_shared<result_page>();
    page->reply = action;
    loop_.post([this, alive = alive_, page] {
        if (*alive) {
            fill_page(page);
        }
    });
}

void callers_api::fill_page(const std::shared_ptr<result_page>& page)
{
    const bool full = page->lines.size() >= settings_.page_bytes;
    if (page->next == page->reply.results.size() || full || !page->error.empty()) {
        send_page(page);
        return;
    }
    const core::result_reference reference = page->reply.results[page->next];
    callbacks_.read_body(page->reply.partition, reference.body,
                         [this, alive = alive_, &loop = loop_, page,
                          reference](const tl::expected<std::string, std::string>& body) {
                             loop.post([this, alive, page, reference, body] {
                                 if (!*alive) {
                                     return;
                                 }
                                 if (body) {
                                     page->lines += result_line(reference, *body);
                                     ++page->next;
                                 }
                                 else {
                                     page->error = body.error();
                                 }
                                 fill_page(page);
                             });
                         });
}

void callers_api::send_page(const std::shared_ptr<result_page>& page)
{
    const auto exchange = exchanges_.take(page->reply.request);
    if (!exchange) {
        return;
    }
    if (!page->error.empty() && page->lines.empty()) {
        exchange->refuse({core::refusal_code::log_unavailable,
                          "the results cannot be read from the log at the moment",
                          core::run_verdict::not_run, std::chrono::seconds(2)});
        return;
    }
    if (!exchange->begin_whole()) {
        return;
    }
    http::response answer;
    answer.headers.set("Content-Type", "application/x-ndjson");
    answer.headers.set("Request-Id", std::to_string(exchange->id));
    // More results exist past this page, or will once more items have ended.
    if (page->next > 0 && !page->reply.results.empty()) {
        const std::uint32_t last = page->reply.results[page->next - 1].index;
        const bool complete = page->reply.status.ended && last + 1 == page->reply.status.items;
        if (!complete) {
            answer.headers.set("Next-From", std::to_string(last + 1));
        }
    }
    answer.body = std::move(page->lines);
    exchange->responder->send(std::move(answer));
}

} // namespace gooseberryfall::callers
