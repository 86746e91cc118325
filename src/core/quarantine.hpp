#pragma once

#include "core/messages.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace gooseberryfall::core {

/// Settings of `quarantine`.
struct quarantine_settings {
    /// Target deaths at which a fingerprint is refused, if it ran alone during at least one of
    /// them.
    std::uint32_t death_threshold = 2;
    /// Target deaths at which a fingerprint is refused even if it never ran alone. While no target
    /// is idle, a marked request shares its target with other requests, and each of them may be the
    /// one that crashes the target.
    std::uint32_t shared_death_threshold = 3;
    /// Time for which a marked request waits for an idle target. Without the wait it ran beside
    /// other requests, and some that did not crash targets were refused.
    duration idle_wait = std::chrono::seconds(1);
    /// Time after the last death at which a mark, and with it a refusal, expires.
    duration lifetime = std::chrono::minutes(10);
    /// Maximum number of marked fingerprints. A new one replaces the one with the oldest last
    /// death.
    std::size_t capacity = 4096;
};

/// How to treat a request: run it on any target, run it only on an idle target, or refuse it.
enum class quarantine_ruling { run, run_alone, refuse };

/// Fingerprint of a request, computed from its team and the digest of its body. Thread-safe.
digest fingerprint_of(const team_id& team, const digest& body);

/// Marks requests that were in flight when their target died, and refuses those that keep crashing
/// targets. Not thread-safe.
class quarantine {
public:
    explicit quarantine(quarantine_settings settings);

    /// Returns how to treat a request with the fingerprint.
    quarantine_ruling rule(const digest& fingerprint, time_point now) const;

    /// Records that a target died with the request in flight. `alone` says whether it was the only
    /// request on the target. Returns the notice for the other instances.
    crash_notice on_death(const digest& fingerprint, bool alone, time_point now);

    /// Removes the mark of a request that ran to completion.
    void on_success(const digest& fingerprint);

    /// Applies a notice of another instance. The counts are merged by maximum, which makes repeated
    /// notices idempotent.
    void on_notice(const crash_notice& notice, time_point now);

    /// Time until the refusal of the fingerprint expires; zero if it is not refused.
    duration remaining(const digest& fingerprint, time_point now) const;

    /// Number of marked fingerprints.
    std::size_t size() const { return marks_.size(); }

private:
    struct mark {
        std::uint32_t deaths = 0;
        std::uint32_t deaths_alone = 0;
        time_point last_death;
    };

    bool is_expired(const mark& entry, time_point now) const;

    /// Returns the mark of a fingerprint, with no deaths if it is new or the old mark has expired.
    mark& find_or_add_mark(const digest& fingerprint, time_point now);

    quarantine_settings settings_;
    std::map<digest, mark> marks_;
};

} // namespace gooseberryfall::core
