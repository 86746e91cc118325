#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace gooseberryfall::serving {

/// Settings of `target_rate`.
struct target_rate_settings {
    /// Requests that may be sent at once after a pause: those that the rate allows in this time,
    /// and some more. Load comes in steps of a few seconds, and targets bear half as much again as
    /// they name, and five requests, within four seconds. What remains of that is for requests that
    /// reach a target later than others.
    std::chrono::milliseconds burst_time{1600};
    double burst_extra = 3.0;
    /// Time in which an instance that shares the rate with others must be allowed a request by its
    /// share alone, to send one without having waited for it.
    std::chrono::milliseconds shared_window{4000};
    /// A target gets a request this often, however low its rate is: only its answers tell whether
    /// the limit still holds.
    double rate_min = 0.25;
    /// Requests beyond the rate, for example some that are only counted, are made up for as long as
    /// the rate takes for them, and for no longer than this.
    std::chrono::milliseconds overdraft_time = std::chrono::milliseconds::max();
};

/// Keeps the requests to a target within the rate that it has named: a token bucket without an
/// effect as long as there is no rate. Deterministic; not thread-safe.
class target_rate {
public:
    explicit target_rate(target_rate_settings settings = {}) : settings_(settings) {}

    /// Sets the rate in requests a second and the fraction of it that may be used here. Without a
    /// rate there is no limit.
    void set(std::optional<double> rate, double share, core::time_point now);

    /// Others may have sent requests of which nothing is known here.
    void forget_history(core::time_point now);

    bool is_limited() const { return rate_.has_value(); }

    /// Requests a second that may be sent. Precondition: `is_limited()`.
    double rate() const { return refill_rate(); }

    /// Whether a request may be sent now.
    bool allows(core::time_point now) const;

    /// Whether a request may be sent that takes nothing from a later burst.
    bool has_surplus(core::time_point now) const;

    /// When the request after `ahead` others may be sent.
    core::time_point next_at(std::size_t ahead, core::time_point now) const;

    /// Counts a request that is sent.
    void take(core::time_point now);

private:
    double refill_rate() const;
    double capacity() const;
    /// Level after a pause of unknown activity.
    double initial_level() const;
    double level(core::time_point now) const;

    target_rate_settings settings_;
    std::optional<double> rate_;
    double share_ = 1.0;
    double level_ = 0;
    core::time_point updated_at_{};
};

} // namespace gooseberryfall::serving
