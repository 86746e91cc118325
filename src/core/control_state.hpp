#pragma once

#include "core/messages.hpp"
#include "core/records.hpp"
#include "core/types.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace gooseberryfall::core {

/// What applying a group changed.
struct control_changes {
    bool config = false;
    bool members = false;
    bool leases = false;
    /// Records that had no effect.
    std::uint32_t ignored = 0;

    bool any() const { return config || members || leases; }
};

/// State that results from replaying the control stream. Deterministic: the same groups give the
/// same state on every instance. Not thread-safe.
class control_state {
public:
    /// Audit entries kept.
    static constexpr std::size_t audit_limit = 1000;

    /// Bytes of audit entries kept at most, so that the trail never fills the checkpoint record.
    static constexpr std::size_t audit_bytes_limit = 96U << 10U;

    /// Names kept in one audit entry; a first fleet file would otherwise fill the trail.
    static constexpr std::size_t audit_names_limit = 100;

    /// Bytes of a fleet's entries. A checkpoint has to fit into one append of 1 MiB beside the
    /// audit trail, members, leases, released limit levels and writer positions.
    static constexpr std::size_t fleet_bytes_limit = 640U << 10U;

    /// Writers remembered that are not members. A record repeated by one that is forgotten fails
    /// on its own precondition, because each kind of record names the state that it expects.
    static constexpr std::size_t former_writers_limit = 128;

    /// Applies the group at `next_offset()`. Precondition: `group.offset == next_offset()`.
    control_changes apply(const control_group& group);

    /// Moves an empty state to the log's earliest offset, if that is above 0. Records before the
    /// first checkpoint are then ignored. Precondition: no group has been applied.
    void start_at(log_offset earliest);

    /// First offset not applied.
    log_offset next_offset() const { return next_offset_; }

    /// Whether the state is complete: replay began at offset 0 or a checkpoint has been applied.
    /// An incomplete state must not be acted on.
    bool complete() const { return complete_; }

    /// Fleet in force.
    const fleet& current() const { return fleet_; }

    /// Members by name.
    const std::map<instance_id, member>& members() const { return members_; }

    /// Offset after the last change of members; a new change is proposed only once a majority has
    /// applied it, and names it as its base.
    log_offset members_changed_at() const { return members_changed_at_; }

    /// Leases by shard; a shard that nobody ever held is missing.
    const std::map<shard_id, lease>& leases() const { return leases_; }

    /// Limit levels that the last holder left with its release; kept while the next holder has the
    /// shard. Empty if there are none.
    const std::vector<limit_level>& released_levels(const shard_id& shard) const;

    /// Last changes, oldest first.
    const std::deque<audit_entry>& audit() const { return audit_; }

    /// The state as a checkpoint record body. Precondition: complete, and a group was applied.
    control_checkpoint checkpoint() const;

    /// Replaces the state by another instance's checkpoint, if that covers more. Returns whether it
    /// did.
    bool adopt(const control_checkpoint& snapshot);

    /// Hash over the whole state, equal on instances that applied the same groups.
    std::uint64_t state_hash() const;

    /// Bytes of memory that the state takes, estimated.
    std::size_t memory() const;

private:
    /// Applies one record and returns whether it took effect.
    bool apply_record(const control_group& group, const control_record& record,
                      control_changes& changes);
    bool apply_body(const control_group& group, const config_change& body,
                    control_changes& changes);
    bool apply_body(const control_group& group, const member_join& body, control_changes& changes);
    bool apply_body(const control_group& group, const member_leave& body, control_changes& changes);
    bool apply_body(const control_group& group, const lease_claim& body, control_changes& changes);
    bool apply_body(const control_group& group, const lease_release& body,
                    control_changes& changes);
    bool apply_checkpoint(const control_group& group, const control_record& record,
                          control_changes& changes);

    /// Says why the change cannot take effect, or puts the changed fleet into `result`.
    std::string judge(const config_change& body, fleet& result) const;

    /// Name of who made the version in force.
    std::string current_author() const;

    bool claim_one(const control_group& group, const incarnation_id& claimant,
                   const lease_claim::item& item);
    bool release_one(const incarnation_id& holder, const lease_release::item& item);
    bool is_member(const incarnation_id& incarnation) const;

    /// Whether the sequence is above the writer's last one, which it then becomes.
    bool accept_sequence(const incarnation_id& writer, std::uint64_t sequence);
    void forget_former_writer();
    void add_audit(audit_entry entry);
    void install(const control_checkpoint& body);

    log_offset next_offset_ = 0;
    bool complete_ = true;
    fleet fleet_;
    std::map<instance_id, member> members_;
    log_offset members_changed_at_ = 0;
    std::map<shard_id, lease> leases_;
    std::map<shard_id, std::vector<limit_level>> released_levels_;
    std::deque<audit_entry> audit_;
    std::size_t audit_bytes_ = 0;
    std::map<incarnation_id, std::uint64_t> writers_;
};

} // namespace gooseberryfall::core
