#include "serving/store_route.hpp"

#include <utility>

namespace gooseberryfall::serving {

std::optional<bool> store_route::on_direct_call(store_call_result call_result, core::time_point now)
{
    if (call_result == store_call_result::responded) {
        rejections_ = 0;
        direct_retry_at_ = {};
        return std::exchange(direct_blocked_, false) ? std::optional(false) : std::nullopt;
    }
    // Each call without a connection or response costs a full timeout, so that one is enough.
    rejections_ =
        call_result == store_call_result::rejected ? rejections_ + 1 : settings_.rejections_max;
    if (rejections_ < settings_.rejections_max) {
        return std::nullopt;
    }
    direct_retry_at_ = now + settings_.direct_retry_delay;
    return std::exchange(direct_blocked_, true) ? std::nullopt : std::optional(true);
}

void store_route::on_relayed_call(store_call_result call_result, core::time_point now)
{
    if (call_result == store_call_result::rejected) {
        relay_retry_at_ = now + settings_.relay_retry_delay;
    }
}

} // namespace gooseberryfall::serving
