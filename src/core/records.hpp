#pragma once

#include "core/fleet.hpp"
#include "core/types.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::core {

/// What a lease is for.
enum class shard_kind { control, limits, batch };

/// Something that one instance at a time is responsible for.
struct shard_id {
    shard_kind kind = shard_kind::control;
    std::uint32_t index = 0;

    auto operator<=>(const shard_id&) const = default;
};

/// Text of a shard, for example `batch-3`. Thread-safe.
std::string to_text(const shard_id& shard);

/// An instance as the log knows it.
struct member {
    incarnation_id incarnation;
    data_centre_id data_centre;
    /// Addresses as `ip:port`.
    std::string caller_address;
    std::string peer_address;

    bool operator==(const member&) const = default;
};

/// A lease as the log knows it.
struct lease {
    incarnation_id holder;
    lease_epoch epoch = 0;
    /// Offset of the claim.
    log_offset claimed_at = 0;
    /// Whether the holder gave it up. A released lease can be taken at once.
    bool released = false;

    bool operator==(const lease&) const = default;
};

/// Tokens that a limit owner hands over when it releases its shard.
struct limit_level {
    team_id team;
    std::uint32_t portion = 0;
    /// Tokens not lent at the time of the release.
    double level = 0;
    /// Tokens lent and not yet reported as spent.
    double outstanding = 0;
    /// Rate and burst in force at the last owner. A new owner that cannot know of recent changes
    /// does not exceed them at first.
    double rate = 0;
    double burst = 0;

    bool operator==(const limit_level&) const = default;
};

// Control records.

/// Changes the fleet. Ignored unless `base` is the version in force and the result is consistent.
struct config_change {
    std::string author;
    std::string comment;
    config_version base = 0;
    fleet_difference change;
};

/// Adds an instance, or replaces its earlier incarnation. Ignored unless `base` is the offset after
/// the last change of members: members change one at a time, so that majorities overlap.
struct member_join {
    log_offset base = 0;
    member joined;
};

/// Removes an instance. Ignored unless the incarnation is a member and `base` is the offset after
/// the last change of members.
struct member_leave {
    log_offset base = 0;
    incarnation_id left;
};

/// Takes over a shard. Ignored unless `expected` is the epoch in force and the claimant is a
/// member. The new epoch is `expected + 1`.
struct lease_claim {
    struct item {
        shard_id shard;
        lease_epoch expected = 0;
    };
    incarnation_id claimant;
    std::vector<item> shards;
};

/// Gives a shard up. Ignored unless holder and epoch are those in force.
struct lease_release {
    struct item {
        shard_id shard;
        lease_epoch epoch = 0;
        /// Filled for limit shards.
        std::vector<limit_level> levels;
    };
    incarnation_id holder;
    std::vector<item> shards;
};

/// What one change did, for the operators.
struct audit_entry {
    log_offset offset = 0;
    wall_time at;
    std::string author;
    std::string comment;
    config_version base = 0;
    /// New version; 0 if the change was refused.
    config_version version = 0;
    /// Why the change was refused; empty if it took effect.
    std::string refused;
    /// Names of the entries changed, for example `team/namur`, removed ones with a leading `-`.
    std::vector<std::string> entries;

    bool operator==(const audit_entry&) const = default;
};

/// Highest sequence number applied for a writer.
struct writer_position {
    incarnation_id writer;
    std::uint64_t sequence = 0;
};

/// Whole control state. Ignored unless its own offset is `covers + 1`: nothing may lie between the
/// state that it holds and its place in the log, because a reader that starts there cannot judge
/// records of an earlier state. Must be alone in its group.
struct control_checkpoint {
    /// Offset of the last group that the state includes.
    log_offset covers = 0;
    fleet state;
    std::vector<member> members;
    log_offset members_changed_at = 0;
    std::map<shard_id, lease> leases;
    std::map<shard_id, std::vector<limit_level>> released_levels;
    std::vector<audit_entry> audit;
    std::vector<writer_position> writers;
};

using control_body = std::variant<config_change, member_join, member_leave, lease_claim,
                                  lease_release, control_checkpoint>;

/// A record of the control stream. A sequence number at or below the writer's last one in the
/// stream makes the record ignored.
struct control_record {
    incarnation_id writer;
    std::uint64_t sequence = 0;
    control_body body;
};

// Batch records.

/// Options of a job.
struct job_options {
    /// Whether an item may be sent again when it may have run.
    bool repeatable = true;
    /// Tokens that each item may generate; 0 leaves it to the model's default.
    std::uint32_t max_tokens = 0;

    bool operator==(const job_options&) const = default;
};

/// Opens an epoch: later records of holders with a lower epoch are ignored.
struct partition_open {
    lease_epoch epoch = 0;
};

/// Items of a submission. Chunks of one upload are in order of their first index.
struct upload_chunk {
    std::string upload;
    std::uint32_t first_index = 0;
    /// Request bodies.
    std::vector<std::string> items;
};

/// Ends a submission. Ignored if the job exists or a chunk is missing.
struct job_open {
    job_id job;
    team_id team;
    service_id service;
    std::string upload;
    std::uint32_t item_count = 0;
    /// SHA-256 over the items and the options.
    digest content{};
    job_options options;
};

/// Says that an item marked as not to be repeated is about to be sent. The first one of an item
/// counts, others are ignored.
struct item_attempt {
    lease_epoch epoch = 0;
    job_id job;
    std::uint32_t index = 0;
};

/// How an item ended.
enum class item_status { succeeded, failed };

/// Result of an item. The first valid one counts.
struct item_result {
    lease_epoch epoch = 0;
    job_id job;
    std::uint32_t index = 0;
    item_status status = item_status::succeeded;
    /// Answer body, or a refusal in the callers' JSON shape.
    std::string body;
};

/// Stops a job. Items without a result end without one.
struct job_cancel {
    job_id job;
};

/// State of a job that the holder carries forward before the original records expire. The job's
/// live items and results follow as `carried_items` and `carried_results`.
struct job_snapshot {
    lease_epoch epoch = 0;
    job_id job;
    team_id team;
    service_id service;
    std::uint32_t item_count = 0;
    digest content{};
    job_options options;
    bool cancelled = false;
    wall_time opened_at;
    /// Set once every item has ended or the job is cancelled.
    std::optional<wall_time> ended_at;
};

/// Bodies of items without a result, copied forward.
struct carried_items {
    struct item {
        std::uint32_t index = 0;
        bool attempted = false;
        std::string body;
    };
    lease_epoch epoch = 0;
    job_id job;
    std::vector<item> items;
};

/// Results copied forward.
struct carried_results {
    struct item {
        std::uint32_t index = 0;
        item_status status = item_status::succeeded;
        std::string body;
    };
    lease_epoch epoch = 0;
    job_id job;
    std::vector<item> items;
};

using batch_body = std::variant<partition_open, upload_chunk, job_open, item_attempt, item_result,
                                job_cancel, job_snapshot, carried_items, carried_results>;

/// A record of a batch stream. Sequence numbers work as in the control stream.
struct batch_record {
    incarnation_id writer;
    std::uint64_t sequence = 0;
    batch_body body;
};

/// Place of a record in a batch stream.
struct record_position {
    log_offset offset = 0;
    /// Index of the record in its group.
    std::uint32_t record = 0;

    auto operator<=>(const record_position&) const = default;
};

/// Place of one body inside a record that holds several.
struct body_position {
    record_position position;
    std::uint32_t index = 0;

    auto operator<=>(const body_position&) const = default;
};

} // namespace gooseberryfall::core
