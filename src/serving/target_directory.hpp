#pragma once

#include "core/types.hpp"
#include "serving/registry_outage_detector.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::serving {

/// Registry entry of a target.
struct target_entry {
    core::target_id id;
    core::service_id service;
    /// `ip:port`.
    std::string address;
    core::data_centre_id data_centre;
    std::uint32_t slots = 1;
    /// Whether the target has announced its shutdown.
    bool draining = false;
    /// Wall-clock milliseconds of its start. The same id with another start time is a new process
    /// without any state of the previous one.
    std::int64_t started_at = 0;
    /// Requests a second that it takes from all instances together, as it has named in its answers;
    /// the registry doesn't tell. Unset if it names no limit.
    std::optional<double> rate_limit;
    /// Whether it counts as cold; the registry doesn't tell.
    bool cold = false;
    /// Time for which it stays cold as it said when the entry was written; unset if it didn't.
    std::optional<std::chrono::milliseconds> cold_left;

    bool operator==(const target_entry&) const = default;
};

/// A process of a target.
struct target_process {
    core::target_id id;
    /// As in `target_entry`; 0 if unknown, which stands for any process with the id.
    std::int64_t started_at = 0;

    /// Whether both may be the same process.
    bool matches(const target_process& other) const
    {
        return id == other.id &&
               (started_at == 0 || other.started_at == 0 || started_at == other.started_at);
    }

    bool operator==(const target_process&) const = default;
};

/// Registered targets, with a grace time for entries that may have expired because the registry was
/// unavailable. Deterministic; not thread-safe.
class target_directory {
public:
    explicit target_directory(registry_outage_settings settings = {}) : outage_detector_(settings)
    {
    }

    /// Records the reads of the registry and detects its outages.
    registry_outage_detector& outage_detector() { return outage_detector_; }

    /// Replaces all entries by those that another instance has read, until this instance reads the
    /// registry itself.
    void load_snapshot(const std::vector<target_entry>& entries);

    /// Adds or replaces an entry that has been read.
    void update(const target_entry& entry);

    /// Removes an entry. During a grace time the target stays usable until its end, since the entry
    /// may have expired only because the registry was unavailable.
    void remove(const core::target_id& id, core::time_point now);

    /// Applies a read of the whole registry: targets that are missing from it are removed.
    void replace_all(const std::vector<target_entry>& entries, core::time_point now);

    /// Applies pending removals after the grace time and returns whether there were any.
    bool expire(core::time_point now);

    /// Targets that may get new requests.
    std::vector<target_entry> usable() const;

    /// Entry of a target, or null if it is unknown.
    const target_entry* find(const core::target_id& id) const;

    /// Number of changes, by which a reader detects whether it has seen the latest state.
    std::uint64_t revision() const { return revision_; }

    std::size_t size() const { return entries_.size(); }

private:
    std::map<core::target_id, target_entry> entries_;
    /// Targets whose entries were removed during a grace time.
    std::set<core::target_id> pending_removals_;
    registry_outage_detector outage_detector_;
    std::uint64_t revision_ = 0;
};

} // namespace gooseberryfall::serving
