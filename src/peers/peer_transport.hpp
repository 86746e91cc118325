#pragma once

#include "core/messages.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gooseberryfall::peers {

/// Settings of `peer_transport`.
struct peer_settings {
    /// `ip:port` to listen on; port 0 takes a free one.
    std::string listen_address = "127.0.0.1:0";
    std::chrono::milliseconds connect_timeout{1000};
    /// Time without an answer after which a connection is closed and opened anew.
    std::chrono::milliseconds silence_timeout{1000};
    /// Age at which an envelope that could not be sent is dropped: late news only misleads.
    std::chrono::milliseconds queue_timeout{1000};
    /// Wait before a connection that failed is opened again; doubled with each failure in a row.
    std::chrono::milliseconds backoff_min{50};
    std::chrono::milliseconds backoff_max{2000};
    /// Time after which a connection without traffic is closed.
    std::chrono::milliseconds idle_timeout{30000};
    /// Envelopes that wait for one address at most.
    std::size_t queue_limit = 256;
    /// Envelopes sent to one address and not answered at most.
    std::size_t window = 32;
    /// Connections of other instances at most; further ones are closed at once.
    std::size_t connection_limit = 2048;
};

/// Counters since the start.
struct peer_counters {
    /// Envelopes that the other end took.
    std::uint64_t delivered = 0;
    std::uint64_t received = 0;
    /// Envelopes dropped because the queue was full or they waited too long.
    std::uint64_t dropped = 0;
    /// Envelopes sent whose fate is unknown, because the connection ended.
    std::uint64_t lost = 0;
    /// Envelopes that the other end did not understand.
    std::uint64_t refused = 0;
    /// Envelopes of others that were not understood.
    std::uint64_t malformed = 0;
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    /// Connections closed because the other end did not answer.
    std::uint64_t silent = 0;
};

/// Sends envelopes to other instances and receives theirs, by Cap'n Proto RPC on a thread of its
/// own. Envelopes may be lost, and those for one address arrive in order unless the connection is
/// opened anew. Public methods are thread-safe, but for `start` and `stop`, which one thread calls.
class peer_transport {
public:
    /// Called on the transport's thread; must not block or throw.
    using receive_callback = std::function<void(core::peer_envelope&&)>;

    /// Precondition: the limits and times are above 0.
    peer_transport(peer_settings settings, receive_callback on_received);

    /// Stops.
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;

    /// Listens and starts the thread, or says why that is not possible. Precondition: not started
    /// before.
    tl::expected<void, std::string> start();

    /// Port that is listened on; 0 before `start`.
    std::uint16_t port() const;

    /// Queues an envelope for an address (`ip:port`). Never blocks; drops and counts the envelope
    /// if the queue is full.
    void send(const std::string& address, core::peer_envelope envelope);

    /// Closes all connections and joins the thread. Envelopes that wait are dropped. May be called
    /// more than once. Precondition: not called on the transport's thread.
    void stop();

    peer_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace gooseberryfall::peers
