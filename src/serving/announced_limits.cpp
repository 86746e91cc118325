#include "serving/announced_limits.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

const announced_limits::known_limit* announced_limits::find(const target_process& process) const
{
    const auto found = limits_.find(process.id);
    const bool is_known = found != limits_.end() &&
                          target_process{found->first, found->second.started_at}.matches(process);
    return is_known ? &found->second : nullptr;
}

bool announced_limits::is_same(const std::optional<double>& left,
                               const std::optional<double>& right) const
{
    if (!left || !right) {
        return left.has_value() == right.has_value();
    }
    return std::abs(*left - *right) <= settings_.same_rate * *left;
}

void announced_limits::make_room()
{
    if (limits_.size() < settings_.capacity) {
        return;
    }
    limits_.erase(
        std::min_element(limits_.begin(), limits_.end(), [](const auto& left, const auto& right) {
            return left.second.at < right.second.at;
        }));
}

bool announced_limits::hear(const target_process& process, std::optional<double> rate,
                            core::time_point at)
{
    const known_limit* known = find(process);
    if (known == nullptr) {
        if (!rate) {
            return false;
        }
        if (!limits_.contains(process.id)) {
            make_room();
        }
        limits_[process.id] = {process.started_at, rate, at};
        return true;
    }
    if (at < known->at) {
        return false;
    }
    known_limit& current = limits_[process.id];
    current.at = at;
    if (is_same(current.rate, rate)) {
        return false;
    }
    current.rate = rate;
    return true;
}

void announced_limits::adopt(const std::vector<target_entry>& entries, core::time_point now)
{
    const core::time_point settled = now - settings_.report_time;
    for (const target_entry& entry : entries) {
        const target_process process{entry.id, entry.started_at};
        const known_limit* known = find(process);
        if (known != nullptr && known->at > settled) {
            continue;
        }
        if (entry.rate_limit) {
            if (!limits_.contains(entry.id)) {
                make_room();
            }
            limits_[entry.id] = {entry.started_at, entry.rate_limit, settled};
        }
        else if (known != nullptr) {
            limits_.erase(entry.id);
        }
    }
}

void announced_limits::apply_to(std::vector<target_entry>& entries) const
{
    for (target_entry& entry : entries) {
        const known_limit* known = find({entry.id, entry.started_at});
        entry.rate_limit = known == nullptr ? std::nullopt : known->rate;
    }
}

std::vector<announced_limit> announced_limits::recent(core::time_point now) const
{
    std::vector<announced_limit> result;
    for (const auto& [id, known] : limits_) {
        if (known.at > now - settings_.report_time) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.at);
            result.push_back({{id, known.started_at}, known.rate, age});
        }
    }
    return result;
}

} // namespace gooseberryfall::serving
