#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberryfall::config {

/// A numeric IP address and a TCP port.
struct ip_endpoint {
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const ip_endpoint&) const = default;
};

/// Whether the text is a numeric IPv4 or IPv6 address. Thread-safe.
bool is_ip_address(const std::string& text);

/// Whether the address is the wildcard (0.0.0.0 or ::), which can be listened on but not connected
/// to. Thread-safe.
bool is_wildcard(const ip_endpoint& value);

/// Parses `ip:port`, or `[ip]:port` for IPv6; nothing if the text is anything else. Thread-safe.
std::optional<ip_endpoint> parse_endpoint(const std::string& text);

/// Formats an endpoint as `ip:port`, or `[ip]:port` for IPv6. Thread-safe.
std::string to_text(const ip_endpoint& value);

} // namespace gooseberryfall::config
