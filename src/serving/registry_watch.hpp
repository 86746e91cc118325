#pragma once

#include "core/types.hpp"

#include <chrono>
#include <optional>

namespace gooseberryfall::serving {

/// Recognizes outages by gaps between successful reads. Deterministic; not thread-safe.
class read_gap_detector {
public:
    /// A gap of at least `outage_min` counts as an outage.
    explicit read_gap_detector(std::chrono::milliseconds outage_min) : outage_min_(outage_min) {}

    /// A read that was sent at `at` has succeeded. Older ones than the newest are ignored.
    void on_read(core::time_point at);

    /// Whether an outage is under way or ended less than `grace` ago.
    bool is_recent(core::time_point now, std::chrono::milliseconds grace) const;

private:
    std::chrono::milliseconds outage_min_;
    std::optional<core::time_point> last_;
    std::optional<core::time_point> ended_;
};

/// Settings of `registry_watch`.
struct registry_watch_settings {
    /// A living target renews its entry about this often and loses it only after some missed
    /// renewals, so that shorter outages make no entry lapse.
    std::chrono::milliseconds renewal_interval{1200};
    /// Time after the registry's return in which living targets register again.
    std::chrono::milliseconds return_grace{2200};
};

/// Tells an outage of the registry, in which entries of living targets may lapse, from a fault on
/// this instance's own way to it, in which missing entries were really removed.
/// Deterministic; not thread-safe.
class registry_watch {
public:
    explicit registry_watch(registry_watch_settings settings = {})
        : settings_(settings), fleet_(settings.renewal_interval), own_(settings.renewal_interval),
          list_(settings.renewal_interval)
    {
    }

    /// Any instance has read the store.
    void on_fleet_read(core::time_point at) { fleet_.on_read(at); }

    /// This instance has read the store.
    void on_own_read(core::time_point at)
    {
        own_.on_read(at);
        fleet_.on_read(at);
    }

    /// This instance has read the list of targets.
    void on_list_read(core::time_point at) { list_.on_read(at); }

    /// This instance stops to read the list, so that the time until it begins again is no outage.
    void pause_list() { list_ = read_gap_detector(settings_.renewal_interval); }

    /// Whether an entry that is missing may have lapsed although its target lives.
    bool may_have_lapsed(core::time_point now) const;

private:
    registry_watch_settings settings_;
    read_gap_detector fleet_;
    read_gap_detector own_;
    read_gap_detector list_;
};

} // namespace gooseberryfall::serving
