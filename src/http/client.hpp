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

/// Which connections a call may use.
enum class connection_use {
    /// Any pooled one. If it turns out to be stale before a byte of the answer has arrived, the
    /// request is sent again on a new one. For requests that may be repeated.
    any,
    /// Pooled ones that have been idle for a short time only. Never sent again once a byte of the
    /// request may have left.
    recent,
    /// A new one. Never sent again.
    fresh,
};

/// A request to be sent. The client sets `Host` (unless given), `Content-Length` and `Connection`.
struct client_request {
    /// `ip:port`, or `[ip]:port` for version 6.
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    header_fields headers;
    std::string body;
    client_timeouts timeouts;
    connection_use use = connection_use::any;
    /// Limit of an answer body that is collected.
    std::size_t body_limit = 16U << 20U;
};

/// How a call ended.
enum class call_outcome {
    /// The whole answer has arrived, whatever its status.
    completed,
    /// No byte of the request has been written.
    not_sent,
    /// The connection ended, or the answer was shorter than declared.
    connection_lost,
    /// A phase took too long; the connection was closed.
    timed_out,
    /// `ongoing_call::cancel` was called, or the client was destroyed.
    cancelled,
    /// The answer broke the protocol, declared no length, or was over a limit.
    invalid_answer,
};

/// Phases of a call.
enum class call_phase { connect, write, first_byte, between_bytes };

/// Text forms, for example `connection_lost`. Thread-safe.
const char* to_text(call_outcome outcome);
const char* to_text(call_phase phase);

/// End of a call.
struct call_result {
    call_outcome outcome = call_outcome::not_sent;
    /// Phase in which the call ended.
    call_phase phase = call_phase::connect;
    /// Whether a byte of the request may have reached the other side. False for every `not_sent`;
    /// tells for the other outcomes whether the request may have run.
    bool sent = false;
    /// Status and headers; status 0 if none have arrived.
    response_head head{0, {}};
    /// Body, if it was collected.
    std::string body;
    /// What went wrong, for people.
    std::string reason;
};

/// Whether more of an answer is wanted now.
enum class flow { go_on, pause };

/// Callbacks of a call, on the loop's thread. All may be unset.
struct call_observer {
    std::function<flow(const response_head&)> on_head;
    /// Gets the body in pieces. If unset, the body is collected in the result.
    std::function<flow(std::string)> on_piece;
    /// Called exactly once, last.
    std::function<void(call_result)> on_done;
};

/// A call under way. Thread-safe.
class ongoing_call {
public:
    virtual ~ongoing_call() = default;

    /// Closes the connection; `on_done` follows with `cancelled` unless the call has ended. From
    /// the return on, if called on the loop's thread, no `on_head` or `on_piece` is called.
    virtual void cancel() = 0;

    /// Reads on after `flow::pause`. Before or without a pause it cancels the next pause.
    virtual void resume() = 0;
};

/// TLS on the client's side.
struct client_tls {
    /// Certificates in PEM format that are trusted.
    std::string ca_file;
    /// Name that the certificate must have; the address's IP if empty.
    std::string server_name;
};

/// Settings of `client`.
struct client_settings {
    /// Pooled connections that are idle for longer are closed.
    std::chrono::milliseconds idle_max{30000};
    /// Idle time up to which `connection_use::recent` takes a pooled connection.
    std::chrono::milliseconds recent_idle{5000};
    /// Idle connections per address.
    std::size_t pool_size = 64;
    /// Time after which unacknowledged bytes break the connection (TCP_USER_TIMEOUT).
    std::chrono::milliseconds unacknowledged_max{5000};
    std::size_t header_limit = 16U << 10U;
    /// Whether an answer without a length may end with its connection. One that is reset is cut
    /// short in any case.
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

    /// Starts a call. The result may be dropped.
    std::shared_ptr<ongoing_call> start(client_request request, call_observer observer);

    /// Closes the idle connections to an address, for example because its instance was replaced.
    void forget(const std::string& address);

    /// Idle connections to an address.
    std::size_t pooled(const std::string& address) const;

private:
    event_loop& loop_;
    std::shared_ptr<client_core> core_;
};

/// Makes one call on a new connection and waits for its end, at most `timeout` in all. For tools
/// and tests. Must not be called on an event loop's thread. Thread-safe.
call_result call(const std::string& address, const std::string& method, const std::string& target,
                 const header_fields& headers = {}, const std::string& body = {},
                 std::chrono::milliseconds timeout = std::chrono::seconds(10),
                 const std::optional<client_tls>& tls = std::nullopt);

} // namespace gooseberryfall::http
