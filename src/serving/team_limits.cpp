#include "serving/team_limits.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

namespace {

/// Sums of small parts fall short of a whole request by rounding only.
constexpr double rounding = 1e-9;

/// A bucket below one request could never give out anything.
constexpr double least_burst = 1.0;

} // namespace

void team_limits::fill(bucket& from, core::time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - from.filled_at).count();
    const double capacity = std::max(least_burst, from.limit.burst * share_);
    from.level = std::min(capacity, from.level + seconds * from.limit.rate * share_);
    from.filled_at = now;
}

void team_limits::set(const std::map<core::team_id, team_limit>& limits, core::time_point now)
{
    std::erase_if(buckets_, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [team, limit] : limits) {
        const auto [position, added] = buckets_.try_emplace(team);
        bucket& entry = position->second;
        if (added) {
            entry = {limit, limit.burst * share_, now};
            continue;
        }
        // What was earned by the old limit counts up to the new one's burst.
        fill(entry, now);
        entry.limit = limit;
        fill(entry, now);
    }
}

void team_limits::set_share(double share, core::time_point now)
{
    if (share == share_) {
        return;
    }
    for (auto& [team, entry] : buckets_) {
        fill(entry, now);
    }
    share_ = share;
    for (auto& [team, entry] : buckets_) {
        fill(entry, now);
    }
}

double team_limits::starting_level(const bucket& of, const limit_tolerance& tolerance) const
{
    const double seconds = std::chrono::duration<double>(tolerance.window).count();
    const double allowed = of.limit.rate * seconds + of.limit.burst;
    // Half, so that two changes of the leader in one window stay within it.
    const double tolerated = (allowed * tolerance.overage + tolerance.slack) / 2;
    return std::min(of.limit.burst, tolerated) * share_;
}

void team_limits::restart(const limit_tolerance& tolerance, core::time_point now)
{
    for (auto& [team, entry] : buckets_) {
        entry.level = starting_level(entry, tolerance);
        entry.filled_at = now;
    }
}

void team_limits::learn(const team_counts& spent, bool complete, const limit_tolerance& tolerance,
                        core::time_point now)
{
    const double seconds = std::chrono::duration<double>(tolerance.window).count();
    for (auto& [team, entry] : buckets_) {
        fill(entry, now);
        const auto found = spent.find(team);
        const double used = found == spent.end() ? 0 : found->second;
        const double left = (entry.limit.burst + entry.limit.rate * seconds) * share_ - used;
        const double most = complete ? entry.limit.burst * share_ : entry.level;
        entry.level = std::clamp(left, 0.0, most);
    }
}

std::optional<std::chrono::milliseconds> team_limits::take(const core::team_id& team,
                                                           core::time_point now)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end() || found->second.limit.rate <= 0) {
        return std::nullopt;
    }
    bucket& entry = found->second;
    fill(entry, now);
    if (entry.level >= 1.0 - rounding) {
        entry.level -= 1.0;
        return std::nullopt;
    }
    const double seconds = (1.0 - entry.level) / (entry.limit.rate * share_);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

void team_limits::give_back(const core::team_id& team, core::time_point now)
{
    const auto found = buckets_.find(team);
    if (found != buckets_.end()) {
        fill(found->second, now);
        found->second.level += 1.0;
        fill(found->second, now);
    }
}

} // namespace gooseberryfall::serving
