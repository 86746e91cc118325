#pragma once

#include "fleet_wire/fleet_wire.hpp"
#include "http/event_loop.hpp"
#include "kernel/kernel.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gooseberryfall::edge {

/// Datagrams to and from other instances. For the loop's thread, except construction.
class peer_socket {
public:
    using handler = std::function<void(const core::instance_id&, serving::peer_message)>;

    peer_socket(http::event_loop& loop, kernel::metrics& metrics);
    ~peer_socket();
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;
    peer_socket(peer_socket&&) = delete;
    peer_socket& operator=(peer_socket&&) = delete;

    /// Binds to `ip:port` and hands received messages on. Returns the reason if it cannot.
    tl::expected<void, std::string> open(const std::string& address, handler on_message);

    /// Sends a message; it may be lost.
    void send(const core::instance_id& to, const serving::peer_message& message);

    /// Stops to receive.
    void close();

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace gooseberryfall::edge
