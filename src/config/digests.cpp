#include "config/digests.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstddef>

namespace gooseberryfall::config {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

std::optional<std::uint8_t> hex_value(char character)
{
    if (character >= '0' && character <= '9') {
        return static_cast<std::uint8_t>(character - '0');
    }
    if (character >= 'a' && character <= 'f') {
        return static_cast<std::uint8_t>(character - 'a' + 10);
    }
    if (character >= 'A' && character <= 'F') {
        return static_cast<std::uint8_t>(character - 'A' + 10);
    }
    return std::nullopt;
}

} // namespace

core::digest sha256(std::string_view text)
{
    core::digest result{};
    // SHA256 takes unsigned bytes; the cast changes only the signedness of the characters.
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), result.data());
    return result;
}

std::string to_hex(const core::digest& value)
{
    std::string text;
    text.reserve(value.size() * 2);
    for (const std::uint8_t octet : value) {
        text += hex_digits[octet >> 4U];
        text += hex_digits[octet & 15U];
    }
    return text;
}

std::optional<core::digest> from_hex(std::string_view text)
{
    core::digest result{};
    if (text.size() != result.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < result.size(); ++index) {
        const auto high = hex_value(text[index * 2]);
        const auto low = hex_value(text[index * 2 + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        result.at(index) = static_cast<std::uint8_t>(*high << 4U | *low);
    }
    return result;
}

bool same_digest(const core::digest& left, const core::digest& right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace gooseberryfall::config
