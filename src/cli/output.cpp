#include "cli/output.hpp"

#include "cli/text_table.hpp"

#include "config/digests.hpp"

#include <array>
#include <cstddef>
#include <ctime>
#include <map>

namespace gooseberryfall::cli {

namespace {

/// Maximum number of changed entries that a line names.
constexpr std::size_t names_shown_max = 4;

std::string format_bool(bool value)
{
    return value ? "yes" : "no";
}

/// UTC to the second, for example `2026-03-01T09:30:00Z`.
std::string format_time(core::wall_time at)
{
    const std::time_t seconds =
        std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
    std::tm utc_time{};
    if (gmtime_r(&seconds, &utc_time) == nullptr) {
        return std::to_string(at.time_since_epoch().count()) + " ms";
    }
    std::array<char, 64> text{};
    const std::size_t size =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc_time);
    return {text.data(), size};
}

std::string format_names(const std::vector<std::string>& names)
{
    std::string text;
    for (std::size_t index = 0; index < names.size() && index < names_shown_max; ++index) {
        text += (index == 0 ? "" : " ") + names[index];
    }
    if (names.size() > names_shown_max) {
        text += " and " + std::to_string(names.size() - names_shown_max) + " more";
    }
    return text;
}

/// Shard counts by kind, for example `control limits:2 batch:7`.
std::string format_shards(const std::vector<core::shard_id>& shards)
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

std::string format_condition(core::member_condition condition)
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

std::string format_target_state(const core::target_view& target)
{
    if (target.leaving) {
        return "leaving";
    }
    return target.suspect ? "suspect" : "ready";
}

std::string format_job_state(const core::job_status& job)
{
    if (job.cancelled) {
        return "cancelled";
    }
    return job.ended ? "ended" : "running";
}

std::string format_members(const std::vector<core::member_view>& members)
{
    text_table table(
        {"MEMBER", "DATA CENTRE", "CALLERS", "PEERS", "CONDITION", "APPLIED TO", "SHARDS"});
    for (const core::member_view& member : members) {
        const core::member& info = member.info;
        table.add_row({info.incarnation.instance.value(), info.data_centre.value(),
                       info.caller_address, info.peer_address, format_condition(member.condition),
                       std::to_string(member.applied_next), format_shards(member.shards)});
    }
    return table.format();
}

std::string format_targets(const std::vector<core::target_view>& targets)
{
    text_table table(
        {"TARGET", "SERVICE", "ADDRESS", "DATA CENTRE", "SLOTS", "ONLINE", "BATCH", "STATE"});
    for (const core::target_view& target : targets) {
        const core::target& info = target.info;
        table.add_row({info.id.value(), info.service.value(),
                       info.address + ":" + std::to_string(info.port), info.data_centre.value(),
                       std::to_string(info.slots), std::to_string(target.online),
                       std::to_string(target.batch), format_target_state(target)});
    }
    return table.format();
}

std::string format_result(const core::audit_entry& entry)
{
    return entry.refused.empty() ? "applied" : "refused: " + entry.refused;
}

} // namespace

std::string format_status(const core::status_view& status)
{
    text_table table;
    table.add_row({"instance", status.self.instance.value()});
    table.add_row({"incarnation", std::to_string(status.self.number)});
    table.add_row({"current", format_bool(status.current) + ", by " + status.basis});
    table.add_row({"leaving", format_bool(status.leaving)});
    table.add_row({"fleet version", std::to_string(status.version)});
    table.add_row({"applied to", std::to_string(status.applied_next)});
    table.add_row({"queued", std::to_string(status.queued)});
    table.add_row({"running online", std::to_string(status.running_online)});
    table.add_row({"running batch", std::to_string(status.running_batch)});
    return table.format() + "\n" + format_members(status.members) + "\n" +
           format_targets(status.targets);
}

std::string format_audit(const std::vector<core::audit_entry>& trail)
{
    text_table table({"TIME", "BASE", "VERSION", "AUTHOR", "CHANGED", "COMMENT", "RESULT"});
    for (const core::audit_entry& entry : trail) {
        table.add_row({format_time(entry.at), std::to_string(entry.base),
                       entry.version == 0 ? "" : std::to_string(entry.version), entry.author,
                       format_names(entry.entries), entry.comment, format_result(entry)});
    }
    return table.format();
}

std::string format_audit_line(const core::audit_entry& entry)
{
    const std::string comment = entry.comment.empty() ? "" : " (" + entry.comment + ")";
    return sanitize(format_time(entry.at) + " version " + std::to_string(entry.version) + " by " +
                    entry.author + ": " + format_names(entry.entries) + comment);
}

std::string format_jobs(const std::vector<core::job_status>& jobs)
{
    text_table table({"ID", "TEAM", "ITEMS", "SUCCEEDED", "FAILED", "STATE"});
    for (const core::job_status& job : jobs) {
        table.add_row({job.job.value(), job.team.value(), std::to_string(job.items),
                       std::to_string(job.succeeded), std::to_string(job.failed),
                       format_job_state(job)});
    }
    return table.format();
}

std::string format_job(const core::job_status& job)
{
    text_table table;
    table.add_row({"id", job.job.value()});
    table.add_row({"team", job.team.value()});
    table.add_row({"items", std::to_string(job.items)});
    table.add_row({"succeeded", std::to_string(job.succeeded)});
    table.add_row({"failed", std::to_string(job.failed)});
    table.add_row({"state", format_job_state(job)});
    table.add_row({"content SHA-256", config::to_hex(job.content)});
    return table.format();
}

std::string format_applied(const core::apply_reply& reply)
{
    return "version " + std::to_string(reply.version) + " is in force on " +
           std::to_string(reply.applied) + " of " + std::to_string(reply.members) + " instances\n";
}

} // namespace gooseberryfall::cli
