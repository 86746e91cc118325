#pragma once

#include "http/event_loop.hpp"
#include "http/message.hpp"
#include "http/upload_admission.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::http {

/// Result of writing a piece of a streamed response.
enum class write_result {
    buffered,
    /// The buffer is full; the piece is unchanged. See `responder::when_writable`.
    buffer_full,
    /// The response has ended or the client has disconnected.
    closed,
};

/// Responds to one request. All methods are thread-safe and have no effect if the client has
/// disconnected. A response is either one `send`, or `start`, any number of `write` and then
/// `finish` or `abort`. If the last reference is dropped before that, the server responds with 500
/// or aborts.
class responder {
public:
    virtual ~responder() = default;

    /// Sends a complete response.
    virtual void send(response complete) = 0;

    /// Starts a streamed response.
    virtual void start(response_head head) = 0;

    /// Adds a piece to a streamed response. The piece is moved from only if it is buffered. It is
    /// buffered if there is room for at least one byte.
    virtual write_result write(std::string&& piece) = 0;

    /// Calls back once, when half of the buffer is free or the response has ended; replaces an
    /// earlier callback. The callback is called on the server's thread, or within this call.
    virtual void when_writable(std::function<void()> callback) = 0;

    /// Ends a streamed response.
    virtual void finish() = 0;

    /// Writes the buffered bytes, then closes the connection without the last chunk, so that the
    /// client detects that the response is incomplete.
    virtual void abort() = 0;

    /// Whether the client has disconnected or the response has been written.
    virtual bool ended() const = 0;

    /// Calls back once: with true when the response has been written completely, with false when
    /// the client has disconnected, also while nothing is being written, or when the response was
    /// aborted. Replaces an earlier callback. The callback is called on the server's thread, or
    /// within this call.
    virtual void when_ended(std::function<void(bool complete)> callback) = 0;
};

/// Certificate and key files of a TLS server, in PEM format.
struct server_tls {
    std::string certificate_file;
    std::string key_file;
};

/// Settings of `server`.
struct server_settings {
    /// Numeric IP address.
    std::string address = "127.0.0.1";
    /// 0 selects any free port.
    std::uint16_t port = 0;
    std::optional<server_tls> tls;
    std::size_t header_limit = 16U << 10U;
    /// Maximum size in bytes of a body that is not read in pieces.
    std::size_t body_limit = 4U << 20U;
    /// Maximum time between two requests on one connection.
    std::chrono::milliseconds idle_timeout{60000};
    /// Maximum time for a complete request, or for each piece of a body that is read in pieces.
    std::chrono::milliseconds read_timeout{10000};
    /// Maximum time for which a client may accept no byte of its response.
    std::chrono::milliseconds write_timeout{30000};
    /// Connections beyond this number get a 503 response and are closed.
    std::size_t connections_max = 4096;
    /// Maximum number of bytes of a streamed response that wait to be written.
    std::size_t response_buffer_bytes = 256U << 10U;
    /// Memory for requests, which servers on the same loop may share. Unset: requests are bounded
    /// one by one only.
    std::shared_ptr<upload_admission> admission;
    /// Makes the `Request-Id` of responses that the server sends without calling the handler. May
    /// be unset.
    std::function<std::string()> make_request_id;
};

/// Limits of what clients may send, and how long they may stay idle.
struct client_limits {
    /// Maximum size in bytes of the start line and the headers.
    std::size_t header_limit = 0;
    /// Maximum size in bytes of a body that is not read in pieces.
    std::size_t body_limit = 0;
    /// Maximum time between two requests on one connection.
    std::chrono::milliseconds idle_timeout{0};
};

/// What the handlers decide about a request from its head.
struct head_decision {
    /// Response that refuses the request, so that its body is not read.
    std::optional<response> refusal;
    /// Clients that share memory, for example a team. Empty: the client's address.
    std::string group;
};

/// Callbacks of a server; called on its loop's thread.
struct server_handlers {
    /// Called for each request. If it throws, the server responds with 500.
    std::function<void(request, std::shared_ptr<responder>)> handle;
    /// Whether the body is read in pieces; called before the body is read, so `body` is empty. If
    /// unset, bodies are never read in pieces.
    std::function<bool(const request&)> streams_body;
    /// Called with an empty `body` before a body is read, unless it has arrived with its head. If
    /// unset, nothing is refused.
    std::function<head_decision(const request&)> examine_head{};
    /// Makes the response to a request that is refused for lack of memory, before it is run. If
    /// unset, the server makes its own 503.
    std::function<response()> make_overload_response{};
};

/// Counters of a server since its start.
struct server_counts {
    /// Accepted connections, including the rejected ones.
    std::uint64_t accepted = 0;
    /// Connections rejected because of `connections_max`.
    std::uint64_t rejected = 0;
    std::uint64_t requests = 0;
    /// Requests that the server rejected: they violated the protocol or exceeded a size, time or
    /// connection limit.
    std::uint64_t bad_requests = 0;
};

class server_core;

/// HTTP/1.1 server on an event loop. All methods are thread-safe.
class server {
public:
    /// Precondition: `loop` outlives the server; `handlers.handle` is set.
    server(event_loop& loop, server_settings settings, server_handlers handlers);

    /// Closes all connections. No handler or callback is called afterwards.
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// Starts to listen. Returns the port, or an error message. Precondition: not called before.
    tl::expected<std::uint16_t, std::string> start();

    /// Replaces the limits of the settings for the requests that follow. Precondition: none is 0.
    void set_limits(client_limits limits);

    /// Adds `Connection: close` to all later responses, so that clients connect to another
    /// instance.
    void announce_closing();

    /// Stops listening, closes idle connections after one second without a request, and closes the
    /// others after their response. Calls back on the loop's thread when no connection is left.
    void drain(std::function<void()> drained = {});

    /// Number of open connections.
    std::size_t connections() const;

    server_counts counts() const;

private:
    event_loop& loop_;
    std::shared_ptr<server_core> core_;
};

} // namespace gooseberryfall::http
