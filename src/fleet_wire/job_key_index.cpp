#include "fleet_wire/job_key_index.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::fleet_wire {

void job_key_index::add(const std::string& key)
{
    const std::string_view job = job_id_of_key(key);
    if (job.empty()) {
        return;
    }
    auto found = keys_.find(job);
    if (found == keys_.end()) {
        found = keys_.emplace(job, std::set<std::string>()).first;
    }
    found->second.insert(key);
}

std::vector<keyed_record> job_key_index::take_tombstones(const std::string& job)
{
    std::vector<keyed_record> records;
    const auto found = keys_.find(job);
    if (found == keys_.end()) {
        return records;
    }
    for (const std::string& key : found->second) {
        records.push_back({key, {}});
    }
    const auto rank = [](const keyed_record& record) {
        return std::pair(is_closed_key(record.key), is_accepted_key(record.key));
    };
    std::ranges::stable_sort(records, {}, rank);
    keys_.erase(found);
    return records;
}

std::size_t job_key_index::key_count(const std::string& job) const
{
    const auto found = keys_.find(job);
    return found == keys_.end() ? 0 : found->second.size();
}

} // namespace gooseberryfall::fleet_wire
