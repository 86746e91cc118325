#include "core/records.hpp"

namespace gooseberryfall::core {

std::string to_text(const shard_id& shard)
{
    switch (shard.kind) {
    case shard_kind::control:
        return "control";
    case shard_kind::limits:
        return "limits-" + std::to_string(shard.index);
    case shard_kind::batch:
        return "batch-" + std::to_string(shard.index);
    }
    return "unknown";
}

} // namespace gooseberryfall::core
