#include "serving/recent_prefixes.hpp"

namespace gooseberryfall::serving {

void recent_prefixes::use(std::uint64_t prefix)
{
    const auto found = positions_.find(prefix);
    if (found != positions_.end()) {
        order_.splice(order_.end(), order_, found->second);
        return;
    }
    if (order_.size() >= size_max_) {
        positions_.erase(order_.front());
        order_.pop_front();
    }
    positions_[prefix] = order_.insert(order_.end(), prefix);
}

void recent_prefixes::clear()
{
    order_.clear();
    positions_.clear();
}

} // namespace gooseberryfall::serving
