#pragma once

#include "peers/peer_link.hpp"
#include "peers/peer_mailboxes.hpp"
#include "peers/peer_metrics.hpp"
#include "peers/peer_server.hpp"
#include "peers/peer_transport.hpp"

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace gooseberryfall::peers {

// Private to this library.

/// What runs on the transport's thread: the event loop, the server and the links. Not thread-safe.
class peer_reactor {
public:
    peer_reactor(const peer_settings& settings, const peer_transport::receive_callback& on_received,
                 peer_mailboxes& mailboxes, peer_metrics& metrics);

    /// Listens and returns the port. Throws `kj::Exception`.
    std::uint16_t listen();

    /// Runs until the mailboxes are closed.
    void run();

private:
    /// Sends what arrives in the mailboxes, until they are closed.
    kj::Promise<void> follow_mailboxes();
    kj::Promise<void> wait_for_wake();
    kj::Promise<void> sweep_links();
    void pump_changed();
    peer_link& link_to(const std::string& address);

    const peer_settings& settings_;
    peer_mailboxes& mailboxes_;
    peer_metrics& metrics_;
    kj::AsyncIoContext io_;
    /// Written to by senders.
    kj::AutoCloseFd wake_;
    kj::UnixEventPort::FdObserver wake_observer_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    peer_server server_;
    std::map<std::string, std::unique_ptr<peer_link>> links_;
};

} // namespace gooseberryfall::peers
