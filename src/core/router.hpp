#pragma once

#include "core/actions.hpp"
#include "core/fleet.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberryfall::core {

/// How a target is chosen.
enum class routing_policy {
    /// Least load, with prefix affinity under a load bound.
    affinity,
    /// By hash of the request; the baseline of the performance tests.
    random,
};

/// Settings of `router`.
struct router_settings {
    routing_policy policy = routing_policy::affinity;
    /// Load of the affine target relative to the mean up to which it is preferred.
    double affinity_bound = 1.25;
    /// Age at which a load report counts half.
    duration report_half_life = std::chrono::milliseconds(500);
    /// Time for which a target that failed is avoided; doubled with each failure in a row.
    duration suspect_time = std::chrono::milliseconds(500);
    duration suspect_limit = std::chrono::seconds(10);
    /// Online requests that wait inside a target beyond its slots at most, as seen here.
    std::uint32_t overcommit = 0;
};

/// What a request needs of a target.
struct route_query {
    service_id service;
    std::uint64_t prefix = 0;
    /// Used by the random policy.
    std::uint64_t request = 0;
    /// Targets that have failed this request.
    std::set<target_id> exclude;
    /// Whether no other request may run beside it, as far as known.
    bool alone = false;
};

/// State of all targets as this instance knows it, and the choice between them. Not thread-safe.
class router {
public:
    explicit router(router_settings settings);

    /// The fleet in force.
    void set_fleet(const fleet& state);

    /// The platform's list: names of targets that are leaving.
    void set_leaving(const std::set<target_id>& leaving);

    /// Target for an online request, or nothing if all are full, suspect or leaving. Batch streams
    /// of this instance do not count as load, since they yield.
    std::optional<target_id> choose(const route_query& query, time_point now) const;

    /// Whether any target of the service could take work later, so that waiting may help.
    bool has_target(const service_id& service, time_point now) const;

    void on_online_started(const target_id& id);
    void on_online_finished(const target_id& id);
    void on_batch_started(const target_id& id);
    void on_batch_finished(const target_id& id);

    /// The target answered.
    void on_success(const target_id& id);

    /// A connection failed or a phase took too long.
    void on_failure(const target_id& id, time_point now);

    /// The target refused for `delay`.
    void on_refused(const target_id& id, duration delay, time_point now);

    /// The target said that it is leaving. It stays so until it reports otherwise after
    /// `set_leaving` no longer names it.
    void on_leaving(const target_id& id);

    void on_report(const target_id& id, std::uint32_t running, std::uint32_t waiting, bool leaving,
                   time_point now);

    /// The governor's word on online requests of other instances.
    void on_online_elsewhere(const target_id& id, std::uint32_t online, time_point now);

    /// Own requests on a target.
    std::uint32_t online(const target_id& id) const;
    std::uint32_t batch(const target_id& id) const;

    /// Slots not used by online requests, own or of others as far as known.
    std::uint32_t free_slots(const target_id& id, time_point now) const;

    /// Whether batch work may be sent there: known, not leaving, not suspect.
    bool usable(const target_id& id, time_point now) const;

    /// Whether the target is leaving, by its own word or the list.
    bool leaving(const target_id& id) const;

    /// Targets of a service.
    std::vector<target_id> targets_of(const service_id& service) const;

    /// A target by name, or null. Valid until the next `set_fleet`.
    const target* find(const target_id& id) const;

    /// For operators.
    std::vector<target_view> view(time_point now) const;

private:
    struct target_state {
        target info;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        std::uint32_t online_elsewhere = 0;
        time_point elsewhere_at;
        std::uint32_t reported_running = 0;
        std::uint32_t reported_waiting = 0;
        std::optional<time_point> reported_at;
        bool leaving_by_list = false;
        bool leaving_by_word = false;
        std::uint32_t failures = 0;
        std::optional<time_point> avoid_until;
    };

    /// Online load over slots.
    double load(const target_state& state, time_point now) const;

    router_settings settings_;
    std::map<target_id, target_state> targets_;
    std::map<service_id, std::vector<target_id>> services_;
};

} // namespace gooseberryfall::core
