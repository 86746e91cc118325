#pragma once

#include "serving/fair_shares.hpp"
#include "serving/idle_connections.hpp"
#include "serving/recent_prefixes.hpp"
#include "serving/retry_planner.hpp"
#include "serving/target_allowance.hpp"
#include "serving/target_directory.hpp"
#include "serving/target_health.hpp"
#include "serving/target_memory.hpp"
#include "serving/target_speed.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::serving {

/// Online requests have a waiting caller; batch items store their result for later.
enum class work_kind { online, batch };

/// Identifies one use of a slot: the instance that runs it and the number that the instance
/// assigned.
struct run_key {
    core::instance_id instance;
    std::uint64_t number = 0;

    auto operator<=>(const run_key&) const = default;
};

/// Request of an instance for a slot at a target.
struct slot_request {
    run_key key;
    core::service_id service;
    /// Team on whose behalf the request runs; empty if none.
    core::team_id team;
    work_kind kind = work_kind::online;
    /// Data centre of the requesting instance.
    core::data_centre_id data_centre;
    /// Cumulative hashes of the leading parts of the prompt: each covers all parts before it.
    std::vector<std::uint64_t> prefixes;
    /// Expected number of generated tokens.
    std::uint32_t tokens = 0;
    /// Number of tokens of the prompt, with the output that the run continues; 0 if unknown.
    std::uint32_t prompt_tokens = 0;
    /// Online: time left for the first event to meet the objective; may be negative.
    std::chrono::milliseconds time_to_objective{0};
    /// Online: time until the request is abandoned. Batch: time until the result is due.
    std::chrono::milliseconds time_to_deadline{0};
    /// Batch: time until the item is abandoned; unset if it never is.
    std::optional<std::chrono::milliseconds> time_to_expiry;
    /// Online: whether this is a retry. A retry that is rejected is not repeated by its caller.
    bool is_retry = false;
    /// Targets that have already failed this request.
    std::vector<core::target_id> excluded;
};

/// Longest retry delay that the caller of a request observes. Thread-safe.
std::chrono::milliseconds retry_delay_max(const slot_request& request);

/// Assigns a slot to a request.
struct slot_grant {
    run_key key;
    core::target_id target;
    /// `ip:port`.
    std::string address;
};

/// Why a request gets no slot.
enum class slot_rejection_reason {
    /// No slot is expected to become free in time.
    overloaded,
    /// The service has no target.
    no_target,
};

/// Rejects a request, which has not been sent to any target.
struct slot_rejection {
    run_key key;
    slot_rejection_reason reason = slot_rejection_reason::overloaded;
    std::chrono::milliseconds retry_after{0};
};

/// Preempts a batch run: it has to release its slot and may request another one.
struct slot_preemption {
    run_key key;
};

using slot_decision = std::variant<slot_grant, slot_rejection, slot_preemption>;
using slot_decisions = std::vector<slot_decision>;

/// A run that an instance reports as active.
struct reported_run {
    std::uint64_t number = 0;
    core::target_id target;
    work_kind kind = work_kind::online;
    /// No byte has arrived for so long that the target counts as unresponsive.
    bool unresponsive = false;
};

/// Result of a run that has ended.
struct slot_result {
    run_key key;
    slot_outcome outcome = slot_outcome::completed;
    /// Time from sending the request to the first event; unset if there was none.
    std::optional<std::chrono::milliseconds> first_event_delay;
    /// Time from sending the request to the end of the run.
    std::chrono::milliseconds duration{0};
};

/// What a request may use of a target's rate limit: only what would be lost, or all that it allows.
enum class rate_use { surplus, all };

/// Settings of `slot_scheduler`.
struct scheduler_settings {
    /// A batch run with less slack is not preempted by online requests, since it would have to be
    /// restarted almost immediately.
    std::chrono::milliseconds preemption_margin{1500};
    /// A batch item with less slack takes precedence over online requests.
    std::chrono::milliseconds urgent_margin{900};
    /// Time past its objective for which a retry still waits, since its caller does not retry
    /// again.
    std::chrono::milliseconds retry_lateness_max{700};
    /// Time from sending to the first event, until one has been measured.
    std::chrono::milliseconds default_first_event_delay{60};
    /// Milliseconds per token, until it has been measured.
    double default_token_time = 4.0;
    /// A run that its instance does not report for this long counts as ended: its release was lost.
    std::chrono::milliseconds unreported_timeout{900};
    /// A queued batch item whose request is not repeated for this long is dropped.
    std::chrono::milliseconds batch_request_ttl{3000};
    /// Time for which a slot is reserved for online requests after a batch run was preempted before
    /// its first event. Covers a few arrivals at the rates at which this happens.
    std::chrono::milliseconds early_preemption_window{1000};
    /// An item is expected to expire during its run if it has less time left than the expected
    /// duration multiplied by this, since half of the runs take longer than the average.
    double expiry_margin_factor = 1.5;
    /// A batch run that needs no more time than this is preempted last, since it ends about as soon
    /// as an online request would.
    std::chrono::milliseconds nearly_done_max{800};
    /// Time between two selections of the batch items that can meet their due times.
    std::chrono::milliseconds plan_interval{100};
    /// Time over which the slots in use by online requests are averaged: a few steps of the load.
    std::chrono::milliseconds online_average_window{6000};
    /// Least fraction of the slots that the selection assumes to be available to batch items.
    double batch_share_min = 0.05;
    /// A target counts as slow if its time per token is the usual one times at least this. Slow
    /// targets are the last at which online requests preempt batch runs.
    double slow_factor = 1.25;
    /// Part of the extra time of an online run on a slow target that counts for its placement; the
    /// time to the first event counts in full. Callers of streams wait for the first event, the
    /// others for the end.
    double online_length_weight = 0.25;
    /// Time for which a queued batch item that waits for a faster target isn't tried again.
    std::chrono::milliseconds fast_target_wait{50};
    /// Largest fraction of a service's targets that may be paused for their failure rate.
    double failure_paused_share_max = 0.34;
    health_settings health;
    speed_settings speed;
};

/// Counts for metrics and logs.
struct scheduler_stats {
    std::size_t targets = 0;
    /// Slots that requests can keep busy within the rate limits of their targets.
    std::size_t slots = 0;
    std::size_t online_running = 0;
    std::size_t batch_running = 0;
    std::size_t online_waiting = 0;
    std::size_t batch_waiting = 0;
};

/// Assigns requests to the slots of all targets, for the whole fleet.
///
/// Load pattern: the rate of online requests changes in steps that need from a fifth to nearly all
/// of the slots; batch items use the remaining slots and are due some seconds later. Targets serve
/// requests in order of arrival, without priorities. The queue is therefore kept here, and a target
/// gets no more requests than it has slots:
/// - An online request gets a free slot immediately, or else preempts a batch run: first one that
///   cannot meet its due time, then one with much work left, then the one that is due last.
/// - Batch items run in order of their due times. When not all of them can meet these, the largest
///   ones are deferred until the others are done.
/// - A batch item that would expire during its run starts only if no other item can use the slot.
///   When no slot is free, it is rejected, so that its owner requests a slot for another item. With
///   more items than fit into their lifetime, runs in order of due times would all be cut short.
/// - Among targets of similar load, one to which the requesting instance has an idle connection is
///   preferred: in a large fleet, connections would otherwise be used only once.
/// - A batch item near its due time takes precedence over online requests and is not preempted.
/// - When batch runs are preempted before their first event, because slots were free for some
///   milliseconds only, as many slots stay reserved for online requests for a while.
/// - An online request whose first event cannot meet the objective is rejected on arrival, with a
///   retry delay, while a rejection still costs its caller little.
/// - When requests wait, the team that has received the least slot time goes next, and a request of
///   such a team takes the place of one of the team that has received the most; see `fair_shares`.
///   The same holds for batch items that cannot all meet their due times.
/// - Targets are compared by expected delay: load, speed as measured from results, connections,
///   cached prefixes and the latency to other data centres. Slow targets get batch items that end
///   in time there.
/// - A target gets no request whose prompt and expected output don't fit into its memory beside its
///   runs.
/// - A target that names a rate limit gets no more than that and is used after the others. What its
///   rate allows is saved for the next step of online requests: batch items get what would be lost.
/// Deterministic; not thread-safe.
class slot_scheduler {
public:
    explicit slot_scheduler(scheduler_settings settings = {}) : settings_(settings) {}

    /// Replaces the list of usable targets. Runs at other targets continue. Until the first call,
    /// requests are queued for as long as their deadlines allow.
    void set_targets(const std::vector<target_entry>& targets, core::time_point now);

    /// Sets the fraction of the targets' rate limits that may be used here. Takes effect with the
    /// next list of targets.
    void set_rate_share(double share) { rate_share_ = share; }

    /// Sets what the cold targets of a service may get from here. Takes effect with the next list
    /// of targets.
    void set_cold_rates(std::map<core::service_id, cold_rate> rates)
    {
        cold_rates_ = std::move(rates);
    }
    /// Sets the memory of the targets of each service, in tokens. Services that are missing from it
    /// have targets whose memory isn't counted.
    void set_target_memory(const std::map<core::service_id, std::uint64_t>& tokens);

    /// Counts a request that was placed elsewhere against its target's rate limit.
    void count_foreign_request(const core::target_id& target, core::time_point now);

    /// Requests a slot. Idempotent: a repeated request gets the same grant again.
    slot_decisions request_slot(const slot_request& request, core::time_point now);

    /// Whether an online request would get a slot immediately. False while other online requests
    /// are queued.
    bool can_place(const slot_request& request, core::time_point now);

    /// Removes a request that has no slot yet from the queue.
    void withdraw(const run_key& key);

    /// Releases the slot of a run that has ended.
    slot_decisions release_slot(const slot_result& run_result, core::time_point now);

    /// Applies a report of all active runs of an instance. Unknown runs are added. Known runs that
    /// are missing from it have ended, unless their grant is so recent that it may still be in
    /// transit.
    slot_decisions reconcile(const core::instance_id& instance,
                             const std::vector<reported_run>& runs, core::time_point now);

    /// Drops the runs and requests of an instance that has ended: its connections to the targets
    /// ended with it.
    slot_decisions remove_instance(const core::instance_id& instance, core::time_point now);

    /// Fills free slots and rejects requests that cannot be served in time any more. To be called
    /// about every 20 ms.
    slot_decisions tick(core::time_point now);

    /// Drops all runs and requests, but keeps the targets with their health and measured times.
    void clear_requests(core::time_point now);

    /// Whether a run with this key is active.
    bool has_run(const run_key& key) const { return runs_.contains(key); }

    /// Whether an online request with this key waits for a slot.
    bool is_waiting(const run_key& key) const;

    scheduler_stats stats() const;

    /// Sets the weights of teams; the others have a weight of 1. Precondition: weights are
    /// positive.
    void set_team_weights(const std::map<core::team_id, double>& weights);

    /// Shares and usage of the teams that used slots of a service or were refused one lately, for
    /// online requests and batch items. To be called once a second.
    struct service_shares {
        core::service_id service;
        work_kind kind = work_kind::online;
        std::vector<team_share> teams;
    };
    std::vector<service_shares> report_shares(core::time_point now);

private:
    /// Enough for the shared prefixes of a few services.
    static constexpr std::size_t cached_prefixes_max = 512;

    struct target_state {
        target_entry entry;
        target_health health;
        target_allowance rate;
        target_speed speed;
        target_memory memory;
        std::uint32_t running = 0;
        /// Prompt prefixes that were sent to the target last.
        recent_prefixes prefixes{cached_prefixes_max};
    };
    struct active_run {
        core::target_id target;
        core::service_id service;
        work_kind kind = work_kind::online;
        std::uint32_t tokens = 0;
        /// Tokens charged to the target's memory.
        std::uint64_t memory = 0;
        /// Runs at the target at the grant, as a fraction of its slots.
        double load_at_grant = 0;
        /// The run is known from a report, which doesn't tell its size; it has the average one.
        bool size_estimated = false;
        core::time_point granted_at;
        core::time_point reported_at;
        /// Batch: when the result is due.
        core::time_point due_at;
        bool preempted = false;
        /// Batch: not selected, since not all batch work can meet its due time.
        bool deferred = false;
        fair_shares::team_index team = fair_shares::no_team;
        /// Expected slot time, as counted for the team.
        core::duration work{0};
        /// Requests waited when the run was granted.
        bool contended = false;
    };
    struct queued_request {
        slot_request request;
        core::time_point requested_at;
        core::time_point objective_at;
        core::time_point deadline;
        /// Batch: when the item is abandoned.
        core::time_point expires_at = core::time_point::max();
        /// Batch: not selected, since not all batch work can meet its due time.
        bool deferred = false;
        /// Batch: it arrived after the last selection.
        bool unplanned = true;
        fair_shares::team_index team = fair_shares::no_team;
        /// Online: virtual time of its team once this request and those before it have run.
        double share_position = 0;
        /// Batch: it waits for a faster target and isn't tried before.
        core::time_point held_until{};
    };
    /// Targets and queued requests of one service.
    struct service_pool {
        std::map<core::target_id, target_state> targets;
        /// Whether a target names a rate limit.
        bool has_rate_limits = false;
        std::vector<queued_request> online;
        std::vector<queued_request> batch;
        /// Slot time of each team, of online requests and of batch items.
        fair_shares online_shares;
        fair_shares batch_shares;
        retry_planner retries;
        /// Times at which batch runs were preempted before their first event, latest at the back.
        std::deque<core::time_point> early_preemptions;
        /// Running averages over all targets, in milliseconds; 0 until measured.
        double first_event_delay = 0;
        double token_time = 0;
        double online_duration = 0;
        /// Averages over the granted requests: tokens to generate, and tokens of memory.
        double request_tokens = 0;
        double request_memory = 0;
        service_speed usual_speed;
        /// Memory of each target in tokens; 0: not counted.
        std::uint64_t memory_capacity = 0;
        /// Average number of slots in use by online requests.
        double online_slots = 0;
        core::time_point planned_at{};
        /// Some batch items cannot meet their due times.
        bool overloaded = false;
    };

    /// Expected times of a run at the usual speed, in milliseconds.
    struct usual_times {
        double first_event = 0;
        double generation = 0;
    };

    /// Where a request is placed; no target if there is no slot for it.
    struct placement {
        target_state* target = nullptr;
        /// Batch run that has to give up its slot.
        std::optional<run_key> victim;
    };

    service_pool& pool_for(const core::service_id& service);
    static fair_shares& shares_of(service_pool& pool, work_kind kind)
    {
        return kind == work_kind::online ? pool.online_shares : pool.batch_shares;
    }
    core::duration expected_duration(const service_pool& pool, std::uint32_t tokens) const;
    core::duration expected_first_event_delay(const service_pool& pool) const;
    /// The same at a target, by its measured speed.
    core::duration expected_duration(const service_pool& pool, const target_state& target,
                                     std::uint32_t tokens, core::time_point now) const;
    core::duration expected_first_event_delay(const service_pool& pool, const target_state& target,
                                              core::time_point now) const;
    bool is_slow(const target_state& target, core::time_point now) const;
    /// Cost of the target's speed for the placement of a request, in milliseconds; 0 at the usual
    /// speed, and lower at better targets. Batch items go to slow targets as long as they end by
    /// `due_at` there.
    double speed_cost(const usual_times& usual, const target_state& target,
                      const slot_request& request, core::time_point due_at,
                      core::time_point now) const;
    usual_times usual_times_of(const service_pool& pool, std::uint32_t tokens) const;
    /// Whether a queued batch item would end sooner if it waited for a faster target than the one
    /// that is free. Such an item isn't tried again for a moment.
    bool hold_for_faster_target(const service_pool& pool, queued_request& queued,
                                const target_state& chosen, core::time_point now) const;
    /// Tokens of memory that a request needs.
    static std::uint64_t memory_of(const slot_request& request);
    /// Sets the size of a run that is known from a report to the average one and charges it to the
    /// target. To be repeated, since a new leader has no average yet.
    static void estimate_size(const service_pool& pool, target_state& target, active_run& run);
    void estimate_sizes();
    core::duration remaining(const service_pool& pool, const active_run& run,
                             core::time_point now) const;
    core::duration slack(const service_pool& pool, const active_run& run,
                         core::time_point now) const;
    core::duration slack(const service_pool& pool, const queued_request& queued,
                         core::time_point now) const;
    /// Slots of the usable targets that requests can keep busy.
    double usable_slots(const service_pool& pool, core::time_point now) const;
    /// Slots of a target that requests can keep busy within its rate limit.
    double busy_slots_max(const service_pool& pool, const target_state& target) const;
    core::duration mean_online_duration(const service_pool& pool) const;
    /// Whether a batch item is expected to be abandoned before the end of its run.
    bool expires_during_run(const service_pool& pool, const queued_request& queued,
                            core::time_point now) const;
    bool usable(const service_pool& pool, const target_state& target, core::time_point now) const;
    /// Slots that may be in use at the same time: one on probation.
    static std::uint32_t slots_of(const target_state& target);
    std::uint32_t free_slots(const service_pool& pool, const target_state& target,
                             core::time_point now) const;
    target_state* choose_target(service_pool& pool, const slot_request& request,
                                core::time_point due_at, core::time_point now, rate_use use);
    std::optional<run_key> choose_victim(const service_pool& pool, const slot_request& request,
                                         core::time_point now, rate_use use) const;
    /// Chooses a free slot, or for an online request the slot of a batch run. What a rate limit
    /// allows beyond its surplus is used last, since batch runs that have yielded can go on later.
    placement choose_placement(service_pool& pool, const slot_request& request,
                               core::time_point now);
    void preempt(service_pool& pool, const run_key& victim, core::time_point now,
                 slot_decisions& out);
    /// Expected times until the slots of a service can take their next request, shortest first.
    std::vector<core::duration> slot_waits(const service_pool& pool,
                                           const core::service_id& service,
                                           core::time_point now) const;
    /// Expected time until a slot is free for a request with `ahead` requests before it.
    core::duration predicted_wait(const service_pool& pool,
                                  const std::vector<core::duration>& waits,
                                  std::size_t ahead) const;
    bool try_place(service_pool& pool, const slot_request& request, core::time_point now,
                   slot_decisions& out);
    void grant(target_state& target, const slot_request& request, core::time_point due_at,
               core::time_point now, slot_decisions& out);
    void reject(service_pool& pool, const slot_request& request, core::time_point now,
                slot_rejection_reason reason, slot_decisions& out);
    void reject_infeasible(const core::service_id& service, service_pool& pool,
                           core::time_point now, slot_decisions& out);
    /// Queues an online request or rejects one: this one if it would wait too long behind its own
    /// team and those that have received less, else the last one if it now waits too long.
    void queue_online(service_pool& pool, queued_request queued, core::time_point now,
                      slot_decisions& out);
    /// Rejects a request that has waited, or that another one displaces.
    void reject_waiting(service_pool& pool, const queued_request& queued, share_refusal reason,
                        core::time_point now, slot_decisions& out);
    /// Sorts the online requests in the order in which the shares of their teams let them run.
    void sort_by_share(service_pool& pool) const;
    /// Counts the start of a run for its team.
    void count_start(service_pool& pool, const slot_request& request, active_run& run,
                     core::time_point now);
    /// Rejects the batch items that no slot was free for and that would expire during their runs.
    void reject_expiring_items(service_pool& pool, core::time_point now, slot_decisions& out);
    void fill_free_slots(service_pool& pool, core::time_point now, slot_decisions& out);
    queued_request* next_online(service_pool& pool, core::time_point now, bool late);
    queued_request* next_batch(service_pool& pool, core::time_point now, bool urgent_only);
    /// Selects the batch items that are deferred.
    void plan_batch(const core::service_id& service, service_pool& pool, core::time_point now);
    /// Whether a batch item may start without being preempted by online requests almost
    /// immediately.
    bool has_room_for_batch(service_pool& pool, core::time_point now) const;
    void release(std::map<run_key, active_run>::iterator position);
    void record_measurements(service_pool& pool, const active_run& run,
                             const slot_result& run_result, core::time_point now);

    /// Latest time at which an online request may start.
    core::time_point last_start(const service_pool& pool, const queued_request& queued) const;

    scheduler_settings settings_;
    bool targets_known_ = false;
    double rate_share_ = 1.0;
    std::map<core::service_id, cold_rate> cold_rates_;
    std::map<core::service_id, service_pool> pools_;
    std::map<run_key, active_run> runs_;
    idle_connections connections_;
    std::map<core::team_id, double> team_weights_;
};

} // namespace gooseberryfall::serving
