#include "core/quarantine.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

digest fingerprint_of(const team_id& team, const digest& body)
{
    constexpr std::size_t bits_per_byte = 8;
    constexpr std::size_t word_size = sizeof(std::uint64_t);
    // The body's digest is SHA-256. XOR with a mask that depends only on the team keeps the digests
    // of one team's bodies distinct, and no team can construct a body with another team's
    // fingerprint.
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
    if (found == marks_.end() || is_expired(found->second, now)) {
        return quarantine_ruling::run;
    }
    const mark& entry = found->second;
    const bool refused = (entry.deaths >= settings_.death_threshold && entry.deaths_alone > 0) ||
                         entry.deaths >= settings_.shared_death_threshold;
    return refused ? quarantine_ruling::refuse : quarantine_ruling::run_alone;
}

crash_notice quarantine::on_death(const digest& fingerprint, bool alone, time_point now)
{
    mark& entry = find_or_add_mark(fingerprint, now);
    ++entry.deaths;
    if (alone) {
        ++entry.deaths_alone;
    }
    entry.last_death = now;
    return {fingerprint, entry.deaths, entry.deaths_alone};
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
    mark& entry = find_or_add_mark(notice.fingerprint, now);
    // A notice without higher counts may be a repeat, which must not prolong a refusal.
    if (notice.deaths <= entry.deaths && notice.deaths_alone <= entry.deaths_alone) {
        return;
    }
    entry.deaths = std::max(entry.deaths, notice.deaths);
    entry.deaths_alone = std::max(entry.deaths_alone, notice.deaths_alone);
    entry.last_death = now;
}

duration quarantine::remaining(const digest& fingerprint, time_point now) const
{
    if (rule(fingerprint, now) != quarantine_ruling::refuse) {
        return duration::zero();
    }
    return marks_.at(fingerprint).last_death + settings_.lifetime - now;
}

bool quarantine::is_expired(const mark& entry, time_point now) const
{
    return now >= entry.last_death + settings_.lifetime;
}

quarantine::mark& quarantine::find_or_add_mark(const digest& fingerprint, time_point now)
{
    const auto found = marks_.find(fingerprint);
    if (found != marks_.end()) {
        if (is_expired(found->second, now)) {
            found->second = mark{};
            found->second.last_death = now;
        }
        return found->second;
    }
    if (marks_.size() >= settings_.capacity) {
        const auto older = [](const auto& left, const auto& right) {
            return left.second.last_death < right.second.last_death;
        };
        marks_.erase(std::min_element(marks_.begin(), marks_.end(), older));
    }
    mark& added = marks_[fingerprint];
    added.last_death = now;
    return added;
}

} // namespace gooseberryfall::core
