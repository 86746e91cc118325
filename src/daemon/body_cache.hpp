#pragma once

#include "core/core.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::daemon {

/// Records of one group of a batch stream.
using batch_records = std::shared_ptr<const std::vector<core::batch_record>>;

/// Body at a place in a group, or nothing if the group has none there. Thread-safe.
std::optional<std::string> body_at(const std::vector<core::batch_record>& records,
                                   const core::body_position& position);

/// Groups of batch streams that were read last, bounded by the bytes of their log records.
/// Thread-safe.
class body_cache {
public:
    explicit body_cache(std::size_t limit_bytes);

    /// The group, or null. It counts as used.
    batch_records find(std::uint32_t partition, core::log_offset offset);

    /// Adds a group that takes `bytes` in the log.
    void add(std::uint32_t partition, core::log_offset offset, batch_records records,
             std::size_t bytes);

private:
    using key = std::pair<std::uint32_t, core::log_offset>;
    struct entry {
        key where;
        batch_records records;
        std::size_t bytes = 0;
    };

    std::mutex mutex_;
    const std::size_t limit_bytes_;
    std::size_t bytes_ = 0;
    /// Most recently used first.
    std::list<entry> entries_;
    std::map<key, std::list<entry>::iterator> index_;
};

} // namespace gooseberryfall::daemon
