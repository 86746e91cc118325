#include "cli/new_key.hpp"

#include "config/digests.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>

namespace gooseberryfall::cli {

std::optional<std::string> make_key()
{
    core::digest bits{};
    if (RAND_priv_bytes(bits.data(), static_cast<int>(bits.size())) != 1) {
        return std::nullopt;
    }
    std::string text = config::to_hex(bits);
    OPENSSL_cleanse(bits.data(), bits.size());
    return text;
}

} // namespace gooseberryfall::cli
