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

/// Settings of `peer_network`.
struct peer_settings {
    /// Numeric IP address.
    std::string address = "127.0.0.1";
    /// 0 takes any free port.
    std::uint16_t port = 0;
    std::chrono::milliseconds connect_timeout{1000};
    /// Time for the answer to a delivery. A connection that is silent for longer is closed and
    /// opened anew, because something between the two ends may have lost track of it.
    std::chrono::milliseconds silence_timeout{1000};
    /// Wait before a connection is opened again; doubled up to the limit while that fails.
    std::chrono::milliseconds backoff_first{50};
    std::chrono::milliseconds backoff_limit{1000};
    /// Envelopes that wait for one address; more are dropped.
    std::size_t queue_limit = 256;
    /// Envelopes that wait for the thread; more are dropped.
    std::size_t ring_capacity = 4096;
    /// Words of 8 bytes in one message from a peer at most.
    std::uint64_t message_words = 1U << 20U;
};

/// What the network has counted.
struct peer_counts {
    std::uint64_t sent = 0;
    std::uint64_t dropped = 0;
    std::uint64_t received = 0;
    std::uint64_t bad_messages = 0;
    std::uint64_t connections_lost = 0;
};

/// Sends envelopes to other instances and receives theirs, by Cap'n Proto RPC on a thread of its
/// own with a KJ event loop. Envelopes may be lost; those to one address keep their order on one
/// connection.
class peer_network {
public:
    /// Takes received envelopes; called on the network's thread.
    using receiver = std::function<void(core::peer_envelope)>;

    peer_network(peer_settings settings, receiver on_envelope);

    /// Stops the thread.
    ~peer_network();

    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;

    /// Listens and starts the thread; returns the port, or the reason why not. Precondition: not
    /// called before.
    tl::expected<std::uint16_t, std::string> start();

    /// Queues an envelope for `ip:port`; false if it was dropped. Never waits. Thread-safe.
    bool send(const std::string& address, core::peer_envelope envelope);

    /// Closes all connections and ends the thread. No envelope is received afterwards. Must not be
    /// called on the network's thread.
    void stop();

    /// Counts since the start. Thread-safe.
    peer_counts counts() const;

private:
    class event_thread;

    std::unique_ptr<event_thread> thread_;
};

} // namespace gooseberryfall::peers
