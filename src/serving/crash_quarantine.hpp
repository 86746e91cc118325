#pragma once

#include "serving/slot_scheduler.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::serving {

/// What requests can have in common that may crash targets.
enum class trait_kind : std::uint8_t {
    /// Team, path and body: the same request again.
    whole_request,
    /// A part of the prompt, whatever else the request holds.
    prompt_part,
};

/// A property of a request, as a hash.
struct request_trait {
    trait_kind kind = trait_kind::whole_request;
    std::uint64_t hash = 0;

    auto operator<=>(const request_trait&) const = default;
};

/// Text of a trait for logs, for example `part:00a1b2c3d4e5f607`. Thread-safe.
std::string to_text(const request_trait& trait);

/// The properties by which a request is recognised.
struct request_traits {
    /// Hash of team, path and body; 0 if unknown.
    std::uint64_t fingerprint = 0;
    /// Hashes of the parts of the prompt that other requests may share.
    std::vector<std::uint64_t> parts;

    /// All traits, without duplicates.
    std::vector<request_trait> all() const;

    bool operator==(const request_traits&) const = default;
};

/// A run that has ended, as evidence for or against the traits of its request.
struct run_evidence {
    core::target_id target;
    request_traits traits;
    slot_outcome outcome = slot_outcome::completed;
    /// Time from the first output to the end; unset if there was no output.
    std::optional<std::chrono::milliseconds> output_time;
    core::time_point started_at;
};

/// What is known about a trait, as instances tell each other.
struct crash_mark {
    request_trait trait;
    /// Crashes since a request with the trait was last answered.
    std::uint32_t crashes = 0;
    /// Those of targets that had answered a request since their crash before: a target that only
    /// cuts runs may be at fault itself.
    std::uint32_t crashes_of_sound_targets = 0;
    /// Traits of all requests under which these crashes happened: each of them, or only all of
    /// them together, may be the cause.
    std::vector<request_trait> companions;
    /// Requests with the trait are refused.
    bool refused = false;
    /// Time since the last crash.
    std::chrono::milliseconds age{0};

    bool operator==(const crash_mark&) const = default;
};
using crash_marks = std::vector<crash_mark>;

/// Settings of `crash_quarantine`.
struct quarantine_settings {
    /// Time after the first cut run at a target in which the others at it arrive.
    std::chrono::milliseconds settle_time{100};
    /// A run whose output has lasted longer did not crash its target when it began.
    std::chrono::milliseconds begin_time{100};
    /// Crashes from which on only one request with the trait runs at a time, and time from that
    /// crash until the next one. Each further crash multiplies the time by `isolation_factor`, so
    /// that few targets crash even if the cause is never proven.
    std::uint32_t isolation_threshold = 2;
    std::chrono::milliseconds isolation_delay{100};
    int isolation_factor = 4;
    /// Least number of crashes of sound targets from which on requests with the trait are refused.
    std::uint32_t refusal_threshold = 3;
    /// A trait is refused if its crashes would happen by chance with less than this probability, at
    /// the rate at which other requests are cut at their begin.
    double chance_max = 0.001;
    /// Time from the crash that led to the refusal until one request is tried again. Each crash
    /// under such a trial multiplies it by `hold_factor`.
    std::chrono::milliseconds initial_hold{1000};
    int hold_factor = 8;
    std::chrono::milliseconds hold_max{std::chrono::minutes(10)};
    /// Time after the last crash at which a mark is forgotten.
    std::chrono::milliseconds lifetime{std::chrono::minutes(30)};
    /// Retry delay of a request that is refused because another one with the trait is being tried.
    std::chrono::milliseconds trial_delay{1000};
    /// Maximum number of marks, and of targets that have crashed. The one with the oldest crash
    /// gives way.
    std::size_t capacity = 4096;
    /// Changes that are kept until they are taken.
    std::size_t events_max = 256;
    /// Whether a refused trait is tried again. Only one instance may do so.
    bool runs_trials = true;
};

/// Kind of a `quarantine_event`.
enum class quarantine_change {
    /// A target has cut the runs at it.
    crash,
    /// Requests with the trait are refused from now on.
    refused,
    /// A request with a refused trait was answered.
    cleared,
};

/// Name of a change in logs. Thread-safe.
const char* to_text(quarantine_change change);

/// A change of the marks, for logs.
struct quarantine_event {
    quarantine_change kind = quarantine_change::crash;
    /// Crash: the target, and the runs that it cut.
    core::target_id target;
    std::size_t runs = 0;
    std::size_t runs_begun = 0;
    /// Crash: the traits that were charged. Otherwise the trait that is refused or no longer is.
    crash_marks marks;
};

/// Finds out which requests crash targets, and rules whether a request may run.
///
/// Load pattern: requests that share one part of their prompt crash each target that begins to
/// answer them. No two of them are alike, they arrive on all instances, several a second, and each
/// crash cuts innocent runs at the same target. Innocent requests share the team and all other
/// parts with them.
/// - A crash is charged to each trait of the cut runs that had just begun. If none had, it is
///   charged to the fingerprints alone, since a prompt part acts at the begin of an answer.
/// - An answered request clears its traits, and output clears the prompt parts.
/// - A crash counts for a trait only if the run began after the crash before, so that a fault that
///   cuts many runs at once counts once.
/// - Requests with a trait that was charged twice run one at a time, after growing delays.
/// - A trait is refused after some crashes if that many are not to be expected by chance: where
///   most requests are cut, their traits are not the cause. A target that has answered nothing
///   since it cut runs before proves nothing: it, or the way to it, may be broken.
/// - As long as several traits were part of the same crashes, only requests that hold all of them
///   are refused. Requests with some of them run, and their answers clear the innocent ones.
/// - A crash under a request whose trait is in isolation is charged to that trait alone.
/// - A refused trait is tried again after growing delays, since the cause may be gone.
/// Batch items never crash targets by themselves and are not to be recorded, unless answered.
/// Deterministic; not thread-safe.
class crash_quarantine {
public:
    explicit crash_quarantine(quarantine_settings settings = {}) : settings_(settings) {}

    /// Why a request may not run now.
    struct refusal {
        request_trait trait;
        std::chrono::milliseconds retry_after{0};
    };

    /// Returns the refusal of a request, if any. A request that may run although its trait is in
    /// isolation or due for a trial becomes the one request with that trait; `is_active` tells
    /// whether an earlier one still runs or waits.
    std::optional<refusal> rule(const run_key& key, const request_traits& traits,
                                const std::function<bool(const run_key&)>& is_active,
                                core::time_point now);

    /// Refusal of a request that waits for a slot, if a trait of it is refused by now.
    std::optional<refusal> refusal_of(const request_traits& traits, core::time_point now) const;

    /// Records how a run has ended.
    void record(const run_evidence& run, core::time_point now);

    /// Charges the crashes whose cut runs have all arrived. Returns whether a trait is refused from
    /// now on. To be called about every 20 ms.
    bool tick(core::time_point now);

    /// Marks of at least two crashes for other instances, those with the most crashes first, at
    /// most `count`.
    crash_marks marks(std::size_t count, core::time_point now) const;

    /// Adds marks of another instance; of two marks of a trait the one with more crashes holds.
    void merge(const crash_marks& marks, core::time_point now);

    /// Replaces the marks by those of the leader.
    void replace(const crash_marks& marks, core::time_point now);

    /// Changes since the last call; more than `events_max` are dropped.
    std::vector<quarantine_event> take_events();

    /// Number of refused traits.
    std::size_t refused_count() const;

private:
    struct mark_state {
        std::uint32_t crashes = 0;
        std::uint32_t crashes_of_sound_targets = 0;
        std::set<request_trait> companions;
        bool refused = false;
        core::time_point last_crash;
        /// Numbers of answered and of cut runs when the mark was made.
        std::uint64_t answered_before = 0;
        std::uint64_t cut_before = 0;
        /// Runs with the trait that were cut at their begin.
        std::uint64_t own_cuts = 0;
        /// The one request with the trait that may run.
        std::optional<run_key> trial;
    };
    struct pending_crash {
        core::time_point at;
        std::vector<run_evidence> runs;
    };

    mark_state* find(const request_trait& trait, core::time_point now);
    /// Whether a run with the trait has been cut and is not charged yet.
    bool is_pending(const request_trait& trait) const;
    /// Whether the mark restricts requests with these traits, one of which is the mark's.
    bool restricts(const mark_state& mark, const std::vector<request_trait>& traits) const;
    /// Time from the last crash of a restricted trait to the next request with it.
    std::chrono::milliseconds hold(const mark_state& mark) const;
    /// Records that a target crashes now. Returns whether it has answered a request since its crash
    /// before, or had none.
    bool record_target_crash(const core::target_id& target, core::time_point now);
    /// Returns whether a trait is refused from now on.
    bool charge(const core::target_id& target, const pending_crash& crash, core::time_point now);
    /// Refuses a trait from now on if enough crashes and answers to other requests show that it is
    /// the cause. Returns whether that is new.
    bool refuse_if_proven(const request_trait& trait, mark_state& mark, core::time_point now);
    /// Refusal for a restricted trait whose hold has not ended.
    std::optional<refusal> held(const request_trait& trait, const mark_state& mark,
                                core::time_point now) const;
    /// Whether a run that was cut had just begun.
    bool had_just_begun(const run_evidence& run) const;
    /// Runs of a crash with the traits that may have caused it.
    std::vector<run_evidence> suspects(const pending_crash& crash) const;
    /// Traits to which a crash under these runs is charged, with the traits of the runs that have
    /// them.
    std::map<request_trait, std::set<request_trait>>
    chargeable(const std::vector<run_evidence>& runs) const;
    void add_crash(const request_trait& trait, const std::set<request_trait>& companions,
                   bool of_sound_target, core::time_point at);
    /// Whether the crashes of a mark are too many to have happened by chance.
    bool is_proven(const mark_state& mark) const;
    mark_state new_mark() const;
    /// Forgets the marks of the traits.
    void clear(const request_traits& traits);
    void add_event(quarantine_event event);
    static crash_mark to_mark(const request_trait& trait, const mark_state& mark,
                              core::time_point now);
    /// Forgets one mark if there is no room for another.
    void make_room();

    quarantine_settings settings_;
    std::map<request_trait, mark_state> marks_;
    std::map<core::target_id, pending_crash> pending_;
    /// When targets crashed that have answered nothing since.
    std::map<core::target_id, core::time_point> crashed_targets_;
    std::uint64_t answered_ = 0;
    /// Runs that were cut at their begin.
    std::uint64_t cut_ = 0;
    std::vector<quarantine_event> events_;
};

} // namespace gooseberryfall::serving
