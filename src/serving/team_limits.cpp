#include "serving/team_limits.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

namespace {

/// Largest rounding error by which a sum of small parts may fall short of a whole request.
constexpr double rounding_tolerance = 1e-9;

/// Resolution of a sliding window.
constexpr int steps_per_window = 50;

/// A bucket of less than one request could never admit any.
constexpr double burst_min = 1.0;

/// Number of requests above a limit that is tolerated in a window.
double tolerated_excess(const team_limit& limit, const limit_tolerance& tolerance)
{
    const double window_seconds = std::chrono::duration<double>(tolerance.window).count();
    return (limit.rate * window_seconds + limit.burst) * tolerance.overage_fraction +
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

void sliding_counter::add(core::time_point now, std::chrono::milliseconds window)
{
    if (steps_.empty() || now - steps_.back().begin >= window / steps_per_window) {
        count(now, window);
        steps_.push_back({now, 0});
    }
    ++steps_.back().events;
    ++total_;
}

void sliding_counter::add_earlier(core::time_point at, std::uint32_t events)
{
    steps_.push_front({at, events});
    total_ += events;
}

void sliding_counter::remove_newest()
{
    if (!steps_.empty() && steps_.back().events > 0) {
        --steps_.back().events;
        --total_;
    }
}

std::uint32_t sliding_counter::count(core::time_point now, std::chrono::milliseconds window)
{
    // A step is counted until its end has left the window.
    while (!steps_.empty() && now - steps_.front().begin > window + window / steps_per_window) {
        total_ -= steps_.front().events;
        steps_.pop_front();
    }
    return total_;
}

void team_limits::refill(bucket& refilled, core::time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - refilled.filled_at).count();
    const double capacity = std::max(burst_min, refilled.limit.burst * share_);
    refilled.level = std::min(capacity, refilled.level + seconds * refilled.limit.rate * share_);
    refilled.filled_at = now;
}

void team_limits::set(const std::map<core::team_id, team_limit>& limits, core::time_point now)
{
    std::erase_if(buckets_, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [team, limit] : limits) {
        const auto [position, added] = buckets_.try_emplace(team);
        bucket& team_bucket = position->second;
        if (added) {
            team_bucket.limit = limit;
            team_bucket.level = limit.burst * share_;
            team_bucket.filled_at = now;
            continue;
        }
        // Tokens earned under the old limit are kept, up to the burst of the new one.
        refill(team_bucket, now);
        team_bucket.limit = limit;
        refill(team_bucket, now);
    }
}

void team_limits::set_share(double share, core::time_point now)
{
    if (share == share_) {
        return;
    }
    for (auto& [team, team_bucket] : buckets_) {
        refill(team_bucket, now);
    }
    share_ = share;
    for (auto& [team, team_bucket] : buckets_) {
        refill(team_bucket, now);
    }
}

void team_limits::set_window(std::chrono::milliseconds window, core::time_point now)
{
    if (window == window_) {
        return;
    }
    window_ = window;
    if (counting_since_) {
        counting_since_ = now;
    }
}

void team_limits::begin_term(const limit_tolerance& tolerance, core::time_point now)
{
    window_ = tolerance.window;
    counting_since_ = now;
    for (auto& [team, team_bucket] : buckets_) {
        team_bucket.sent_count = sliding_counter();
        // Half of the excess, so that two leader changes in one window stay within it.
        team_bucket.level =
            std::min(team_bucket.limit.burst, tolerated_excess(team_bucket.limit, tolerance) / 2) *
            share_;
        team_bucket.filled_at = now;
    }
}

void team_limits::apply_spending(const team_spending& spending, const limit_tolerance& tolerance,
                                 core::time_point now)
{
    const double window_seconds = std::chrono::duration<double>(tolerance.window).count();
    const double restarted_seconds = std::chrono::duration<double>(spending.since_restart).count();
    for (auto& [team, team_bucket] : buckets_) {
        refill(team_bucket, now);
        const team_limit& limit = team_bucket.limit;
        double allowed = limit.burst + limit.rate * window_seconds;
        double level_max = limit.burst * share_;
        if (spending.scope == spending_scope::part) {
            level_max = team_bucket.level;
        }
        else if (spending.scope == spending_scope::restart) {
            allowed = std::min(limit.burst, tolerated_excess(limit, tolerance)) +
                      limit.rate * restarted_seconds;
        }
        double used_requests = 0;
        const auto found = spending.requests.find(team);
        if (found != spending.requests.end()) {
            for (const sent_requests& sent : found->second) {
                used_requests += sent.count;
                // Later requests have been counted here.
                const bool before_term =
                    !counting_since_ ||
                    now - sent.age - spending_step(tolerance.window) < *counting_since_;
                if (before_term) {
                    team_bucket.sent_count.add_earlier(now - sent.age, sent.count);
                }
            }
        }
        team_bucket.level = std::clamp(allowed * share_ - used_requests, 0.0, level_max);
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
    bucket& team_bucket = found->second;
    refill(team_bucket, now);
    // Spare requests may have used up the window.
    if (team_bucket.level < 1.0 - rounding_tolerance ||
        (counting_since_ && !has_window_capacity(team_bucket, now))) {
        return false;
    }
    team_bucket.level -= 1.0;
    team_bucket.sent_count.add(now, window_);
    return true;
}

bool team_limits::has_window_capacity(bucket& checked, core::time_point now) const
{
    const double window_seconds = std::chrono::duration<double>(window_).count();
    const double allowed = (checked.limit.rate * window_seconds + checked.limit.burst) * share_;
    return checked.sent_count.count(now, window_) + 1.0 <=
           std::max(burst_min, allowed) + rounding_tolerance;
}

bool team_limits::try_acquire_spare(const core::team_id& team, core::time_point now)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end() || !counting_since_ || now - *counting_since_ < window_) {
        return false;
    }
    bucket& team_bucket = found->second;
    if (!has_window_capacity(team_bucket, now)) {
        return false;
    }
    team_bucket.sent_count.add(now, window_);
    return true;
}

std::chrono::milliseconds team_limits::plan_retry(const core::team_id& team, core::time_point now,
                                                  std::chrono::milliseconds delay_max)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end() || found->second.limit.rate <= 0) {
        return std::chrono::milliseconds(0);
    }
    bucket& team_bucket = found->second;
    const auto interval = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1.0 / (team_bucket.limit.rate * share_)));
    return team_bucket.retries.next_delay(now, interval, delay_max);
}

void team_limits::refund(const core::team_id& team, core::time_point now)
{
    const auto found = buckets_.find(team);
    if (found != buckets_.end()) {
        refill(found->second, now);
        found->second.level += 1.0;
        refill(found->second, now);
        found->second.sent_count.remove_newest();
    }
}

} // namespace gooseberryfall::serving
