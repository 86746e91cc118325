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
    /// Of two owners the one with the higher epoch is the present one.
    std::uint64_t epoch = 0;
    core::instance_id instance;

    bool operator==(const partition_owner&) const = default;
};

/// What a block of the view is about.
enum class block_kind : std::uint8_t { owners, members, targets };

/// Names a block: entries are spread over `count` blocks by a hash of their ids.
struct block_id {
    block_kind kind = block_kind::owners;
    std::uint32_t count = 1;
    std::uint32_t index = 0;

    auto operator<=>(const block_id&) const = default;
};

/// Says which content of a block an instance has.
struct block_mark {
    block_id id;
    /// Hash of the content.
    std::uint32_t hash = 0;

    bool operator==(const block_mark&) const = default;
};

using partition_owners = std::vector<partition_owner>;
/// Instances that callers may be sent to.
using ready_members = std::vector<fleet_member>;
using target_entries = std::vector<target_entry>;

/// A part of what the leader tells an instance about the fleet, small enough for a datagram.
struct fleet_block {
    block_id id;
    std::variant<partition_owners, ready_members, target_entries> content;

    /// Its id and the hash of its content. Thread-safe.
    block_mark mark() const;
};

/// Blocks that one instance gets. Whatever the size of the fleet, an instance needs no more than
/// this to answer which addresses to use, to pass job calls on and to place requests by itself for
/// a moment.
constexpr std::uint32_t member_blocks_max = 4;
constexpr std::uint32_t target_blocks_max = 8;

/// The fleet as the leader knows it, cut into blocks. Changes touch few blocks, and each instance
/// is told a window of them only, so that the cost of a change does not grow with the product of
/// instances and targets. Deterministic; not thread-safe.
class fleet_view_source {
public:
    void set_owners(partition_owners owners);
    void set_members(const ready_members& members);
    void set_targets(const target_entries& targets);

    /// Blocks of an instance's window whose content differs from what the marks say that it has.
    std::vector<const fleet_block*> missing(const core::instance_id& of,
                                            const std::vector<block_mark>& held) const;

private:
    struct marked_block {
        fleet_block block;
        block_mark mark;
    };

    static void add_missing(const std::vector<marked_block>& blocks, std::uint32_t window,
                            const core::instance_id& of, const std::vector<block_mark>& held,
                            std::vector<const fleet_block*>& out);

    std::vector<marked_block> owners_;
    std::vector<marked_block> members_;
    std::vector<marked_block> targets_;
};

/// The fleet as an instance has been told. Deterministic; not thread-safe.
class fleet_view {
public:
    /// Takes a block in the place of an earlier one.
    void apply(fleet_block block);

    /// What is held, for the report to the leader.
    std::vector<block_mark> marks() const;

    const partition_owners& owners() const { return owners_; }
    const ready_members& members() const { return members_; }
    const target_entries& targets() const { return targets_; }

private:
    void rebuild(block_kind kind);

    std::map<block_id, fleet_block> blocks_;
    std::map<block_id, block_mark> marks_;
    partition_owners owners_;
    ready_members members_;
    target_entries targets_;
};

} // namespace gooseberryfall::serving
