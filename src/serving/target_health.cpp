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

/// Doublings after which the pause has reached its maximum in any setting.
constexpr std::uint32_t doublings_max = 6;

} // namespace

void target_health::pause(core::time_point now)
{
    const std::uint32_t doublings = std::min(failures_in_row_, doublings_max);
    const auto length = settings_.first_pause * (1U << doublings) / 2;
    paused_until_ = std::max(paused_until_, now + std::min(length, settings_.pause_max));
}

void target_health::note(double failure, core::time_point now)
{
    failure_share_ = failure_share_ * settings_.memory + failure * (1 - settings_.memory);
    weight_ = std::min(weight_ + 1.0, settings_.least_weight * 4);
    const bool too_many =
        weight_ >= settings_.least_weight && failure_share_ > settings_.failure_share_max;
    if (failure > 0 && too_many) {
        paused_for_share_ = true;
        paused_until_ = std::max(paused_until_, now + settings_.pause_max);
        // After the pause the target starts with half of the mark against it.
        failure_share_ = settings_.failure_share_max / 2;
    }
}

void target_health::record(slot_outcome outcome, core::time_point now)
{
    switch (outcome) {
    case slot_outcome::completed:
        failures_in_row_ = 0;
        only_refusals_ = true;
        paused_for_share_ = false;
        note(0, now);
        break;
    case slot_outcome::not_run:
        paused_until_ = std::max(paused_until_, now + settings_.refused_pause);
        break;
    case slot_outcome::unreachable:
        ++failures_in_row_;
        only_refusals_ = false;
        pause(now);
        break;
    case slot_outcome::broken:
        // One broken answer says little: a target may spoil a few of many.
        ++failures_in_row_;
        only_refusals_ = only_refusals_ && failures_in_row_ < 2;
        if (failures_in_row_ >= 2) {
            pause(now);
        }
        note(1, now);
        break;
    case slot_outcome::silent:
        record_silence(now);
        break;
    case slot_outcome::failed:
        note(1, now);
        break;
    case slot_outcome::cancelled:
        break;
    }
}

void target_health::record_silence(core::time_point now)
{
    if (!available(now)) {
        return;
    }
    ++failures_in_row_;
    only_refusals_ = false;
    pause(now);
}

void target_health::record_speed(std::chrono::milliseconds generating, std::uint32_t tokens)
{
    if (tokens == 0 || generating.count() <= 0) {
        return;
    }
    const double sample = static_cast<double>(generating.count()) / tokens;
    token_time_ = token_time_ == 0
                      ? sample
                      : token_time_ * settings_.memory + sample * (1 - settings_.memory);
}

} // namespace gooseberryfall::serving
