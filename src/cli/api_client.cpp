#include "cli/api_client.hpp"

#include "cli/api_error.hpp"

#include "config/fleet_json.hpp"
#include "config/view_json.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace gooseberryfall::cli {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_client_errors = 400;
constexpr unsigned status_server_errors = 500;
constexpr unsigned status_unavailable = 503;

/// An instance that does not answer this small question is passed over sooner than --timeout says.
constexpr std::chrono::milliseconds status_timeout{3000};

bool is_refusal(unsigned status)
{
    return status >= status_client_errors && status < status_server_errors;
}

std::string describe_status(unsigned status, const std::string& body)
{
    const auto error = parse_api_error(body);
    return error ? error->message + " (" + error->code + ")"
                 : "answered with HTTP status " + std::to_string(status);
}

std::string describe_loss(const http::call_result& ended)
{
    const std::string what = http::to_text(ended.outcome);
    return ended.reason.empty() ? what : what + ": " + ended.reason;
}

/// A refusal that the other instances would repeat.
failure refusal(const std::string& instance, unsigned status, const std::string& body)
{
    const std::string next_step =
        status == status_unauthorized
            ? "check the token in --token_file or GOOSEBERRYFALL_TOKEN, and that --instance names "
              "the operators' port of this deployment"
            : "correct what the message names and run the command again";
    return {exit_code::refused, instance + ": " + describe_status(status, body), next_step};
}

failure unknown_outcome(const std::string& instance, const std::string& reason)
{
    return {exit_code::outcome_unknown,
            instance + ": the request was sent, but what became of it is unknown: " + reason, ""};
}

/// Whether another instance may be asked to do what this answer refuses.
bool certainly_not_taken(const http::call_result& ended)
{
    if (ended.outcome != http::call_outcome::completed) {
        return !ended.sent;
    }
    const auto error = parse_api_error(ended.body);
    return ended.head.status == status_unavailable && error && error->not_run;
}

/// Meaning of a complete answer to a POST that no other instance may be sent.
result<api_reply> judge_answer(const std::string& instance, const http::call_result& ended)
{
    const unsigned status = ended.head.status;
    const auto error = parse_api_error(ended.body);
    const bool decided = status == status_ok || (status == status_conflict && !error);
    if (decided) {
        return api_reply{instance, status, ended.body};
    }
    if (is_refusal(status) && (!error || error->not_run)) {
        return tl::unexpected(refusal(instance, status, ended.body));
    }
    return tl::unexpected(unknown_outcome(instance, describe_status(status, ended.body)));
}

} // namespace

api_client::api_client(options settings) : settings_(std::move(settings))
{
    assert(!settings_.instances.empty());
    preferred_ = settings_.instances.front();
}

http::call_result api_client::call(const std::string& instance, const std::string& method,
                                   const std::string& path, const std::string& body,
                                   std::chrono::milliseconds timeout) const
{
    http::header_fields headers{{"Authorization", "Bearer " + settings_.token}};
    if (!body.empty()) {
        headers.set("Content-Type", "application/json");
    }
    return http::call(instance, method, path, headers, body, timeout, settings_.tls);
}

std::vector<std::string> api_client::ordered() const
{
    std::vector<std::string> order = settings_.instances;
    const auto first = std::find(order.begin(), order.end(), preferred_);
    std::rotate(order.begin(), first, order.end());
    return order;
}

result<std::string> api_client::get(const std::string& instance, const std::string& path,
                                    std::chrono::milliseconds timeout,
                                    std::vector<attempt>& attempts) const
{
    const http::call_result ended = call(instance, "GET", path, "", timeout);
    if (ended.outcome != http::call_outcome::completed) {
        attempts.push_back({instance, describe_loss(ended), false});
        return std::string();
    }
    const unsigned status = ended.head.status;
    if (is_refusal(status)) {
        return tl::unexpected(refusal(instance, status, ended.body));
    }
    if (status != status_ok || ended.body.empty()) {
        attempts.push_back({instance, describe_status(status, ended.body), true});
        return std::string();
    }
    return ended.body;
}

result<status_reply> api_client::status_of(const std::string& instance,
                                           std::vector<attempt>& attempts) const
{
    auto body = get(instance, "/v1/status", std::min(settings_.timeout, status_timeout), attempts);
    if (!body || body->empty()) {
        return body ? result<status_reply>() : tl::unexpected(body.error());
    }
    const auto value = config::parse_json(*body);
    auto view = value ? config::status_from_json(*value) : tl::unexpected(value.error());
    if (!view) {
        attempts.push_back({instance, "its status is unreadable: " + to_text(view.error()), true});
        return status_reply();
    }
    return status_reply{std::move(*body), std::move(*view)};
}

result<read_reply> api_client::read(const std::string& path)
{
    std::vector<attempt> attempts;
    for (const std::string& instance : ordered()) {
        auto seen = status_of(instance, attempts);
        if (!seen) {
            return tl::unexpected(seen.error());
        }
        if (seen->body.empty()) {
            continue;
        }
        if (!seen->view.current) {
            attempts.push_back({instance, "is not current", true});
            continue;
        }
        auto body = get(instance, path, settings_.timeout, attempts);
        if (!body) {
            return tl::unexpected(body.error());
        }
        if (!body->empty()) {
            preferred_ = instance;
            return read_reply{std::move(*body), std::move(seen->view)};
        }
    }
    return tl::unexpected(give_up(attempts));
}

result<status_reply> api_client::status()
{
    std::vector<attempt> attempts;
    status_reply stale;
    for (const std::string& instance : ordered()) {
        auto seen = status_of(instance, attempts);
        if (!seen) {
            return tl::unexpected(seen.error());
        }
        if (!seen->body.empty() && seen->view.current) {
            preferred_ = instance;
            return seen;
        }
        if (stale.body.empty()) {
            stale = std::move(*seen);
        }
    }
    if (stale.body.empty()) {
        return tl::unexpected(give_up(attempts));
    }
    return stale;
}

result<api_reply> api_client::change(const std::string& path, const std::string& body)
{
    std::vector<attempt> attempts;
    for (const std::string& instance : ordered()) {
        const http::call_result ended = call(instance, "POST", path, body, settings_.timeout);
        const bool complete = ended.outcome == http::call_outcome::completed;
        if (certainly_not_taken(ended)) {
            attempts.push_back(
                {instance,
                 complete ? describe_status(ended.head.status, ended.body) : describe_loss(ended),
                 complete});
            continue;
        }
        preferred_ = instance;
        if (!complete) {
            return tl::unexpected(unknown_outcome(instance, describe_loss(ended)));
        }
        return judge_answer(instance, ended);
    }
    return tl::unexpected(give_up(attempts));
}

failure api_client::give_up(const std::vector<attempt>& attempts)
{
    const bool answered = std::any_of(attempts.begin(), attempts.end(),
                                      [](const attempt& tried) { return tried.answered; });
    std::string message = answered ? "no instance can do this now" : "no instance could be reached";
    for (const attempt& tried : attempts) {
        message += "\n  " + tried.instance + ": " + tried.reason;
    }
    if (answered) {
        return {exit_code::refused, message,
                "try again in a few seconds, or name more instances with --instance"};
    }
    return {exit_code::unreachable, message,
            "check the addresses in --instance, which must be operators' ports, and that the "
            "instances run; with TLS check --ca_file and --server_name"};
}

} // namespace gooseberryfall::cli
