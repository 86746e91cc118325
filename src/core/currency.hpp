#pragma once

#include "core/records.hpp"
#include "core/types.hpp"

#include <map>
#include <optional>
#include <vector>

namespace gooseberryfall::core {

/// Settings of `currency`.
struct currency_settings {
    /// This run of this instance. It counts as a member only if the members name this very run.
    incarnation_id self;
    /// Age up to which an answer counts (F in the design page).
    duration bound = std::chrono::seconds(2);
};

/// Why the control state counts as current.
enum class currency_basis { none, log, majority };

/// Decides whether this instance's control state is known to be current: within the bound it read
/// the log up to its head, or a majority of the members, itself counted, answered and it has
/// applied all that they have applied. Not thread-safe.
class currency {
public:
    /// Precondition: `settings.bound` is above 0.
    explicit currency(currency_settings settings);

    /// Members in force, this instance included or not. What an earlier incarnation of a member
    /// said is forgotten: its successor may have applied less.
    void set_members(const std::map<instance_id, member>& members);

    /// Members that have ended by the platform's list. They will never answer anybody again, so
    /// they do not stand in the way of a majority's knowledge. They never count for currency.
    void set_ended(const std::vector<incarnation_id>& ended);

    /// The control state was applied up to, and not including, `next`. Precondition: the state is
    /// complete.
    void set_applied(log_offset next);

    /// The log said at a question sent at `asked_at` that its next offset is `head`.
    void log_answered(time_point asked_at, log_offset head);

    /// A member said at a question sent at `asked_at` that it has applied up to `next`.
    /// Precondition: the answer came from the incarnation that is the member, as `membership`
    /// makes sure.
    void member_answered(const instance_id& member, time_point asked_at, log_offset next);

    /// Whether the state counts as current now.
    bool is_current(time_point now) const { return basis(now) != currency_basis::none; }

    /// Whether this instance's answers may count in a majority: it has been current at least once
    /// without counting itself. Before, it may lack what an earlier run of it confirmed.
    bool vouches() const { return vouches_; }

    /// Why it counts as current now; the log is named first.
    currency_basis basis(time_point now) const;

    /// Whether a majority of the members, this instance counted, answered questions sent at `since`
    /// or later and named nothing that is not applied here.
    bool majority_answered(time_point since) const;

    /// Whether the log answered within the bound.
    bool log_readable(time_point now) const;

    /// Number of members, this instance included, known to have applied `offset` or to have ended.
    std::size_t applied_count(log_offset offset) const;

    /// Whether a majority of the members has applied `offset`. False without members.
    bool majority_applied(log_offset offset) const;

    /// Whether a further change of members may be proposed: there are none yet, or a majority has
    /// applied the last change. `changed_at` is `control_state::members_changed_at()`.
    bool members_settled(log_offset changed_at) const;

    /// First offset that the member has not applied, as far as known.
    log_offset member_next(const instance_id& member) const;

    /// Highest offset that a member or the log named; above the applied one if records are missing.
    log_offset highest_known() const { return highest_known_; }

private:
    /// Answers of one source. An answer that names an offset not applied yet waits; meanwhile the
    /// one before it still counts, for the rest of its own time.
    struct standing {
        std::optional<time_point> counted;
        std::optional<time_point> waiting;
        log_offset waiting_next = 0;
        log_offset highest_next = 0;
    };
    struct member_state {
        std::uint64_t number = 0;
        bool ended = false;
        standing answers;
    };

    void add_answer(standing& source, time_point asked_at, log_offset next);
    void count_applied(standing& source) const;
    std::size_t count_answered(time_point since, bool with_self) const;
    void note_vouching(time_point asked_at);
    static bool counts(const standing& source, time_point since);
    bool is_self(const instance_id& id, const member_state& state) const;
    bool is_majority(std::size_t count) const;

    currency_settings settings_;
    std::map<instance_id, member_state> members_;
    log_offset applied_next_ = 0;
    log_offset highest_known_ = 0;
    bool vouches_ = false;
    std::optional<time_point> log_answered_;
    standing log_;
};

} // namespace gooseberryfall::core
