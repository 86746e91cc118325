#pragma once

#include "serving/peer_messages.hpp"

#include <tl/expected.hpp>

#include <chrono>
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

/// Serializes the refused traits for the platform's store. Thread-safe.
std::string encode_crash_record(const serving::crash_marks& marks,
                                std::chrono::system_clock::time_point written_at);

/// Parses a record of refused traits; the marks have aged since it was written. Returns the reason
/// if it is not a valid record. Thread-safe.
tl::expected<serving::crash_marks, std::string>
decode_crash_record(std::string_view bytes, std::chrono::system_clock::time_point now);

} // namespace gooseberryfall::fleet_wire
