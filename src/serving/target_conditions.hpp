#pragma once

#include "serving/target_directory.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberryfall::serving {

/// The target leaves. A process never takes this back.
struct target_leaves {
    bool operator==(const target_leaves&) const = default;
};

/// Requests a second that the target takes from all instances together; unset if it names no limit
/// any more.
struct target_takes {
    std::optional<double> rate;

    bool operator==(const target_takes&) const = default;
};

/// Time for which the target stays cold, counted from when it said so; 0 if it is warm.
struct target_cold_for {
    std::chrono::milliseconds time{0};

    bool operator==(const target_cold_for&) const = default;
};

using target_condition = std::variant<target_leaves, target_takes, target_cold_for>;

/// What a target has said about itself.
struct target_statement {
    target_process process;
    target_condition condition;
    /// Time since it said so.
    std::chrono::milliseconds age{0};

    bool operator==(const target_statement&) const = default;
};

/// How a statement has reached this instance.
enum class statement_source {
    /// In an answer to a request of this instance.
    answer,
    /// From another instance, or in the target's entry in the store.
    report,
};

/// Settings of `target_conditions`.
struct target_conditions_settings {
    /// Maximum number of targets. Of those that neither leave nor have a limit or are cold, else of
    /// all, the one heard of the longest ago is evicted.
    std::size_t capacity = 512;
    /// Two rates that differ by less than this fraction count as the same.
    double same_rate = 0.05;
    /// Time for which what this instance has heard is reported, and goes before what the leader
    /// says: some reports, since any of them may be lost.
    std::chrono::milliseconds report_time{1500};
};

/// What targets have said about themselves: that they leave, how many requests a second they take,
/// and for how long they are cold.
///
/// Load pattern: a target repeats its condition in each answer, to whoever gets the answer, also
/// while the store or the leader is away and the list of targets is old. Statements are merged by
/// one rule, whatever way they came: a later process with an id replaces all statements about an
/// earlier one; of two statements of the same kind about a process the one said later holds, and of
/// two said at the same time the more restrictive one; "leaves" holds for as long as the process.
/// Thus the order in which statements arrive, and how often, makes no difference. A statement whose
/// process is unknown counts for the process that is known or becomes known next.
/// Deterministic; not thread-safe.
class target_conditions {
public:
    explicit target_conditions(target_conditions_settings settings = {}) : settings_(settings) {}

    /// Sets the services whose targets are cold after their start. Elsewhere statements of cold
    /// targets are ignored, and no target counts as cold.
    void set_cold_services(std::set<core::service_id> services)
    {
        cold_services_ = std::move(services);
    }

    /// Merges a statement. Returns whether it changes what is known about a process.
    bool merge(const target_statement& statement, core::time_point now,
               statement_source source = statement_source::report);

    /// The process has answered a request that was sent at `sent_at`, without a word on whether it
    /// is cold. It has been up since then at the latest, so that it is cold for `cold_start` more
    /// at most. Returns whether that changes what is known.
    bool on_answer(const target_process& process, core::time_point sent_at,
                   std::chrono::milliseconds cold_start, core::time_point now);

    /// A run at the process has lost its connection: the process may have ended, and one that is
    /// cold may have taken its place. Until the next answer it counts as cold. Returns whether that
    /// changes what is known. Without effect for targets of other services.
    bool on_connection_lost(const target_entry& entry, core::time_point now);

    /// Fills in unknown starts from the list. To be called with each new list.
    void learn_starts(const std::vector<target_entry>& listed);

    /// Takes over limits and cold targets of the leader's entries. To be called by followers with
    /// each new list.
    void adopt(const std::vector<target_entry>& entries, core::time_point now);

    /// Whether the process leaves.
    bool is_leaving(const target_process& process) const;

    /// Entries without those of processes that leave, with their limits and whether they are cold.
    /// A target of a cold service counts as cold until it is known to be warm.
    std::vector<target_entry> apply_to(const std::vector<target_entry>& entries,
                                       core::time_point now) const;

    /// Whether a target of a cold service counts as cold when this instance places on its own:
    /// unless it has had an answer of the process itself, and the process is warm by now.
    bool is_cold_by_own_answers(const target_entry& entry, core::time_point now) const;

    /// When the next known target stops being cold; unset if there is none.
    std::optional<core::time_point> next_warm_at(core::time_point now) const;

    /// Statements for reports: the processes that leave although the list shows them, and what has
    /// been heard lately. That a target is warm, or names no limit, is said only if it has been
    /// cold or limited, or the list shows it so.
    std::vector<target_statement> to_report(const std::vector<target_entry>& listed,
                                            core::time_point now) const;

    std::size_t size() const { return records_.size(); }

private:
    struct known_rate {
        std::optional<double> rate;
        core::time_point said_at;
        /// A rate has been named.
        bool was_limited = false;
        /// The rate last returned as a change.
        std::optional<double> announced;
    };
    struct known_cold {
        core::time_point until;
        core::time_point said_at;
        /// It has been cold.
        bool was_cold = false;
        /// When it is warm by what this instance has heard from it since the connection was lost
        /// last; unset without an answer.
        std::optional<core::time_point> warm_by_own_answers;
    };
    struct record {
        std::int64_t started_at = 0;
        /// Grows with each statement heard.
        std::uint64_t heard = 0;
        bool leaves = false;
        std::optional<known_rate> rate;
        std::optional<known_cold> cold;
    };

    /// Returns what is known about the process, or null.
    const record* find(const target_process& process) const;
    /// The record for a statement about the process; null if a later process is known.
    record* open(const target_process& process);
    bool merge_rate(record& known, const target_takes& said, core::time_point said_at) const;
    static bool merge_cold(record& known, const target_cold_for& said, core::time_point said_at,
                           core::time_point now, statement_source source);
    bool is_same(const std::optional<double>& left, const std::optional<double>& right) const;
    bool is_cold(const target_entry& entry, core::time_point now) const;
    void make_room(core::time_point now);

    target_conditions_settings settings_;
    std::set<core::service_id> cold_services_;
    std::map<core::target_id, record> records_;
    std::uint64_t heard_count_ = 0;
};

} // namespace gooseberryfall::serving
