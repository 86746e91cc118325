#include "cli/output.hpp"

#include "cli/text_table.hpp"

#include "config/digests.hpp"

#include <array>
#include <cstddef>
#include <ctime>
#include <map>

namespace gooseberryfall::cli {

namespace {

/// Names of changed entries that a line shows.
constexpr std::size_t names_shown = 4;

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

/// UTC to the second, for example `2026-03-01T09:30:00Z`.
std::string time_text(core::wall_time at)
{
    const std::time_t seconds =
        std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
    std::tm parts{};
    if (gmtime_r(&seconds, &parts) == nullptr) {
        return std::to_string(at.time_since_epoch().count()) + " ms";
    }
    std::array<char, 64> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), size};
}

std::string names_text(const std::vector<std::string>& names)
{
    std::string text;
    for (std::size_t index = 0; index < names.size() && index < names_shown; ++index) {
        text += (index == 0 ? "" : " ") + names[index];
    }
    if (names.size() > names_shown) {
        text += " and " + std::to_string(names.size() - names_shown) + " more";
    }
    return text;
}

/// Counts by kind, for example `control limits:2 batch:7`.
std::string shards_text(const std::vector<core::shard_id>& shards)
{
    std::map<core::shard_kind, std::size_t> counts;
    for (const core::shard_id& shard : shards) {
        ++counts[shard.kind];
    }
    std::string text = counts.contains(core::shard_kind::control) ? "control " : "";
    if (counts.contains(core::shard_kind::limits)) {
        text += "limits:" + std::to_string(counts[core::shard_kind::limits]) + " ";
    }
    if (counts.contains(core::shard_kind::batch)) {
        text += "batch:" + std::to_string(counts[core::shard_kind::batch]) + " ";
    }
    return text.empty() ? text : text.substr(0, text.size() - 1);
}

std::string condition_text(core::member_condition condition)
{
    switch (condition) {
    case core::member_condition::alive:
        return "alive";
    case core::member_condition::suspect:
        return "suspect";
    case core::member_condition::leaving:
        return "leaving";
    }
    return "";
}

std::string target_state(const core::target_view& target)
{
    if (target.leaving) {
        return "leaving";
    }
    return target.suspect ? "suspect" : "ready";
}

std::string job_state(const core::job_status& job)
{
    if (job.cancelled) {
        return "cancelled";
    }
    return job.ended ? "ended" : "running";
}

std::string members_text(const std::vector<core::member_view>& members)
{
    text_table table(
        {"MEMBER", "DATA CENTRE", "CALLERS", "PEERS", "CONDITION", "APPLIED TO", "SHARDS"});
    for (const core::member_view& member : members) {
        const core::member& info = member.info;
        table.add({info.incarnation.instance.value(), info.data_centre.value(), info.caller_address,
                   info.peer_address, condition_text(member.condition),
                   std::to_string(member.applied_next), shards_text(member.shards)});
    }
    return table.text();
}

std::string targets_text(const std::vector<core::target_view>& targets)
{
    text_table table(
        {"TARGET", "SERVICE", "ADDRESS", "DATA CENTRE", "SLOTS", "ONLINE", "BATCH", "STATE"});
    for (const core::target_view& target : targets) {
        const core::target& info = target.info;
        table.add({info.id.value(), info.service.value(),
                   info.address + ":" + std::to_string(info.port), info.data_centre.value(),
                   std::to_string(info.slots), std::to_string(target.online),
                   std::to_string(target.batch), target_state(target)});
    }
    return table.text();
}

std::string result_text(const core::audit_entry& entry)
{
    return entry.refused.empty() ? "applied" : "refused: " + entry.refused;
}

} // namespace

std::string status_text(const core::status_view& status)
{
    text_table table;
    table.add({"instance", status.self.instance.value()});
    table.add({"incarnation", std::to_string(status.self.number)});
    table.add({"current", yes_or_no(status.current) + ", by " + status.basis});
    table.add({"leaving", yes_or_no(status.leaving)});
    table.add({"fleet version", std::to_string(status.version)});
    table.add({"applied to", std::to_string(status.applied_next)});
    table.add({"queued", std::to_string(status.queued)});
    table.add({"running online", std::to_string(status.running_online)});
    table.add({"running batch", std::to_string(status.running_batch)});
    return table.text() + "\n" + members_text(status.members) + "\n" + targets_text(status.targets);
}

std::string audit_text(const std::vector<core::audit_entry>& trail)
{
    text_table table({"TIME", "BASE", "VERSION", "AUTHOR", "CHANGED", "COMMENT", "RESULT"});
    for (const core::audit_entry& entry : trail) {
        table.add({time_text(entry.at), std::to_string(entry.base),
                   entry.version == 0 ? "" : std::to_string(entry.version), entry.author,
                   names_text(entry.entries), entry.comment, result_text(entry)});
    }
    return table.text();
}

std::string audit_line(const core::audit_entry& entry)
{
    const std::string comment = entry.comment.empty() ? "" : " (" + entry.comment + ")";
    return printable(time_text(entry.at) + " version " + std::to_string(entry.version) + " by " +
                     entry.author + ": " + names_text(entry.entries) + comment);
}

std::string jobs_text(const std::vector<core::job_status>& jobs)
{
    text_table table({"ID", "TEAM", "ITEMS", "SUCCEEDED", "FAILED", "STATE"});
    for (const core::job_status& job : jobs) {
        table.add({job.job.value(), job.team.value(), std::to_string(job.items),
                   std::to_string(job.succeeded), std::to_string(job.failed), job_state(job)});
    }
    return table.text();
}

std::string job_text(const core::job_status& job)
{
    text_table table;
    table.add({"id", job.job.value()});
    table.add({"team", job.team.value()});
    table.add({"items", std::to_string(job.items)});
    table.add({"succeeded", std::to_string(job.succeeded)});
    table.add({"failed", std::to_string(job.failed)});
    table.add({"state", job_state(job)});
    table.add({"content SHA-256", config::to_hex(job.content)});
    return table.text();
}

std::string applied_text(const core::apply_reply& reply)
{
    return "version " + std::to_string(reply.version) + " is in force on " +
           std::to_string(reply.applied) + " of " + std::to_string(reply.members) + " instances\n";
}

} // namespace gooseberryfall::cli
