#pragma once

#include "core/types.hpp"

#include <map>
#include <set>

namespace gooseberryfall::core {

/// Settings of `currency`.
struct currency_settings {
    instance_id self;
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

    /// Members in force, this instance included or not.
    void set_members(std::set<instance_id> members);

    /// The control state was applied up to, and not including, `next`.
    void set_applied(log_offset next);

    /// The log said at a question sent at `asked_at` that its next offset is `head`.
    void log_answered(time_point asked_at, log_offset head);

    /// A member said at a question sent at `asked_at` that it has applied up to `next`.
    void member_answered(const instance_id& member, time_point asked_at, log_offset next);

    /// Whether the state counts as current now.
    bool is_current(time_point now) const { return basis(now) != currency_basis::none; }

    /// Whether this instance's answers may count in a majority: it has been current at least once
    /// without counting itself. Before, it may lack what an earlier run of it confirmed.
    bool vouches() const { return vouches_; }

    /// Why it counts as current now; the log is named first.
    currency_basis basis(time_point now) const;

    /// Whether the log answered within the bound.
    bool log_readable(time_point now) const;

    /// Number of members, this instance included, known to have applied `offset`.
    std::size_t applied_count(log_offset offset) const;

    /// Whether a majority of the members has applied `offset`. False without members.
    bool majority_applied(log_offset offset) const;

    /// First offset that the member has not applied, as far as known.
    log_offset member_next(const instance_id& member) const;

    /// Highest offset that a member or the log named; above the applied one if records are missing.
    log_offset highest_known() const { return highest_known_; }

private:
    struct answer {
        time_point asked_at;
        log_offset next = 0;
    };

    currency_settings settings_;
    std::set<instance_id> members_;
    log_offset applied_next_ = 0;
    log_offset highest_known_ = 0;
    bool vouches_ = false;
    bool log_known_ = false;
    answer log_;
    std::map<instance_id, answer> answers_;
};

} // namespace gooseberryfall::core
