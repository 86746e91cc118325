#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace gooseberryfall::serving {

/// Measurement of a run that has ended with a complete response.
struct speed_sample {
    /// Time from sending the request to the first event.
    std::chrono::milliseconds first_event_delay{0};
    /// Time from the first event to the end.
    std::chrono::milliseconds generation_time{0};
    /// Expected number of generated tokens; 0 if unknown, which leaves the time per token out.
    std::uint32_t tokens = 0;
    /// Other runs at the target at the same time, as a fraction of its slots.
    double load = 0;
};

/// Settings of `service_speed` and `target_speed`.
struct speed_settings {
    /// Time after which a sample of a target counts by 1/e. At ten results a second, a target that
    /// halves its speed counts as slow within a second.
    std::chrono::milliseconds target_memory{700};
    /// The same for the samples of a whole service.
    std::chrono::milliseconds service_memory{3000};
    /// The same for the effect of load, which changes with the kind of target only.
    std::chrono::milliseconds load_effect_memory{20000};
    /// Runs of the usual duration that each target is assumed to have had: bounds the effect of a
    /// single run, whose length may have been misjudged.
    double assumed_runs = 0.5;
    /// Deviations up to this are taken for noise of the expected lengths and count as none.
    double tolerance = 0.12;
    /// Largest factor by which a full target is slower than an idle one, less one. Bounds the
    /// effect of samples that were taken while targets changed their speed.
    double load_effect_max = 2.0;
    /// An idle target without a result for this long gets a request as if it had the usual speed,
    /// so that a recovered target is found.
    std::chrono::milliseconds probe_after{1500};
    /// A target without a result for this long counts with the usual speed.
    std::chrono::milliseconds forget_after{6000};
};

/// Ratio of two sums in which past samples lose weight exponentially. Not thread-safe.
class decaying_ratio {
public:
    /// Adds a sample to numerator and denominator after decreasing both.
    void add(double numerator, double denominator, core::time_point now,
             std::chrono::milliseconds memory);

    double numerator() const { return numerator_; }
    double denominator() const { return denominator_; }

    /// Number of samples, each counted by its weight.
    double count() const { return count_; }

    /// Quotient of the sums; 0 without samples.
    double value() const { return denominator_ > 0 ? numerator_ / denominator_ : 0; }

private:
    double numerator_ = 0;
    double denominator_ = 0;
    double count_ = 0;
    core::time_point updated_at_{};
};

/// The usual speed of a service's targets: time to the first event and time per token of an idle
/// target, averaged over all results, and the effect of load. Deterministic; not thread-safe.
class service_speed {
public:
    explicit service_speed(speed_settings settings = {}) : settings_(settings) {}

    /// Milliseconds to the first event at an otherwise idle target; 0 if unknown.
    double first_event_delay() const { return first_event_.value(); }

    /// Milliseconds per token at an otherwise idle target; 0 if unknown.
    double token_time() const { return token_time_.value(); }

    /// Factor by which a run is slower at a load than at an idle target.
    double load_factor(double load) const { return 1 + load_effect() * load; }

private:
    friend class target_speed;

    double load_effect() const;

    speed_settings settings_;
    decaying_ratio first_event_;
    decaying_ratio token_time_;
    /// Covariance of load and time within each target, over the variance of the load there. Targets
    /// aren't compared with each other here, since slow ones get less load.
    decaying_ratio load_effect_;
};

/// Speed of one process of a target relative to the usual speed of its service, learned from the
/// results of its runs.
///
/// Load pattern: targets with 0.55 to 1.2 of the usual speed; some turn slow for seconds and
/// recover. Factors of time are 1 for the usual speed and 2 for a target that takes twice as long.
/// They follow the results of about the last second and are 1 without results. Deterministic; not
/// thread-safe.
class target_speed {
public:
    explicit target_speed(speed_settings settings = {}) : settings_(settings) {}

    /// Records a complete run, here and in the service's averages.
    void record(const speed_sample& sample, service_speed& usual, core::time_point now);

    /// Factor of the time to the first event.
    double first_event_factor(core::time_point now) const;

    /// Factor of the time per token.
    double token_factor(core::time_point now) const;

    /// Whether the target, if idle, should get a request to measure its speed again.
    bool needs_probe(core::time_point now) const;

private:
    double bounded(const decaying_ratio& ratio) const;

    speed_settings settings_;
    /// Measured milliseconds over the milliseconds that the usual speed would give.
    decaying_ratio first_event_;
    decaying_ratio tokens_;
    /// Averages of the load and of the time per token, for the effect of load.
    decaying_ratio load_;
    decaying_ratio token_time_;
    core::time_point recorded_at_{};
    double first_event_factor_ = 1;
    double token_factor_ = 1;
};

} // namespace gooseberryfall::serving
