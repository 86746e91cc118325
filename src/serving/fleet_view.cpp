#include "serving/fleet_view.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <bit>
#include <set>

namespace gooseberryfall::serving {

namespace {

/// Average number of entries in a block; their encoded form takes a few kB.
constexpr std::size_t entries_per_block = 16;

std::uint64_t combine_hash(std::uint64_t seed, std::uint64_t value)
{
    return core::stable_hash(std::to_string(value), seed);
}

std::uint64_t entry_hash(const partition_owner& entry)
{
    return core::stable_hash(entry.instance.value(), combine_hash(entry.partition, entry.epoch));
}

std::uint64_t entry_hash(const fleet_member& entry)
{
    std::uint64_t hash = core::stable_hash(entry.id.value());
    hash = core::stable_hash(entry.callers_address, hash);
    hash = core::stable_hash(entry.data_centre.value(), hash);
    hash = combine_hash(hash, std::bit_cast<std::uint64_t>(entry.capacity));
    return combine_hash(hash, static_cast<std::uint64_t>(entry.started_at));
}

std::uint64_t entry_hash(const target_entry& entry)
{
    std::uint64_t hash = core::stable_hash(entry.id.value());
    hash = core::stable_hash(entry.service.value(), hash);
    hash = core::stable_hash(entry.address, hash);
    hash = core::stable_hash(entry.data_centre.value(), hash);
    hash = combine_hash(hash, entry.slots);
    hash = combine_hash(hash, std::bit_cast<std::uint64_t>(entry.rate_limit.value_or(-1)));
    hash = combine_hash(hash, entry.cold ? 1 : 0);
    return combine_hash(hash, static_cast<std::uint64_t>(entry.started_at));
}

const std::string& id_text(const fleet_member& entry)
{
    return entry.id.value();
}

const std::string& id_text(const target_entry& entry)
{
    return entry.id.value();
}

/// Number of blocks: a power of two, so that it rarely changes as entries are added and removed.
std::uint32_t block_count(std::size_t entries)
{
    return static_cast<std::uint32_t>(std::bit_ceil(
        std::max<std::size_t>(1, (entries + entries_per_block - 1) / entries_per_block)));
}

std::uint32_t window_size(block_kind kind)
{
    switch (kind) {
    case block_kind::owners:
        return 1;
    case block_kind::members:
        return member_blocks_max;
    case block_kind::targets:
        return target_blocks_max;
    }
    return 1;
}

template <class Entry>
std::vector<fleet_block> split_into_blocks(block_kind kind, const std::vector<Entry>& entries)
{
    const std::uint32_t count = block_count(entries.size());
    std::vector<std::vector<Entry>> block_entries(count);
    for (const Entry& entry : entries) {
        block_entries[core::stable_hash(id_text(entry)) % count].push_back(entry);
    }
    std::vector<fleet_block> blocks;
    for (std::uint32_t index = 0; index < count; ++index) {
        blocks.push_back({{kind, count, index}, std::move(block_entries[index])});
    }
    return blocks;
}

} // namespace

block_version fleet_block::version() const
{
    // The sum does not depend on the order of the entries.
    std::uint64_t sum = 0;
    std::visit(
        [&sum](const auto& entries) {
            for (const auto& entry : entries) {
                sum += entry_hash(entry);
            }
        },
        content);
    return {id, static_cast<std::uint32_t>(sum ^ (sum >> 32U))};
}

void fleet_view_source::set_owners(partition_owners owners)
{
    fleet_block block{{block_kind::owners, 1, 0}, std::move(owners)};
    const block_version version = block.version();
    owners_.clear();
    owners_.push_back({std::move(block), version});
}

void fleet_view_source::set_members(const ready_members& members)
{
    members_.clear();
    for (fleet_block& block : split_into_blocks(block_kind::members, members)) {
        const block_version version = block.version();
        members_.push_back({std::move(block), version});
    }
}

void fleet_view_source::set_targets(const target_entries& targets)
{
    targets_.clear();
    for (fleet_block& block : split_into_blocks(block_kind::targets, targets)) {
        const block_version version = block.version();
        targets_.push_back({std::move(block), version});
    }
}

void fleet_view_source::add_stale(const std::vector<versioned_block>& blocks, std::uint32_t window,
                                  const core::instance_id& receiver,
                                  const std::vector<block_version>& held,
                                  std::vector<const fleet_block*>& out)
{
    const std::size_t count = blocks.size();
    const std::size_t first = count == 0 ? 0 : core::stable_hash(receiver.value()) % count;
    for (std::size_t offset = 0; offset < std::min<std::size_t>(window, count); ++offset) {
        const versioned_block& entry = blocks[(first + offset) % count];
        if (std::find(held.begin(), held.end(), entry.version) == held.end()) {
            out.push_back(&entry.block);
        }
    }
}

std::vector<const fleet_block*>
fleet_view_source::stale_blocks(const core::instance_id& receiver,
                                const std::vector<block_version>& held) const
{
    std::vector<const fleet_block*> result;
    add_stale(owners_, window_size(block_kind::owners), receiver, held, result);
    add_stale(members_, window_size(block_kind::members), receiver, held, result);
    add_stale(targets_, window_size(block_kind::targets), receiver, held, result);
    return result;
}

void fleet_view::apply(fleet_block block)
{
    const block_id id = block.id;
    versions_[id] = block.version();
    blocks_[id] = std::move(block);
    // Blocks with another block count are kept until those with the new count are complete.
    const auto has_same_count = [&id](const auto& entry) {
        return entry.first.kind == id.kind && entry.first.count == id.count;
    };
    const auto held = std::count_if(blocks_.begin(), blocks_.end(), has_same_count);
    if (static_cast<std::uint32_t>(held) >= std::min(id.count, window_size(id.kind))) {
        const auto outdated = [&](const auto& entry) {
            return entry.first.kind == id.kind && !has_same_count(entry);
        };
        std::erase_if(blocks_, outdated);
        std::erase_if(versions_, outdated);
    }
    rebuild(id.kind);
}

void fleet_view::rebuild(block_kind kind)
{
    const auto collect = [&](auto& out) {
        using entry_list = std::remove_reference_t<decltype(out)>;
        out.clear();
        for (const auto& [id, block] : blocks_) {
            if (id.kind == kind) {
                const auto& entries = std::get<entry_list>(block.content);
                out.insert(out.end(), entries.begin(), entries.end());
            }
        }
    };
    switch (kind) {
    case block_kind::owners:
        collect(owners_);
        break;
    case block_kind::members:
        collect(members_);
        break;
    case block_kind::targets:
        collect(targets_);
        break;
    }
}

std::vector<block_version> fleet_view::versions() const
{
    std::vector<block_version> result;
    for (const auto& [id, version] : versions_) {
        result.push_back(version);
    }
    return result;
}

} // namespace gooseberryfall::serving
