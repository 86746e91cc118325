#include "serving/target_directory.hpp"

namespace gooseberryfall::serving {

void target_directory::update(const target_entry& entry)
{
    pending_removals_.erase(entry.id);
    auto& existing = entries_[entry.id];
    if (!(existing == entry)) {
        existing = entry;
        ++revision_;
    }
}

void target_directory::load_snapshot(const std::vector<target_entry>& entries)
{
    entries_.clear();
    pending_removals_.clear();
    for (const target_entry& entry : entries) {
        entries_[entry.id] = entry;
    }
    ++revision_;
}

void target_directory::remove(const core::target_id& id, core::time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    // The entry of a target that announced its shutdown is removed in any case.
    if (outage_detector_.may_have_expired(now) && !found->second.draining) {
        pending_removals_.insert(id);
        return;
    }
    entries_.erase(found);
    ++revision_;
}

void target_directory::replace_all(const std::vector<target_entry>& entries, core::time_point now)
{
    std::set<core::target_id> present;
    for (const target_entry& entry : entries) {
        present.insert(entry.id);
        update(entry);
    }
    std::vector<core::target_id> absent;
    for (const auto& [id, entry] : entries_) {
        if (!present.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const core::target_id& id : absent) {
        remove(id, now);
    }
}

bool target_directory::expire(core::time_point now)
{
    if (pending_removals_.empty() || outage_detector_.may_have_expired(now)) {
        return false;
    }
    for (const core::target_id& id : pending_removals_) {
        entries_.erase(id);
    }
    pending_removals_.clear();
    ++revision_;
    return true;
}

std::vector<target_entry> target_directory::usable() const
{
    std::vector<target_entry> result;
    for (const auto& [id, entry] : entries_) {
        if (!entry.draining) {
            result.push_back(entry);
        }
    }
    return result;
}

const target_entry* target_directory::find(const core::target_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace gooseberryfall::serving
