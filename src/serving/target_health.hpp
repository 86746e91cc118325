#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstdint>

namespace gooseberryfall::serving {

/// How the use of a target's slot ended.
enum class slot_outcome {
    /// The complete response was received.
    completed,
    /// The target rejected the request without running it, because it is full or draining.
    not_run,
    /// The connection failed.
    unreachable,
    /// The response was truncated, malformed or belonged to another request.
    broken,
    /// No byte arrived before the timeout.
    silent,
    /// The target responded with a failure.
    failed,
    /// Cancelled by the instance: the caller disconnected, or the run was preempted.
    cancelled,
};

/// Name of an outcome for messages and logs. Thread-safe.
const char* to_text(slot_outcome outcome);

/// Time limits of a run, by which its end is judged.
struct run_limits {
    /// When the instance and the target end the run. The target counts from the arrival of the
    /// request, so it isn't earlier.
    core::time_point deadline;
    /// Last byte from the target, or when the request was sent.
    core::time_point last_received_at;
    /// A target that sends nothing for this long counts as silent.
    std::chrono::milliseconds silence_max{0};
};

/// What the end of a run says about its target. A run that reached its deadline was cut by that
/// limit, however the cut looks from here: its failure counts as `cancelled`, unless the target was
/// silent for long enough before. Thread-safe.
slot_outcome judge_run_end(slot_outcome observed, const run_limits& limits, core::time_point now);

/// Settings of `target_health`.
struct health_settings {
    /// First pause after a failed connection or a timeout; doubled with each consecutive failure.
    std::chrono::milliseconds initial_pause{400};
    /// Longest pause. A restarted target is used again within about this time.
    std::chrono::milliseconds pause_max{3000};
    /// Pause after a rejection: requests of other clients still hold the slots.
    std::chrono::milliseconds rejected_pause{40};
    /// Failure rate above which a target is paused, even if it passes health checks.
    double failure_rate_max = 0.3;
    /// Requests that have to be observed before the failure rate is evaluated.
    double sample_count_min = 5.0;
    /// Weight of the previous value in the running averages.
    double average_decay = 0.85;
};

/// Health of one target, derived from the outcomes of its requests. Health checks are not used:
/// they can pass while requests fail, and fail while requests succeed. Deterministic; not
/// thread-safe.
class target_health {
public:
    explicit target_health(health_settings settings = {}) : settings_(settings) {}

    /// Records how a request that was granted at `began_at` ended. Connections that fail together
    /// count as one failure, which pauses the target for the first pause: requests that began
    /// before the last failure only say that it was not a single broken response.
    void record(slot_outcome outcome, core::time_point began_at, core::time_point now);

    /// Records that an active request receives no byte.
    void record_unresponsive(core::time_point now);

    /// Whether the target is not paused, so that new requests may be sent.
    bool available(core::time_point now) const { return now >= paused_until_; }

    /// Whether no request has succeeded since a failure that paused the target. It then gets one
    /// request at a time.
    bool on_probation() const { return consecutive_failures_ > 0 && !failures_tolerated_; }

    /// Whether the target is paused for its failure rate, which may be a false alarm. The owner
    /// limits how many targets are paused for this reason.
    bool paused_for_failure_rate(core::time_point now) const
    {
        return !available(now) && paused_for_failure_rate_;
    }

private:
    void pause(core::time_point now);
    void update_failure_rate(double failure, core::time_point now);

    health_settings settings_;
    core::time_point paused_until_{};
    std::uint32_t consecutive_failures_ = 0;
    /// When a failed connection was last counted.
    core::time_point last_failure_at_{};
    /// Whether the consecutive failures, if any, are too few to put the target on probation.
    bool failures_tolerated_ = true;
    bool paused_for_failure_rate_ = false;
    double failure_rate_ = 0;
    double sample_count_ = 0;
};

} // namespace gooseberryfall::serving
