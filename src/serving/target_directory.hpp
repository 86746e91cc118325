#pragma once

#include "core/types.hpp"
#include "serving/registry_watch.hpp"

#include <cstdint>
#include <map>
#include <set>
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
    explicit target_directory(registry_watch_settings settings = {}) : watch_(settings) {}

    /// When the registry was read, by whom.
    registry_watch& outage_detector() { return watch_; }

    /// Replaces all entries by what another instance has read, before this one reads them itself.
    void load_snapshot(const std::vector<target_entry>& entries);

    /// An entry has been read.
    void update(const target_entry& entry);

    /// An entry was removed. While a grace time runs the target stays usable until its end, since
    /// its entry may have lapsed only because the registry was away.
    void remove(const core::target_id& id, core::time_point now);

    /// The whole registry has been read: targets that it lacks are removed.
    void replace_all(const std::vector<target_entry>& entries, core::time_point now);

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
    std::map<core::target_id, target_entry> entries_;
    /// Entries removed during a grace time.
    std::set<core::target_id> missing_;
    registry_watch watch_;
    std::uint64_t revision_ = 0;
};

} // namespace gooseberryfall::serving
