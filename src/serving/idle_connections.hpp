#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace gooseberryfall::serving {

/// Settings of `idle_connections`.
struct idle_connection_settings {
    /// Time for which an instance uses an idle connection again, less the time that messages take.
    std::chrono::milliseconds lifetime{1800};
    /// Connections that are remembered for each instance.
    std::size_t per_instance_max = 24;
};

/// Tracks to which targets the instances have idle connections, from the runs that have ended
/// there. Deterministic; not thread-safe.
class idle_connections {
public:
    explicit idle_connections(idle_connection_settings settings = {}) : settings_(settings) {}

    /// A run of an instance has ended with its response complete.
    void add(const core::instance_id& instance, const core::target_id& target,
             core::time_point now);

    /// A run of an instance starts at a target and takes an idle connection, if there is one.
    void take(const core::instance_id& instance, const core::target_id& target);

    /// Targets to which the instance has an idle connection, sorted.
    std::vector<core::target_id> targets_of(const core::instance_id& instance,
                                            core::time_point now) const;

    /// An instance has ended.
    void remove_instance(const core::instance_id& instance) { connections_.erase(instance); }

    void clear() { connections_.clear(); }

private:
    struct connection {
        core::target_id target;
        core::time_point since;
    };

    idle_connection_settings settings_;
    /// Oldest first.
    std::map<core::instance_id, std::deque<connection>> connections_;
};

} // namespace gooseberryfall::serving
