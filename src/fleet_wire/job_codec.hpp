#pragma once

#include "serving/job_ledger.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::fleet_wire {

/// Record of a compacted topic: the log keeps only the newest record of each key.
struct keyed_record {
    std::string key;
    /// An empty value is a tombstone: it deletes the key.
    std::string value;

    bool operator==(const keyed_record&) const = default;
};

/// Longest job id in bytes. The store keeps the length of a key in one byte, and the key consists
/// of the id, a prefix, the item and the part number.
constexpr std::size_t job_id_bytes_max = 200;

/// Largest body of a job submission. `encode` and `job_record_assembler` support the records of all
/// jobs for which `is_encodable` holds.
constexpr std::size_t submission_bytes_max = 64U << 20U;

/// Whether the record of this job is small enough to be read back. Bodies are shorter in records
/// than in submissions, which contain them as text, but each header takes some more bytes.
/// Thread-safe.
bool is_encodable(const serving::job_submission& job);

/// Smallest `value_bytes_max` with which `encode` supports all encodable jobs. Thread-safe.
std::size_t min_value_bytes();

/// Encodes a job record as one or more keyed records (parts) with values of at most
/// `value_bytes_max` bytes. The parts are in order, so that a job record is complete in the log
/// once its last part is written. Precondition: the record is small, or `value_bytes_max` is at
/// least `min_value_bytes()`. Thread-safe.
std::vector<keyed_record> encode(const serving::job_record& record, std::size_t value_bytes_max);

/// Returns the id of the job that a key belongs to, or an empty view if it is not the key of a job
/// record. The view is valid as long as the key. Thread-safe.
std::string_view job_id_of_key(std::string_view key);

/// Whether the key belongs to a record that a job was accepted. Thread-safe.
bool is_accepted_key(std::string_view key);

/// Whether the key belongs to a record that a job was closed. Thread-safe.
bool is_closed_key(std::string_view key);

/// Reassembles job records from their parts, which may come in any order. Not thread-safe.
class job_record_assembler {
public:
    /// Adds one part.
    void add(const std::string& key, std::string value);

    /// Returns the complete records and removes all parts. Records that are incomplete or cannot be
    /// parsed are skipped and counted in `unreadable_count`.
    std::vector<serving::job_record> take_records();

    /// Number of parts with a malformed key and of records that `take_records` has skipped.
    std::size_t unreadable_count() const { return unreadable_count_; }

private:
    /// Parts by part number, for each key without the part number.
    std::map<std::string, std::map<std::uint32_t, std::string>> parts_;
    std::size_t unreadable_count_ = 0;
};

} // namespace gooseberryfall::fleet_wire
