#include "serving/retry_planner.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

/// A caller that comes back sooner meets the queue that it was refused from.
constexpr milliseconds delay_min{120};
/// Slots that become free for each planned return; the others are for newcomers.
constexpr int slots_per_return = 2;
/// Steps over which returns beyond the patience are spread; coprime with the stride.
constexpr std::uint32_t spread_steps = 16;
constexpr std::uint32_t spread_stride = 7;

} // namespace

milliseconds retry_planner::next_delay(core::time_point now, core::duration slot_interval,
                                       milliseconds patience)
{
    const core::time_point earliest = now + delay_min;
    const core::time_point latest = now + std::max(patience, delay_min);
    const core::time_point planned = std::max(earliest, next_);
    if (planned <= latest) {
        next_ = planned + slot_interval * slots_per_return;
        return std::chrono::ceil<milliseconds>(planned - now);
    }
    overflow_ = (overflow_ + spread_stride) % spread_steps;
    const core::duration span = latest - earliest;
    return std::chrono::ceil<milliseconds>(delay_min + span * overflow_ / spread_steps);
}

} // namespace gooseberryfall::serving
