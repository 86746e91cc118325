#include "wire/envelope_codec.hpp"

#include "wire/envelope_conversion.hpp"
#include "wire/message_bytes.hpp"

namespace gooseberryfall::wire {

std::string encode_envelope(const core::peer_envelope& envelope)
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<schema::Envelope>(), envelope);
    return to_bytes(message);
}

tl::expected<core::peer_envelope, std::string> decode_envelope(std::string_view bytes)
{
    return read_message<schema::Envelope>(bytes, envelope_bytes_limit,
                                          [](schema::Envelope::Reader root) { return read(root); });
}

} // namespace gooseberryfall::wire
