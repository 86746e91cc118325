#include "serving/leaving_targets.hpp"

#include <algorithm>
#include <iterator>

namespace gooseberryfall::serving {

bool leaving_targets::add(const target_process& target)
{
    const auto known = targets_.find(target.id);
    if (known != targets_.end()) {
        entry& current = known->second;
        current.heard = ++heard_count_;
        const bool is_later_process =
            current.started_at != 0 && target.started_at > current.started_at;
        current.started_at = std::max(current.started_at, target.started_at);
        return is_later_process;
    }
    if (targets_.size() >= settings_.capacity) {
        targets_.erase(std::min_element(targets_.begin(), targets_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.heard < right.second.heard;
                                        }));
    }
    targets_[target.id] = {target.started_at, ++heard_count_};
    return true;
}

bool leaving_targets::contains(const target_process& process) const
{
    const auto known = targets_.find(process.id);
    return known != targets_.end() &&
           target_process{known->first, known->second.started_at}.matches(process);
}

void leaving_targets::learn_starts(const std::vector<target_entry>& listed)
{
    for (const target_entry& each : listed) {
        const auto known = targets_.find(each.id);
        if (known != targets_.end() && known->second.started_at == 0) {
            known->second.started_at = each.started_at;
        }
    }
}

std::vector<target_entry>
leaving_targets::remove_from(const std::vector<target_entry>& entries) const
{
    std::vector<target_entry> result;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(result),
                 [this](const target_entry& each) {
                     return !contains({each.id, each.started_at});
                 });
    return result;
}

std::vector<target_process> leaving_targets::find_in(const std::vector<target_entry>& entries) const
{
    std::vector<target_process> result;
    for (const target_entry& each : entries) {
        const target_process process{each.id, each.started_at};
        if (contains(process)) {
            result.push_back(process);
        }
    }
    return result;
}

} // namespace gooseberryfall::serving
