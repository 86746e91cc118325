#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace gooseberryfall::serving {

/// The prompt prefixes that were used last at a target, up to a number. Looks up a prefix in
/// constant time. Not thread-safe.
class recent_prefixes {
public:
    /// Precondition: `size_max` is positive.
    explicit recent_prefixes(std::size_t size_max) : size_max_(size_max) {}

    /// Marks a prefix as used, and drops the one whose last use is longest ago if there are too
    /// many.
    void use(std::uint64_t prefix);

    bool contains(std::uint64_t prefix) const { return positions_.contains(prefix); }

    void clear();

private:
    std::size_t size_max_;
    /// In the order of their last use, the latest at the back.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace gooseberryfall::serving
