#pragma once

#include "fleet_wire/job_codec.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryfall::fleet_wire {

/// Keys that a partition's log holds for each job, needed to delete the job from the log. Not
/// thread-safe.
class job_key_index {
public:
    /// Adds the key of a record that is in the log or is being written. Ignores keys that do not
    /// belong to a job record.
    void add(const std::string& key);

    /// Removes all keys of a job from the index and returns the tombstones that delete them from
    /// the log. Those of the accepted and the closed record come last, in this order: if only the
    /// first tombstones are written, the job is still closed in the log and none of its items runs
    /// again. Precondition: the log holds the record that the job was closed.
    std::vector<keyed_record> take_tombstones(const std::string& job_id);

    std::size_t key_count(const std::string& job_id) const;

private:
    std::map<std::string, std::set<std::string>, std::less<>> keys_by_job_;
};

} // namespace gooseberryfall::fleet_wire
