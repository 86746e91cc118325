#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// A parsed line of an instance's log.
struct log_entry {
    /// Text before `time=`, for example the instance name that a log collector adds.
    std::string source;
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
    /// The line without `source`.
    std::string text;
};

/// Log entries about one request, job or item, and the cause that follows from them.
struct log_explanation {
    /// Sorted by time.
    std::vector<log_entry> entries;
    /// Sentence about the outcome; empty if the entries do not show it.
    std::string cause;
};

/// Reads a log; skips lines without a time or an event. Thread-safe.
std::vector<log_entry> read_log(std::istream& in);

/// Selects the entries about an id: those that name it, those about its rejected admission
/// requests, and, from shortly before its first to its last entry, changes in the instances' view
/// of its targets, the leader and the store. Thread-safe.
log_explanation explain_id(const std::vector<log_entry>& log, const std::string& id);

} // namespace gooseberryfall::cli
