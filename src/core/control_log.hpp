#pragma once

#include "core/events.hpp"
#include "core/node_parts.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::core {

/// This instance's dealings with the control stream: applies what is read or relayed, relays to
/// others, joins and leaves, writes operators' changes and checkpoints. Not thread-safe.
class control_log {
public:
    /// Called after groups changed the state.
    using state_changed = std::function<void(const control_changes&, time_point)>;

    control_log(node_parts& parts, state_changed changed);

    /// Groups were read from the log.
    void on_read(const control_read& read, time_point now);

    /// Another instance asks for groups.
    void on_request(const incarnation_id& from, const control_request& request);

    /// Another instance sent groups.
    void on_relay(const control_relay& relay, time_point now);

    /// A member said how far it has applied the stream; missing groups are asked for.
    void on_member_next(const instance_id& member, log_offset next, time_point now);

    /// An operator applies a change.
    void on_apply(const operator_apply& apply, time_point now);

    /// The caller of an operator's call is gone. The change itself goes on.
    void on_gone(request_id request);

    /// Joins, removes ended members, writes checkpoints, answers operators.
    void tick(time_point now);

    /// Whether answers of a majority are awaited, so that all members should be asked.
    bool awaiting_majority() const;

    /// Begins to leave the membership. `left()` turns true once the log shows it.
    void leave(time_point now);

    /// Whether this instance is not a member any more, or could not leave within its time.
    bool left(time_point now) const;

private:
    struct pending_apply {
        request_id request = 0;
        std::uint64_t sequence = 0;
        time_point deadline;
        /// Offset of the record once it has been read back.
        std::optional<log_offset> offset;
        /// Version in force after the record.
        config_version version = 0;
        /// Why the change was refused; empty if it was accepted.
        std::string refused;
    };

    void apply_groups(const std::vector<control_group>& groups, time_point now);
    void resolve_applies(const control_group& group);
    /// Answers changes whose record every member has applied, or whose time is up. A refusal waits
    /// like an acceptance, so that the audit trail of every instance shows it.
    void answer_applies(time_point now);
    void answer(const pending_apply& pending);
    /// Asks the seeds for the state while this instance has none and cannot read the log.
    void ask_seeds(time_point now);
    void maintain_membership(time_point now);
    void write_checkpoint(time_point now);
    bool is_member() const;

    node_parts& parts_;
    state_changed changed_;
    std::vector<pending_apply> applies_;
    /// Last groups, for relays.
    std::deque<control_group> recent_;
    std::optional<time_point> requested_at_;
    std::optional<time_point> seeds_asked_at_;
    std::optional<time_point> membership_written_at_;
    std::optional<time_point> checkpoint_written_at_;
    wall_time checkpoint_wall_{};
    log_offset checkpoint_offset_ = 0;
    std::optional<time_point> leaving_since_;
};

} // namespace gooseberryfall::core
