#include "cli/command_table.hpp"

#include "config/nearest_name.hpp"

#include <algorithm>

namespace gooseberryfall::cli {

namespace {

command_spec make_local(command_id id, std::string name, std::string arguments, std::size_t count)
{
    command_spec spec;
    spec.id = id;
    spec.name = std::move(name);
    spec.arguments = std::move(arguments);
    spec.argument_count = count;
    spec.remote = false;
    return spec;
}

command_spec make_remote(command_id id, std::string name, std::string arguments = {},
                         std::size_t count = 0)
{
    command_spec spec = make_local(id, std::move(name), std::move(arguments), count);
    spec.remote = true;
    return spec;
}

command_spec with_help(command_spec spec, std::string summary, std::string details,
                       std::string example)
{
    spec.summary = std::move(summary);
    spec.details = std::move(details);
    spec.example = std::move(example);
    return spec;
}

command_spec apply_command()
{
    command_spec spec = make_remote(command_id::apply, "apply", "FILE", 1);
    spec.flags = {"comment"};
    spec.needs_author = true;
    return with_help(
        std::move(spec), "Makes the fleet in force equal to a fleet file.",
        "Reads the fleet in force, computes the difference to FILE and sends it as one change "
        "that\n"
        "is based on the version read. Prints what changed and on how many instances it is in\n"
        "force. If somebody else changed the fleet in between, nothing is applied, and the "
        "command\n"
        "says who changed what. Entries that FILE does not hold are removed.",
        "gooseberryfall apply fleet.toml --comment \"two more engines\" --instance 10.0.0.1:7300");
}

command_spec check_command()
{
    command_spec spec = make_local(command_id::check, "check", "FILE", 1);
    spec.flags = {"against"};
    spec.optionally_remote = true;
    return with_help(
        std::move(spec), "Checks a fleet file before it is applied.",
        "Reports the errors of FILE with their lines, entries that have no effect, limits that\n"
        "cannot hold together, and what differs from another version: from the file of --against,\n"
        "or from the fleet in force if --instance is given. Names what the difference takes from\n"
        "callers. Sends no change. Warnings do not change the exit status.",
        "gooseberryfall check fleet.toml --instance 10.0.0.1:7300");
}

command_spec key_issue_command()
{
    command_spec spec = make_remote(command_id::key_issue, "key issue");
    spec.flags = {"team", "name", "comment"};
    spec.required_flags = {"team", "name"};
    spec.needs_author = true;
    return with_help(
        std::move(spec), "Issues a key for a team and prints it once.",
        "Generates a key from the operating system's random source, records its SHA-256 in the\n"
        "fleet and then prints the key on standard output. The key itself is not stored. Standard\n"
        "error shows the entry to add to the fleet file: without it the next apply removes the\n"
        "key.",
        "gooseberryfall key issue --team captions --name captions-2 --instance 10.0.0.1:7300");
}

command_spec key_withdraw_command()
{
    command_spec spec = make_remote(command_id::key_withdraw, "key withdraw", "NAME", 1);
    spec.flags = {"comment"};
    spec.needs_author = true;
    return with_help(
        std::move(spec), "Withdraws a key and waits until no instance accepts it.",
        "Removes the key from the fleet and waits, for at most --timeout, until the removal is in\n"
        "force on every instance. Running it again for a key that was withdrawn waits again. "
        "Remove\n"
        "the key from the fleet file too: otherwise the next apply brings it back.",
        "gooseberryfall key withdraw captions-2 --instance 10.0.0.1:7300");
}

std::vector<command_spec> file_commands()
{
    return {
        with_help(make_local(command_id::validate, "validate", "FILE", 1), "Checks a fleet file.",
                  "Reads FILE and reports every error with its line. Calls no instance.",
                  "gooseberryfall validate fleet.toml"),
        check_command(),
        with_help(make_remote(command_id::diff, "diff", "FILE", 1),
                  "Shows what applying a fleet file would change.",
                  "Compares FILE with the fleet in force. Changes nothing. The exit status is 0\n"
                  "whether or not there is a difference.",
                  "gooseberryfall diff fleet.toml --instance 10.0.0.1:7300"),
        apply_command(),
    };
}

std::vector<command_spec> view_commands()
{
    return {
        with_help(
            make_remote(command_id::fleet, "fleet"), "Prints the fleet in force.",
            "Prints the fleet in force as a fleet file, so that it can be edited and applied.",
            "gooseberryfall fleet --instance 10.0.0.1:7300 > fleet.toml"),
        with_help(make_remote(command_id::status, "status"), "Prints the state of an instance.",
                  "Prints the state of the first instance that is current, with the members and\n"
                  "targets that it knows. If none is current, prints the first that answers.",
                  "gooseberryfall status --instance 10.0.0.1:7300"),
        with_help(make_remote(command_id::audit, "audit"), "Prints the last changes of the fleet.",
                  "Prints the changes that the log holds, oldest first, with those that were\n"
                  "refused and why.",
                  "gooseberryfall audit --instance 10.0.0.1:7300"),
    };
}

std::vector<command_spec> job_commands()
{
    const std::string id = "a96cf72bd2c61f3ba96cf72bd2c61f3b";
    return {
        with_help(make_remote(command_id::job_list, "job list"), "Lists the batch jobs.",
                  "Lists the batch jobs of all teams with the counts of their items.",
                  "gooseberryfall job list --instance 10.0.0.1:7300"),
        with_help(make_remote(command_id::job_show, "job show", "ID", 1), "Prints one batch job.",
                  "Prints the state of the batch job with the identifier ID.",
                  "gooseberryfall job show " + id + " --instance 10.0.0.1:7300"),
        with_help(
            make_remote(command_id::job_cancel, "job cancel", "ID", 1), "Stops a batch job.",
            "Stops the batch job with the identifier ID, whatever its team. Returns when nothing\n"
            "of the job runs any more. Results that exist remain readable.",
            "gooseberryfall job cancel " + id + " --instance 10.0.0.1:7300"),
    };
}

std::vector<command_spec> other_commands()
{
    return {
        with_help(make_remote(command_id::drain, "drain"), "Drains one instance.",
                  "The instance finishes its requests and leaves the fleet, as after SIGTERM.\n"
                  "--instance must name exactly one.",
                  "gooseberryfall drain --instance 10.0.0.1:7300"),
        with_help(
            make_local(command_id::explain, "explain", "FILE ID", 2),
            "Explains from logs what happened to a request, job or item.",
            "Reads the lines of one or several instances from FILE (- for standard input) and\n"
            "prints those that concern ID in order of time, with the changes of leader, store and\n"
            "targets that the instances noticed meanwhile, and the cause. Calls no instance.",
            "cat logs/*.log | gooseberryfall explain - 9c41d07be2a35f68"),
        with_help(make_local(command_id::help, "help", "[COMMAND]", 0), "Explains a command.",
                  "Without COMMAND lists all commands, flags and exit statuses.",
                  "gooseberryfall help key issue"),
    };
}

void append(std::vector<command_spec>& table, const std::vector<command_spec>& more)
{
    table.insert(table.end(), more.begin(), more.end());
}

std::vector<command_spec> make_table()
{
    std::vector<command_spec> table = file_commands();
    append(table, view_commands());
    append(table, job_commands());
    append(table, {key_issue_command(), key_withdraw_command()});
    append(table, other_commands());
    return table;
}

} // namespace

const std::vector<command_spec>& command_table()
{
    static const std::vector<command_spec> table = make_table();
    return table;
}

const command_spec* find_command(const std::string& name)
{
    const auto& table = command_table();
    const auto found = std::find_if(table.begin(), table.end(),
                                    [&](const command_spec& spec) { return spec.name == name; });
    return found == table.end() ? nullptr : &*found;
}

std::vector<std::string> commands_in_group(const std::string& group)
{
    std::vector<std::string> names;
    for (const command_spec& spec : command_table()) {
        if (spec.name.starts_with(group + " ")) {
            names.push_back(spec.name);
        }
    }
    return names;
}

std::string nearest_command(const std::string& name)
{
    std::vector<std::string> names;
    for (const command_spec& spec : command_table()) {
        names.push_back(spec.name);
    }
    return config::nearest_name(name, names);
}

} // namespace gooseberryfall::cli
