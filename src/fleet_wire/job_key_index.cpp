#include "fleet_wire/job_key_index.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::fleet_wire {

void job_key_index::add(const std::string& key)
{
    const std::string_view job_id = job_id_of_key(key);
    if (job_id.empty()) {
        return;
    }
    auto entry = keys_by_job_.find(job_id);
    if (entry == keys_by_job_.end()) {
        entry = keys_by_job_.emplace(job_id, std::set<std::string>()).first;
    }
    entry->second.insert(key);
}

std::vector<keyed_record> job_key_index::take_tombstones(const std::string& job_id)
{
    std::vector<keyed_record> tombstones;
    const auto entry = keys_by_job_.find(job_id);
    if (entry == keys_by_job_.end()) {
        return tombstones;
    }
    for (const std::string& key : entry->second) {
        tombstones.push_back({key, {}});
    }
    const auto deletion_order = [](const keyed_record& record) {
        return std::pair(is_closed_key(record.key), is_accepted_key(record.key));
    };
    std::ranges::stable_sort(tombstones, {}, deletion_order);
    keys_by_job_.erase(entry);
    return tombstones;
}

std::size_t job_key_index::key_count(const std::string& job_id) const
{
    const auto entry = keys_by_job_.find(job_id);
    return entry == keys_by_job_.end() ? 0 : entry->second.size();
}

} // namespace gooseberryfall::fleet_wire
