#include "cli/key_generator.hpp"

#include "config/digests.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>

namespace gooseberryfall::cli {

std::optional<std::string> generate_api_key()
{
    core::digest random_bits{};
    if (RAND_priv_bytes(random_bits.data(), static_cast<int>(random_bits.size())) != 1) {
        return std::nullopt;
    }
    std::string text = config::to_hex(random_bits);
    OPENSSL_cleanse(random_bits.data(), random_bits.size());
    return text;
}

} // namespace gooseberryfall::cli
