#include "cli/log_story.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <string_view>

namespace gooseberryfall::cli {

namespace {

/// Changes of belief count from this long before a request: a leader's silence is noticed, and
/// another one found, within it.
constexpr double context_seconds = 3.0;

constexpr std::array<std::string_view, 12> belief_events{
    "leader_changed",  "leadership_begun", "leadership_ended", "leader_silent",
    "instance_silent", "store_lost",       "store_reached",    "state_taken",
    "partition_owned", "partition_lost",   "started",          "leaving"};

/// Owners of job partitions matter to jobs and items only.
bool is_belief(const std::string& event, bool about_job)
{
    if (event.starts_with("partition_")) {
        return about_job;
    }
    return std::find(belief_events.begin(), belief_events.end(), event) != belief_events.end();
}

/// Reads one field `name=value` or `name="value"` and moves on behind it.
bool read_field(std::string_view& rest, std::string& name, std::string& value)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    name = std::string(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    value.clear();
    if (!rest.starts_with('"')) {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        value = std::string(rest.substr(0, end));
        rest.remove_prefix(end);
        return true;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    rest.remove_prefix(rest.empty() ? 0 : 1);
    return true;
}

/// Seconds of the day of a time such as `2026-03-01T09:30:00.123456Z`.
double seconds_of(const std::string& time)
{
    const std::size_t clock = time.find('T');
    if (clock == std::string::npos || time.size() < clock + 9) {
        return 0;
    }
    const double hours = std::atof(time.substr(clock + 1, 2).c_str());
    const double minutes = std::atof(time.substr(clock + 4, 2).c_str());
    return hours * 3600 + minutes * 60 + std::atof(time.substr(clock + 7).c_str());
}

std::string field(const log_entry& entry, const char* name)
{
    const auto found = entry.fields.find(name);
    return found == entry.fields.end() ? std::string() : found->second;
}

bool names(const log_entry& entry, const std::string& id)
{
    return field(entry, "id") == id || field(entry, "job") == id;
}

std::string refusal_cause(const log_entry& refusal, const std::vector<log_entry>& entries)
{
    const std::string reason = field(refusal, "reason");
    const auto denied = std::find_if(entries.begin(), entries.end(), [](const log_entry& entry) {
        return entry.event == "call_denied";
    });
    const std::string load = denied == entries.end()
                                 ? std::string()
                                 : "; " + field(*denied, "online_running") + " online and " +
                                       field(*denied, "batch_running") + " batch runs held " +
                                       field(*denied, "slots") + " slots, " +
                                       field(*denied, "online_waiting") + " requests waited";
    if (reason == "over_limit") {
        return "refused: the team " + field(refusal, "team") + " was above its rate and burst";
    }
    if (reason == "overloaded" || reason == "no_target") {
        return "refused: no slot would have been free in time" + load;
    }
    if (reason == "target_failed" || reason == "timed_out") {
        return "failed at target " + field(refusal, "target") +
               ": it gave no whole answer, and the request may not be sent again";
    }
    return "refused: " + reason;
}

std::string item_cause(const std::vector<log_entry>& entries)
{
    std::map<std::string, int> ends;
    for (const log_entry& entry : entries) {
        if (entry.event == "item_run_ended") {
            ++ends[field(entry, "reason")];
        }
    }
    std::string text;
    for (const auto& [reason, count] : ends) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + reason;
    }
    return text.empty() ? "never got a slot" : "runs: " + text;
}

/// How an answered request spent its time: the wait for the last slot and the targets that failed.
std::string answer_cause(const log_entry& ended, const std::vector<log_entry>& entries)
{
    std::string waited = "0";
    int failed = 0;
    for (const log_entry& entry : entries) {
        waited = entry.event == "request_placed" ? field(entry, "waited_ms") : waited;
        failed += entry.event == "target_failed" ? 1 : 0;
    }
    std::string text = "answered with status " + field(ended, "status") + ", first byte after " +
                       field(ended, "first_byte_ms") + " ms, of which " + waited +
                       " ms passed before it had its slot at target " + field(ended, "target");
    if (failed > 0) {
        text += "; " + std::to_string(failed) + " target(s) failed before";
    }
    return text;
}

std::string cause_of(const std::vector<log_entry>& entries)
{
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
        if (entry->event == "request_refused") {
            return refusal_cause(*entry, entries);
        }
        if (entry->event == "request_ended" && field(*entry, "whole") == "no") {
            return "the caller left, or its connection broke, after " + field(*entry, "total_ms") +
                   " ms";
        }
        if (entry->event == "request_ended") {
            return answer_cause(*entry, entries);
        }
        if (entry->event == "item_finished") {
            return "the item ended as " + field(*entry, "state") + "; " + item_cause(entries);
        }
        if (entry->event == "item_run_ended" || entry->event == "item_sent") {
            return "the item has not ended; " + item_cause(entries);
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
        std::string_view rest = entry.text;
        std::string name;
        std::string value;
        while (read_field(rest, name, value)) {
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

log_story explain(const std::vector<log_entry>& log, const std::string& id)
{
    std::set<std::string> calls;
    std::set<std::string> targets;
    double first = 0;
    double last = 0;
    bool known = false;
    bool about_job = false;
    for (const log_entry& entry : log) {
        if (!names(entry, id)) {
            continue;
        }
        const double at = seconds_of(entry.time);
        first = known ? std::min(first, at) : at;
        last = known ? std::max(last, at) : at;
        known = true;
        about_job = about_job || entry.fields.contains("job");
        calls.insert(field(entry, "call"));
        targets.insert(field(entry, "target"));
    }
    log_story story;
    if (!known) {
        return story;
    }
    calls.erase("");
    calls.erase("0");
    targets.erase("");
    for (const log_entry& entry : log) {
        const double at = seconds_of(entry.time);
        const bool in_time = at >= first - context_seconds && at <= last;
        const bool of_target =
            entry.event.starts_with("target_") && targets.contains(field(entry, "target"));
        const bool denial = entry.event == "call_denied" && calls.contains(field(entry, "call"));
        if (names(entry, id) || denial ||
            (in_time && (of_target || is_belief(entry.event, about_job)))) {
            story.entries.push_back(entry);
        }
    }
    std::stable_sort(story.entries.begin(), story.entries.end(),
                     [](const log_entry& a, const log_entry& b) { return a.time < b.time; });
    story.cause = cause_of(story.entries);
    return story;
}

} // namespace gooseberryfall::cli
