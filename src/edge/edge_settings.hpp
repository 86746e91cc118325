#pragma once

#include "edge/admission_client.hpp"
#include "edge/edge_context.hpp"
#include "edge/fleet_service.hpp"
#include "edge/job_service.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Settings that take effect without a restart when the settings file changes.
struct dynamic_edge_settings {
    /// Time for which callers may cache a response of the directory.
    std::chrono::seconds directory_ttl{1};
    /// Interval of reads of the desired state: a third of the time within which a new one has to
    /// be in force, so that one read may fail.
    std::chrono::milliseconds state_poll_interval{650};
    /// Time for which a leaving instance still accepts requests of callers that have cached its
    /// address. The remaining time until `leave_timeout` is for completing accepted requests.
    std::chrono::milliseconds intake_grace{3300};
    /// Time after which a leaving instance ends, even with requests or jobs in progress.
    std::chrono::milliseconds leave_timeout{7500};
    /// Time for which the results of a batch job can be read; 0 keeps them without limit.
    std::chrono::milliseconds results_retention{0};
    dynamic_fleet_settings fleet;

    bool operator==(const dynamic_edge_settings&) const = default;
};

/// Content of a settings file that was read again.
struct reloaded_settings {
    dynamic_edge_settings dynamic;
    /// Names of changed settings that take effect only at the next start.
    std::vector<std::string> needs_restart;
};

/// Limits of the machine that an instance runs on.
struct machine_limits {
    /// Memory in bytes; unset: what clients send is not bounded in sum.
    std::optional<std::size_t> memory_bytes;
    /// Number of open descriptors; unset: not bounded here.
    std::optional<std::size_t> descriptors;
};

/// Settings of one instance.
struct edge_settings {
    /// This instance as a member of the fleet. Its id is the `ip:port` of the listener and the
    /// datagram socket for other instances.
    serving::fleet_member self;
    /// `ip:port` of each listener; empty if this instance has no such listener.
    std::string readiness_address;
    std::string directory_address;
    dynamic_edge_settings dynamic;
    /// Maximum number of addresses in one response of the directory.
    std::size_t directory_addresses_max = 64;
    /// Interval of reads of the targets while this instance leads or knows no leader.
    std::chrono::milliseconds target_poll_interval{400};
    /// Interval of reads of the members while this instance leads, and while it knows no leader.
    std::chrono::milliseconds member_poll_interval{700};
    std::chrono::milliseconds leaderless_poll_interval{300};
    serving::job_owner_settings job_owners;
    /// Maximum number of idle connections kept to one target.
    std::size_t target_pool_size = 8;
    /// A connection to a target that was idle for longer is not used for requests that may not be
    /// repeated.
    std::chrono::milliseconds target_recent_idle{2000};
    target_timeouts timeouts;
    fleet_settings fleet;
    admission_settings admission;
    job_settings jobs;
    machine_limits machine;
};

} // namespace gooseberryfall::edge
