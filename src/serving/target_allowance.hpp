#pragma once

#include "serving/target_rate.hpp"

#include <optional>

namespace gooseberryfall::serving {

/// Requests that a cold target may get from one place.
struct cold_rate {
    /// Requests a second.
    double rate = 0;
    /// Requests at once, after a pause.
    double burst = 1;

    bool operator==(const cold_rate&) const = default;
};

/// The requests that a target may get: within the rate that it has named, and within its cold rate
/// while it is cold. The smaller one counts. Requests count against the cold rate at any time,
/// since a warm target may become cold again. Deterministic; not thread-safe.
class target_allowance {
public:
    /// Sets the rate that the target has named and the fraction of it that may be used here. The
    /// target has no cold rate if `cold` is unset. Otherwise it holds while `is_cold`.
    void set(const std::optional<double>& named_rate, double share,
             const std::optional<cold_rate>& cold, bool is_cold, core::time_point now);

    /// As in `target_rate`.
    void forget_history(core::time_point now);

    /// Whether a rate holds now.
    bool is_limited() const { return named_.is_limited() || is_cold_; }

    /// As in `target_rate`. Precondition: `is_limited()`.
    double rate() const;

    /// As in `target_rate`.
    bool allows(core::time_point now) const;
    bool has_surplus(core::time_point now) const;
    core::time_point next_at(std::size_t ahead, core::time_point now) const;
    void take(core::time_point now);

private:
    target_rate named_;
    target_rate cold_bucket_;
    std::optional<cold_rate> cold_rate_;
    bool is_cold_ = false;
};

} // namespace gooseberryfall::serving
