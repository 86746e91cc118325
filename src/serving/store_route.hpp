#pragma once

#include "core/types.hpp"

#include <chrono>
#include <optional>

namespace gooseberryfall::serving {

/// How a call to the store ended.
enum class store_call_result {
    /// The store has responded to it.
    responded,
    /// The store has rejected it without executing it.
    rejected,
    /// No response arrived, or no connection could be made.
    no_response,
};

/// Settings of `store_route`.
struct store_route_settings {
    /// Consecutive rejections after which other instances are asked to relay calls. A single
    /// rejection may be due to a short overload.
    int rejections_max = 2;
    /// Time for which calls are relayed first, before the store is called directly again.
    std::chrono::milliseconds direct_retry_delay{1000};
    /// Instances that are asked in turn to relay a call.
    int relay_attempts = 3;
    /// Time for which no call is relayed after the store has rejected a call on all attempts.
    std::chrono::milliseconds relay_retry_delay{1000};
};

/// Decides whether calls to the store go directly or are relayed by other instances.
///
/// Load pattern: the store rejects some instances while others reach it; then others relay calls.
/// Or it rejects calls of all instances because there are too many, as when a large fleet starts at
/// once; then relayed calls multiply the load, so that relaying pauses after the first call that no
/// instance could relay. Deterministic; not thread-safe.
class store_route {
public:
    explicit store_route(store_route_settings settings) : settings_(settings) {}

    /// A direct call has ended. Returns whether direct calls count as blocked from now on, or
    /// nothing if that has not changed.
    std::optional<bool> on_direct_call(store_call_result call_result, core::time_point now);

    /// A relayed call has ended, after the last of its attempts.
    void on_relayed_call(store_call_result call_result, core::time_point now);

    /// Whether the next call is relayed first.
    bool prefers_relay(core::time_point now) const
    {
        return now < direct_retry_at_ && may_relay(now);
    }

    /// Whether a direct call that has failed may be relayed.
    bool may_relay(core::time_point now) const { return direct_blocked_ && now >= relay_retry_at_; }

    int relay_attempts() const { return settings_.relay_attempts; }

private:
    store_route_settings settings_;
    int rejections_ = 0;
    bool direct_blocked_ = false;
    core::time_point direct_retry_at_{};
    core::time_point relay_retry_at_{};
};

} // namespace gooseberryfall::serving
