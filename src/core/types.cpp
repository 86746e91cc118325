#include "core/types.hpp"

namespace gooseberryfall::core {

namespace {

constexpr std::uint64_t fnv_basis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

/// Spreads all input bits over the result. FNV-1a alone leaves the high bits of short texts alike,
/// which makes rendezvous hashing uneven.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

} // namespace

std::uint64_t stable_hash(const std::string& text, std::uint64_t seed)
{
    std::uint64_t value = fnv_basis ^ mix(seed);
    for (const char character : text) {
        value ^= static_cast<unsigned char>(character);
        value *= fnv_prime;
    }
    return mix(value);
}

} // namespace gooseberryfall::core
