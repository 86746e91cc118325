#include "daemon/peers_service.hpp"

#include "daemon/decision_service.hpp"

namespace gooseberryfall::daemon {

peers_service::peers_service(config::listener_settings settings, kernel::metrics& numbers)
    : settings_(std::move(settings)),
      sent_(numbers.add_counter("gooseberryfall_peer_envelopes_sent_total",
                                "Envelopes handed to the peer network.")),
      dropped_(numbers.add_counter("gooseberryfall_peer_envelopes_dropped_total",
                                   "Envelopes dropped because a queue was full.")),
      received_(numbers.add_counter("gooseberryfall_peer_envelopes_received_total",
                                    "Envelopes received from other instances."))
{
}

peers_service::~peers_service() = default;

tl::expected<void, std::string> peers_service::start(kernel::service_registry& registry)
{
    auto& decisions = registry.get<decision_service>(decision_service::name);
    peers::peer_settings settings;
    settings.address = settings_.listen.address;
    settings.port = settings_.listen.port;
    network_ = std::make_unique<peers::peer_network>(
        settings, [this, &decisions](core::peer_envelope envelope) {
            received_.add();
            // Messages between instances may be lost; a full ring drops them.
            decisions.try_post(core::peer_received{std::move(envelope)});
        });
    const auto port = network_->start();
    if (!port) {
        return tl::unexpected(port.error());
    }
    port_ = *port;
    return {};
}

void peers_service::stop()
{
    network_->stop();
}

void peers_service::send(core::send_peer& what)
{
    if (network_->send(what.address, std::move(what.envelope))) {
        sent_.add();
    }
    else {
        dropped_.add();
    }
}

} // namespace gooseberryfall::daemon
