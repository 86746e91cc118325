#pragma once

#include "http/event_loop.hpp"
#include "http/message.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::http {

/// Whether a piece of an answer was taken.
enum class write_result {
    taken,
    /// The buffer is full; the piece is unchanged. See `responder::when_room`.
    full,
    /// The answer has ended or the client is gone.
    gone,
};

/// Answers one request. All methods are thread-safe and without effect if the client is gone. An
/// answer is either one `send`, or `start`, any number of `write` and then `finish` or `abort`. If
/// the last reference is dropped before that, the server answers 500 or aborts.
class responder {
public:
    virtual ~responder() = default;

    /// Sends a whole answer.
    virtual void send(response whole) = 0;

    /// Starts a streamed answer.
    virtual void start(response_head head) = 0;

    /// Adds a piece of a streamed answer, which is moved from only if it is taken. A piece is taken
    /// if there is room for at least one byte.
    virtual write_result write(std::string&& piece) = 0;

    /// Calls back once, when half of the buffer is free or the answer has ended; replaces an
    /// earlier callback. Called on the server's thread, or at once by the caller.
    virtual void when_room(std::function<void()> callback) = 0;

    /// Ends a streamed answer.
    virtual void finish() = 0;

    /// Writes what is buffered, then closes the connection without the end of the chunked body, so
    /// that the client knows that the answer is not whole.
    virtual void abort() = 0;

    /// Whether the client is gone or the answer was written.
    virtual bool ended() const = 0;

    /// Calls back once: with true when the answer has been written whole, with false when the
    /// client is gone, also while nothing is being written, or the answer was aborted. Replaces an
    /// earlier callback. Called on the server's thread, or at once by the caller.
    virtual void when_ended(std::function<void(bool whole)> callback) = 0;
};

/// Files of a TLS server, in PEM format.
struct server_tls {
    std::string certificate_file;
    std::string key_file;
};

/// Settings of `server`.
struct server_settings {
    /// Numeric IP address.
    std::string address = "127.0.0.1";
    /// 0 takes any free port.
    std::uint16_t port = 0;
    std::optional<server_tls> tls;
    std::size_t header_limit = 16U << 10U;
    /// For bodies that are not read in pieces.
    std::size_t body_limit = 4U << 20U;
    /// Time between two requests on one connection.
    std::chrono::milliseconds idle_timeout{60000};
    /// Time for a whole request, or for each piece of a body that is read in pieces.
    std::chrono::milliseconds read_timeout{10000};
    /// Time for which a client may accept no byte of its answer.
    std::chrono::milliseconds write_timeout{30000};
    /// Connections beyond are answered 503 and closed.
    std::size_t connections_max = 4096;
    /// Bytes of a streamed answer that wait to be written.
    std::size_t answer_buffer = 256U << 10U;
    /// Makes the `Request-Id` of answers that the server gives without the handler. May be unset.
    std::function<std::string()> make_request_id;
};

/// Limits of what clients may send, and how long they may stay idle.
struct client_limits {
    /// Start line and headers.
    std::size_t header_limit = 0;
    /// For bodies that are not read in pieces.
    std::size_t body_limit = 0;
    /// Time between two requests on one connection.
    std::chrono::milliseconds idle_timeout{0};
};

/// What a server calls, on its loop's thread.
struct server_handlers {
    /// Called for each request. An exception is answered with 500.
    std::function<void(request, std::shared_ptr<responder>)> handle;
    /// Whether the body is read in pieces; asked with an empty body. Unset means never.
    std::function<bool(const request&)> streams_body;
};

/// What a server has counted.
struct server_counts {
    std::uint64_t accepted = 0;
    /// Connections beyond the limit.
    std::uint64_t rejected = 0;
    std::uint64_t requests = 0;
    /// Requests that broke the protocol, a limit or a time limit.
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

    /// Listens and returns the port, or the reason why not. Precondition: not called before.
    tl::expected<std::uint16_t, std::string> start();

    /// Replaces the limits of the settings for the requests that follow. Precondition: none is 0.
    void set_limits(client_limits limits);

    /// From now on answers carry `Connection: close`, so that clients connect elsewhere.
    void announce_closing();

    /// Stops listening, closes idle connections after a second without a request, and closes others
    /// after their answer. Calls back on the loop's thread when no connection is left.
    void drain(std::function<void()> drained = {});

    /// Connections open.
    std::size_t connections() const;

    server_counts counts() const;

private:
    event_loop& loop_;
    std::shared_ptr<server_core> core_;
};

} // namespace gooseberryfall::http
