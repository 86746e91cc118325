#pragma once

#include "serving/team_limits.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace gooseberryfall::serving {

/// Counts the requests of each team that an instance has sent in the last window, from which a new
/// leader computes the spending. Deterministic; not thread-safe.
class spending_window {
public:
    explicit spending_window(std::chrono::milliseconds window) : window_(window) {}

    /// Changes the window. If the new window is longer, requests that were sent before the change
    /// may be missing from it.
    void set_window(std::chrono::milliseconds window) { window_ = window; }

    /// Records that a request of the team was sent.
    void record(const core::team_id& team, core::time_point now);

    /// Requests of the last window.
    team_sent_requests recent(core::time_point now);

private:
    void expire(core::time_point now);

    std::chrono::milliseconds window_;
    std::deque<std::pair<core::time_point, core::team_id>> sent_;
};

} // namespace gooseberryfall::serving
