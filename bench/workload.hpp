#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// A team's limit and what it sends.
struct team_load {
    std::string name;
    /// Limit in requests per second, and burst.
    double rate = 0;
    double burst = 0;
    double weight = 1;
    /// Requests per second that it sends.
    double offered = 0;
};

/// A deployment as the load driver runs it.
struct workload {
    std::string name;
    std::uint32_t engines = 0;
    std::uint32_t slots = 0;
    std::uint32_t data_centres = 0;
    std::vector<team_load> teams;
    /// Tokens of an online answer and of a batch item.
    std::uint32_t online_tokens = 0;
    std::uint32_t batch_tokens = 0;
};

/// Workload `verbeke` or `torsyq`. Limits are twice what the teams send, so that a team that floods
/// at five times its rate can fill the engines. Throws std::invalid_argument for another name.
workload workload_of(const std::string& name);
