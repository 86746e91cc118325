#include "serving/fleet_view.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <bit>
#include <set>

namespace gooseberryfall::serving {

namespace {

/// Entries in a block on average: their descriptions fit into a few kB.
constexpr std::size_t block_entries = 16;

std::uint64_t mix(std::uint64_t seed, std::uint64_t value)
{
    return core::stable_hash(std::to_string(value), seed);
}

std::uint64_t hash_of(const partition_owner& entry)
{
    return core::stable_hash(entry.instance.value(), mix(entry.partition, entry.epoch));
}

std::uint64_t hash_of(const fleet_member& entry)
{
    std::uint64_t hash = core::stable_hash(entry.id.value());
    hash = core::stable_hash(entry.callers_address, hash);
    hash = core::stable_hash(entry.data_centre.value(), hash);
    hash = mix(hash, std::bit_cast<std::uint64_t>(entry.capacity));
    return mix(hash, static_cast<std::uint64_t>(entry.started_at));
}

std::uint64_t hash_of(const target_entry& entry)
{
    std::uint64_t hash = core::stable_hash(entry.id.value());
    hash = core::stable_hash(entry.service.value(), hash);
    hash = core::stable_hash(entry.address, hash);
    hash = core::stable_hash(entry.data_centre.value(), hash);
    hash = mix(hash, entry.slots);
    return mix(hash, static_cast<std::uint64_t>(entry.started_at));
}

const std::string& name_of(const fleet_member& entry)
{
    return entry.id.value();
}

const std::string& name_of(const target_entry& entry)
{
    return entry.id.value();
}

/// A power of two, so that it changes rarely as entries come and go.
std::uint32_t block_count(std::size_t entries)
{
    return static_cast<std::uint32_t>(
        std::bit_ceil(std::max<std::size_t>(1, (entries + block_entries - 1) / block_entries)));
}

std::uint32_t window_of(block_kind kind)
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
std::vector<fleet_block> cut(block_kind kind, const std::vector<Entry>& entries)
{
    const std::uint32_t count = block_count(entries.size());
    std::vector<std::vector<Entry>> parts(count);
    for (const Entry& entry : entries) {
        parts[core::stable_hash(name_of(entry)) % count].push_back(entry);
    }
    std::vector<fleet_block> blocks;
    for (std::uint32_t index = 0; index < count; ++index) {
        blocks.push_back({{kind, count, index}, std::move(parts[index])});
    }
    return blocks;
}

} // namespace

block_mark fleet_block::mark() const
{
    // The sum does not depend on the order of the entries.
    std::uint64_t sum = 0;
    std::visit(
        [&sum](const auto& entries) {
            for (const auto& entry : entries) {
                sum += hash_of(entry);
            }
        },
        content);
    return {id, static_cast<std::uint32_t>(sum ^ (sum >> 32U))};
}

void fleet_view_source::set_owners(partition_owners owners)
{
    fleet_block block{{block_kind::owners, 1, 0}, std::move(owners)};
    const block_mark mark = block.mark();
    owners_.clear();
    owners_.push_back({std::move(block), mark});
}

void fleet_view_source::set_members(const ready_members& members)
{
    members_.clear();
    for (fleet_block& block : cut(block_kind::members, members)) {
        const block_mark mark = block.mark();
        members_.push_back({std::move(block), mark});
    }
}

void fleet_view_source::set_targets(const target_entries& targets)
{
    targets_.clear();
    for (fleet_block& block : cut(block_kind::targets, targets)) {
        const block_mark mark = block.mark();
        targets_.push_back({std::move(block), mark});
    }
}

void fleet_view_source::add_missing(const std::vector<marked_block>& blocks, std::uint32_t window,
                                    const core::instance_id& of,
                                    const std::vector<block_mark>& held,
                                    std::vector<const fleet_block*>& out)
{
    const std::size_t count = blocks.size();
    const std::size_t first = count == 0 ? 0 : core::stable_hash(of.value()) % count;
    for (std::size_t step = 0; step < std::min<std::size_t>(window, count); ++step) {
        const marked_block& entry = blocks[(first + step) % count];
        if (std::find(held.begin(), held.end(), entry.mark) == held.end()) {
            out.push_back(&entry.block);
        }
    }
}

std::vector<const fleet_block*>
fleet_view_source::missing(const core::instance_id& of, const std::vector<block_mark>& held) const
{
    std::vector<const fleet_block*> result;
    add_missing(owners_, window_of(block_kind::owners), of, held, result);
    add_missing(members_, window_of(block_kind::members), of, held, result);
    add_missing(targets_, window_of(block_kind::targets), of, held, result);
    return result;
}

void fleet_view::apply(fleet_block block)
{
    const block_id id = block.id;
    marks_[id] = block.mark();
    blocks_[id] = std::move(block);
    // Blocks of an earlier division are kept until those of the new one are complete.
    const auto same_division = [&id](const auto& entry) {
        return entry.first.kind == id.kind && entry.first.count == id.count;
    };
    const auto held = std::count_if(blocks_.begin(), blocks_.end(), same_division);
    if (static_cast<std::uint32_t>(held) >= std::min(id.count, window_of(id.kind))) {
        const auto outdated = [&](const auto& entry) {
            return entry.first.kind == id.kind && !same_division(entry);
        };
        std::erase_if(blocks_, outdated);
        std::erase_if(marks_, outdated);
    }
    rebuild(id.kind);
}

void fleet_view::rebuild(block_kind kind)
{
    const auto gather = [&](auto& out) {
        using list = std::remove_reference_t<decltype(out)>;
        out.clear();
        for (const auto& [id, block] : blocks_) {
            if (id.kind == kind) {
                const auto& entries = std::get<list>(block.content);
                out.insert(out.end(), entries.begin(), entries.end());
            }
        }
    };
    switch (kind) {
    case block_kind::owners:
        gather(owners_);
        break;
    case block_kind::members:
        gather(members_);
        break;
    case block_kind::targets:
        gather(targets_);
        break;
    }
}

std::vector<block_mark> fleet_view::marks() const
{
    std::vector<block_mark> result;
    for (const auto& [id, mark] : marks_) {
        result.push_back(mark);
    }
    return result;
}

} // namespace gooseberryfall::serving
