#pragma once

#include "serving/retry_planner.hpp"
#include "serving/target_directory.hpp"
#include "serving/target_health.hpp"

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

/// Whether a caller waits for the answer, or a batch item is run for later.
enum class work_kind { online, batch };

/// Names one use of a slot: the instance that runs it and that instance's number for it.
struct run_key {
    core::instance_id instance;
    std::uint64_t number = 0;

    auto operator<=>(const run_key&) const = default;
};

/// Asks for a slot at a target.
struct slot_request {
    run_key key;
    core::service_id service;
    work_kind kind = work_kind::online;
    /// Data centre of the asking instance.
    core::data_centre_id data_centre;
    /// Hashes of the leading parts of the prompt, each including the parts before it.
    std::vector<std::uint64_t> prefixes;
    /// Tokens that are expected to be generated.
    std::uint32_t tokens = 0;
    /// Online: time until the first event is late.
    std::chrono::milliseconds time_to_objective{0};
    /// Online: time until the request is given up. Batch: until the result is due.
    std::chrono::milliseconds time_to_deadline{0};
    /// Online: whether the caller was refused before and will not come again.
    bool is_retry = false;
    /// Targets that have failed this work.
    std::vector<core::target_id> excluded;
};

/// Longest delay that a caller honours before it comes back. Thread-safe.
std::chrono::milliseconds retry_delay_max(const slot_request& question);

/// A slot is free for the work.
struct slot_grant {
    run_key key;
    core::target_id target;
    /// `ip:port`.
    std::string address;
};

/// Why there is no slot.
enum class slot_rejection_reason {
    /// No slot becomes free in time.
    overloaded,
    /// The service has no target that can be used.
    no_target,
};

/// The work gets no slot and has not been sent anywhere.
struct slot_rejection {
    run_key key;
    slot_rejection_reason reason = slot_rejection_reason::overloaded;
    std::chrono::milliseconds retry_after{0};
};

/// The batch run has to leave its slot and may ask again.
struct slot_preemption {
    run_key key;
};

using slot_decision = std::variant<slot_grant, slot_rejection, slot_preemption>;
using slot_decisions = std::vector<slot_decision>;

/// A run that an instance reports to be under way.
struct reported_run {
    std::uint64_t number = 0;
    core::target_id target;
    work_kind kind = work_kind::online;
    /// No byte has come for so long that the target seems to be silent.
    bool unresponsive = false;
};

/// End of a run.
struct slot_result {
    run_key key;
    slot_outcome outcome = slot_outcome::completed;
    /// Time from the sending to the first event; unset if there was none.
    std::optional<std::chrono::milliseconds> first_event_delay;
    /// Time from the sending to the end.
    std::chrono::milliseconds duration{0};
};

/// Settings of `slot_scheduler`.
struct scheduler_settings {
    /// A batch run with less slack than this keeps its slot when online work needs one, since it
    /// would have to be taken again almost at once.
    std::chrono::milliseconds yield_margin{1500};
    /// A batch item with less slack goes before online work.
    std::chrono::milliseconds urgent_margin{900};
    /// Time beyond its objective for which a is_retry request still waits: it cannot come again.
    std::chrono::milliseconds late_patience{700};
    /// Time until the first event after the sending, before any has been measured.
    std::chrono::milliseconds first_event_guess{60};
    /// Milliseconds for a token before any has been measured.
    double token_time_guess = 4.0;
    /// A run that its instance does not report for this long has ended without a message.
    std::chrono::milliseconds unreported_max{900};
    /// A waiting batch item that is not asked for again is dropped after this time.
    std::chrono::milliseconds batch_question_lifetime{3000};
    /// Time for which a slot is left free for online work after an item had to leave its slot
    /// before its first event: a few arrivals at the rates at which that happens.
    std::chrono::milliseconds short_gap_memory{1000};
    /// A batch run that needs no longer than this ends about as soon as an online request would,
    /// and is the last to leave its slot.
    std::chrono::milliseconds nearly_done{800};
    /// Between two choices of the items that can be done in time.
    std::chrono::milliseconds plan_interval{100};
    /// Time over which the slots that online work takes are averaged: a few steps of the traffic.
    std::chrono::milliseconds online_memory{6000};
    /// Part of the slots that items are taken to have at least.
    double batch_share_min = 0.05;
    /// A target that needs this many times the usual time for a token is used last.
    double slow_factor = 2.0;
    /// Part of a service's targets that may be set aside for a share of failed requests.
    double set_aside_max = 0.34;
    health_settings health;
};

/// Numbers for metrics and logs.
struct scheduler_stats {
    std::size_t targets = 0;
    std::size_t slots = 0;
    std::size_t online_running = 0;
    std::size_t batch_running = 0;
    std::size_t online_waiting = 0;
    std::size_t batch_waiting = 0;
};

/// Decides which work gets which slot of the targets, for a whole fleet.
///
/// Load pattern: online requests come in steps that need from a fifth to nearly all of the slots,
/// while batch items fill what is left and are due some seconds later. Targets admit requests in
/// order of arrival and know no priorities, so the queue is kept here and a target gets no more
/// work than it has slots:
/// - an online request takes a free slot at once, or that of the batch run with the most left to
/// do;
/// - batch items go by their due times; when not all can be done, those that take the most are
///   deferred until the others are done;
/// - a batch item near its due time goes before online work and keeps its slot;
/// - when items have to leave slots that were free for some milliseconds only, as many slots are
///   left free for a while;
/// - an online request whose first event cannot come in time is refused at its arrival, with a time
///   to come back, while a refusal still costs its caller little.
/// Deterministic; not thread-safe.
class slot_scheduler {
public:
    explicit slot_scheduler(scheduler_settings settings = {}) : settings_(settings) {}

    /// Replaces the targets that may be used. Runs at others go on. Until this is called first,
    /// work waits for the list as long as it can.
    void set_targets(const std::vector<target_entry>& targets);

    /// Asks for a slot. A repeated question gets the same grant again.
    slot_decisions request_slot(const slot_request& question, core::time_point now);

    /// Whether an online request would get a slot at once, though others wait for none.
    bool can_place(const slot_request& question, core::time_point now);

    /// The work does not need a slot any more and has none.
    void withdraw(const run_key& key);

    /// A run has ended.
    slot_decisions release_slot(const slot_result& ended, core::time_point now);

    /// All runs that an instance has under way. Unknown ones are learnt; known ones that are
    /// missing have ended, unless their grant is so young that it may still be on its way.
    slot_decisions reconcile(const core::instance_id& instance,
                             const std::vector<reported_run>& runs, core::time_point now);

    /// An instance is gone; its connections to the targets ended with it.
    slot_decisions remove_instance(const core::instance_id& instance, core::time_point now);

    /// Refuses what has become hopeless and fills free slots. To be called every 20 ms or so.
    slot_decisions tick(core::time_point now);

    /// Forgets runs and questions, but not what is known of the targets.
    void clear_work();

    /// Whether a key has a slot.
    bool has_run(const run_key& key) const { return runs_.contains(key); }

    scheduler_stats stats() const;

private:
    struct target_state {
        target_entry entry;
        target_health health;
        std::uint32_t running = 0;
        /// Leading prompt parts sent there last, newest at the back.
        std::deque<std::uint64_t> prefixes;
    };
    struct run {
        core::target_id target;
        core::service_id service;
        work_kind kind = work_kind::online;
        std::uint32_t tokens = 0;
        core::time_point granted_at;
        core::time_point seen_at;
        /// Batch: when the result is due.
        core::time_point due_at;
        bool yielding = false;
        /// Batch: it cannot be done in time beside the others.
        bool deferred = false;
    };
    struct waiting_work {
        slot_request question;
        core::time_point asked_at;
        core::time_point objective_at;
        core::time_point end_at;
        /// Batch: it cannot be done in time beside the others.
        bool deferred = false;
        /// Batch: it came after the last choice.
        bool unplanned = true;
    };
    /// Targets and waiting work of one service.
    struct lane {
        std::map<core::target_id, target_state> targets;
        std::vector<waiting_work> online;
        std::vector<waiting_work> batch;
        retry_planner returns;
        /// When items had to leave their slots before their first event, the latest at the back.
        std::deque<core::time_point> short_gaps;
        /// Running averages over all targets; 0 until measured.
        double first_event_delay = 0;
        double token_time = 0;
        double online_duration = 0;
        /// Slots that online work holds on average.
        double online_slots = 0;
        core::time_point planned_at{};
        /// Some items cannot be done in time.
        bool overloaded = false;
    };

    lane& lane_of(const core::service_id& service) { return lanes_[service]; }
    core::duration expected_duration(const lane& of, std::uint32_t tokens) const;
    core::duration expected_first_event_delay(const lane& of) const;
    core::duration remaining(const lane& of, const run& entry, core::time_point now) const;
    core::duration slack(const lane& of, const run& entry, core::time_point now) const;
    core::duration slack(const lane& of, const waiting_work& work, core::time_point now) const;
    std::size_t usable_slots(const lane& of, core::time_point now) const;
    bool usable(const lane& of, const target_state& target, core::time_point now) const;
    std::uint32_t free_slots(const lane& of, const target_state& target,
                             core::time_point now) const;
    target_state* choose_target(lane& of, const slot_request& question, core::time_point now);
    std::optional<run_key> choose_victim(const lane& of, const slot_request& question,
                                         core::time_point now) const;
    /// Times until the runs of a service end, the earliest first.
    std::vector<core::duration> run_ends(const lane& of, const core::service_id& service,
                                         core::time_point now) const;
    /// Time until a slot is free for a request with `ahead` others before it.
    core::duration predicted_wait(const lane& of, const std::vector<core::duration>& ends,
                                  std::size_t ahead) const;
    bool try_place(lane& of, const slot_request& question, core::time_point now,
                   slot_decisions& out);
    void grant(target_state& target, const slot_request& question, core::time_point due_at,
               core::time_point now, slot_decisions& out);
    void refuse(lane& of, const slot_request& question, core::time_point now,
                slot_rejection_reason reason, slot_decisions& out);
    void refuse_hopeless(const core::service_id& service, lane& of, core::time_point now,
                         slot_decisions& out);
    void fill(lane& of, core::time_point now, slot_decisions& out);
    waiting_work* next_online(lane& of, core::time_point now, bool late);
    waiting_work* next_batch(lane& of, core::time_point now, bool urgent_only);
    /// Chooses which items are deferred.
    void plan_batch(const core::service_id& service, lane& of, core::time_point now);
    /// Whether an item may begin without being cut off at once by online work.
    bool has_room_for_batch(lane& of, core::time_point now) const;
    void release(std::map<run_key, run>::iterator position);
    void measure(lane& of, const run& entry, const slot_result& ended);

    /// Latest time at which an online request may get its slot.
    core::time_point last_start(const lane& of, const waiting_work& work) const;

    scheduler_settings settings_;
    bool targets_known_ = false;
    std::map<core::service_id, lane> lanes_;
    std::map<run_key, run> runs_;
};

} // namespace gooseberryfall::serving
