#include "serving/target_health.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

const char* to_text(slot_outcome outcome)
{
    switch (outcome) {
    case slot_outcome::completed:
        return "completed";
    case slot_outcome::not_run:
        return "not_run";
    case slot_outcome::unreachable:
        return "unreachable";
    case slot_outcome::broken:
        return "broken";
    case slot_outcome::silent:
        return "silent";
    case slot_outcome::failed:
        return "failed";
    case slot_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

namespace {

/// Time limits are sent in whole milliseconds, and timers of both sides fire within a few.
constexpr std::chrono::milliseconds deadline_tolerance{20};

bool is_limit_dependent(slot_outcome outcome)
{
    switch (outcome) {
    case slot_outcome::unreachable:
    case slot_outcome::broken:
    case slot_outcome::silent:
    case slot_outcome::failed:
        return true;
    case slot_outcome::completed:
    case slot_outcome::not_run:
    case slot_outcome::cancelled:
        return false;
    }
    return false;
}

/// Doublings after which the pause has reached its maximum under any settings.
constexpr std::uint32_t pause_doublings_max = 6;

} // namespace

slot_outcome judge_run_end(slot_outcome observed, const run_limits& limits, core::time_point now)
{
    if (now + deadline_tolerance < limits.deadline || !is_limit_dependent(observed)) {
        return observed;
    }
    const bool was_silent =
        observed == slot_outcome::silent && now - limits.last_received_at >= limits.silence_max;
    return was_silent ? slot_outcome::silent : slot_outcome::cancelled;
}

void target_health::pause(core::time_point now)
{
    const std::uint32_t doublings = std::min(consecutive_failures_, pause_doublings_max);
    const auto length = settings_.initial_pause * (1U << doublings) / 2;
    paused_until_ = std::max(paused_until_, now + std::min(length, settings_.pause_max));
}

void target_health::update_failure_rate(double failure, core::time_point now)
{
    failure_rate_ =
        failure_rate_ * settings_.average_decay + failure * (1 - settings_.average_decay);
    sample_count_ = std::min(sample_count_ + 1.0, settings_.sample_count_min * 4);
    const bool exceeds_rate =
        sample_count_ >= settings_.sample_count_min && failure_rate_ > settings_.failure_rate_max;
    if (failure > 0 && exceeds_rate) {
        paused_for_failure_rate_ = true;
        paused_until_ = std::max(paused_until_, now + settings_.pause_max);
        // After the pause the target restarts at half of the limit.
        failure_rate_ = settings_.failure_rate_max / 2;
    }
}

void target_health::record(slot_outcome outcome, core::time_point began_at, core::time_point now)
{
    if (outcome == slot_outcome::unreachable || outcome == slot_outcome::broken) {
        if (began_at < last_failure_at_) {
            if (failures_tolerated_) {
                failures_tolerated_ = false;
                pause(now);
            }
            return;
        }
        last_failure_at_ = now;
    }
    switch (outcome) {
    case slot_outcome::completed:
        consecutive_failures_ = 0;
        failures_tolerated_ = true;
        paused_for_failure_rate_ = false;
        update_failure_rate(0, now);
        break;
    case slot_outcome::not_run:
        paused_until_ = std::max(paused_until_, now + settings_.rejected_pause);
        break;
    case slot_outcome::unreachable:
        ++consecutive_failures_;
        failures_tolerated_ = false;
        pause(now);
        break;
    case slot_outcome::broken:
        // A single broken response is not significant: a target may spoil a few out of many.
        ++consecutive_failures_;
        failures_tolerated_ = failures_tolerated_ && consecutive_failures_ < 2;
        if (consecutive_failures_ >= 2) {
            pause(now);
        }
        update_failure_rate(1, now);
        break;
    case slot_outcome::silent:
        record_unresponsive(now);
        break;
    case slot_outcome::failed:
        update_failure_rate(1, now);
        break;
    case slot_outcome::cancelled:
        break;
    }
}

void target_health::record_unresponsive(core::time_point now)
{
    if (!available(now)) {
        return;
    }
    ++consecutive_failures_;
    failures_tolerated_ = false;
    pause(now);
}

} // namespace gooseberryfall::serving
