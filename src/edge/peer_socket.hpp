#pragma once

#include "fleet_wire/fleet_wire.hpp"
#include "http/event_loop.hpp"
#include "kernel/kernel.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gooseberryfall::edge {

/// Sends and receives datagrams of other instances. To be used on the event loop's thread only,
/// except construction.
class peer_socket {
public:
    using message_callback = std::function<void(const core::instance_id&, serving::peer_message)>;

    peer_socket(http::event_loop& loop, kernel::metrics& metrics);
    ~peer_socket();
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;
    peer_socket(peer_socket&&) = delete;
    peer_socket& operator=(peer_socket&&) = delete;

    /// Binds to a numeric `ip:port` and invokes `on_message` for each message received. Returns the
    /// reason on failure.
    tl::expected<void, std::string> open(const std::string& address, message_callback on_message);

    /// Sends a message without a guarantee of delivery; failures are only counted.
    void send(const core::instance_id& to, const serving::peer_message& message);

    /// Closes the socket; nothing is received afterwards.
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace gooseberryfall::edge
