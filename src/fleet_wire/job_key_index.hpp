#pragma once

#include "fleet_wire/job_codec.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::fleet_wire {

/// Keys of the records that a partition's log holds for each job, so that a job can be deleted from
/// it. Not thread-safe.
class job_key_index {
public:
    /// A record of this key is in the log, or is being written. Keys that are not of a job's record
    /// are left out.
    void add(const std::string& key);

    /// Records that drop all keys of a job, which are forgotten. Those that say that the job exists
    /// and has ended come last: if only the first ones are written, nothing runs again.
    /// Precondition: the log says that the job has ended.
    std::vector<keyed_record> take_tombstones(const std::string& job);

    /// Number of keys of a job.
    std::size_t key_count(const std::string& job) const;

private:
    std::map<std::string, std::set<std::string>, std::less<>> keys_;
};

} // namespace gooseberryfall::fleet_wire
