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

/// A part of a request body.
struct body_piece {
    std::string bytes;
    /// Whether the body has ended; `bytes` is empty then.
    bool end = false;
    /// Whether the rest cannot be read: the client is gone, too slow or broke the protocol.
    bool failed = false;
};

/// Reads the body of a large upload in pieces; the client is slowed down to the reader's speed.
/// Thread-safe.
class body_reader {
public:
    virtual ~body_reader() = default;

    /// Asks for the next piece. The callback is called exactly once, on the server's thread, or at
    /// once by the caller if the connection has ended. Precondition: no other read is pending.
    virtual void read(std::function<void(body_piece)> callback) = 0;
};

/// A request as a handler gets it.
struct request {
    std::string method;
    /// Path and query as sent.
    std::string target;
    header_fields headers;
    /// Whole body, unless it is read in pieces.
    std::string body;
    /// Set if the body is read in pieces.
    std::shared_ptr<body_reader> reader;
    /// Address of the client as `ip:port`.
    std::string client;
};

/// Status and headers of an answer. The server sets `Content-Length`, `Transfer-Encoding` and
/// `Connection` itself.
struct response_head {
    unsigned status = 200;
    header_fields headers;
};

/// A whole answer.
struct response {
    unsigned status = 200;
    header_fields headers;
    std::string body;
};

/// A refusal in the JSON shape of all services.
struct error_details {
    unsigned status = 500;
    /// For example `rate_exceeded`.
    std::string code;
    /// Sentence for people.
    std::string message;
    /// `not_run`, `may_have_run` or `ran`.
    std::string run = "not_run";
    /// Set where coming back later helps.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// `{"error": {"code", "message", "run", "retry_after_ms"}}`; the last one only if set.
/// Thread-safe.
std::string error_json(const error_details& error);

/// Answer with `error_json`, `Run-Verdict` and, if set, `Retry-After` in whole seconds, rounded up.
/// Thread-safe.
response error_response(const error_details& error);

/// Path and query of a request target.
struct target_parts {
    /// Still percent-encoded.
    std::string path;
    /// Decoded; the first one of a name counts.
    std::map<std::string, std::string> query;
};

/// Splits a target, or returns nothing if it is malformed. Thread-safe.
std::optional<target_parts> parse_target(std::string_view target);

} // namespace gooseberryfall::http
