#include "cli/commands.hpp"

#include "cli/new_key.hpp"
#include "cli/output.hpp"
#include "cli/text_table.hpp"

#include "config/config.hpp"
#include "config/nearest_name.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>
#include <ostream>
#include <thread>

namespace gooseberryfall::cli {

namespace json = boost::json;

namespace {

constexpr std::size_t job_id_limit = 64;

/// A key can be issued or withdrawn on top of any version, so a conflict is resolved by reading the
/// fleet again.
constexpr int edit_attempts = 5;

constexpr std::chrono::milliseconds poll_interval{200};

std::string as_line(std::string body)
{
    if (body.empty() || body.back() != '\n') {
        body += '\n';
    }
    return body;
}

result<core::fleet> read_file(const std::string& file)
{
    auto state = config::read_fleet(file);
    if (!state) {
        return fail(exit_code::bad_file,
                    "the fleet file has errors; nothing is applied\n" +
                        config::to_text(state.error()),
                    "correct the file; `gooseberryfall validate FILE` checks it");
    }
    return std::move(*state);
}

failure unreadable(const config::problem_list& faults)
{
    return {exit_code::refused, "the answer is unreadable: " + config::to_text(faults),
            "use a gooseberryfall of the same version as the instances"};
}

result<core::job_status> parse_job(const std::string& body)
{
    const auto value = config::parse_json(body);
    auto job = value ? config::job_from_json(*value) : tl::unexpected(value.error());
    if (!job) {
        return tl::unexpected(unreadable(job.error()));
    }
    return std::move(*job);
}

/// Name of the entry with the nearest name.
template <class Entries>
std::string nearest_entry(const Entries& entries, const std::string& name)
{
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (const auto& [id, entry] : entries) {
        names.push_back(id.value());
    }
    return config::nearest_name(name, names);
}

std::string nearest_hint(const std::string& nearest)
{
    return nearest.empty() ? "" : "; the nearest name is " + nearest;
}

std::string key_entry(const core::api_key& key)
{
    return "[[key]]\nname = \"" + key.id.value() + "\"\nteam = \"" + key.team.value() +
           "\"\nhash = \"" + config::to_hex(key.hash) + "\"\n";
}

/// The change that adds the key, or why it cannot be added.
result<core::fleet_difference> add_key(const core::fleet& state, const core::api_key& key)
{
    if (!state.teams.contains(key.team)) {
        return fail(exit_code::refused,
                    "there is no team " + key.team.value() + " in the fleet in force" +
                        nearest_hint(nearest_entry(state.teams, key.team.value())),
                    "`gooseberryfall fleet` shows the teams; a new one is added with `apply`");
    }
    if (state.keys.contains(key.id)) {
        return fail(exit_code::refused, "there is a key named " + key.id.value() + " already",
                    "choose another --name, or withdraw the key first");
    }
    return core::fleet_difference{{key}, {}};
}

} // namespace

commands::commands(const invocation& call, std::ostream& out, std::ostream& notes)
    : call_(call), out_(out), notes_(notes), client_(call.settings), editor_(client_, call.settings)
{
    assert(call.command->remote);
}

result<void> commands::run()
{
    switch (call_.command->id) {
    case command_id::diff:
        return diff();
    case command_id::apply:
        return apply();
    case command_id::fleet:
        return fleet();
    case command_id::status:
        return status();
    case command_id::audit:
        return audit();
    case command_id::job_list:
        return job_list();
    case command_id::job_show:
        return job_show();
    case command_id::job_cancel:
        return job_cancel();
    case command_id::key_issue:
        return key_issue();
    case command_id::key_withdraw:
        return key_withdraw();
    case command_id::drain:
        return drain();
    case command_id::validate:
    case command_id::explain:
    case command_id::help:
        break;
    }
    assert(false);
    return {};
}

result<void> commands::diff()
{
    const auto wanted = read_file(call_.arguments.front());
    if (!wanted) {
        return tl::unexpected(wanted.error());
    }
    const auto reading = editor_.read();
    if (!reading) {
        return tl::unexpected(reading.error());
    }
    const core::fleet_difference change = core::difference(reading->state, *wanted);
    if (json()) {
        out_ << json::serialize(config::to_json(change)) << "\n";
        return {};
    }
    for (const std::string& line : config::describe(change, reading->state)) {
        out_ << printable(line) << "\n";
    }
    if (change.empty()) {
        out_ << "no difference to version " << reading->state.version << "\n";
    }
    return {};
}

result<void> commands::apply()
{
    const auto wanted = read_file(call_.arguments.front());
    if (!wanted) {
        return tl::unexpected(wanted.error());
    }
    const auto reading = editor_.read();
    if (!reading) {
        return tl::unexpected(reading.error());
    }
    const core::fleet_difference change = core::difference(reading->state, *wanted);
    if (change.empty()) {
        const auto reply = count_applied(reading->seen, reading->state.version);
        out_ << (json() ? json::serialize(config::to_json(reply)) + "\n"
                        : "nothing to change; " + applied_text(reply));
        return {};
    }
    const auto reply = editor_.apply(*reading, change);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    if (json()) {
        out_ << json::serialize(config::to_json(*reply)) << "\n";
        return {};
    }
    for (const std::string& line : config::describe(change, reading->state)) {
        out_ << printable(line) << "\n";
    }
    out_ << applied_text(*reply);
    if (reply->applied < reply->members) {
        notes_ << "note: the others follow; `gooseberryfall status` shows what they have applied\n";
    }
    return {};
}

result<void> commands::fleet()
{
    const auto reading = editor_.read();
    if (!reading) {
        return tl::unexpected(reading.error());
    }
    out_ << (json() ? as_line(reading->body) : config::write_fleet(reading->state));
    return {};
}

result<void> commands::status()
{
    const auto reply = client_.status();
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    out_ << (json() ? as_line(reply->body) : status_text(reply->view));
    if (!reply->view.current) {
        notes_ << "note: no instance that answered is current; what is shown may be out of date\n";
    }
    return {};
}

result<void> commands::audit()
{
    if (json()) {
        auto reply = client_.read("/v1/audit");
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        out_ << as_line(std::move(reply->body));
        return {};
    }
    const auto trail = editor_.audit();
    if (!trail) {
        return tl::unexpected(trail.error());
    }
    out_ << audit_text(*trail);
    return {};
}

result<void> commands::job_list()
{
    auto reply = client_.read("/v1/jobs");
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    if (json()) {
        out_ << as_line(std::move(reply->body));
        return {};
    }
    const auto value = config::parse_json(reply->body);
    const auto jobs = value ? config::jobs_from_json(*value) : tl::unexpected(value.error());
    if (!jobs) {
        return tl::unexpected(unreadable(jobs.error()));
    }
    out_ << jobs_text(*jobs);
    return {};
}

result<std::string> commands::job_path() const
{
    const std::string& id = call_.arguments.front();
    const bool plain = std::all_of(id.begin(), id.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') || character == '-' || character == '_';
    });
    if (id.empty() || id.size() > job_id_limit || !plain) {
        return fail(exit_code::wrong_usage, "the argument is not the identifier of a job",
                    "`gooseberryfall job list` shows the identifiers");
    }
    return "/v1/jobs/" + id;
}

result<core::job_status> commands::read_job(const std::string& path, std::string& body)
{
    auto reply = client_.read(path);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    body = std::move(reply->body);
    return parse_job(body);
}

void commands::print_job(const core::job_status& job, const std::string& body)
{
    out_ << (json() ? as_line(body) : job_text(job));
}

result<void> commands::job_show()
{
    const auto path = job_path();
    if (!path) {
        return tl::unexpected(path.error());
    }
    std::string body;
    const auto job = read_job(*path, body);
    if (!job) {
        return tl::unexpected(job.error());
    }
    print_job(*job, body);
    return {};
}

result<void> commands::job_cancel()
{
    const auto path = job_path();
    if (!path) {
        return tl::unexpected(path.error());
    }
    const auto answer = client_.change(*path + "/cancel", "");
    if (!answer) {
        return answer.error().code == exit_code::outcome_unknown
                   ? confirm_cancel(*path, answer.error())
                   : tl::unexpected(answer.error());
    }
    const auto job = parse_job(answer->body);
    if (!job) {
        return confirm_cancel(*path, job.error());
    }
    print_job(*job, answer->body);
    return {};
}

result<void> commands::confirm_cancel(const std::string& path, const failure& loss)
{
    const auto deadline = std::chrono::steady_clock::now() + call_.settings.timeout;
    while (true) {
        std::string body;
        const auto job = read_job(path, body);
        if (job && (job->cancelled || job->ended)) {
            print_job(*job, body);
            return {};
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return fail(exit_code::outcome_unknown,
                loss.message + "\nthe job was not seen cancelled in time",
                "run the command again; cancelling a job twice does no harm");
}

template <class Edit>
result<core::apply_reply> commands::apply_edit(Edit edit)
{
    result<core::apply_reply> reply;
    for (int attempt = 0; attempt < edit_attempts; ++attempt) {
        const auto reading = editor_.read();
        if (!reading) {
            return tl::unexpected(reading.error());
        }
        const result<core::fleet_difference> change = edit(reading->state);
        if (!change) {
            return tl::unexpected(change.error());
        }
        reply = editor_.apply(*reading, *change);
        if (reply || reply.error().code != exit_code::conflict) {
            break;
        }
    }
    return reply;
}

result<void> commands::key_issue()
{
    const auto key = make_key();
    if (!key) {
        return fail(exit_code::refused, "the system's random source gave no key", "try again");
    }
    const core::api_key entry{core::key_id(call_.settings.name), core::team_id(call_.settings.team),
                              config::sha256(*key)};
    const auto reply = apply_edit([&](const core::fleet& state) { return add_key(state, entry); });
    if (!reply) {
        failure reason = reply.error();
        if (reason.code == exit_code::outcome_unknown) {
            reason.next_step = "the key was not printed; if `gooseberryfall fleet` shows " +
                               call_.settings.name + " later, withdraw it and issue another";
        }
        return tl::unexpected(reason);
    }
    print_key(*key, *reply);
    if (!out_) {
        return fail(exit_code::refused, "the key could not be written to standard output",
                    "withdraw " + call_.settings.name + " and issue another key");
    }
    notes_ << "note: " << applied_text(*reply)
           << "note: the key is shown only now; add its entry to the fleet file, or the next apply "
              "removes it:\n"
           << key_entry(entry);
    return {};
}

void commands::print_key(const std::string& key, const core::apply_reply& reply)
{
    if (json()) {
        json::object object = config::to_json(reply).as_object();
        object["key"] = key;
        out_ << json::serialize(object) << "\n" << std::flush;
        return;
    }
    out_ << key << "\n" << std::flush;
}

result<core::config_version> commands::earlier_removal(const core::fleet& state,
                                                       const std::string& name)
{
    const auto trail = editor_.audit();
    if (!trail) {
        return tl::unexpected(trail.error());
    }
    const std::string removal = "-key/" + name;
    const auto found =
        std::find_if(trail->rbegin(), trail->rend(), [&](const core::audit_entry& entry) {
            return entry.refused.empty() && std::find(entry.entries.begin(), entry.entries.end(),
                                                      removal) != entry.entries.end();
        });
    if (found == trail->rend()) {
        return fail(exit_code::refused,
                    "there is no key named " + name + " in the fleet in force" +
                        nearest_hint(nearest_entry(state.keys, name)),
                    "`gooseberryfall fleet` shows the keys");
    }
    notes_ << "note: the key was removed before: " << audit_line(*found) << "\n";
    return found->version;
}

result<void> commands::key_withdraw()
{
    const std::string& name = call_.arguments.front();
    core::config_version removed_before = 0;
    const auto edited = apply_edit([&](const core::fleet& state) -> result<core::fleet_difference> {
        if (state.keys.contains(core::key_id(name))) {
            return core::fleet_difference{{}, {{core::entry_kind::api_key, name}}};
        }
        const auto version = earlier_removal(state, name);
        if (!version) {
            return tl::unexpected(version.error());
        }
        removed_before = *version;
        return fail(exit_code::done, "", "");
    });
    if (!edited && removed_before == 0) {
        return tl::unexpected(edited.error());
    }
    const core::config_version version = edited ? edited->version : removed_before;
    const auto reply = editor_.wait_everywhere(version);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    out_ << (json() ? json::serialize(config::to_json(*reply)) + "\n"
                    : "removed key/" + printable(name) + "\n" + applied_text(*reply));
    notes_ << "note: remove the key from the fleet file too, or the next apply brings it back\n";
    return {};
}

result<void> commands::drain()
{
    const auto answer = client_.change("/v1/drain", "");
    if (!answer && answer.error().code != exit_code::outcome_unknown) {
        return tl::unexpected(answer.error());
    }
    if (!answer) {
        return confirm_drain(answer.error());
    }
    out_ << (json() ? as_line(answer->body) : call_.settings.instances.front() + " is leaving\n");
    return {};
}

result<void> commands::confirm_drain(const failure& loss)
{
    const auto status = client_.status();
    if (!status || !status->view.leaving) {
        return fail(exit_code::outcome_unknown, loss.message,
                    "look at `gooseberryfall status`; draining an instance twice does no harm");
    }
    out_ << (json() ? json::serialize(json::object{{"leaving", true}}) + "\n"
                    : call_.settings.instances.front() + " is leaving\n");
    return {};
}

} // namespace gooseberryfall::cli
