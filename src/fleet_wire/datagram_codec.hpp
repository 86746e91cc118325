#pragma once

#include "serving/peer_messages.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace gooseberryfall::fleet_wire {

/// Largest payload of a UDP datagram over IPv4, in bytes.
constexpr std::size_t datagram_bytes_max = 65507;

/// Serializes a message into the payload of one datagram. Thread-safe.
std::string encode(const serving::peer_message& message);

/// Parses the payload of a datagram that the instance `sender` has sent. Returns the reason if it
/// is not a valid message. Thread-safe.
tl::expected<serving::peer_message, std::string> decode(std::string_view bytes,
                                                        const core::instance_id& sender);

} // namespace gooseberryfall::fleet_wire
