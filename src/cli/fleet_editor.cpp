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

constexpr const char* conflict_hint =
    "nothing was applied; look at the changes above and put them into your file if they shall "
    "stay, then run the command again";

failure unreadable(const std::string& what, const config::problem_list& faults)
{
    return {exit_code::refused, what + " is unreadable: " + config::to_text(faults),
            "use a gooseberryfall of the same version as the instances"};
}

/// Names of the entries as the audit trail has them, sorted.
std::vector<std::string> names_of(const core::fleet_difference& change)
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

bool is_of(const core::audit_entry& entry, const core::operator_apply& request)
{
    std::vector<std::string> names = entry.entries;
    std::sort(names.begin(), names.end());
    return entry.author == request.author && entry.comment == request.comment &&
           entry.base == request.base && names == names_of(request.change);
}

failure conflict(core::config_version base, const std::vector<core::audit_entry>& trail)
{
    std::string message =
        "version " + std::to_string(base) + " is no longer in force; changed since it was read:";
    std::string lines;
    for (const core::audit_entry& entry : trail) {
        if (entry.version > base) {
            lines += "\n  " + audit_line(entry);
        }
    }
    message += lines.empty() ? "\n  the audit trail does not show it yet" : lines;
    return {exit_code::conflict, message, conflict_hint};
}

/// Waits for the next question, but not beyond the deadline. Returns false at the deadline.
bool wait_to_poll(clock::time_point deadline)
{
    const auto now = clock::now();
    if (now >= deadline) {
        return false;
    }
    std::this_thread::sleep_until(std::min(deadline, now + poll_interval));
    return true;
}

/// Names of the members that have not applied the version.
std::string lagging(const core::status_view& status, core::config_version version)
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
    // A version is the offset after its record, so it is compared with the next offset.
    reply.applied = static_cast<std::uint32_t>(std::count_if(
        status.members.begin(), status.members.end(),
        [&](const core::member_view& member) { return member.applied_next >= version; }));
    return reply;
}

fleet_editor::fleet_editor(api_client& client, const options& settings)
    : client_(client), settings_(settings)
{
}

result<fleet_reading> fleet_editor::read()
{
    auto reply = client_.read("/v1/fleet");
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    const auto value = config::parse_json(reply->body);
    auto state = value ? config::fleet_from_json(*value) : tl::unexpected(value.error());
    if (!state) {
        return tl::unexpected(unreadable("the fleet in force", state.error()));
    }
    return fleet_reading{std::move(reply->body), std::move(*state), std::move(reply->seen)};
}

result<std::vector<core::audit_entry>> fleet_editor::audit()
{
    const auto reply = client_.read("/v1/audit");
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    const auto value = config::parse_json(reply->body);
    auto trail = value ? config::audit_from_json(*value) : tl::unexpected(value.error());
    if (!trail) {
        return tl::unexpected(unreadable("the audit trail", trail.error()));
    }
    return std::move(*trail);
}

result<core::operator_apply> fleet_editor::make_request(const fleet_reading& base,
                                                        const core::fleet_difference& change) const
{
    core::operator_apply request;
    request.author = settings_.author;
    request.comment = settings_.comment;
    request.base = base.state.version;
    request.change = change;
    // Names, author and comment come from the command line; the instance would check the same.
    const auto checked = config::apply_from_json(config::to_json(request));
    if (!checked) {
        return fail(exit_code::wrong_usage, config::to_text(checked.error()),
                    "correct the value on the command line");
    }
    return request;
}

result<core::apply_reply> fleet_editor::apply(const fleet_reading& base,
                                              const core::fleet_difference& change)
{
    auto request = make_request(base, change);
    if (!request) {
        return tl::unexpected(request.error());
    }
    sent_change sent{std::move(*request), base.seen.applied_next, base.state};
    for (const core::entry_key& key : change.removals) {
        sent.expected.remove(key);
    }
    for (const core::fleet_entry& entry : change.upserts) {
        sent.expected.upsert(entry);
    }
    const std::string body = boost::json::serialize(config::to_json(sent.request));
    const auto answer = client_.change("/v1/apply", body);
    if (!answer) {
        return answer.error().code == exit_code::outcome_unknown
                   ? find_in_audit(sent, answer.error())
                   : tl::unexpected(answer.error());
    }
    const auto value = config::parse_json(answer->body);
    const auto reply =
        value ? config::apply_reply_from_json(*value) : tl::unexpected(value.error());
    if (!reply) {
        return find_in_audit(sent, {exit_code::outcome_unknown,
                                    answer->instance + ": the answer is unreadable", ""});
    }
    if (!reply->refused.empty()) {
        return tl::unexpected(refused(sent.request.base, *reply));
    }
    return *reply;
}

failure fleet_editor::refused(core::config_version base, const core::apply_reply& reply)
{
    if (reply.version == base) {
        return {exit_code::refused, "the change was refused: " + reply.refused,
                "correct what the message names; the fleet in force is unchanged"};
    }
    const auto trail = audit();
    if (trail) {
        return conflict(base, *trail);
    }
    return {exit_code::conflict,
            "the change was refused: " + reply.refused +
                "\nthe audit trail could not be read: " + trail.error().message,
            "run `gooseberryfall audit` to see who changed what, then run the command again"};
}

bool fleet_editor::same_content(const sent_change& sent, core::config_version version)
{
    const auto now = read();
    const bool comparable = now && now->state.version == version;
    return !comparable || now->state.same_entries(sent.expected);
}

result<core::apply_reply> fleet_editor::recorded(core::config_version version)
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
fleet_editor::judge_audit(const sent_change& sent, const std::vector<core::audit_entry>& trail)
{
    for (const core::audit_entry& entry : trail) {
        if (entry.base != sent.request.base || entry.offset < sent.sent_after) {
            continue;
        }
        const bool own = is_of(entry, sent.request);
        if (entry.refused.empty()) {
            // Only one change can follow a version. If it is another's, this one never takes
            // effect.
            if (own && same_content(sent, entry.version)) {
                return recorded(entry.version);
            }
            return tl::unexpected(conflict(sent.request.base, trail));
        }
        if (own) {
            return fail(exit_code::refused, "the change was refused: " + entry.refused,
                        "correct what the message names; the fleet in force is unchanged");
        }
    }
    return std::nullopt;
}

result<core::apply_reply> fleet_editor::find_in_audit(const sent_change& sent, const failure& loss)
{
    const auto deadline = clock::now() + settings_.timeout;
    do {
        const auto trail = audit();
        if (trail) {
            if (auto judged = judge_audit(sent, *trail)) {
                return std::move(*judged);
            }
        }
    } while (wait_to_poll(deadline));
    return fail(exit_code::outcome_unknown,
                loss.message + "\nthe audit trail did not show the change within " +
                    std::to_string(settings_.timeout.count()) + " ms; it may still be recorded",
                "run `gooseberryfall audit` in a while, or run the command again: a change that is "
                "based on a version no longer in force is not applied twice");
}

result<core::apply_reply> fleet_editor::wait_everywhere(core::config_version version)
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
        reason = status->view.current ? "not yet in force on: " + lagging(status->view, version)
                                      : "no instance is current";
    } while (wait_to_poll(deadline));
    return fail(exit_code::outcome_unknown,
                "version " + std::to_string(version) +
                    " is recorded, but was not seen in force everywhere in time\n" + reason,
                "run the command again to wait on, or look at `gooseberryfall status`");
}

} // namespace gooseberryfall::cli
