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
constexpr unsigned status_client_error_min = 400;
constexpr unsigned status_server_error_min = 500;
constexpr unsigned status_unavailable = 503;

/// A status request is cheap, so an unresponsive instance is skipped after this time, even if
/// --timeout is longer.
constexpr std::chrono::milliseconds status_timeout{3000};

bool is_client_error(unsigned status)
{
    return status >= status_client_error_min && status < status_server_error_min;
}

std::string describe_error_response(unsigned status, const std::string& body)
{
    const auto error = parse_api_error(body);
    return error ? error->message + " (" + error->code + ")"
                 : "responded with HTTP status " + std::to_string(status);
}

std::string describe_call_failure(const http::call_result& http_result)
{
    const std::string what = http::to_text(http_result.outcome);
    return http_result.reason.empty() ? what : what + ": " + http_result.reason;
}

/// Failure for a rejection that every other instance would repeat.
failure rejection(const std::string& instance, unsigned status, const std::string& body)
{
    const std::string next_step =
        status == status_unauthorized
            ? "check the token in --token_file or GOOSEBERRYFALL_TOKEN, and that --instance names "
              "the operators' port of this deployment"
            : "correct what the message names and run the command again";
    return {exit_code::rejected, instance + ": " + describe_error_response(status, body),
            next_step};
}

failure unknown_outcome(const std::string& instance, const std::string& reason)
{
    return {exit_code::outcome_unknown,
            instance + ": the request was sent, but its outcome is unknown: " + reason, ""};
}

/// Whether the request has certainly not run, so that it may be sent to another instance.
bool guarantees_not_run(const http::call_result& http_result)
{
    if (http_result.outcome != http::call_outcome::completed) {
        return !http_result.sent;
    }
    const auto error = parse_api_error(http_result.body);
    return http_result.head.status == status_unavailable && error && error->not_run;
}

/// Result of a POST from a complete response after which no other instance may be tried.
result<api_response> classify_response(const std::string& instance,
                                       const http::call_result& http_result)
{
    const unsigned status = http_result.head.status;
    const auto error = parse_api_error(http_result.body);
    const bool decided = status == status_ok || (status == status_conflict && !error);
    if (decided) {
        return api_response{instance, status, http_result.body};
    }
    if (is_client_error(status) && (!error || error->not_run)) {
        return tl::unexpected(rejection(instance, status, http_result.body));
    }
    return tl::unexpected(
        unknown_outcome(instance, describe_error_response(status, http_result.body)));
}

} // namespace

api_client::api_client(command_settings settings) : settings_(std::move(settings))
{
    assert(!settings_.instances.empty());
    preferred_instance_ = settings_.instances.front();
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

std::vector<std::string> api_client::call_order() const
{
    std::vector<std::string> order = settings_.instances;
    const auto first = std::find(order.begin(), order.end(), preferred_instance_);
    std::rotate(order.begin(), first, order.end());
    return order;
}

result<std::string> api_client::get(const std::string& instance, const std::string& path,
                                    std::chrono::milliseconds timeout,
                                    std::vector<failed_attempt>& attempts) const
{
    const http::call_result http_result = call(instance, "GET", path, "", timeout);
    if (http_result.outcome != http::call_outcome::completed) {
        attempts.push_back({instance, describe_call_failure(http_result), false});
        return std::string();
    }
    const unsigned status = http_result.head.status;
    if (is_client_error(status)) {
        return tl::unexpected(rejection(instance, status, http_result.body));
    }
    if (status != status_ok || http_result.body.empty()) {
        attempts.push_back({instance, describe_error_response(status, http_result.body), true});
        return std::string();
    }
    return http_result.body;
}

result<status_response> api_client::read_status(const std::string& instance,
                                                std::vector<failed_attempt>& attempts) const
{
    auto body = get(instance, "/v1/status", std::min(settings_.timeout, status_timeout), attempts);
    if (!body || body->empty()) {
        return body ? result<status_response>() : tl::unexpected(body.error());
    }
    const auto value = config::parse_json(*body);
    auto view = value ? config::status_from_json(*value) : tl::unexpected(value.error());
    if (!view) {
        attempts.push_back({instance, "cannot decode its status: " + to_text(view.error()), true});
        return status_response();
    }
    return status_response{std::move(*body), std::move(*view)};
}

result<read_response> api_client::read(const std::string& path)
{
    std::vector<failed_attempt> attempts;
    for (const std::string& instance : call_order()) {
        auto status_result = read_status(instance, attempts);
        if (!status_result) {
            return tl::unexpected(status_result.error());
        }
        if (status_result->body.empty()) {
            continue;
        }
        if (!status_result->view.current) {
            attempts.push_back({instance, "is not current", true});
            continue;
        }
        auto body = get(instance, path, settings_.timeout, attempts);
        if (!body) {
            return tl::unexpected(body.error());
        }
        if (!body->empty()) {
            preferred_instance_ = instance;
            return read_response{std::move(*body), std::move(status_result->view)};
        }
    }
    return tl::unexpected(to_failure(attempts));
}

result<status_response> api_client::status()
{
    std::vector<failed_attempt> attempts;
    status_response stale;
    for (const std::string& instance : call_order()) {
        auto status_result = read_status(instance, attempts);
        if (!status_result) {
            return tl::unexpected(status_result.error());
        }
        if (!status_result->body.empty() && status_result->view.current) {
            preferred_instance_ = instance;
            return status_result;
        }
        if (stale.body.empty()) {
            stale = std::move(*status_result);
        }
    }
    if (stale.body.empty()) {
        return tl::unexpected(to_failure(attempts));
    }
    return stale;
}

result<api_response> api_client::post(const std::string& path, const std::string& body)
{
    std::vector<failed_attempt> attempts;
    for (const std::string& instance : call_order()) {
        const http::call_result http_result = call(instance, "POST", path, body, settings_.timeout);
        const bool complete = http_result.outcome == http::call_outcome::completed;
        if (guarantees_not_run(http_result)) {
            attempts.push_back(
                {instance,
                 complete ? describe_error_response(http_result.head.status, http_result.body)
                          : describe_call_failure(http_result),
                 complete});
            continue;
        }
        preferred_instance_ = instance;
        if (!complete) {
            return tl::unexpected(unknown_outcome(instance, describe_call_failure(http_result)));
        }
        return classify_response(instance, http_result);
    }
    return tl::unexpected(to_failure(attempts));
}

failure api_client::to_failure(const std::vector<failed_attempt>& attempts)
{
    const bool responded =
        std::any_of(attempts.begin(), attempts.end(),
                    [](const failed_attempt& attempt) { return attempt.responded; });
    std::string message =
        responded ? "no instance can serve the request now" : "no instance could be reached";
    for (const failed_attempt& attempt : attempts) {
        message += "\n  " + attempt.instance + ": " + attempt.reason;
    }
    if (responded) {
        return {exit_code::rejected, message,
                "try again in a few seconds, or name more instances with --instance"};
    }
    return {exit_code::unreachable, message,
            "check the addresses in --instance, which must be operators' ports, and that the "
            "instances run; with TLS check --ca_file and --server_name"};
}

} // namespace gooseberryfall::cli
