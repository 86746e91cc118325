#include "serving/target_directory.hpp"

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

void target_directory::load_snapshot(const std::vector<target_entry>& entries)
{
    entries_.clear();
    missing_.clear();
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
    // A target that announced its end is gone in any case.
    if (watch_.may_have_lapsed(now) && !found->second.draining) {
        missing_.insert(id);
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
    if (missing_.empty() || watch_.may_have_lapsed(now)) {
        return false;
    }
    for (const core::target_id& id : missing_) {
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
