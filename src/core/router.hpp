#pragma once

#include "core/actions.hpp"
#include "core/fleet.hpp"
#include "core/types.hpp"

#include <array>
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
    /// Longest time for which a failure or a refusal keeps a target out of use.
    duration suspect_limit = std::chrono::seconds(10);
    /// Age at which the governor's word on other instances counts no more. It is repeated at least
    /// every second.
    duration elsewhere_lifetime = std::chrono::seconds(2);
    /// Time for which a target has to report that it is not leaving before it is used again,
    /// because a report may be older than the refusal that said so.
    duration return_time = std::chrono::seconds(2);
    /// Online requests that wait inside a target beyond its slots at most, as seen here.
    std::uint32_t overcommit = 0;
};

/// What a request needs of a target.
struct route_query {
    service_id service;
    /// Hash of the prompt's first block; 0 if there is none.
    std::uint64_t prefix = 0;
    /// Decides between equal targets, and everything under the random policy.
    std::uint64_t request = 0;
    /// Targets that have failed this request.
    std::set<target_id> exclude;
    /// Whether no other request may run beside it, as far as known.
    bool alone = false;
    /// Whether a target has failed it. Its tries are limited, so it is not used to try a suspect
    /// while another target is free.
    bool failed_before = false;
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

    /// What the target's governor says about whether it is leaving.
    void on_leaving_word(const target_id& id, bool leaving, time_point now);

    void on_report(const target_id& id, std::uint32_t running, std::uint32_t waiting, bool leaving,
                   time_point now);

    /// The governor's word on online requests of other instances.
    void on_online_elsewhere(const target_id& id, std::uint32_t online, time_point now);

    /// Own requests on a target.
    std::uint32_t online(const target_id& id) const;
    std::uint32_t batch(const target_id& id) const;

    /// Slots not used by online requests, own or of others as far as known.
    std::uint32_t free_slots(const target_id& id, time_point now) const;

    /// Whether work may be sent to a target of the service that has not failed since its last
    /// success.
    bool any_sound(const service_id& service, time_point now) const;

    /// Whether work may be sent there and it has not failed since its last success.
    bool sound(const target_id& id, time_point now) const;

    /// Whether work may be sent there now: known, not leaving, not suspect. A suspect whose time is
    /// over is usable while no other request tries it.
    bool usable(const target_id& id, time_point now) const;

    /// Whether the target is leaving, by its own word or the list.
    bool leaving(const target_id& id) const;

    /// Targets of a service. Sorted.
    std::vector<target_id> targets_of(const service_id& service) const;

    /// A target by name, or null. Valid until the next `set_fleet`.
    const target* find(const target_id& id) const;

    /// For operators.
    std::vector<target_view> view(time_point now) const;

private:
    /// Reports for which the own peak is remembered.
    static constexpr std::size_t peak_count = 4;

    struct target_state {
        target info;
        /// False for a target that left the fleet with requests in flight.
        bool declared = true;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        /// Highest number of own requests in the current and the last intervals between reports.
        std::array<std::uint32_t, peak_count> own_peaks{};
        std::uint32_t online_elsewhere = 0;
        std::optional<time_point> elsewhere_at;
        /// Requests of others of any kind by the target's report.
        std::uint32_t reported_elsewhere = 0;
        std::optional<time_point> reported_at;
        bool leaving_by_word = false;
        std::optional<time_point> staying_since;
        std::uint32_t failures = 0;
        /// Own requests that were in flight at the last failure and still are, at most.
        std::uint32_t sent_before_failure = 0;
        std::optional<time_point> suspect_until;
        std::optional<time_point> refused_until;

        std::uint32_t own() const { return online + batch; }
    };

    /// A target that a request may use.
    struct candidate {
        const target_state* state = nullptr;
        double load = 0;
    };

    target_state* find_state(const target_id& id);
    const target_state* find_state(const target_id& id) const;
    void erase_if_unused(const target_id& id);
    void note_started(target_state& state);
    void note_finished(target_state& state);
    void note_word(target_state& state, bool leaving, time_point now);
    bool is_leaving(const target_state& state) const;
    bool is_usable(const target_state& state, time_point now) const;

    /// Online requests of other instances by the governor's word, or nothing if it is too old.
    std::optional<std::uint32_t> known_elsewhere(const target_state& state, time_point now) const;

    /// Online requests known to be on the target.
    std::uint32_t known_online(const target_state& state, time_point now) const;
    bool is_full(const target_state& state, time_point now) const;
    bool is_idle(const target_state& state, time_point now) const;
    bool is_eligible(const target_state& state, const route_query& query, time_point now) const;

    /// Mean of known online requests of others over slots, or nothing if none is known.
    std::optional<double> mean_elsewhere(const std::vector<const target_state*>& states,
                                         time_point now) const;

    /// Online load over slots. `mean` bounds what a report counts for, as it does not tell batch
    /// work of others, which yields, from online work.
    double load(const target_state& state, std::optional<double> mean, time_point now) const;

    std::vector<const target_state*> usable_of(const service_id& service, time_point now) const;
    const target_state* affine(const std::vector<candidate>& usable, const route_query& query,
                               time_point now) const;
    bool is_better(const candidate& left, const candidate& right, const route_query& query,
                   time_point now) const;

    router_settings settings_;
    std::map<target_id, target_state> targets_;
    std::map<service_id, std::vector<target_id>> services_;
    /// Targets that are leaving by the platform's list.
    std::set<target_id> leaving_;
};

} // namespace gooseberryfall::core
