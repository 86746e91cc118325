#include "config/daemon_settings.hpp"

namespace gooseberryfall::config {

core::duration takeover_wait(const daemon_settings& settings)
{
    const core::node_settings& node = settings.node;
    return node.currency_bound + node.grant_lifetime + node.clock_margin;
}

std::string advertised_address(const listener_settings& listener, std::uint16_t port)
{
    ip_endpoint advertised = listener.advertise.value_or(listener.listen);
    if (!listener.advertise || advertised.port == 0) {
        advertised.port = port;
    }
    return to_text(advertised);
}

core::node_settings make_node_settings(const daemon_settings& settings, std::uint64_t incarnation,
                                       std::uint16_t caller_port, std::uint16_t peer_port)
{
    core::node_settings node = settings.node;
    node.self.number = incarnation;
    node.caller_address = advertised_address(settings.callers, caller_port);
    node.peer_address = advertised_address(settings.peers, peer_port);
    for (const ip_endpoint& seed : settings.peer_seeds) {
        node.seeds.push_back(to_text(seed));
    }
    node.members.self = node.self;
    node.members.data_centre = node.data_centre;
    node.batch.self = node.self;
    return node;
}

} // namespace gooseberryfall::config
