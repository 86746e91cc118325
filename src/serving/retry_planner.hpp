#pragma once

#include "core/types.hpp"

#include <chrono>

namespace gooseberryfall::serving {

/// Assigns retry delays to rejected callers.
///
/// Load pattern: a burst of some seconds in which more requests arrive than slots become free. With
/// equal delays, all rejected callers would retry together and find the same full queue. The
/// planner schedules retries at the rate at which half of the slots become free; the other half is
/// left to new requests. When the schedule exceeds a caller's longest delay, retries are spread
/// evenly over that delay. Deterministic; not thread-safe.
class retry_planner {
public:
    /// Retry delay for a caller that is rejected now. `slot_interval` is the mean time between two
    /// slots becoming free, `delay_max` the longest delay that the caller observes.
    std::chrono::milliseconds next_delay(core::time_point now, core::duration slot_interval,
                                         std::chrono::milliseconds delay_max);

private:
    core::time_point next_retry_{};
    /// Position in the sequence that spreads retries when the schedule exceeds the longest delay.
    std::uint32_t spread_position_ = 0;
};

} // namespace gooseberryfall::serving
