#pragma once

#include "serving/target_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace gooseberryfall::serving {

/// Settings of `leaving_targets`.
struct leaving_settings {
    /// Maximum number of targets. The one heard of the longest ago gives way.
    std::size_t capacity = 512;
};

/// Targets that leave according to their own answers, beside what the list of targets says.
///
/// Load pattern: a target leaves while the store, or the way to it, is down, so that the list shows
/// it as usable, or it drops out of the list and comes back with the store. A process that leaves
/// never changes its mind, so neither time nor the list makes it usable again; only a later process
/// with its id is another target. Deterministic; not thread-safe.
class leaving_targets {
public:
    explicit leaving_targets(leaving_settings settings = {}) : settings_(settings) {}

    /// The target has said that it leaves. Returns whether that is new.
    bool add(const target_process& target);

    /// Whether the process leaves.
    bool contains(const target_process& process) const;

    /// Fills in unknown starts from the list. To be called with each new list.
    void learn_starts(const std::vector<target_entry>& listed);

    /// Entries without those of processes that leave.
    std::vector<target_entry> remove_from(const std::vector<target_entry>& entries) const;

    /// The processes that leave although the entries show them.
    std::vector<target_process> find_in(const std::vector<target_entry>& entries) const;

    std::size_t size() const { return targets_.size(); }

private:
    struct entry {
        std::int64_t started_at = 0;
        /// Grows with each answer heard.
        std::uint64_t heard = 0;
    };

    leaving_settings settings_;
    std::map<core::target_id, entry> targets_;
    std::uint64_t heard_count_ = 0;
};

} // namespace gooseberryfall::serving
