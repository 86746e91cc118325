#pragma once

#include "core/types.hpp"

#include <chrono>

namespace gooseberryfall::serving {

/// Says when refused callers shall come back.
///
/// Load pattern: a burst of some seconds in which more requests arrive than slots become free.
/// Without a plan all refused callers return together and meet the same full queue. The planner
/// gives each the next moment at which half of the slots that become free would take it; the other
/// half stays for newcomers. Beyond the time that a caller is ready to wait, returns are spread
/// evenly over that time. Deterministic; not thread-safe.
class retry_planner {
public:
    /// Delay for a caller that is refused now. `slot_interval` is the mean time between two slots
    /// becoming free, `patience` the longest delay that the caller honours.
    std::chrono::milliseconds next_delay(core::time_point now, core::duration slot_interval,
                                         std::chrono::milliseconds patience);

private:
    core::time_point next_{};
    /// Position in the sequence that spreads returns beyond the patience.
    std::uint32_t overflow_ = 0;
};

} // namespace gooseberryfall::serving
