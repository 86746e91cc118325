#pragma once

#include "core/types.hpp"

#include <chrono>
#include <optional>

namespace gooseberryfall::serving {

/// How a call to the store ended.
enum class store_reply {
    /// The store has answered it.
    answered,
    /// The store has refused it without doing it.
    refused,
    /// No answer came, or no connection could be made.
    lost,
};

/// Settings of `store_route`.
struct store_route_settings {
    /// Calls in a row that the store has to refuse before others are asked to pass them on. One
    /// refusal may come from a moment with too many calls.
    int refusals_max = 2;
    /// Time for which calls go to others first, before the store is tried directly again.
    std::chrono::milliseconds turned_away_pause{1000};
    /// Instances that are asked in turn to pass a call on.
    int relay_tries = 3;
    /// Time for which nobody is asked after a call that the store has refused by way of all tries.
    std::chrono::milliseconds relay_pause{1000};
};

/// Decides whether calls of the store go directly or through other instances.
///
/// Load pattern: the store turns some instances away while others reach it; then others pass calls
/// on. Or it refuses calls of all instances because there are too many, as when a large fleet
/// starts at once; then calls through others multiply the load, so that they stop after the first
/// one that nobody could pass on. Deterministic; not thread-safe.
class store_route {
public:
    explicit store_route(store_route_settings settings) : settings_(settings) {}

    /// A direct call has ended. Returns whether this instance is turned away from now on, if that
    /// has changed.
    std::optional<bool> on_direct(store_reply reply, core::time_point now);

    /// A call through others has ended, after the last of its tries.
    void on_relayed(store_reply reply, core::time_point now);

    /// Whether the next call goes to others first.
    bool prefers_relay(core::time_point now) const
    {
        return now < turned_away_until_ && may_relay(now);
    }

    /// Whether a call that has failed directly may be sent through others.
    bool may_relay(core::time_point now) const { return turned_away_ && now >= relays_from_; }

    int relay_tries() const { return settings_.relay_tries; }

private:
    store_route_settings settings_;
    int refusals_ = 0;
    bool turned_away_ = false;
    core::time_point turned_away_until_{};
    core::time_point relays_from_{};
};

} // namespace gooseberryfall::serving
