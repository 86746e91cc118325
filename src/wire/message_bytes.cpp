#include "wire/message_bytes.hpp"

#include <kj/io.h>

#include <cstring>

namespace gooseberryfall::wire {

namespace {

constexpr std::size_t word_bytes = sizeof(capnp::word);

/// Depth of the deepest known message is 6.
constexpr int nesting_limit = 16;

} // namespace

std::string to_bytes(capnp::MessageBuilder& message)
{
    std::string bytes(capnp::computeSerializedSizeInWords(message) * word_bytes, '\0');
    kj::ArrayOutputStream stream(
        kj::ArrayPtr<kj::byte>(reinterpret_cast<kj::byte*>(bytes.data()), bytes.size()));
    capnp::writeMessage(stream, message);
    return bytes;
}

kj::Array<capnp::word> to_words(std::string_view bytes, std::size_t limit)
{
    if (bytes.empty()) {
        throw conversion_error("empty message");
    }
    if (bytes.size() > limit) {
        throw conversion_error("message of " + std::to_string(bytes.size()) +
                               " bytes, allowed are " + std::to_string(limit));
    }
    if (bytes.size() % word_bytes != 0) {
        throw conversion_error("message is cut off");
    }
    auto words = kj::heapArray<capnp::word>(bytes.size() / word_bytes);
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    return words;
}

capnp::ReaderOptions reader_options(std::size_t words)
{
    constexpr std::uint64_t allowance_words = 64;
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * static_cast<std::uint64_t>(words) + allowance_words;
    options.nestingLimit = nesting_limit;
    return options;
}

} // namespace gooseberryfall::wire
