#pragma once

#include "serving/job_ledger.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::fleet_wire {

/// A record of a topic that keeps the newest record of each key.
struct keyed_record {
    std::string key;
    /// Empty to drop the key.
    std::string value;

    bool operator==(const keyed_record&) const = default;
};

/// Longest id of a job; its key has to fit into a byte's length with what is added to it.
constexpr std::size_t job_id_bytes_max = 200;

/// A job record as keyed records of at most `value_bytes_max` bytes each. The last part is the last
/// record, so that a record is whole if it is there. Thread-safe.
std::vector<keyed_record> encode(const serving::job_record& record, std::size_t value_bytes_max);

/// Id of the job that a record with this key belongs to; empty if it is no key of a job's record.
/// Valid as long as the key. Thread-safe.
std::string_view job_id_of_key(std::string_view key);

/// Whether a record with this key says that a job was accepted. Thread-safe.
bool is_accepted_key(std::string_view key);

/// Whether a record with this key says that a job has ended. Thread-safe.
bool is_closed_key(std::string_view key);

/// Puts job records together again from keyed records in any order. Not thread-safe.
class job_record_assembler {
public:
    /// Adds a keyed record.
    void add(const std::string& key, std::string value);

    /// Records that are whole. Those that cannot be read are counted, and skipped.
    std::vector<serving::job_record> take_records();

    std::size_t unreadable_count() const { return unreadable_count_; }

private:
    /// Parts by number for each key without its number.
    std::map<std::string, std::map<std::uint32_t, std::string>> parts_;
    std::size_t unreadable_count_ = 0;
};

} // namespace gooseberryfall::fleet_wire
