#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// A line of an instance's log.
struct log_entry {
    /// What stands before the line, for example the instance that a collector names.
    std::string source;
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text;
};

/// What the logs say about one request, job or item.
struct log_story {
    /// In order of time.
    std::vector<log_entry> entries;
    /// What follows from them; empty if nothing is known of the id.
    std::string cause;
};

/// Reads a log; lines that are none are left out. Thread-safe.
std::vector<log_entry> read_log(std::istream& in);

/// Selects the lines about an id: its own, those of the call that was denied it, and, from shortly
/// before its first to its last line, changes of what the instances believed of its targets, the
/// leader and the store. Thread-safe.
log_story explain(const std::vector<log_entry>& log, const std::string& id);

} // namespace gooseberryfall::cli
