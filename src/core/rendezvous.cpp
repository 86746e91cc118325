#include "core/rendezvous.hpp"

namespace gooseberryfall::core {

std::uint64_t rendezvous_weight(const std::string& key, const std::string& candidate)
{
    return stable_hash(candidate, stable_hash(key));
}

} // namespace gooseberryfall::core
