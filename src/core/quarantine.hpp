#pragma once

#include "core/messages.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace gooseberryfall::core {

/// Settings of `quarantine`.
struct quarantine_settings {
    /// Deaths from which on a fingerprint is refused, if one of them happened while it ran alone.
    std::uint32_t deaths = 2;
    /// Deaths from which on a fingerprint is refused in any case. While no target is idle a marked
    /// request runs beside others, and its deaths say less.
    std::uint32_t deaths_shared = 3;
    /// Time for which a marked request waits for an idle target. Beside others its deaths say less,
    /// and innocent requests were refused when it did not wait.
    duration idle_wait = std::chrono::seconds(1);
    /// Time for which marks and refusals are kept after the last death.
    duration lifetime = std::chrono::minutes(10);
    /// Fingerprints kept; the oldest is dropped beyond.
    std::size_t capacity = 4096;
};

/// How a request with a fingerprint is treated.
enum class quarantine_ruling { run, run_alone, refuse };

/// Fingerprint of a request, made of team and body digest. Thread-safe.
digest fingerprint_of(const team_id& team, const digest& body);

/// Remembers requests that were in flight when their target died. Not thread-safe.
class quarantine {
public:
    explicit quarantine(quarantine_settings settings);

    /// How to treat the request now.
    quarantine_ruling rule(const digest& fingerprint, time_point now) const;

    /// A target died with the request in flight. Returns the notice for the other instances.
    crash_notice on_death(const digest& fingerprint, bool alone, time_point now);

    /// The request ran to its end: its marks are cleared.
    void on_success(const digest& fingerprint);

    /// Another instance's notice. Counts are merged by maximum, so that repeats do no harm.
    void on_notice(const crash_notice& notice, time_point now);

    /// Remaining time of a refusal.
    duration remaining(const digest& fingerprint, time_point now) const;

    /// Fingerprints marked.
    std::size_t size() const { return marks_.size(); }

private:
    struct mark {
        std::uint32_t deaths = 0;
        std::uint32_t deaths_alone = 0;
        time_point last;
    };

    bool is_over(const mark& known, time_point now) const;

    /// Mark of a fingerprint, without deaths if it is new or its lifetime is over.
    mark& mark_of(const digest& fingerprint, time_point now);

    quarantine_settings settings_;
    std::map<digest, mark> marks_;
};

} // namespace gooseberryfall::core
