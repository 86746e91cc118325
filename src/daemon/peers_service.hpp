#pragma once

#include "config/config.hpp"
#include "core/core.hpp"
#include "kernel/kernel.hpp"
#include "peers/peers.hpp"

#include <memory>

namespace gooseberryfall::daemon {

/// Messages to and from other instances as a service.
class peers_service : public kernel::service {
public:
    static constexpr const char* name = "peers";

    /// Precondition: `numbers` outlives the service.
    peers_service(config::listener_settings settings, kernel::metrics& numbers);
    ~peers_service() override;
    peers_service(const peers_service&) = delete;
    peers_service& operator=(const peers_service&) = delete;
    peers_service(peers_service&&) = delete;
    peers_service& operator=(peers_service&&) = delete;

    tl::expected<void, std::string> start(kernel::service_registry& registry) override;
    void stop() override;

    /// Port that other instances connect to. Precondition: started.
    std::uint16_t port() const { return transport_->port(); }

    /// Sends messages; they may be lost. Thread-safe.
    void send(core::send_peer& what);

private:
    config::listener_settings settings_;
    kernel::counter& sent_;
    kernel::counter& received_;
    kernel::counter& refused_;
    std::unique_ptr<peers::peer_transport> transport_;
};

} // namespace gooseberryfall::daemon
