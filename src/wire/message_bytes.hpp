#pragma once

#include "wire/values.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace gooseberryfall::wire {

// Private to this library: Cap'n Proto messages as bytes.

/// Bytes of one append at most; the log's record size.
constexpr std::size_t group_bytes_limit = 1U << 20U;

/// Bytes of an envelope at most. A relay carries several control groups.
constexpr std::size_t envelope_bytes_limit = 4U << 20U;

/// Bytes of a built message. Thread-safe.
std::string to_bytes(capnp::MessageBuilder& message);

/// Words of a message, copied to aligned memory. Throws `conversion_error` for sizes that no
/// message has.
kj::Array<capnp::word> to_words(std::string_view bytes, std::size_t limit);

/// Limits for reading a message: each byte is read about once, so more than that is an attempt to
/// have shared parts multiplied.
capnp::ReaderOptions reader_options(std::size_t words);

/// Reads the root of a message with `read`, which takes a reader of `Root`. Errors of Cap'n Proto
/// and of the conversion become text. Never throws.
template <class Root, class Read>
auto read_message(std::string_view bytes, std::size_t limit, Read read)
    -> tl::expected<decltype(read(std::declval<typename Root::Reader>())), std::string>
{
    try {
        const kj::Array<capnp::word> words = to_words(bytes, limit);
        capnp::FlatArrayMessageReader message(words, reader_options(words.size()));
        if (message.getEnd() != words.end()) {
            return tl::unexpected(std::string("bytes after the end of the message"));
        }
        return read(message.getRoot<Root>());
    }
    catch (const kj::Exception& error) {
        return tl::unexpected("malformed message: " + std::string(error.getDescription().cStr()));
    }
    catch (const std::exception& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace gooseberryfall::wire
