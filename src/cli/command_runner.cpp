#include "cli/command_runner.hpp"

#include "cli/key_generator.hpp"
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

constexpr std::size_t job_id_length_max = 64;

/// Attempts to issue or withdraw a key. Either is valid on top of any fleet version, so a conflict
/// is resolved by reading the fleet again.
constexpr int edit_attempts_max = 5;

constexpr std::chrono::milliseconds poll_interval{200};

std::string with_line_end(std::string body)
{
    if (body.empty() || body.back() != '\n') {
        body += '\n';
    }
    return body;
}

result<core::fleet> read_fleet_file(const std::string& file)
{
    auto state = config::read_fleet(file);
    if (!state) {
        return make_failure(exit_code::invalid_file,
                            "the fleet file has errors; nothing is applied\n" +
                                config::to_text(state.error()),
                            "correct the file; `gooseberryfall validate FILE` checks it");
    }
    return std::move(*state);
}

failure decoding_failure(const config::problem_list& problems)
{
    return {exit_code::rejected, "cannot decode the response: " + config::to_text(problems),
            "use a gooseberryfall of the same version as the instances"};
}

result<core::job_status> parse_job(const std::string& body)
{
    const auto value = config::parse_json(body);
    auto job = value ? config::job_from_json(*value) : tl::unexpected(value.error());
    if (!job) {
        return tl::unexpected(decoding_failure(job.error()));
    }
    return std::move(*job);
}

/// Most similar name among those of the entries.
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

std::string format_key_entry(const core::api_key& key)
{
    return "[[key]]\nname = \"" + key.id.value() + "\"\nteam = \"" + key.team.value() +
           "\"\nhash = \"" + config::to_hex(key.hash) + "\"\n";
}

/// Difference that adds the key; fails if the team is unknown or the name is taken.
result<core::fleet_difference> add_key(const core::fleet& state, const core::api_key& key)
{
    if (!state.teams.contains(key.team)) {
        return make_failure(
            exit_code::rejected,
            "there is no team " + key.team.value() + " in the fleet in force" +
                nearest_hint(nearest_entry(state.teams, key.team.value())),
            "`gooseberryfall fleet` shows the teams; a new one is added with `apply`");
    }
    if (state.keys.contains(key.id)) {
        return make_failure(exit_code::rejected,
                            "there is a key named " + key.id.value() + " already",
                            "choose another --name, or withdraw the key first");
    }
    return core::fleet_difference{{key}, {}};
}

} // namespace

command_runner::command_runner(const invocation& command_line, std::ostream& out,
                               std::ostream& notes)
    : command_line_(command_line), out_(out), notes_(notes), client_(command_line.settings),
      editor_(client_, command_line.settings)
{
    assert(command_line.command->remote);
}

result<void> command_runner::run()
{
    switch (command_line_.command->id) {
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
    case command_id::check:
    case command_id::explain:
    case command_id::help:
        break;
    }
    assert(false);
    return {};
}

result<command_runner::file_comparison> command_runner::compare_with_file()
{
    const auto desired = read_fleet_file(command_line_.arguments.front());
    if (!desired) {
        return tl::unexpected(desired.error());
    }
    auto snapshot = editor_.read();
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    core::fleet_difference change = core::difference(snapshot->state, *desired);
    return file_comparison{std::move(*snapshot), std::move(change)};
}

result<void> command_runner::diff()
{
    const auto compared = compare_with_file();
    if (!compared) {
        return tl::unexpected(compared.error());
    }
    const auto& [snapshot, change] = *compared;
    if (json_output()) {
        out_ << json::serialize(config::to_json(change)) << "\n";
        return {};
    }
    for (const std::string& line : config::describe(change, snapshot.state)) {
        out_ << sanitize(line) << "\n";
    }
    if (change.empty()) {
        out_ << "no difference to version " << snapshot.state.version << "\n";
    }
    return {};
}

result<void> command_runner::apply()
{
    const auto compared = compare_with_file();
    if (!compared) {
        return tl::unexpected(compared.error());
    }
    const auto& [snapshot, change] = *compared;
    if (change.empty()) {
        const auto reply = count_applied(snapshot.status_before, snapshot.state.version);
        out_ << (json_output() ? json::serialize(config::to_json(reply)) + "\n"
                               : "nothing to change; " + format_applied(reply));
        return {};
    }
    const auto reply = editor_.apply(snapshot, change);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    if (json_output()) {
        out_ << json::serialize(config::to_json(*reply)) << "\n";
        return {};
    }
    for (const std::string& line : config::describe(change, snapshot.state)) {
        out_ << sanitize(line) << "\n";
    }
    out_ << format_applied(*reply);
    if (reply->applied < reply->members) {
        notes_ << "note: the other instances have yet to apply it; `gooseberryfall status` shows "
                  "their state\n";
    }
    return {};
}

result<void> command_runner::fleet()
{
    const auto snapshot = editor_.read();
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    out_ << (json_output() ? with_line_end(snapshot->body) : config::write_fleet(snapshot->state));
    return {};
}

result<void> command_runner::status()
{
    const auto status_result = client_.status();
    if (!status_result) {
        return tl::unexpected(status_result.error());
    }
    out_ << (json_output() ? with_line_end(status_result->body)
                           : format_status(status_result->view));
    if (!status_result->view.current) {
        notes_ << "note: no instance that answered is current; what is shown may be out of date\n";
    }
    return {};
}

result<void> command_runner::audit()
{
    if (json_output()) {
        auto read_result = client_.read("/v1/audit");
        if (!read_result) {
            return tl::unexpected(read_result.error());
        }
        out_ << with_line_end(std::move(read_result->body));
        return {};
    }
    const auto trail = editor_.audit();
    if (!trail) {
        return tl::unexpected(trail.error());
    }
    out_ << format_audit(*trail);
    return {};
}

result<void> command_runner::job_list()
{
    auto read_result = client_.read("/v1/jobs");
    if (!read_result) {
        return tl::unexpected(read_result.error());
    }
    if (json_output()) {
        out_ << with_line_end(std::move(read_result->body));
        return {};
    }
    const auto value = config::parse_json(read_result->body);
    const auto jobs = value ? config::jobs_from_json(*value) : tl::unexpected(value.error());
    if (!jobs) {
        return tl::unexpected(decoding_failure(jobs.error()));
    }
    out_ << format_jobs(*jobs);
    return {};
}

result<std::string> command_runner::job_path() const
{
    const std::string& id = command_line_.arguments.front();
    const bool has_valid_characters = std::all_of(id.begin(), id.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') || character == '-' || character == '_';
    });
    if (id.empty() || id.size() > job_id_length_max || !has_valid_characters) {
        return make_failure(exit_code::usage_error, "the argument is not a job identifier",
                            "`gooseberryfall job list` shows the identifiers");
    }
    return "/v1/jobs/" + id;
}

result<core::job_status> command_runner::read_job(const std::string& path, std::string& body)
{
    auto read_result = client_.read(path);
    if (!read_result) {
        return tl::unexpected(read_result.error());
    }
    body = std::move(read_result->body);
    return parse_job(body);
}

void command_runner::print_job(const core::job_status& job, const std::string& body)
{
    out_ << (json_output() ? with_line_end(body) : format_job(job));
}

result<void> command_runner::job_show()
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

result<void> command_runner::job_cancel()
{
    const auto path = job_path();
    if (!path) {
        return tl::unexpected(path.error());
    }
    const auto response = client_.post(*path + "/cancel", "");
    if (!response) {
        return response.error().code == exit_code::outcome_unknown
                   ? confirm_cancel(*path, response.error())
                   : tl::unexpected(response.error());
    }
    const auto job = parse_job(response->body);
    if (!job) {
        return confirm_cancel(*path, job.error());
    }
    print_job(*job, response->body);
    return {};
}

result<void> command_runner::confirm_cancel(const std::string& path,
                                            const failure& response_failure)
{
    const auto deadline = std::chrono::steady_clock::now() + command_line_.settings.timeout;
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
    return make_failure(exit_code::outcome_unknown,
                        response_failure.message +
                            "\nthe job was not reported as cancelled within the time limit",
                        "run the command again; cancelling a job twice does no harm");
}

template <class Edit>
result<core::apply_reply> command_runner::apply_edit(Edit edit)
{
    result<core::apply_reply> reply;
    for (int attempt = 0; attempt < edit_attempts_max; ++attempt) {
        const auto snapshot = editor_.read();
        if (!snapshot) {
            return tl::unexpected(snapshot.error());
        }
        const result<core::fleet_difference> change = edit(snapshot->state);
        if (!change) {
            return tl::unexpected(change.error());
        }
        reply = editor_.apply(*snapshot, *change);
        if (reply || reply.error().code != exit_code::conflict) {
            break;
        }
    }
    return reply;
}

result<void> command_runner::key_issue()
{
    const auto key = generate_api_key();
    if (!key) {
        return make_failure(exit_code::rejected,
                            "the operating system's random source failed to generate a key",
                            "try again");
    }
    const core::api_key entry{core::key_id(command_line_.settings.name),
                              core::team_id(command_line_.settings.team), config::sha256(*key)};
    const auto reply = apply_edit([&](const core::fleet& state) { return add_key(state, entry); });
    if (!reply) {
        failure reason = reply.error();
        if (reason.code == exit_code::outcome_unknown) {
            reason.next_step = "the key was not printed; if `gooseberryfall fleet` shows " +
                               command_line_.settings.name +
                               " later, withdraw it and issue another";
        }
        return tl::unexpected(reason);
    }
    print_key(*key, *reply);
    if (!out_) {
        return make_failure(exit_code::rejected, "the key could not be written to standard output",
                            "withdraw " + command_line_.settings.name + " and issue another key");
    }
    notes_ << "note: " << format_applied(*reply)
           << "note: the key is shown only now; add its entry to the fleet file, or the next apply "
              "removes it:\n"
           << format_key_entry(entry);
    return {};
}

void command_runner::print_key(const std::string& key, const core::apply_reply& reply)
{
    if (json_output()) {
        json::object object = config::to_json(reply).as_object();
        object["key"] = key;
        out_ << json::serialize(object) << "\n" << std::flush;
        return;
    }
    out_ << key << "\n" << std::flush;
}

result<core::config_version> command_runner::find_earlier_removal(const core::fleet& state,
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
        return make_failure(exit_code::rejected,
                            "there is no key named " + name + " in the fleet in force" +
                                nearest_hint(nearest_entry(state.keys, name)),
                            "`gooseberryfall fleet` shows the keys");
    }
    notes_ << "note: the key was removed before: " << format_audit_line(*found) << "\n";
    return found->version;
}

result<void> command_runner::key_withdraw()
{
    const std::string& name = command_line_.arguments.front();
    core::config_version removal_version = 0;
    const auto edit_result =
        apply_edit([&](const core::fleet& state) -> result<core::fleet_difference> {
            if (state.keys.contains(core::key_id(name))) {
                return core::fleet_difference{{}, {{core::entry_kind::api_key, name}}};
            }
            const auto version = find_earlier_removal(state, name);
            if (!version) {
                return tl::unexpected(version.error());
            }
            removal_version = *version;
            return make_failure(exit_code::success, "", "");
        });
    if (!edit_result && removal_version == 0) {
        return tl::unexpected(edit_result.error());
    }
    const core::config_version version = edit_result ? edit_result->version : removal_version;
    const auto reply = editor_.wait_until_applied(version);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    out_ << (json_output() ? json::serialize(config::to_json(*reply)) + "\n"
                           : "removed key/" + sanitize(name) + "\n" + format_applied(*reply));
    notes_ << "note: remove the key from the fleet file too, or the next apply brings it back\n";
    return {};
}

result<void> command_runner::drain()
{
    const auto response = client_.post("/v1/drain", "");
    if (!response && response.error().code != exit_code::outcome_unknown) {
        return tl::unexpected(response.error());
    }
    if (!response) {
        return confirm_drain(response.error());
    }
    out_ << (json_output() ? with_line_end(response->body)
                           : command_line_.settings.instances.front() + " is leaving\n");
    return {};
}

result<void> command_runner::confirm_drain(const failure& response_failure)
{
    const auto status = client_.status();
    if (!status || !status->view.leaving) {
        return make_failure(
            exit_code::outcome_unknown, response_failure.message,
            "look at `gooseberryfall status`; draining an instance twice does no harm");
    }
    out_ << (json_output() ? json::serialize(json::object{{"leaving", true}}) + "\n"
                           : command_line_.settings.instances.front() + " is leaving\n");
    return {};
}

} // namespace gooseberryfall::cli
