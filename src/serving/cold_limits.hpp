#pragma once

#include "serving/desired_state.hpp"
#include "serving/target_allowance.hpp"
#include "serving/target_directory.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberryfall::serving {

class target_conditions;

/// What a cold target takes in a single second beyond the rate that its service names.
struct cold_tolerance {
    /// Factor on the rate.
    double overage = 1.0;
    /// Requests.
    double slack = 0.0;

    bool operator==(const cold_tolerance&) const = default;
};

/// Divides what a cold target takes in a second between the leader and the instances that place on
/// their own.
///
/// Load pattern: targets start or become cold while load is high, singly or a whole data centre at
/// once, and some instances have no contact to the leader. The leader uses a fixed part of the
/// bound. The instances without a leader use another part together: for each target only a few of
/// them, the holders, may send to it while it is cold, since a part for each of several hundred
/// would be less than one request. The rest of the bound is for requests that arrive late.
/// Deterministic; not thread-safe.
class cold_limits {
public:
    /// Takes over the services of a desired state.
    void set_services(const std::vector<target_service>& services);

    void set_tolerance(const cold_tolerance& tolerance) { tolerance_ = tolerance; }

    /// Services whose targets are cold after their start.
    std::set<core::service_id> services() const;

    /// Time for which a target of the service is cold after its start; unset if it never is.
    std::optional<std::chrono::milliseconds> cold_start(const core::service_id& service) const;

    /// Rates for the leader, by service.
    std::map<core::service_id, cold_rate> leader_rates() const;

    /// Rates for a holder among `members` instances, by service.
    std::map<core::service_id, cold_rate> holder_rates(std::size_t members) const;

    /// Targets that the instance `self` may use on its own, with their cold ones marked: without
    /// those that are cold and have other holders. `known`: the instances known, with or without
    /// `self`. `members`: the number of instances, if more are known to exist.
    std::vector<target_entry> select_local_targets(std::vector<target_entry> entries,
                                                   const target_conditions& conditions,
                                                   const core::instance_id& self,
                                                   const std::vector<core::instance_id>& known,
                                                   std::size_t members, core::time_point now) const;

private:
    /// Requests that a cold target takes in a second.
    double bound(double rate) const { return rate * tolerance_.overage + tolerance_.slack; }
    std::size_t holder_count(double rate, std::size_t members) const;

    cold_tolerance tolerance_;
    /// Requests a second that a cold target of the service takes.
    std::map<core::service_id, double> rates_;
    std::map<core::service_id, std::chrono::milliseconds> cold_starts_;
};

} // namespace gooseberryfall::serving
