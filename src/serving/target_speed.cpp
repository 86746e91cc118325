#include "serving/target_speed.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

namespace {

/// Variance of the load that is assumed beside the measured one, so that the effect of load stays
/// near 0 until it has been seen at different loads.
constexpr double assumed_load_variance = 0.2;

/// Samples of a target before its averages say how a sample deviates from them.
constexpr double deviation_samples_min = 2.0;

/// Factors are kept in this range, so that a single broken measurement can't exclude a target.
constexpr double factor_min = 0.2;
constexpr double factor_max = 10.0;

} // namespace

void decaying_ratio::add(double numerator, double denominator, core::time_point now,
                         std::chrono::milliseconds memory)
{
    const double elapsed =
        std::max(0.0, std::chrono::duration<double, std::milli>(now - updated_at_).count());
    const double weight = std::exp(-elapsed / static_cast<double>(memory.count()));
    numerator_ = numerator_ * weight + numerator;
    denominator_ = denominator_ * weight + denominator;
    count_ = count_ * weight + 1;
    updated_at_ = std::max(updated_at_, now);
}

double service_speed::load_effect() const
{
    const double effect =
        load_effect_.numerator() / (load_effect_.denominator() + assumed_load_variance);
    return std::clamp(effect, 0.0, settings_.load_effect_max);
}

void target_speed::record(const speed_sample& sample, service_speed& usual, core::time_point now)
{
    const double first_event = static_cast<double>(sample.first_event_delay.count());
    const double generation = static_cast<double>(sample.generation_time.count());
    const double load_factor = usual.load_factor(sample.load);
    usual.first_event_.add(first_event / load_factor, 1, now, settings_.service_memory);
    first_event_.add(first_event, usual.first_event_delay() * load_factor, now,
                     settings_.target_memory);
    if (sample.tokens > 0 && generation > 0) {
        const double tokens = sample.tokens;
        const double token_time = generation / tokens;
        if (token_time_.count() >= deviation_samples_min && usual.token_time() > 0) {
            const double load_deviation = sample.load - load_.value();
            const double time_deviation = (token_time - token_time_.value()) / usual.token_time();
            usual.load_effect_.add(load_deviation * time_deviation, load_deviation * load_deviation,
                                   now, settings_.load_effect_memory);
        }
        load_.add(sample.load, 1, now, settings_.target_memory);
        token_time_.add(token_time, 1, now, settings_.target_memory);
        usual.token_time_.add(generation / load_factor, tokens, now, settings_.service_memory);
        tokens_.add(generation, tokens * usual.token_time() * load_factor, now,
                    settings_.target_memory);
    }
    recorded_at_ = now;
    first_event_factor_ = bounded(first_event_);
    token_factor_ = bounded(tokens_);
}

double target_speed::bounded(const decaying_ratio& ratio) const
{
    if (ratio.denominator() <= 0) {
        return 1;
    }
    const double assumed = ratio.denominator() / ratio.count() * settings_.assumed_runs;
    const double measured = (ratio.numerator() + assumed) / (ratio.denominator() + assumed);
    const double deviation = measured - 1;
    // Between the tolerance and twice the tolerance a deviation counts in part, so that noise at
    // the edge of the tolerance has little effect.
    const double part = std::clamp(std::abs(deviation) / settings_.tolerance - 1, 0.0, 1.0);
    return std::clamp(1 + deviation * part, factor_min, factor_max);
}

double target_speed::first_event_factor(core::time_point now) const
{
    return now - recorded_at_ > settings_.forget_after ? 1 : first_event_factor_;
}

double target_speed::token_factor(core::time_point now) const
{
    return now - recorded_at_ > settings_.forget_after ? 1 : token_factor_;
}

bool target_speed::needs_probe(core::time_point now) const
{
    return now - recorded_at_ > settings_.probe_after;
}

} // namespace gooseberryfall::serving
