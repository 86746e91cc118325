#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberryfall::serving {

/// Settings of `retry_backoff`.
struct backoff_settings {
    std::chrono::milliseconds delay_min{150};
    std::chrono::milliseconds delay_max{1200};
    /// Fraction of each delay that is random, so that instances that failed together do not retry
    /// together.
    double jitter = 0.5;
};

/// Delays between attempts of a call that fails: each is twice the one before, less a random part.
///
/// Load pattern: several hundred instances read the same data at once, so that no read ends within
/// its time limit. Retries at a fixed interval would keep the overload up after its cause is gone.
/// Deterministic for a seed; not thread-safe.
class retry_backoff {
public:
    /// `seed`: differs between instances.
    retry_backoff(backoff_settings settings, std::uint64_t seed) : settings_(settings), seed_(seed)
    {
    }

    /// An attempt has failed. Returns the time until the next one.
    std::chrono::milliseconds next_delay();

    /// An attempt has succeeded: the next delay is the shortest again.
    void reset() { failures_ = 0; }

private:
    backoff_settings settings_;
    std::uint64_t seed_;
    std::uint32_t failures_ = 0;
};

/// Settings of `adaptive_timeout`.
struct timeout_settings {
    /// Limit for a response that does not have to wait. A connection that has become unresponsive
    /// costs this much.
    std::chrono::milliseconds timeout_min{550};
    std::chrono::milliseconds timeout_max{4400};
};

/// Time without progress after which a read counts as failed. It doubles with each timeout, because
/// a read that has to wait for reads of other instances would otherwise never complete.
/// Deterministic; not thread-safe.
class adaptive_timeout {
public:
    explicit adaptive_timeout(timeout_settings settings = {})
        : settings_(settings), timeout_(settings.timeout_min)
    {
    }

    /// The call was not answered in time.
    void on_timeout();

    /// The call was answered.
    void on_response() { timeout_ = settings_.timeout_min; }

    std::chrono::milliseconds timeout() const { return timeout_; }

private:
    timeout_settings settings_;
    std::chrono::milliseconds timeout_;
};

} // namespace gooseberryfall::serving
