#pragma once

#include "core/messages.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace gooseberryfall::wire {

/// Bytes of an envelope. Thread-safe.
std::string encode_envelope(const core::peer_envelope& envelope);

/// An envelope, or a sentence that says what is wrong with the bytes. A message of a kind that this
/// version does not know is an error. Never throws. Thread-safe.
tl::expected<core::peer_envelope, std::string> decode_envelope(std::string_view bytes);

} // namespace gooseberryfall::wire
