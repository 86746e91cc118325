#pragma once

#include "latency_histogram.hpp"
#include "process/process_deployment.hpp"
#include "workload.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

/// What the engines' records say about a span of time.
struct engine_usage {
    /// Engine slots in use, as parts of all.
    double online_part = 0;
    double batch_part = 0;
    /// Part of the slot time left by online work that batch work used.
    double batch_use_of_idle = 0;
    double batch_items_per_second = 0;
    std::uint64_t batch_cancelled = 0;
    /// Time that online requests waited inside an engine for a slot, and the part of them that
    /// waited over 2 ms.
    double slot_wait_p99_ms = 0;
    double slot_wait_max_ms = 0;
    double waited_part = 0;
    /// Highest number of a team's requests over burst + rate * window, in any window; 0 if none.
    double over_admission = 0;
};

/// Evaluates records between two times of the steady clock. Records of online requests name their
/// team's key as `user`. Thread-safe.
engine_usage evaluate_usage(const std::vector<process_deployment::seen_request>& records,
                            const workload& load, std::chrono::steady_clock::time_point from,
                            std::chrono::steady_clock::time_point to);
