#pragma once

#include "serving/target_directory.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace gooseberryfall::serving {

/// What a target has said about its limit in an answer.
struct announced_limit {
    target_process process;
    /// Requests a second that it takes from all instances together; unset if it names no limit any
    /// more.
    std::optional<double> rate;
    /// Time since it said so.
    std::chrono::milliseconds age{0};
};

/// Settings of `announced_limits`.
struct announced_limits_settings {
    /// Maximum number of targets. The one heard of the longest ago gives way.
    std::size_t capacity = 512;
    /// Two rates that differ by less than this fraction count as the same.
    double same_rate = 0.05;
    /// Time for which what this instance has heard is reported, and goes before what the leader
    /// says: some reports, since any of them may be lost.
    std::chrono::milliseconds report_time{1500};
};

/// The rates that targets in need have named in their answers.
///
/// Load pattern: a target names its limit in each answer for some seconds, to whoever gets the
/// answer; a moment later it may name another one or none. The latest answer holds, whichever
/// instance has got it. Deterministic; not thread-safe.
class announced_limits {
public:
    explicit announced_limits(announced_limits_settings settings = {}) : settings_(settings) {}

    /// The target has named a rate, or none, at this time. Returns whether that changes its limit.
    bool hear(const target_process& process, std::optional<double> rate, core::time_point at);

    /// Takes over the limits that the leader's entries have. To be called by followers with each
    /// new list.
    void adopt(const std::vector<target_entry>& entries, core::time_point now);

    /// Sets the limits of the entries.
    void apply_to(std::vector<target_entry>& entries) const;

    /// What has been heard lately, for reports.
    std::vector<announced_limit> recent(core::time_point now) const;

private:
    struct known_limit {
        std::int64_t started_at = 0;
        std::optional<double> rate;
        core::time_point at;
    };

    /// Returns what is known about the process, or null.
    const known_limit* find(const target_process& process) const;
    bool is_same(const std::optional<double>& left, const std::optional<double>& right) const;
    void make_room();

    announced_limits_settings settings_;
    std::map<core::target_id, known_limit> limits_;
};

} // namespace gooseberryfall::serving
