#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstdint>

namespace gooseberryfall::serving {

/// How the use of a target's slot ended.
enum class slot_outcome {
    /// The whole answer was received.
    completed,
    /// The target refused without running the request, because it is full or leaving.
    not_run,
    /// No connection could be made.
    unreachable,
    /// The answer was cut short, malformed or another request's.
    broken,
    /// No byte came for too long.
    silent,
    /// The target answered that it failed.
    failed,
    /// Ended by us: the caller left, or the slot was yielded.
    cancelled,
};

/// Text form. Thread-safe.
const char* to_text(slot_outcome outcome);

/// Settings of `target_health`.
struct health_settings {
    /// First pause after a failure to connect or a silence; doubled with each one that follows.
    std::chrono::milliseconds first_pause{400};
    /// Longest pause. A restarted target is found within about this time.
    std::chrono::milliseconds pause_max{3000};
    /// Pause after a refusal: other callers' requests still hold the slots.
    std::chrono::milliseconds refused_pause{40};
    /// Share of failed requests above which a target is paused although it answers health checks.
    double failure_share_max = 0.3;
    /// Requests that have to be seen before the share counts.
    double least_weight = 5.0;
    /// Weight of the past in the averages.
    double memory = 0.85;
};

/// What requests have shown about one target. Health checks are not used: they can pass while
/// requests fail, and the other way round. Deterministic; not thread-safe.
class target_health {
public:
    explicit target_health(health_settings settings = {}) : settings_(settings) {}

    /// A use of the target ended.
    void record(slot_outcome outcome, core::time_point now);

    /// A use of the target gives no byte while it lasts.
    void record_silence(core::time_point now);

    /// Time from the first event to the end of a whole answer of about `tokens` tokens.
    void record_speed(std::chrono::milliseconds generating, std::uint32_t tokens);

    /// Whether new work may be sent now.
    bool available(core::time_point now) const { return now >= paused_until_; }

    /// Whether the pause is over but no request has succeeded since; one at a time may try.
    bool on_probation() const { return failures_in_row_ > 0 && !only_refusals_; }

    /// Whether the pause comes from a share of failures, which may be a false alarm. The owner
    /// bounds how many targets are set aside for this.
    bool paused_for_share(core::time_point now) const
    {
        return !available(now) && paused_for_share_;
    }

    /// Milliseconds for a token; 0 if not known.
    double token_time() const { return token_time_; }

private:
    void pause(core::time_point now);
    void note(double failure, core::time_point now);

    health_settings settings_;
    core::time_point paused_until_{};
    std::uint32_t failures_in_row_ = 0;
    bool only_refusals_ = true;
    bool paused_for_share_ = false;
    double failure_share_ = 0;
    double weight_ = 0;
    double token_time_ = 0;
};

} // namespace gooseberryfall::serving
