#pragma once

#include "core/types.hpp"
#include "serving/leadership.hpp"
#include "serving/target_directory.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::serving {

/// The owner of a partition of the batch jobs.
struct partition_owner {
    std::uint32_t partition = 0;
    /// Of two owners the one with the higher epoch is the current one.
    std::uint64_t epoch = 0;
    core::instance_id instance;

    bool operator==(const partition_owner&) const = default;
};

/// Kind of the entries in a block.
enum class block_kind : std::uint8_t { owners, members, targets };

/// Identifies a block. The entries of a kind are spread over `count` blocks by a hash of their ids.
struct block_id {
    block_kind kind = block_kind::owners;
    std::uint32_t count = 1;
    std::uint32_t index = 0;

    auto operator<=>(const block_id&) const = default;
};

/// Identifies the content of a block.
struct block_version {
    block_id id;
    /// Hash of the content.
    std::uint32_t hash = 0;

    bool operator==(const block_version&) const = default;
};

using partition_owners = std::vector<partition_owner>;
/// Instances that callers may be sent to.
using ready_members = std::vector<fleet_member>;
using target_entries = std::vector<target_entry>;

/// A part of the fleet view that is small enough for a datagram.
struct fleet_block {
    block_id id;
    std::variant<partition_owners, ready_members, target_entries> content;

    /// Its id and the hash of its content. Thread-safe.
    block_version version() const;
};

/// Number of blocks that each instance receives. Regardless of the size of the fleet, this suffices
/// to give callers the addresses to use, to forward job calls and to place requests locally
/// for a short time.
constexpr std::uint32_t member_blocks_max = 4;
constexpr std::uint32_t target_blocks_max = 8;

/// The leader's view of the fleet, split into blocks. A change affects few blocks, and each
/// instance receives only a window of them, so that the cost of a change does not grow with the
/// product of instances and targets. Deterministic; not thread-safe.
class fleet_view_source {
public:
    void set_owners(partition_owners owners);
    void set_members(const ready_members& members);
    void set_targets(const target_entries& targets);

    /// Blocks in the window of `receiver` whose content differs from the versions that it holds.
    std::vector<const fleet_block*> stale_blocks(const core::instance_id& receiver,
                                                 const std::vector<block_version>& held) const;

private:
    struct versioned_block {
        fleet_block block;
        block_version version;
    };

    static void add_stale(const std::vector<versioned_block>& blocks, std::uint32_t window,
                          const core::instance_id& receiver, const std::vector<block_version>& held,
                          std::vector<const fleet_block*>& out);

    std::vector<versioned_block> owners_;
    std::vector<versioned_block> members_;
    std::vector<versioned_block> targets_;
};

/// The fleet as an instance knows it from the leader's updates. Deterministic; not thread-safe.
class fleet_view {
public:
    /// Adds a block or replaces its earlier version.
    void apply(fleet_block block);

    /// Versions of the blocks that are held, for the report to the leader.
    std::vector<block_version> versions() const;

    const partition_owners& owners() const { return owners_; }
    const ready_members& members() const { return members_; }
    const target_entries& targets() const { return targets_; }

private:
    void rebuild(block_kind kind);

    std::map<block_id, fleet_block> blocks_;
    std::map<block_id, block_version> versions_;
    partition_owners owners_;
    ready_members members_;
    target_entries targets_;
};

} // namespace gooseberryfall::serving
