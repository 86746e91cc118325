#include "serving/target_directory.hpp"

#include <set>

namespace gooseberryfall::serving {

void target_directory::update(const target_entry& entry)
{
    missing_.erase(entry.id);
    auto& known = entries_[entry.id];
    if (!(known == entry)) {
        known = entry;
        ++revision_;
    }
}

bool target_directory::in_grace(core::time_point now) const
{
    return lost_ || (regained_at_ && now < *regained_at_ + return_grace);
}

void target_directory::remove(const core::target_id& id, core::time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    // A target that announced its end is gone in any case.
    if (in_grace(now) && !found->second.draining) {
        missing_.emplace(id, now);
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

void target_directory::registry_lost()
{
    lost_ = true;
}

void target_directory::registry_regained(core::time_point now)
{
    if (lost_) {
        lost_ = false;
        regained_at_ = now;
    }
}

bool target_directory::expire(core::time_point now)
{
    if (missing_.empty() || in_grace(now)) {
        return false;
    }
    for (const auto& [id, since] : missing_) {
        entries_.erase(id);
    }
    missing_.clear();
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
