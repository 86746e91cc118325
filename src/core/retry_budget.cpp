#include "core/retry_budget.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

namespace {

std::int64_t second_of(time_point now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

std::int64_t seconds_in(duration window)
{
    return std::chrono::ceil<std::chrono::seconds>(window).count();
}

} // namespace

retry_budget::retry_budget(retry_settings settings) : settings_(settings)
{
    assert(settings_.window >= std::chrono::seconds(1));
}

void retry_budget::on_request(time_point now)
{
    ++current(now).requests;
}

bool retry_budget::try_retry(std::uint32_t retried_before, time_point now)
{
    if (retried_before >= settings_.per_request) {
        return false;
    }
    bucket& latest = current(now);
    const std::int64_t window = seconds_in(settings_.window);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const bucket& each : buckets_) {
        retries += each.retries;
        // The oldest bucket lies partly outside the window: its retries still count, its requests
        // do not, so that the budget is never exceeded in any window.
        if (each.second > latest.second - window) {
            requests += each.requests;
        }
    }
    const double by_requests = settings_.ratio * static_cast<double>(requests);
    const double by_time = settings_.minimum_per_second * static_cast<double>(window);
    if (static_cast<double>(retries) + 1 > std::max(by_requests, by_time)) {
        return false;
    }
    ++latest.retries;
    return true;
}

retry_budget::bucket& retry_budget::current(time_point now)
{
    const std::int64_t second = second_of(now);
    const std::int64_t oldest = second - seconds_in(settings_.window);
    while (!buckets_.empty() && buckets_.front().second < oldest) {
        buckets_.pop_front();
    }
    if (buckets_.empty() || buckets_.back().second < second) {
        buckets_.push_back({second, 0, 0});
    }
    return buckets_.back();
}

} // namespace gooseberryfall::core
