#pragma once

#include "http/event_loop.hpp"
#include "http/message.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::http {

/// Time limit of each phase of a call.
struct client_timeouts {
    std::chrono::milliseconds connect{1000};
    std::chrono::milliseconds write{5000};
    std::chrono::milliseconds first_byte{30000};
    std::chrono::milliseconds between_bytes{10000};
};

/// Which connections a call may use, and whether the client may retry it.
enum class connection_use {
    /// Any pooled connection. If it turns out to be stale before a byte of the response has
    /// arrived, the request is retried on a new connection. For idempotent requests.
    any,
    /// A pooled connection that has been idle for at most `client_settings::recent_idle_max`. The
    /// request is not retried once a byte of it may have been sent.
    recent,
    /// A new connection. The request is not retried.
    fresh,
};

/// A request to be sent. The client sets `Host` (unless given), `Content-Length` and `Connection`.
struct client_request {
    /// `ip:port`, or `[ip]:port` for IPv6.
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    header_fields headers;
    std::string body;
    client_timeouts timeouts;
    connection_use use = connection_use::any;
    /// Id by which responses name the request; empty if they don't. A kept connection that carried
    /// the same one last is not used: a late extra response to that request could not be told from
    /// the response to this one.
    std::string id;
    /// Maximum size in bytes of a response body that is collected in the result.
    std::size_t body_limit = 16U << 20U;
};

/// How a call ended.
enum class call_outcome {
    /// The complete response has arrived, whatever its status.
    completed,
    /// No byte of the request has been written.
    not_sent,
    /// The connection was lost, or the response was shorter than declared.
    connection_lost,
    /// A phase took too long; the connection was closed.
    timed_out,
    /// `ongoing_call::cancel` was called, or the client was destroyed.
    cancelled,
    /// The response violated the protocol, declared no length, or exceeded a limit.
    invalid_response,
};

/// Phases of a call.
enum class call_phase { connect, write, first_byte, between_bytes };

/// Returns the text form, for example `connection_lost`. Thread-safe.
const char* to_text(call_outcome outcome);
const char* to_text(call_phase phase);

/// Result of a call.
struct call_result {
    call_outcome outcome = call_outcome::not_sent;
    /// Phase in which the call ended.
    call_phase phase = call_phase::connect;
    /// Whether a byte of the request may have reached the server. Always false for `not_sent`; for
    /// the other outcomes it says whether the request may have been executed.
    bool sent = false;
    /// The request had been sent before on a kept connection that was lost, and the rest of this
    /// result is that of a second connection. The server may have executed it both times.
    bool repeated = false;
    /// Status and headers; the status is 0 if no response head has arrived.
    response_head head{0, {}};
    /// Response body, if it was collected.
    std::string body;
    /// Human-readable description of the error.
    std::string reason;
};

/// Whether the client continues to read the response.
enum class flow { proceed, pause };

/// Callbacks of a call; called on the loop's thread. Each may be unset.
struct call_observer {
    std::function<flow(const response_head&)> on_head;
    /// Receives the body in pieces. If unset, the body is collected in the result.
    std::function<flow(std::string)> on_piece;
    /// Called exactly once, last.
    std::function<void(call_result)> on_done;
};

/// Handle of a call in progress. Thread-safe.
class ongoing_call {
public:
    virtual ~ongoing_call() = default;

    /// Closes the connection; `on_done` follows with `cancelled` unless the call has ended. If this
    /// is called on the loop's thread, `on_head` and `on_piece` are not called after it returns.
    virtual void cancel() = 0;

    /// Continues reading after `flow::pause`. If the call is not paused, the next pause is
    /// cancelled.
    virtual void resume() = 0;
};

/// TLS settings of a client.
struct client_tls {
    /// File with the trusted certificates in PEM format.
    std::string ca_file;
    /// Name that the server's certificate must contain; the IP of the address if empty.
    std::string server_name;
};

/// Settings of `client`.
struct client_settings {
    /// Pooled connections that have been idle for longer are closed.
    std::chrono::milliseconds idle_max{30000};
    /// Maximum idle time of a pooled connection for `connection_use::recent`.
    std::chrono::milliseconds recent_idle_max{5000};
    /// Maximum number of idle connections per address.
    std::size_t pool_size = 64;
    /// Time for which sent bytes may remain unacknowledged before the connection fails
    /// (TCP_USER_TIMEOUT).
    std::chrono::milliseconds unacknowledged_max{5000};
    std::size_t header_limit = 16U << 10U;
    /// Whether a response without a declared length may be ended by the close of its connection. A
    /// connection reset always counts as a truncated response.
    bool accept_unframed = false;
    /// Plain TCP if unset.
    std::optional<client_tls> tls;
};

class client_core;

/// HTTP/1.1 client with a pool of connections per address, on an event loop. Thread-safe.
class client {
public:
    /// Precondition: `loop` outlives the client.
    explicit client(event_loop& loop, client_settings settings = {});

    /// Cancels all calls; their `on_done` has been called when this returns. Must not be called
    /// within `on_head` or `on_piece`.
    ~client();

    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// Starts a call. The returned handle may be dropped.
    std::shared_ptr<ongoing_call> start(client_request request, call_observer observer);

    /// Closes the idle connections to an address, for example because the instance behind it was
    /// replaced.
    void close_idle(const std::string& address);

    /// Returns the number of idle connections to an address.
    std::size_t idle_connections(const std::string& address) const;

private:
    event_loop& loop_;
    std::shared_ptr<client_core> core_;
};

/// Makes one call on a new connection and blocks until it ends, for at most `timeout` in total. For
/// tools and tests. Must not be called on an event loop's thread. Thread-safe.
call_result call(const std::string& address, const std::string& method, const std::string& target,
                 const header_fields& headers = {}, const std::string& body = {},
                 std::chrono::milliseconds timeout = std::chrono::seconds(10),
                 const std::optional<client_tls>& tls = std::nullopt);

} // namespace gooseberryfall::http
