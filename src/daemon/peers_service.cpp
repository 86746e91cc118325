#include "daemon/peers_service.hpp"

#include "daemon/decision_service.hpp"

namespace gooseberryfall::daemon {

peers_service::peers_service(config::listener_settings settings, kernel::metrics& numbers)
    : settings_(std::move(settings)),
      sent_(numbers.add_counter("gooseberryfall_peer_envelopes_sent_total",
                                "Envelopes handed to the peer transport.")),
      received_(numbers.add_counter("gooseberryfall_peer_envelopes_received_total",
                                    "Envelopes received from other instances.")),
      refused_(numbers.add_counter("gooseberryfall_peer_envelopes_refused_total",
                                   "Envelopes dropped because the decisions were overloaded."))
{
}

peers_service::~peers_service() = default;

tl::expected<void, std::string> peers_service::start(kernel::service_registry& registry)
{
    auto& decisions = registry.get<decision_service>(decision_service::name);
    peers::peer_settings settings;
    settings.listen_address =
        settings_.listen.address + ":" + std::to_string(settings_.listen.port);
    transport_ = std::make_unique<peers::peer_transport>(
        settings, [this, &decisions](core::peer_envelope&& envelope) {
            received_.add();
            // Messages between instances may be lost; a full ring drops them.
            if (!decisions.try_post(core::peer_received{std::move(envelope)})) {
                refused_.add();
            }
        });
    return transport_->start();
}

void peers_service::stop()
{
    transport_->stop();
}

void peers_service::send(core::send_peer& what)
{
    sent_.add();
    transport_->send(what.address, std::move(what.envelope));
}

} // namespace gooseberryfall::daemon
