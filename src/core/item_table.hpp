#pragma once

#include "core/records.hpp"
#include "core/types.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberryfall::core {

/// State of an item as the log tells it.
enum class item_state : std::uint8_t {
    /// The body has not been seen: the item is part of a job whose first records are no longer in
    /// the log and which has not been carried forward whole yet.
    unknown,
    pending,
    succeeded,
    failed,
};

/// Items of a job as columns: 21 bytes for each item of a live job and 13 once the hashes are
/// released, because a partition keeps the places of millions of results. Not thread-safe.
class item_table {
public:
    /// Whether a position can be kept: offsets have 48 bits and records of a group 16.
    static bool fits(const record_position& position);

    /// Adds a pending item.
    void append(const body_position& body, std::uint64_t body_hash);

    /// Adds items whose body is not known.
    void append_unknown(std::uint32_t count);

    std::uint32_t size() const { return static_cast<std::uint32_t>(states_.size()); }

    item_state state(std::uint32_t index) const;
    bool ended(std::uint32_t index) const;

    /// Whether an attempt was recorded.
    bool attempted(std::uint32_t index) const;

    /// Place of the result of an ended item, else of the body.
    body_position place(std::uint32_t index) const;

    /// Hash of the body; 0 once the hashes are released.
    std::uint64_t body_hash(std::uint32_t index) const;

    /// Whether the place is unknown or in front of a position.
    bool is_before(std::uint32_t index, const record_position& position) const;

    /// Sets a carried body; the item is pending then. `attempted` replaces what was known at the
    /// last `begin_snapshot`.
    void set_body(std::uint32_t index, const body_position& body, std::uint64_t body_hash,
                  bool attempted);

    void set_result(std::uint32_t index, const body_position& body, item_status status);
    void set_attempted(std::uint32_t index);

    /// From now on carried data replaces what was known of attempts so far.
    void begin_snapshot();

    /// Frees the hashes, which only items that will run need.
    void release_hashes();

    /// Frees the reserve for further items.
    void shrink();

    /// Bytes of memory taken.
    std::size_t memory() const;

private:
    void set_place(std::uint32_t index, const body_position& place);
    void set_state(std::uint32_t index, item_state state);

    /// Offset and record of each place.
    std::vector<std::uint64_t> positions_;
    /// Index of each place in its record.
    std::vector<std::uint32_t> indexes_;
    /// State and flags.
    std::vector<std::uint8_t> states_;
    std::vector<std::uint64_t> hashes_;
};

} // namespace gooseberryfall::core
