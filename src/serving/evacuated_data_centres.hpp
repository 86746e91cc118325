#pragma once

#include "core/types.hpp"
#include "serving/target_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::serving {

/// The operator's evacuation records as of an offset of the topic that holds them. Of two, the one
/// with the higher offset is the later one and supersedes the other.
struct evacuation_knowledge {
    /// Offset after the last record that is included; 0 if nothing is known.
    std::uint64_t offset = 0;
    std::set<core::data_centre_id> data_centres;

    bool operator==(const evacuation_knowledge&) const = default;
};

/// Settings of `evacuated_data_centres`.
struct evacuation_settings {
    /// Maximum number of records, so that they fit into a datagram beside a report of usual size.
    std::size_t capacity = 128;
    /// Maximum length of the name of a data centre, for the same reason.
    std::size_t name_bytes_max = 64;
};

/// What a change of the records means for this instance.
enum class evacuation_event_kind {
    begun,
    ended,
    /// No target is in a data centre of this name. The record has no effect.
    unknown_data_centre,
    /// The record is ignored because its name is empty or too long, or there are too many.
    rejected,
};

/// Text for logs. Thread-safe.
const char* to_text(evacuation_event_kind kind);

struct evacuation_event {
    evacuation_event_kind kind = evacuation_event_kind::begun;
    core::data_centre_id data_centre;

    bool operator==(const evacuation_event&) const = default;
};

/// The data centres whose targets get no new work, by order of the operator.
///
/// Load pattern: a data centre is evacuated, and taken back, while parts of the fleet can't read
/// the store, a leader is replaced, or records arrive late and repeatedly. The records are known
/// from the store and from other instances; both are ordered by the offset in the store, so that
/// old knowledge never undoes new. Deterministic; not thread-safe.
class evacuated_data_centres {
public:
    explicit evacuated_data_centres(evacuation_settings settings = {}) : settings_(settings) {}

    /// Replaces all records by those of a snapshot that ends at the offset. Ignored if records
    /// after that offset are known. Returns whether the set has changed.
    bool apply_snapshot(std::uint64_t offset, const std::set<core::data_centre_id>& data_centres);

    /// Applies a record of a page that ends at the offset; the records of a page have to be applied
    /// in their order. Ignored if records after that offset are known. Returns whether the set has
    /// changed.
    bool apply_record(std::uint64_t offset, const core::data_centre_id& data_centre,
                      bool evacuated);

    /// The records up to the offset are known, without a change by those after the last one
    /// applied.
    void advance(std::uint64_t offset);

    /// Takes over what another instance knows, if it is later. Returns whether the set has changed.
    bool merge(const evacuation_knowledge& other);

    /// For other instances.
    const evacuation_knowledge& knowledge() const { return knowledge_; }

    bool contains(const core::data_centre_id& data_centre) const
    {
        return knowledge_.data_centres.contains(data_centre);
    }

    /// Remembers the data centres of targets, which are the known ones.
    void learn_data_centres(const std::vector<target_entry>& listed);

    /// Entries without those in evacuated data centres.
    std::vector<target_entry> remove_from(const std::vector<target_entry>& entries) const;

    /// Number of evacuated data centres without those that were found to be unknown.
    std::size_t effective_count() const
    {
        return knowledge_.data_centres.size() - told_unknown_.size();
    }

    /// Changes since the last call, to be logged. `list_complete`: all targets have been passed to
    /// `learn_data_centres`, so that any other name is wrong.
    std::vector<evacuation_event> take_events(bool list_complete);

private:
    bool is_valid(const core::data_centre_id& data_centre) const;
    bool insert(const core::data_centre_id& data_centre);

    evacuation_settings settings_;
    evacuation_knowledge knowledge_;
    std::set<core::data_centre_id> known_;
    /// Evacuated data centres whose begin has been told.
    std::set<core::data_centre_id> told_;
    /// Records that were told to name an unknown data centre.
    std::set<core::data_centre_id> told_unknown_;
    std::vector<evacuation_event> rejections_;
};

} // namespace gooseberryfall::serving
