#include "serving/retry_backoff.hpp"

#include "core/types.hpp"

#include <algorithm>
#include <string>

namespace gooseberryfall::serving {

std::chrono::milliseconds retry_backoff::next_delay()
{
    constexpr std::uint32_t doublings_max = 16;
    constexpr std::uint64_t steps = 1000;
    const auto full = std::min<std::chrono::milliseconds>(
        settings_.delay_max, settings_.delay_min * (1U << std::min(failures_, doublings_max)));
    ++failures_;
    const std::uint64_t draw = core::stable_hash(std::to_string(failures_), seed_) % steps;
    const double random = static_cast<double>(draw) / steps;
    return std::chrono::duration_cast<std::chrono::milliseconds>(full *
                                                                 (1.0 - settings_.jitter * random));
}

void adaptive_timeout::on_timeout()
{
    timeout_ = std::min(settings_.timeout_max, timeout_ * 2);
}

} // namespace gooseberryfall::serving
