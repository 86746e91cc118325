#include "serving/target_allowance.hpp"

#include <algorithm>
#include <chrono>

namespace gooseberryfall::serving {

namespace {

/// Requests that were sent longer ago don't count for the bound, which is for single seconds.
constexpr std::chrono::milliseconds cold_window{1000};

target_rate_settings cold_settings(const cold_rate& rate)
{
    target_rate_settings settings;
    settings.burst_time = std::chrono::milliseconds(0);
    settings.burst_extra = rate.burst;
    // Nothing at once after a start or a change of the leader: others may just have sent requests.
    settings.shared_window = std::chrono::milliseconds(0);
    settings.overdraft_time = cold_window;
    return settings;
}

} // namespace

void target_allowance::set(const std::optional<double>& named_rate, double share,
                           const std::optional<cold_rate>& cold, bool is_cold, core::time_point now)
{
    named_.set(named_rate, share, now);
    if (cold != cold_rate_) {
        cold_rate_ = cold;
        cold_bucket_ = target_rate(cold ? cold_settings(*cold) : target_rate_settings());
        cold_bucket_.set(cold ? std::optional(cold->rate) : std::nullopt, 1.0, now);
    }
    is_cold_ = is_cold && cold_rate_.has_value();
}

void target_allowance::forget_history(core::time_point now)
{
    named_.forget_history(now);
    cold_bucket_.forget_history(now);
}

double target_allowance::rate() const
{
    if (!is_cold_) {
        return named_.rate();
    }
    return named_.is_limited() ? std::min(named_.rate(), cold_bucket_.rate()) : cold_bucket_.rate();
}

bool target_allowance::allows(core::time_point now) const
{
    return named_.allows(now) && (!is_cold_ || cold_bucket_.allows(now));
}

bool target_allowance::has_surplus(core::time_point now) const
{
    return named_.has_surplus(now) && (!is_cold_ || cold_bucket_.has_surplus(now));
}

core::time_point target_allowance::next_at(std::size_t ahead, core::time_point now) const
{
    const core::time_point named = named_.next_at(ahead, now);
    return is_cold_ ? std::max(named, cold_bucket_.next_at(ahead, now)) : named;
}

void target_allowance::take(core::time_point now)
{
    named_.take(now);
    cold_bucket_.take(now);
}

} // namespace gooseberryfall::serving
