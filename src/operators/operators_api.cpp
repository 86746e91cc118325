#include "operators/operators_api.hpp"

#include "config/config.hpp"
#include "wire/wire.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <string_view>

namespace gooseberryfall::operators {

namespace json = boost::json;

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view jobs_prefix = "/v1/jobs/";
constexpr std::string_view cancel_suffix = "/cancel";

/// Bytes that a fleet may take in the log. The whole control state must fit into one record of 1
/// MiB with its leases and audit entries.
constexpr std::size_t change_limit = 512U << 10U;

void send_json(const std::shared_ptr<http::responder>& to, unsigned status, const json::value& body)
{
    if (!to) {
        return;
    }
    http::response answer;
    answer.status = status;
    answer.headers.set("Content-Type", "application/json");
    answer.body = json::serialize(body) + "\n";
    to->send(std::move(answer));
}

void send_error(const std::shared_ptr<http::responder>& to, core::refusal_code code,
                const std::string& text)
{
    to->send(http::error_response(
        {core::http_status(code), core::to_text(code), text, "not_run", std::nullopt}));
}

std::size_t record_size(const core::operator_apply& apply)
{
    core::config_change change;
    change.author = apply.author;
    change.comment = apply.comment;
    change.base = apply.base;
    change.change = apply.change;
    core::control_record record;
    record.body = std::move(change);
    return wire::encode_control_group({record}).size();
}

} // namespace

operators_api::operators_api(http::event_loop& loop, operators_settings settings,
                             operators_callbacks callbacks)
    : loop_(loop), settings_(std::move(settings)), callbacks_(std::move(callbacks))
{
    http::server_handlers handlers;
    handlers.handle = [this](const http::request& request,
                             const std::shared_ptr<http::responder>& responder) {
        handle(request, responder);
    };
    server_ = std::make_unique<http::server>(loop_, settings_.server, std::move(handlers));
}

operators_api::~operators_api()
{
    server_.reset();
}

tl::expected<std::uint16_t, std::string> operators_api::start()
{
    return server_->start();
}

bool operators_api::authorized(const http::header_fields& headers) const
{
    const std::string* value = headers.find("Authorization");
    if (value == nullptr || !value->starts_with(bearer_prefix)) {
        return false;
    }
    const core::digest presented =
        config::sha256(std::string_view(*value).substr(bearer_prefix.size()));
    return config::same_digest(presented, settings_.token);
}

void operators_api::handle(const http::request& request,
                           const std::shared_ptr<http::responder>& responder)
{
    const auto parts = http::parse_target(request.target);
    if (!parts) {
        send_error(responder, core::refusal_code::bad_request, "the path is malformed");
        return;
    }
    if (!authorized(request.headers)) {
        send_error(responder, core::refusal_code::key_unknown,
                   "the operators' token is missing or wrong");
        return;
    }
    if (request.method == "GET") {
        handle_get(parts->path, responder);
        return;
    }
    if (request.method == "POST") {
        handle_post(parts->path, request, responder);
        return;
    }
    send_error(responder, core::refusal_code::bad_request, "use GET or POST");
}

void operators_api::handle_get(const std::string& path,
                               const std::shared_ptr<http::responder>& responder)
{
    static const std::map<std::string, core::operator_view> views{
        {"/v1/status", core::operator_view::status},
        {"/v1/fleet", core::operator_view::fleet},
        {"/v1/audit", core::operator_view::audit},
        {"/v1/jobs", core::operator_view::jobs}};
    const auto view = views.find(path);
    if (view != views.end()) {
        const core::request_id id = open(responder, view->second);
        post(id, core::operator_query{id, view->second});
        return;
    }
    if (path.starts_with(jobs_prefix)) {
        const core::request_id id = open(responder, core::operator_view::jobs,
                                         core::job_id(path.substr(jobs_prefix.size())));
        post(id, core::operator_query{id, core::operator_view::jobs});
        return;
    }
    send_error(responder, core::refusal_code::unknown_route, "no such path");
}

void operators_api::handle_post(const std::string& path, const http::request& request,
                                const std::shared_ptr<http::responder>& responder)
{
    if (path == "/v1/apply") {
        handle_apply(request, responder);
        return;
    }
    if (path == "/v1/drain") {
        if (!callbacks_.try_post(core::leave_requested{})) {
            send_error(responder, core::refusal_code::overloaded, "this instance is overloaded");
            return;
        }
        send_json(responder, 200, json::object{{"leaving", true}});
        return;
    }
    if (path.starts_with(jobs_prefix) && path.ends_with(cancel_suffix)) {
        const std::size_t length = path.size() - jobs_prefix.size() - cancel_suffix.size();
        const core::request_id id = open(responder);
        post(id,
             core::operator_job_cancel{id, core::job_id(path.substr(jobs_prefix.size(), length))});
        return;
    }
    send_error(responder, core::refusal_code::unknown_route, "no such path");
}

void operators_api::handle_apply(const http::request& request,
                                 const std::shared_ptr<http::responder>& responder)
{
    const auto parsed = config::parse_json(request.body);
    if (!parsed) {
        send_error(responder, core::refusal_code::bad_request, config::to_text(parsed.error()));
        return;
    }
    auto apply = config::apply_from_json(*parsed);
    if (!apply) {
        send_error(responder, core::refusal_code::bad_request, config::to_text(apply.error()));
        return;
    }
    if (record_size(*apply) > change_limit) {
        send_error(responder, core::refusal_code::body_too_large,
                   "the change is larger than " + std::to_string(change_limit) + " bytes");
        return;
    }
    apply->request = open(responder);
    const core::request_id id = apply->request;
    post(id, std::move(*apply));
}

core::request_id operators_api::open(const std::shared_ptr<http::responder>& responder,
                                     core::operator_view view, const core::job_id& job)
{
    core::request_id id = 0;
    {
        const std::lock_guard lock(mutex_);
        id = operator_request_bit | next_request_++;
        calls_[id] = {responder, view, job};
    }
    responder->when_ended([this, id](bool whole) {
        if (!whole && take(id).responder) {
            callbacks_.try_post(core::caller_gone{id});
        }
    });
    return id;
}

void operators_api::post(core::request_id id, core::event what)
{
    if (callbacks_.try_post(std::move(what))) {
        return;
    }
    const pending_call call = take(id);
    send_error(call.responder, core::refusal_code::overloaded, "this instance is overloaded");
}

operators_api::pending_call operators_api::take(core::request_id id)
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return {};
    }
    pending_call taken = std::move(found->second);
    calls_.erase(found);
    return taken;
}

void operators_api::perform(const core::refuse& action)
{
    const pending_call call = take(action.request);
    if (!call.responder) {
        return;
    }
    const core::refusal& reason = action.reason;
    call.responder->send(
        http::error_response({core::http_status(reason.code), core::to_text(reason.code),
                              reason.text, core::to_text(reason.verdict), reason.retry_after}));
}

void operators_api::perform(const core::apply_reply& action)
{
    constexpr unsigned status_conflict = 409;
    send_json(take(action.request).responder, action.refused.empty() ? 200 : status_conflict,
              config::to_json(action));
}

void operators_api::perform(const core::job_reply& action)
{
    send_json(take(action.request).responder, 200, config::to_json(action.status));
}

void operators_api::perform(const core::operator_reply& action)
{
    const pending_call call = take(action.request);
    if (!call.responder) {
        return;
    }
    if (action.status) {
        send_json(call.responder, 200, config::to_json(*action.status));
        return;
    }
    if (action.state) {
        send_json(call.responder, 200, config::to_json(*action.state));
        return;
    }
    if (call.job.empty()) {
        const bool audit = call.view == core::operator_view::audit;
        send_json(call.responder, 200,
                  audit ? config::to_json(action.audit) : config::to_json(action.jobs));
        return;
    }
    const auto found = std::find_if(action.jobs.begin(), action.jobs.end(),
                                    [&](const auto& job) { return job.job == call.job; });
    if (found == action.jobs.end()) {
        send_error(call.responder, core::refusal_code::job_unknown, "there is no job with this id");
        return;
    }
    send_json(call.responder, 200, config::to_json(*found));
}

} // namespace gooseberryfall::operators
