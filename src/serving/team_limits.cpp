#include "serving/team_limits.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

namespace {

/// Sums of small parts fall short of a whole request by rounding only.
constexpr double rounding = 1e-9;

/// Steps in which a sliding window moves on.
constexpr int steps_in_window = 50;

/// A bucket below one request could never give out anything.
constexpr double least_burst = 1.0;

/// Requests above a limit that are tolerated in a window.
double tolerated(const team_limit& limit, const limit_tolerance& tolerance)
{
    const double window = std::chrono::duration<double>(tolerance.window).count();
    return (limit.rate * window + limit.burst) * tolerance.overage_fraction +
           tolerance.overage_requests;
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

void sliding_count::add(core::time_point now, std::chrono::milliseconds window)
{
    if (steps_.empty() || now - steps_.back().begin >= window / steps_in_window) {
        count(now, window);
        steps_.push_back({now, 0});
    }
    ++steps_.back().events;
    ++total_;
}

void sliding_count::remove_newest()
{
    if (!steps_.empty() && steps_.back().events > 0) {
        --steps_.back().events;
        --total_;
    }
}

std::uint32_t sliding_count::count(core::time_point now, std::chrono::milliseconds window)
{
    // A step counts until its last moment has left the window.
    while (!steps_.empty() && now - steps_.front().begin > window + window / steps_in_window) {
        total_ -= steps_.front().events;
        steps_.pop_front();
    }
    return total_;
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
            entry.limit = limit;
            entry.level = limit.burst * share_;
            entry.filled_at = now;
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

void team_limits::set_window(std::chrono::milliseconds window, core::time_point now)
{
    if (window == window_) {
        return;
    }
    window_ = window;
    if (counted_since_) {
        counted_since_ = now;
    }
}

void team_limits::begin_term(const limit_tolerance& tolerance, core::time_point now)
{
    window_ = tolerance.window;
    counted_since_ = now;
    for (auto& [team, entry] : buckets_) {
        entry.sent = sliding_count();
        // Half, so that two changes of the leader in one window stay within it.
        entry.level = std::min(entry.limit.burst, tolerated(entry.limit, tolerance) / 2) * share_;
        entry.filled_at = now;
    }
}

void team_limits::apply_spending(const team_spending& spent, const limit_tolerance& tolerance,
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
        const auto found = spent.requests.find(team);
        const double used = found == spent.requests.end() ? 0 : found->second;
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

bool team_limits::try_acquire(const core::team_id& team, core::time_point now)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end() || found->second.limit.rate <= 0) {
        return true;
    }
    bucket& entry = found->second;
    fill(entry, now);
    // Spare requests may have used the window up.
    if (entry.level < 1.0 - rounding || (counted_since_ && !window_has_room(entry, now))) {
        return false;
    }
    entry.level -= 1.0;
    entry.sent.add(now, window_);
    return true;
}

bool team_limits::window_has_room(bucket& of, core::time_point now) const
{
    const double window = std::chrono::duration<double>(window_).count();
    const double allowed = (of.limit.rate * window + of.limit.burst) * share_;
    return of.sent.count(now, window_) + 1.0 <= std::max(least_burst, allowed) + rounding;
}

bool team_limits::try_acquire_spare(const core::team_id& team, core::time_point now)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end() || !counted_since_ || now - *counted_since_ < window_) {
        return false;
    }
    bucket& entry = found->second;
    if (!window_has_room(entry, now)) {
        return false;
    }
    entry.sent.add(now, window_);
    return true;
}

std::chrono::milliseconds team_limits::plan_retry(const core::team_id& team, core::time_point now,
                                                  std::chrono::milliseconds patience)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end() || found->second.limit.rate <= 0) {
        return std::chrono::milliseconds(0);
    }
    bucket& entry = found->second;
    const auto interval = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1.0 / (entry.limit.rate * share_)));
    return entry.returns.next_delay(now, interval, patience);
}

void team_limits::refund(const core::team_id& team, core::time_point now)
{
    const auto found = buckets_.find(team);
    if (found != buckets_.end()) {
        fill(found->second, now);
        found->second.level += 1.0;
        fill(found->second, now);
        found->second.sent.remove_newest();
    }
}

} // namespace gooseberryfall::serving
