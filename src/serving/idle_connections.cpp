#include "serving/idle_connections.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

void idle_connections::add(const core::instance_id& instance, const core::target_id& target,
                           core::time_point now)
{
    std::deque<connection>& idle = connections_[instance];
    while (!idle.empty() && (idle.size() >= settings_.per_instance_max ||
                             now - idle.front().since >= settings_.lifetime)) {
        idle.pop_front();
    }
    idle.push_back({target, now});
}

void idle_connections::take(const core::instance_id& instance, const core::target_id& target)
{
    const auto found = connections_.find(instance);
    if (found == connections_.end()) {
        return;
    }
    // The instance uses the connection that became idle last.
    std::deque<connection>& idle = found->second;
    const auto newest = std::find_if(idle.rbegin(), idle.rend(), [&target](const connection& each) {
        return each.target == target;
    });
    if (newest != idle.rend()) {
        idle.erase(std::next(newest).base());
    }
}

std::vector<core::target_id> idle_connections::targets_of(const core::instance_id& instance,
                                                          core::time_point now) const
{
    std::vector<core::target_id> result;
    const auto found = connections_.find(instance);
    if (found == connections_.end()) {
        return result;
    }
    for (const connection& each : found->second) {
        if (now - each.since < settings_.lifetime) {
            result.push_back(each.target);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace gooseberryfall::serving
