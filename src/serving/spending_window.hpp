#pragma once

#include "serving/team_limits.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace gooseberryfall::serving {

/// Counts the requests of each team that an instance has sent in the last window, so that a new
/// leader can learn what was spent. Deterministic; not thread-safe.
class spending_window {
public:
    explicit spending_window(std::chrono::milliseconds window) : window_(window) {}

    /// Changes the window. Requests of a longer one that were sent before the change may be
    /// missing.
    void set_window(std::chrono::milliseconds window) { window_ = window; }

    /// A request of the team was sent.
    void record(const core::team_id& team, core::time_point now);

    /// Counts of the last window.
    team_request_counts counts(core::time_point now);

private:
    void expire(core::time_point now);

    std::chrono::milliseconds window_;
    std::deque<std::pair<core::time_point, core::team_id>> sent_;
    team_request_counts counts_;
};

} // namespace gooseberryfall::serving
