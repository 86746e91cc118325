#include "serving/target_rate.hpp"

#include <algorithm>
#include <chrono>

namespace gooseberryfall::serving {

namespace {

/// Bounds rounding errors of the level.
constexpr double tolerance = 1e-6;

double to_seconds(std::chrono::duration<double> time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void target_rate::set(std::optional<double> rate, double share, core::time_point now)
{
    if (rate_ == rate && share_ == share) {
        return;
    }
    const bool begins = !rate_ && rate;
    level_ = level(now);
    updated_at_ = now;
    rate_ = rate;
    share_ = share;
    if (begins) {
        level_ = initial_level();
    }
    level_ = std::min(level_, capacity());
}

void target_rate::forget_history(core::time_point now)
{
    level_ = std::min(level(now), initial_level());
    updated_at_ = now;
}

double target_rate::refill_rate() const
{
    return std::max(rate_.value_or(0), settings_.rate_min) * share_;
}

double target_rate::capacity() const
{
    return std::max(1.0, refill_rate() * to_seconds(settings_.burst_time) +
                             settings_.burst_extra * share_);
}

double target_rate::initial_level() const
{
    return refill_rate() * to_seconds(settings_.shared_window) + tolerance >= 1 ? 1 : 0;
}

double target_rate::level(core::time_point now) const
{
    if (!rate_) {
        return 0;
    }
    const double elapsed = to_seconds(now - updated_at_);
    return std::min(level_ + std::max(0.0, elapsed) * refill_rate(), capacity());
}

bool target_rate::allows(core::time_point now) const
{
    return !rate_ || level(now) + tolerance >= 1;
}

bool target_rate::has_surplus(core::time_point now) const
{
    return !rate_ || level(now) + tolerance >= capacity();
}

core::time_point target_rate::next_at(std::size_t ahead, core::time_point now) const
{
    const double missing = static_cast<double>(ahead) + 1 - level(now);
    if (!rate_ || missing <= 0) {
        return now;
    }
    return now + std::chrono::duration_cast<core::duration>(
                     std::chrono::duration<double>(missing / refill_rate()));
}

void target_rate::take(core::time_point now)
{
    if (rate_) {
        level_ = std::max(level(now) - 1, -refill_rate() * to_seconds(settings_.overdraft_time));
        updated_at_ = now;
    }
}

} // namespace gooseberryfall::serving
