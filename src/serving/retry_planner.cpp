#include "serving/retry_planner.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

/// An earlier retry would find the same queue that the caller was rejected from.
constexpr milliseconds delay_min{120};
/// Slots that become free per scheduled retry; the remaining ones are left to new requests.
constexpr int slots_per_retry = 2;
/// Number of delays over which retries are spread when the schedule exceeds the longest delay;
/// coprime with the stride, so that each of them is used.
constexpr std::uint32_t spread_steps = 16;
constexpr std::uint32_t spread_stride = 7;

} // namespace

milliseconds retry_planner::next_delay(core::time_point now, core::duration slot_interval,
                                       milliseconds delay_max)
{
    const core::duration longest = std::max(delay_max, delay_min);
    const core::time_point earliest =
        now + std::clamp<core::duration>(slot_interval, delay_min, longest);
    const core::time_point latest = now + longest;
    const core::time_point scheduled = std::max(earliest, next_retry_);
    if (scheduled <= latest) {
        next_retry_ = scheduled + slot_interval * slots_per_retry;
        return std::chrono::ceil<milliseconds>(scheduled - now);
    }
    spread_position_ = (spread_position_ + spread_stride) % spread_steps;
    const core::duration span = latest - earliest;
    return std::chrono::ceil<milliseconds>(earliest - now + span * spread_position_ / spread_steps);
}

} // namespace gooseberryfall::serving
