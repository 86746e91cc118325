#include "core/quarantine.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

digest fingerprint_of(const team_id& team, const digest& body)
{
    constexpr std::size_t bits_per_byte = 8;
    constexpr std::size_t word_size = sizeof(std::uint64_t);
    // The body's digest is SHA-256. Combined with a mask that depends on the team only, it still
    // tells bodies of one team apart, and no team can find a body with another team's fingerprint.
    digest fingerprint = body;
    for (std::size_t word = 0; word < fingerprint.size() / word_size; ++word) {
        const std::uint64_t mask = stable_hash(team.value(), word + 1);
        for (std::size_t byte = 0; byte < word_size; ++byte) {
            fingerprint[word * word_size + byte] ^=
                static_cast<std::uint8_t>(mask >> (byte * bits_per_byte));
        }
    }
    return fingerprint;
}

quarantine::quarantine(quarantine_settings settings) : settings_(settings)
{
    assert(settings_.capacity > 0);
}

quarantine_ruling quarantine::rule(const digest& fingerprint, time_point now) const
{
    const auto found = marks_.find(fingerprint);
    if (found == marks_.end() || is_over(found->second, now)) {
        return quarantine_ruling::run;
    }
    const mark& known = found->second;
    const bool refused = (known.deaths >= settings_.deaths && known.deaths_alone > 0) ||
                         known.deaths >= settings_.deaths_shared;
    return refused ? quarantine_ruling::refuse : quarantine_ruling::run_alone;
}

crash_notice quarantine::on_death(const digest& fingerprint, bool alone, time_point now)
{
    mark& known = mark_of(fingerprint, now);
    ++known.deaths;
    if (alone) {
        ++known.deaths_alone;
    }
    known.last = now;
    return {fingerprint, known.deaths, known.deaths_alone};
}

void quarantine::on_success(const digest& fingerprint)
{
    marks_.erase(fingerprint);
}

void quarantine::on_notice(const crash_notice& notice, time_point now)
{
    if (notice.deaths == 0) {
        return;
    }
    mark& known = mark_of(notice.fingerprint, now);
    // A notice that adds nothing may be a repeat and must not prolong a refusal.
    if (notice.deaths <= known.deaths && notice.deaths_alone <= known.deaths_alone) {
        return;
    }
    known.deaths = std::max(known.deaths, notice.deaths);
    known.deaths_alone = std::max(known.deaths_alone, notice.deaths_alone);
    known.last = now;
}

duration quarantine::remaining(const digest& fingerprint, time_point now) const
{
    if (rule(fingerprint, now) != quarantine_ruling::refuse) {
        return duration::zero();
    }
    return marks_.at(fingerprint).last + settings_.lifetime - now;
}

bool quarantine::is_over(const mark& known, time_point now) const
{
    return now >= known.last + settings_.lifetime;
}

quarantine::mark& quarantine::mark_of(const digest& fingerprint, time_point now)
{
    const auto found = marks_.find(fingerprint);
    if (found != marks_.end()) {
        if (is_over(found->second, now)) {
            found->second = mark{};
            found->second.last = now;
        }
        return found->second;
    }
    if (marks_.size() >= settings_.capacity) {
        const auto older = [](const auto& left, const auto& right) {
            return left.second.last < right.second.last;
        };
        marks_.erase(std::min_element(marks_.begin(), marks_.end(), older));
    }
    mark& added = marks_[fingerprint];
    added.last = now;
    return added;
}

} // namespace gooseberryfall::core
