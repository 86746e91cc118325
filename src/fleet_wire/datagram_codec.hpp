#pragma once

#include "serving/peer_messages.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace gooseberryfall::fleet_wire {

/// Bytes of a datagram at most: what UDP over IPv4 carries.
constexpr std::size_t datagram_bytes_max = 65507;

/// Bytes of a message. Thread-safe.
std::string encode(const serving::peer_message& message);

/// Message in a datagram from the instance `sender`, or why it cannot be read. Thread-safe.
tl::expected<serving::peer_message, std::string> decode(std::string_view bytes,
                                                        const core::instance_id& sender);

} // namespace gooseberryfall::fleet_wire
