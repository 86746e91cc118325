#pragma once

#include "edge/admission_client.hpp"
#include "edge/edge_context.hpp"
#include "edge/fleet_service.hpp"
#include "edge/job_service.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Settings that take effect at once when the settings file changes.
struct dynamic_edge_settings {
    /// Time for which callers may keep an answer of the directory.
    std::chrono::seconds directory_ttl{1};
    /// Between two reads of the desired state: a third of the time in which a new one has to be in
    /// force, so that one read may fail.
    std::chrono::milliseconds state_poll_interval{650};
    /// Time for which a leaving instance takes requests of callers that still have its address. The
    /// time from then to its end is for what it has taken.
    std::chrono::milliseconds intake_grace{3300};
    /// Time after which a leaving instance ends, whatever is under way.
    std::chrono::milliseconds leave_timeout{7500};
    /// Time for which the results of a batch job can be read; 0 keeps them for good.
    std::chrono::milliseconds results_retention{0};
    dynamic_fleet_settings fleet;

    bool operator==(const dynamic_edge_settings&) const = default;
};

/// What a settings file that was read again says.
struct reloaded_settings {
    dynamic_edge_settings dynamic;
    /// Settings that have changed and take effect at the next start only.
    std::vector<std::string> needs_restart;
};

/// Settings of one instance.
struct edge_settings {
    /// The instance among the others; its id is the `ip:port` of the listeners for instances.
    serving::fleet_member self;
    /// `ip:port` of the listeners; empty for those that this instance does not have.
    std::string readiness_address;
    std::string directory_address;
    dynamic_edge_settings dynamic;
    /// Addresses in one answer of the directory at most.
    std::size_t directory_addresses_max = 64;
    /// Between two reads of the targets while this instance leads, or knows no leader.
    std::chrono::milliseconds target_poll_interval{400};
    /// Between two reads of the members while this instance leads, and while it knows no leader.
    std::chrono::milliseconds member_poll_interval{700};
    std::chrono::milliseconds leaderless_poll_interval{300};
    /// Instances below this part of the largest one's capacity own no job partitions.
    double job_owner_capacity = 0.5;
    /// Idle connections kept to one target.
    std::size_t target_pool = 8;
    /// Idle time up to which a connection to a target is used for what may not be repeated.
    std::chrono::milliseconds target_recent_idle{2000};
    target_timeouts timeouts;
    fleet_settings fleet;
    admission_settings admission;
    job_settings jobs;
};

} // namespace gooseberryfall::edge
