#include "daemon/body_cache.hpp"

namespace gooseberryfall::daemon {

namespace {

/// Finds the body inside a record.
struct body_finder {
    std::uint32_t index;

    template <class Items>
    std::optional<std::string> element(const Items& items) const
    {
        if (index >= items.size()) {
            return std::nullopt;
        }
        return items[index].body;
    }

    std::optional<std::string> operator()(const core::upload_chunk& chunk) const
    {
        if (index >= chunk.items.size()) {
            return std::nullopt;
        }
        return chunk.items[index];
    }
    std::optional<std::string> operator()(const core::item_result& result) const
    {
        return result.body;
    }
    std::optional<std::string> operator()(const core::carried_items& carried) const
    {
        return element(carried.items);
    }
    std::optional<std::string> operator()(const core::carried_results& carried) const
    {
        return element(carried.items);
    }
    template <class Other>
    std::optional<std::string> operator()(const Other&) const
    {
        return std::nullopt;
    }
};

} // namespace

std::optional<std::string> body_at(const std::vector<core::batch_record>& records,
                                   const core::body_position& position)
{
    if (position.position.record >= records.size()) {
        return std::nullopt;
    }
    return std::visit(body_finder{position.index}, records[position.position.record].body);
}

body_cache::body_cache(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

batch_records body_cache::find(std::uint32_t partition, core::log_offset offset)
{
    const std::lock_guard lock(mutex_);
    const auto found = index_.find({partition, offset});
    if (found == index_.end()) {
        return nullptr;
    }
    entries_.splice(entries_.begin(), entries_, found->second);
    return found->second->records;
}

void body_cache::add(std::uint32_t partition, core::log_offset offset, batch_records records,
                     std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    const key where{partition, offset};
    if (index_.contains(where)) {
        return;
    }
    entries_.push_front({where, std::move(records), bytes});
    index_[where] = entries_.begin();
    bytes_ += bytes;
    while (bytes_ > limit_bytes_ && entries_.size() > 1) {
        const entry& oldest = entries_.back();
        bytes_ -= oldest.bytes;
        index_.erase(oldest.where);
        entries_.pop_back();
    }
}

} // namespace gooseberryfall::daemon
