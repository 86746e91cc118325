#include "cli/fleet_editor.hpp"

#include "cli/output.hpp"

#include "config/fleet_json.hpp"
#include "config/view_json.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace gooseberryfall::cli {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_interval{200};

constexpr const char* conflict_next_step = "nothing was applied; review the changes above, add "
                                           "those that are to stay to your file, and run "
                                           "the command again";

failure decoding_failure(const std::string& what, const config::problem_list& problems)
{
    return {exit_code::rejected, what + " cannot be decoded: " + config::to_text(problems),
            "use a gooseberryfall of the same version as the instances"};
}

/// Names of the changed entries in the notation of the audit trail, sorted.
std::vector<std::string> sorted_entry_names(const core::fleet_difference& change)
{
    std::vector<std::string> names;
    for (const core::fleet_entry& entry : change.upserts) {
        names.push_back(core::to_text(core::key_of(entry)));
    }
    for (const core::entry_key& key : change.removals) {
        names.push_back("-" + core::to_text(key));
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// Whether the audit entry has the author, comment, base and entry names of the request.
bool matches_request(const core::audit_entry& entry, const core::operator_apply& request)
{
    std::vector<std::string> names = entry.entries;
    std::sort(names.begin(), names.end());
    return entry.author == request.author && entry.comment == request.comment &&
           entry.base == request.base && names == sorted_entry_names(request.change);
}

failure make_conflict(core::config_version base, const std::vector<core::audit_entry>& trail)
{
    std::string message =
        "version " + std::to_string(base) + " is no longer in force; changed since it was read:";
    std::string lines;
    for (const core::audit_entry& entry : trail) {
        if (entry.version > base) {
            lines += "\n  " + format_audit_line(entry);
        }
    }
    message += lines.empty() ? "\n  the audit trail does not show it yet" : lines;
    return {exit_code::conflict, message, conflict_next_step};
}

/// Sleeps until the next poll, but not beyond the deadline. Returns false once it has passed.
bool sleep_until_next_poll(clock::time_point deadline)
{
    const auto now = clock::now();
    if (now >= deadline) {
        return false;
    }
    std::this_thread::sleep_until(std::min(deadline, now + poll_interval));
    return true;
}

/// Comma-separated names of the members that have not applied the version.
std::string lagging_members(const core::status_view& status, core::config_version version)
{
    std::string names;
    for (const core::member_view& member : status.members) {
        if (member.applied_next < version) {
            names += (names.empty() ? "" : ", ") + member.info.incarnation.instance.value();
        }
    }
    return names;
}

} // namespace

core::apply_reply count_applied(const core::status_view& status, core::config_version version)
{
    core::apply_reply reply;
    reply.version = version;
    reply.members = static_cast<std::uint32_t>(status.members.size());
    // A version is the offset after its record, so it is compared with the next offset to apply.
    reply.applied = static_cast<std::uint32_t>(std::count_if(
        status.members.begin(), status.members.end(),
        [&](const core::member_view& member) { return member.applied_next >= version; }));
    return reply;
}

fleet_editor::fleet_editor(api_client& client, const command_settings& settings)
    : client_(client), settings_(settings)
{
}

result<fleet_snapshot> fleet_editor::read()
{
    auto read_result = client_.read("/v1/fleet");
    if (!read_result) {
        return tl::unexpected(read_result.error());
    }
    const auto value = config::parse_json(read_result->body);
    auto state = value ? config::fleet_from_json(*value) : tl::unexpected(value.error());
    if (!state) {
        return tl::unexpected(decoding_failure("the fleet in force", state.error()));
    }
    return fleet_snapshot{std::move(read_result->body), std::move(*state),
                          std::move(read_result->status_before)};
}

result<std::vector<core::audit_entry>> fleet_editor::audit()
{
    const auto read_result = client_.read("/v1/audit");
    if (!read_result) {
        return tl::unexpected(read_result.error());
    }
    const auto value = config::parse_json(read_result->body);
    auto trail = value ? config::audit_from_json(*value) : tl::unexpected(value.error());
    if (!trail) {
        return tl::unexpected(decoding_failure("the audit trail", trail.error()));
    }
    return std::move(*trail);
}

result<core::operator_apply> fleet_editor::make_request(const fleet_snapshot& base,
                                                        const core::fleet_difference& change) const
{
    core::operator_apply request;
    request.author = settings_.author;
    request.comment = settings_.comment;
    request.base = base.state.version;
    request.change = change;
    // Names, author and comment come from the command line. This is the check that the instance
    // makes.
    const auto checked = config::apply_from_json(config::to_json(request));
    if (!checked) {
        return make_failure(exit_code::usage_error, config::to_text(checked.error()),
                            "correct the value on the command line");
    }
    return request;
}

result<core::apply_reply> fleet_editor::apply(const fleet_snapshot& base,
                                              const core::fleet_difference& change)
{
    auto request = make_request(base, change);
    if (!request) {
        return tl::unexpected(request.error());
    }
    sent_change sent{std::move(*request), base.status_before.applied_next, base.state};
    for (const core::entry_key& key : change.removals) {
        sent.expected_fleet.remove(key);
    }
    for (const core::fleet_entry& entry : change.upserts) {
        sent.expected_fleet.upsert(entry);
    }
    const std::string body = boost::json::serialize(config::to_json(sent.request));
    const auto response = client_.post("/v1/apply", body);
    if (!response) {
        return response.error().code == exit_code::outcome_unknown
                   ? resolve_outcome(sent, response.error())
                   : tl::unexpected(response.error());
    }
    const auto value = config::parse_json(response->body);
    const auto reply =
        value ? config::apply_reply_from_json(*value) : tl::unexpected(value.error());
    if (!reply) {
        return resolve_outcome(sent, {exit_code::outcome_unknown,
                                      response->instance + ": cannot decode the response", ""});
    }
    if (!reply->refused.empty()) {
        return tl::unexpected(make_rejection(sent.request.base, *reply));
    }
    return *reply;
}

failure fleet_editor::make_rejection(core::config_version base, const core::apply_reply& reply)
{
    if (reply.version == base) {
        return {exit_code::rejected, "the change was refused: " + reply.refused,
                "correct what the message names; the fleet in force is unchanged"};
    }
    const auto trail = audit();
    if (trail) {
        return make_conflict(base, *trail);
    }
    return {exit_code::conflict,
            "the change was refused: " + reply.refused +
                "\nthe audit trail could not be read: " + trail.error().message,
            "run `gooseberryfall audit` to see who changed what, then run the command again"};
}

bool fleet_editor::has_same_content(const sent_change& sent, core::config_version version)
{
    const auto latest = read();
    const bool comparable = latest && latest->state.version == version;
    return !comparable || latest->state.same_entries(sent.expected_fleet);
}

result<core::apply_reply> fleet_editor::make_recorded_reply(core::config_version version)
{
    const auto status = client_.status();
    if (status) {
        return count_applied(status->view, version);
    }
    core::apply_reply reply;
    reply.version = version;
    return reply;
}

std::optional<result<core::apply_reply>>
fleet_editor::find_outcome(const sent_change& sent, const std::vector<core::audit_entry>& trail)
{
    for (const core::audit_entry& entry : trail) {
        if (!sent.shares_base_with(entry) || !matches_request(entry, sent.request)) {
            continue;
        }
        if (entry.refused.empty()) {
            if (has_same_content(sent, entry.version)) {
                return make_recorded_reply(entry.version);
            }
            continue;
        }
        if (is_superseded(sent, trail)) {
            return tl::unexpected(make_conflict(sent.request.base, trail));
        }
        return make_failure(exit_code::rejected, "the change was refused: " + entry.refused,
                            "correct what the message names; the fleet in force is unchanged");
    }
    return std::nullopt;
}

bool fleet_editor::is_superseded(const sent_change& sent,
                                 const std::vector<core::audit_entry>& trail)
{
    return std::any_of(trail.begin(), trail.end(), [&](const core::audit_entry& entry) {
        return entry.refused.empty() && sent.shares_base_with(entry);
    });
}

result<core::apply_reply> fleet_editor::resolve_outcome(const sent_change& sent,
                                                        const failure& response_failure)
{
    const auto deadline = clock::now() + settings_.timeout;
    std::optional<failure> conflict;
    do {
        const auto trail = audit();
        if (!trail) {
            continue;
        }
        if (auto outcome = find_outcome(sent, *trail)) {
            return std::move(*outcome);
        }
        if (is_superseded(sent, *trail)) {
            // At most one change can be based on a version, so that the change sent never takes
            // effect. Its refusal may still be on its way to the audit trail.
            conflict = make_conflict(sent.request.base, *trail);
        }
    } while (sleep_until_next_poll(deadline));
    if (conflict) {
        conflict->message += "\nthe audit trail does not show the refusal of this change yet";
        return tl::unexpected(*conflict);
    }
    return make_failure(
        exit_code::outcome_unknown,
        response_failure.message + "\nthe audit trail did not show the change within " +
            std::to_string(settings_.timeout.count()) + " ms; it may still be recorded",
        "run `gooseberryfall audit` in a while, or run the command again: a change that is "
        "based on a version no longer in force is not applied twice");
}

result<core::apply_reply> fleet_editor::wait_until_applied(core::config_version version)
{
    const auto deadline = clock::now() + settings_.timeout;
    std::string reason;
    do {
        const auto status = client_.status();
        if (!status) {
            reason = status.error().message;
            continue;
        }
        const core::apply_reply reply = count_applied(status->view, version);
        if (status->view.current && reply.members > 0 && reply.applied == reply.members) {
            return reply;
        }
        reason = status->view.current
                     ? "not yet in force on: " + lagging_members(status->view, version)
                     : "no instance is current";
    } while (sleep_until_next_poll(deadline));
    return make_failure(exit_code::outcome_unknown,
                        "version " + std::to_string(version) +
                            " is recorded, but was not reported in force on every instance within "
                            "the time limit\n" +
                            reason,
                        "run the command again to wait longer, or look at `gooseberryfall status`");
}

} // namespace gooseberryfall::cli
