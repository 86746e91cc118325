#pragma once

#include "core/messages.hpp"
#include "wire/values.hpp"

namespace gooseberryfall::wire {

// Conversion of envelopes inside Cap'n Proto messages, for this library and the peer RPC. Throws
// `conversion_error` or `kj::Exception`. Kept out of wire.hpp because of the generated code.

core::peer_envelope read(schema::Envelope::Reader reader);
void write(schema::Envelope::Builder builder, const core::peer_envelope& value);

} // namespace gooseberryfall::wire
