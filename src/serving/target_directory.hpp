#pragma once

#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::serving {

/// A target as it registered itself.
struct target_entry {
    core::target_id id;
    core::service_id service;
    /// `ip:port`.
    std::string address;
    core::data_centre_id data_centre;
    std::uint32_t slots = 1;
    /// Whether the target has announced that it will stop.
    bool draining = false;
    /// Wall-clock milliseconds of its start. The same id with another start is a new process that
    /// knows nothing of the one before.
    std::int64_t started_at = 0;

    bool operator==(const target_entry&) const = default;
};

/// Targets by their registrations, with a grace time for entries that lapsed while the registry was
/// away. Deterministic; not thread-safe.
class target_directory {
public:
    /// An entry has been read.
    void update(const target_entry& entry);

    /// An entry was removed. While a grace time runs the target stays usable until its end, since
    /// its entry may have lapsed only because the registry was away.
    void remove(const core::target_id& id, core::time_point now);

    /// The whole registry has been read: targets that it lacks are removed.
    void replace_all(const std::vector<target_entry>& entries, core::time_point now);

    /// The registry did not answer.
    void registry_lost();

    /// The registry answers again.
    void registry_regained(core::time_point now);

    /// Applies the removals whose grace time is over and says whether anything changed.
    bool expire(core::time_point now);

    /// Targets that may be given new work.
    std::vector<target_entry> usable() const;

    /// Entry of a target, or null.
    const target_entry* find(const core::target_id& id) const;

    /// Counts the changes, so that a reader can tell whether it has seen the newest state.
    std::uint64_t revision() const { return revision_; }

    std::size_t size() const { return entries_.size(); }

private:
    /// Time after the registry's return in which living targets register again.
    static constexpr std::chrono::milliseconds return_grace{2200};

    bool in_grace(core::time_point now) const;

    std::map<core::target_id, target_entry> entries_;
    /// Entries removed during a grace time.
    std::map<core::target_id, core::time_point> missing_;
    bool lost_ = false;
    std::optional<core::time_point> regained_at_;
    std::uint64_t revision_ = 0;
};

} // namespace gooseberryfall::serving
