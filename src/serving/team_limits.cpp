#include "serving/team_limits.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

namespace {

/// Sums of small parts fall short of a whole request by rounding only.
constexpr double rounding = 1e-9;

/// A bucket below one request could never give out anything.
constexpr double least_burst = 1.0;

/// Requests above a limit that are tolerated in a window.
double tolerated(const team_limit& limit, const limit_tolerance& tolerance)
{
    const double window = std::chrono::duration<double>(tolerance.window).count();
    return (limit.rate * window + limit.burst) * tolerance.overage + tolerance.slack;
}

} // namespace

const char* to_text(spending_scope scope)
{
    switch (scope) {
    case spending_scope::part:
        return "part";
    case spending_scope::window:
        return "window";
    case spending_scope::restart:
        return "restart";
    }
    return "unknown";
}

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

void team_limits::restart(const limit_tolerance& tolerance, core::time_point now)
{
    for (auto& [team, entry] : buckets_) {
        // Half, so that two changes of the leader in one window stay within it.
        entry.level = std::min(entry.limit.burst, tolerated(entry.limit, tolerance) / 2) * share_;
        entry.filled_at = now;
    }
}

void team_limits::learn(const spending& spent, const limit_tolerance& tolerance,
                        core::time_point now)
{
    const double window = std::chrono::duration<double>(tolerance.window).count();
    const double restarted = std::chrono::duration<double>(spent.since_restart).count();
    for (auto& [team, entry] : buckets_) {
        fill(entry, now);
        const team_limit& limit = entry.limit;
        double allowed = limit.burst + limit.rate * window;
        double most = limit.burst * share_;
        if (spent.scope == spending_scope::part) {
            most = entry.level;
        }
        else if (spent.scope == spending_scope::restart) {
            allowed = std::min(limit.burst, tolerated(limit, tolerance)) + limit.rate * restarted;
        }
        const auto found = spent.spent.find(team);
        const double used = found == spent.spent.end() ? 0 : found->second;
        entry.level = std::clamp(allowed * share_ - used, 0.0, most);
    }
}

std::optional<team_limits::bucket_state> team_limits::state_of(const core::team_id& team) const
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end()) {
        return std::nullopt;
    }
    return bucket_state{found->second.limit, found->second.level};
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
