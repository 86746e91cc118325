#include "cli/log_explanation.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <string_view>

namespace gooseberryfall::cli {

namespace {

/// Changes of an instance's view are included from this long before the first entry of an id. It
/// covers the time to detect an unresponsive leader and to elect another one.
constexpr double context_before_seconds = 3.0;

constexpr std::array<std::string_view, 12> view_change_events{
    "leader_changed",  "leadership_begun", "leadership_ended", "leader_silent",
    "instance_silent", "store_lost",       "store_reached",    "state_taken",
    "partition_owned", "partition_lost",   "started",          "leaving"};

/// Changes of partition owners are relevant to jobs and items only.
bool is_view_change(const std::string& event, bool concerns_job)
{
    if (event.starts_with("partition_")) {
        return concerns_job;
    }
    return std::find(view_change_events.begin(), view_change_events.end(), event) !=
           view_change_events.end();
}

/// Reads one field `name=value` or `name="value"` and removes it from `remaining`. Returns false if
/// there is none.
bool read_field(std::string_view& remaining, std::string& name, std::string& value)
{
    remaining.remove_prefix(std::min(remaining.find_first_not_of(' '), remaining.size()));
    const std::size_t equals = remaining.find('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    name = std::string(remaining.substr(0, equals));
    remaining.remove_prefix(equals + 1);
    value.clear();
    if (!remaining.starts_with('"')) {
        const std::size_t end = std::min(remaining.find(' '), remaining.size());
        value = std::string(remaining.substr(0, end));
        remaining.remove_prefix(end);
        return true;
    }
    remaining.remove_prefix(1);
    while (!remaining.empty() && remaining.front() != '"') {
        if (remaining.front() == '\\' && remaining.size() > 1) {
            remaining.remove_prefix(1);
        }
        value += remaining.front();
        remaining.remove_prefix(1);
    }
    remaining.remove_prefix(remaining.empty() ? 0 : 1);
    return true;
}

/// Seconds since midnight for a time such as `2026-03-01T09:30:00.123456Z`; 0 if it is malformed.
double second_of_day(const std::string& time)
{
    const std::size_t time_separator = time.find('T');
    if (time_separator == std::string::npos || time.size() < time_separator + 9) {
        return 0;
    }
    const double hours = std::atof(time.substr(time_separator + 1, 2).c_str());
    const double minutes = std::atof(time.substr(time_separator + 4, 2).c_str());
    return hours * 3600 + minutes * 60 + std::atof(time.substr(time_separator + 7).c_str());
}

std::string field(const log_entry& entry, const char* name)
{
    const auto found = entry.fields.find(name);
    return found == entry.fields.end() ? std::string() : found->second;
}

bool concerns_id(const log_entry& entry, const std::string& id)
{
    return field(entry, "id") == id || field(entry, "job") == id;
}

std::string rejection_cause(const log_entry& rejection, const std::vector<log_entry>& entries)
{
    const std::string reason = field(rejection, "reason");
    const auto rejected_call =
        std::find_if(entries.begin(), entries.end(),
                     [](const log_entry& entry) { return entry.event == "call_denied"; });
    const std::string load = rejected_call == entries.end()
                                 ? std::string()
                                 : "; " + field(*rejected_call, "online_running") + " online and " +
                                       field(*rejected_call, "batch_running") +
                                       " batch runs held " + field(*rejected_call, "slots") +
                                       " slots, " + field(*rejected_call, "online_waiting") +
                                       " requests waited";
    if (reason == "over_limit") {
        return "refused: the team " + field(rejection, "team") + " was above its rate and burst";
    }
    if (reason == "overloaded" || reason == "no_target") {
        return "refused: no slot would have been free in time" + load;
    }
    if (reason == "target_failed" || reason == "timed_out") {
        return "failed at target " + field(rejection, "target") +
               ": it gave no whole answer, and the request may not be sent again";
    }
    return "refused: " + reason;
}

std::string summarize_item_runs(const std::vector<log_entry>& entries)
{
    std::map<std::string, int> run_counts;
    for (const log_entry& entry : entries) {
        if (entry.event == "item_run_ended") {
            ++run_counts[field(entry, "reason")];
        }
    }
    std::string text;
    for (const auto& [reason, count] : run_counts) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + reason;
    }
    return text.empty() ? "never got a slot" : "runs: " + text;
}

/// Timing of a request that got a response: the wait for its last slot, and the targets that
/// failed.
std::string response_cause(const log_entry& ended, const std::vector<log_entry>& entries)
{
    std::string wait_ms = "0";
    int failed_targets = 0;
    for (const log_entry& entry : entries) {
        wait_ms = entry.event == "request_placed" ? field(entry, "waited_ms") : wait_ms;
        failed_targets += entry.event == "target_failed" ? 1 : 0;
    }
    std::string text = "answered with status " + field(ended, "status") + ", first byte after " +
                       field(ended, "first_byte_ms") + " ms, of which " + wait_ms +
                       " ms passed before it had its slot at target " + field(ended, "target");
    if (failed_targets > 0) {
        text += "; " + std::to_string(failed_targets) + " target(s) failed before";
    }
    return text;
}

std::string find_cause(const std::vector<log_entry>& entries)
{
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
        if (entry->event == "request_refused") {
            return rejection_cause(*entry, entries);
        }
        if (entry->event == "request_ended" && field(*entry, "whole") == "no") {
            return "the caller left, or its connection broke, after " + field(*entry, "total_ms") +
                   " ms";
        }
        if (entry->event == "request_ended") {
            return response_cause(*entry, entries);
        }
        if (entry->event == "item_finished") {
            return "the item ended as " + field(*entry, "state") + "; " +
                   summarize_item_runs(entries);
        }
        if (entry->event == "item_run_ended" || entry->event == "item_sent") {
            return "the item has not ended; " + summarize_item_runs(entries);
        }
    }
    return {};
}

} // namespace

std::vector<log_entry> read_log(std::istream& in)
{
    std::vector<log_entry> entries;
    for (std::string line; std::getline(in, line);) {
        const std::size_t begin = line.find("time=");
        if (begin == std::string::npos) {
            continue;
        }
        log_entry entry;
        entry.source = line.substr(0, begin);
        entry.text = line.substr(begin);
        std::string_view remaining = entry.text;
        std::string name;
        std::string value;
        while (read_field(remaining, name, value)) {
            entry.fields[name] = value;
        }
        entry.time = field(entry, "time");
        entry.event = field(entry, "event");
        if (!entry.event.empty()) {
            entries.push_back(std::move(entry));
        }
    }
    return entries;
}

log_explanation explain_id(const std::vector<log_entry>& log, const std::string& id)
{
    std::set<std::string> calls;
    std::set<std::string> targets;
    double first_second = 0;
    double last_second = 0;
    bool id_found = false;
    bool concerns_job = false;
    for (const log_entry& entry : log) {
        if (!concerns_id(entry, id)) {
            continue;
        }
        const double at = second_of_day(entry.time);
        first_second = id_found ? std::min(first_second, at) : at;
        last_second = id_found ? std::max(last_second, at) : at;
        id_found = true;
        concerns_job = concerns_job || entry.fields.contains("job");
        calls.insert(field(entry, "call"));
        targets.insert(field(entry, "target"));
    }
    log_explanation explanation;
    if (!id_found) {
        return explanation;
    }
    calls.erase("");
    calls.erase("0");
    targets.erase("");
    for (const log_entry& entry : log) {
        const double at = second_of_day(entry.time);
        const bool in_time_window =
            at >= first_second - context_before_seconds && at <= last_second;
        const bool concerns_target =
            entry.event.starts_with("target_") && targets.contains(field(entry, "target"));
        const bool is_rejected_call =
            entry.event == "call_denied" && calls.contains(field(entry, "call"));
        if (concerns_id(entry, id) || is_rejected_call ||
            (in_time_window && (concerns_target || is_view_change(entry.event, concerns_job)))) {
            explanation.entries.push_back(entry);
        }
    }
    std::stable_sort(explanation.entries.begin(), explanation.entries.end(),
                     [](const log_entry& a, const log_entry& b) { return a.time < b.time; });
    explanation.cause = find_cause(explanation.entries);
    return explanation;
}

} // namespace gooseberryfall::cli
