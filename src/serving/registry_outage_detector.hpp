#pragma once

#include "core/types.hpp"

#include <chrono>
#include <optional>

namespace gooseberryfall::serving {

/// Detects outages by gaps between successful reads. Deterministic; not thread-safe.
class read_gap_detector {
public:
    /// A gap of at least `outage_min` counts as an outage.
    explicit read_gap_detector(std::chrono::milliseconds outage_min) : outage_min_(outage_min) {}

    /// A read that was sent at `at` has succeeded. Reads older than the newest one are ignored.
    void on_read(core::time_point at);

    /// Whether an outage is in progress or ended less than `grace` ago.
    bool has_recent_outage(core::time_point now, std::chrono::milliseconds grace) const;

private:
    std::chrono::milliseconds outage_min_;
    std::optional<core::time_point> last_read_at_;
    std::optional<core::time_point> outage_end_;
};

/// Settings of `registry_outage_detector`.
struct registry_outage_settings {
    /// A running target renews its entry about this often and loses it only after several missed
    /// renewals, so that no entry expires because of a shorter outage.
    std::chrono::milliseconds renewal_interval{1200};
    /// Time after the end of an outage in which running targets register again.
    std::chrono::milliseconds recovery_grace{2200};
};

/// Distinguishes an outage of the registry, in which entries of running targets may expire, from a
/// fault between this instance and the registry, during which missing entries were really removed.
/// Deterministic; not thread-safe.
class registry_outage_detector {
public:
    explicit registry_outage_detector(registry_outage_settings settings = {})
        : settings_(settings), fleet_reads_(settings.renewal_interval),
          local_reads_(settings.renewal_interval), target_list_reads_(settings.renewal_interval)
    {
    }

    /// Any instance has read the store.
    void on_fleet_read(core::time_point at) { fleet_reads_.on_read(at); }

    /// This instance has read the store.
    void on_local_read(core::time_point at)
    {
        local_reads_.on_read(at);
        fleet_reads_.on_read(at);
    }

    /// This instance has read the list of targets.
    void on_target_list_read(core::time_point at) { target_list_reads_.on_read(at); }

    /// This instance stops reading the list; the time until it starts again is not an outage.
    void pause_target_list() { target_list_reads_ = read_gap_detector(settings_.renewal_interval); }

    /// Whether a missing entry may have expired although its target is running.
    bool may_have_expired(core::time_point now) const;

private:
    registry_outage_settings settings_;
    read_gap_detector fleet_reads_;
    read_gap_detector local_reads_;
    read_gap_detector target_list_reads_;
};

} // namespace gooseberryfall::serving
