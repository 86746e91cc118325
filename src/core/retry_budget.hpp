#pragma once

#include "core/types.hpp"

#include <cstdint>
#include <deque>

namespace gooseberryfall::core {

/// Settings of `retry_budget`.
struct retry_settings {
    /// Retries allowed for each request of the window.
    double ratio = 0.1;
    /// Retries allowed for each second of the window, however few the requests.
    double minimum_per_second = 3;
    duration window = std::chrono::seconds(10);
    /// Retries of one request.
    std::uint32_t per_request = 2;
};

/// One budget for all retries of an instance, so that retries cannot multiply the load of an
/// outage. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings);

    /// A request was sent to a target for the first time.
    void on_request(time_point now);

    /// Takes a retry out of the budget, or returns false if it is used up or the request was
    /// already retried `per_request` times.
    bool try_retry(std::uint32_t retried_before, time_point now);

private:
    struct bucket {
        std::int64_t second = 0;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    bucket& current(time_point now);

    retry_settings settings_;
    std::deque<bucket> buckets_;
};

} // namespace gooseberryfall::core
