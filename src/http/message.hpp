#pragma once

#include "http/header_fields.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryfall::http {

/// A piece of a request body.
struct body_piece {
    std::string bytes;
    /// Whether the body has ended; `bytes` is empty then.
    bool end = false;
    /// Whether the rest of the body cannot be read: the client disconnected, exceeded the read
    /// timeout or violated the protocol.
    bool failed = false;
};

/// Reads the body of a large upload in pieces, with backpressure: the client cannot send faster
/// than the body is read. Thread-safe.
class body_reader {
public:
    virtual ~body_reader() = default;

    /// Requests the next piece. The callback is called exactly once, on the server's thread, or
    /// within this call if the connection has ended. Precondition: no other read is pending.
    virtual void read(std::function<void(body_piece)> callback) = 0;
};

/// A request as it is passed to a handler.
struct request {
    std::string method;
    /// Path and query as sent.
    std::string target;
    header_fields headers;
    /// Complete body, unless it is read in pieces.
    std::string body;
    /// Set if the body is read in pieces.
    std::shared_ptr<body_reader> reader;
    /// Address of the client as `ip:port`.
    std::string client;
};

/// Status and headers of a response. The server sets `Content-Length`, `Transfer-Encoding` and
/// `Connection` itself.
struct response_head {
    unsigned status = 200;
    header_fields headers;
    /// The connection had served another call before, so that the response may be one that the
    /// server wrote once more. Set by the client.
    bool connection_reused = false;
    /// The response declares neither a length nor chunks: it ends with its connection, whether the
    /// server has sent all of it or has crashed. Set by the client.
    bool ends_with_connection = false;
};

/// A complete response.
struct response {
    unsigned status = 200;
    header_fields headers;
    std::string body;
};

/// Whether the headers of a response declare server-sent events. Thread-safe.
bool is_event_stream(const header_fields& headers);

/// An error response in the JSON format that all services share.
struct error_details {
    unsigned status = 500;
    /// Error code, for example `rate_exceeded`.
    std::string code;
    /// Human-readable sentence.
    std::string message;
    /// Whether the request was executed: `not_run`, `may_have_run` or `ran`.
    std::string run_verdict = "not_run";
    /// Set if a retry after this time may succeed.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Returns `{"error": {"code", "message", "run", "retry_after_ms"}}`; `retry_after_ms` only if set.
/// Thread-safe.
std::string error_json(const error_details& error);

/// Makes a response with `error_json` as its body, `Run-Verdict` and, if set, `Retry-After` in
/// whole seconds, rounded up. Thread-safe.
response error_response(const error_details& error);

/// Path and query of a request target.
struct target_parts {
    /// Percent-encoded, as in the target.
    std::string path;
    /// Decoded parameters; if a name is repeated, its first value is kept.
    std::map<std::string, std::string> query;
};

/// Splits a request target, or returns nothing if it is malformed. Thread-safe.
std::optional<target_parts> parse_target(std::string_view target);

} // namespace gooseberryfall::http
