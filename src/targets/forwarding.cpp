#include "targets/forwarding.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>

namespace gooseberryfall::targets {

namespace {

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

} // namespace

http::client_request forwarded_request(const http::request& received)
{
    http::client_request request;
    request.method = received.method;
    request.target = received.target;
    request.headers = received.headers;
    request.headers.remove(request_headers_removed);
    request.body = received.body;
    const std::string key = key_of(received.headers);
    if (!key.empty()) {
        request.target = without_key(request.target, key);
        request.headers = without_key(request.headers, key);
    }
    return request;
}

http::header_fields forwarded_headers(const http::response_head& head,
                                      const std::string& request_id)
{
    http::header_fields headers = head.headers;
    headers.remove(response_headers_removed);
    headers.set("Run-Verdict", "ran");
    headers.set("Request-Id", request_id);
    return headers;
}

} // namespace gooseberryfall::targets
