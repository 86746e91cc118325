#include "core/item_table.hpp"

#include <cassert>

namespace gooseberryfall::core {

namespace {

constexpr unsigned record_bits = 16;
constexpr std::uint64_t record_mask = (1ULL << record_bits) - 1;
constexpr std::uint64_t offset_limit = 1ULL << 48U;

constexpr std::uint8_t state_mask = 0x03;
/// Attempted, as known at the last snapshot.
constexpr std::uint8_t attempted_flag = 0x04;
/// Attempted since the last snapshot.
constexpr std::uint8_t new_attempt_flag = 0x08;

std::uint64_t pack(const record_position& position)
{
    return (position.offset << record_bits) | position.record;
}

} // namespace

bool item_table::fits(const record_position& position)
{
    return position.offset < offset_limit && position.record <= record_mask;
}

void item_table::append(const body_position& body, std::uint64_t body_hash)
{
    assert(fits(body.position));
    positions_.push_back(pack(body.position));
    indexes_.push_back(body.index);
    states_.push_back(static_cast<std::uint8_t>(item_state::pending));
    hashes_.push_back(body_hash);
}

void item_table::append_unknown(std::uint32_t count)
{
    const std::size_t size = states_.size() + count;
    positions_.resize(size);
    indexes_.resize(size);
    states_.resize(size, static_cast<std::uint8_t>(item_state::unknown));
    hashes_.resize(size);
}

item_state item_table::state(std::uint32_t index) const
{
    return static_cast<item_state>(states_[index] & state_mask);
}

bool item_table::ended(std::uint32_t index) const
{
    const item_state current = state(index);
    return current == item_state::succeeded || current == item_state::failed;
}

bool item_table::attempted(std::uint32_t index) const
{
    return (states_[index] & (attempted_flag | new_attempt_flag)) != 0;
}

body_position item_table::place(std::uint32_t index) const
{
    const std::uint64_t packed = positions_[index];
    return {{packed >> record_bits, static_cast<std::uint32_t>(packed & record_mask)},
            indexes_[index]};
}

std::uint64_t item_table::body_hash(std::uint32_t index) const
{
    return hashes_.empty() ? 0 : hashes_[index];
}

bool item_table::is_before(std::uint32_t index, const record_position& position) const
{
    return state(index) == item_state::unknown || positions_[index] < pack(position);
}

void item_table::set_body(std::uint32_t index, const body_position& body, std::uint64_t body_hash,
                          bool attempted)
{
    set_place(index, body);
    set_state(index, item_state::pending);
    hashes_.resize(states_.size());
    hashes_[index] = body_hash;
    std::uint8_t& flags = states_[index];
    flags = static_cast<std::uint8_t>(attempted ? flags | attempted_flag : flags & ~attempted_flag);
}

void item_table::set_result(std::uint32_t index, const body_position& body, item_status status)
{
    set_place(index, body);
    set_state(index, status == item_status::succeeded ? item_state::succeeded : item_state::failed);
}

void item_table::set_attempted(std::uint32_t index)
{
    states_[index] |= new_attempt_flag;
}

void item_table::begin_snapshot()
{
    for (std::uint8_t& flags : states_) {
        const bool attempted = (flags & (attempted_flag | new_attempt_flag)) != 0;
        flags = static_cast<std::uint8_t>((flags & state_mask) | (attempted ? attempted_flag : 0));
    }
}

void item_table::release_hashes()
{
    hashes_.clear();
    hashes_.shrink_to_fit();
}

void item_table::shrink()
{
    positions_.shrink_to_fit();
    indexes_.shrink_to_fit();
    states_.shrink_to_fit();
    hashes_.shrink_to_fit();
}

std::size_t item_table::memory() const
{
    return positions_.capacity() * sizeof(std::uint64_t) +
           indexes_.capacity() * sizeof(std::uint32_t) + states_.capacity() +
           hashes_.capacity() * sizeof(std::uint64_t);
}

void item_table::set_place(std::uint32_t index, const body_position& place)
{
    assert(fits(place.position));
    positions_[index] = pack(place.position);
    indexes_[index] = place.index;
}

void item_table::set_state(std::uint32_t index, item_state state)
{
    states_[index] = static_cast<std::uint8_t>((states_[index] & ~state_mask) |
                                               static_cast<std::uint8_t>(state));
}

} // namespace gooseberryfall::core
