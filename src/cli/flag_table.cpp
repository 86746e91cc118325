#include "cli/flag_table.hpp"

#include "cli/command_table.hpp"

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(instance, "",
              "Operators' address of an instance as ip:port, or several separated by commas, which "
              "are tried in turn.");
DEFINE_string(token_file, "",
              "File that holds the operators' token. Without it the environment variable "
              "GOOSEBERRYFALL_TOKEN is used.");
DEFINE_string(output, "text", "Output format: text or json.");
DEFINE_string(author, "",
              "Who makes a change, for the audit trail. Without it the user name from the "
              "environment is used.");
DEFINE_string(timeout, "10s",
              "Time for each call, and for each wait for an outcome; a whole number with ms, s or "
              "min.");
DEFINE_string(ca_file, "", "File of trusted certificates in PEM format. Enables TLS.");
DEFINE_string(server_name, "",
              "Name that the instance's certificate must have, if it is not the IP address.");
DEFINE_string(against, "", "Fleet file to compare with, in place of the fleet in force.");
DEFINE_string(comment, "", "Why the change is made, for the audit trail.");
DEFINE_string(team, "", "Team that the key is for.");
DEFINE_string(name, "", "Name of the key in the fleet.");

namespace gooseberryfall::cli {

namespace {

std::vector<flag_spec> make_table()
{
    std::vector<flag_spec> table;
    for (const char* name : {"against", "author", "ca_file", "comment", "instance", "name",
                             "output", "server_name", "team", "timeout", "token_file"}) {
        const gflags::CommandLineFlagInfo flag = gflags::GetCommandLineFlagInfoOrDie(name);
        table.push_back({flag.name, flag.default_value, flag.description});
    }
    return table;
}

} // namespace

const std::vector<flag_spec>& flag_table()
{
    static const std::vector<flag_spec> table = make_table();
    return table;
}

const flag_spec* find_flag(const std::string& name)
{
    const auto& table = flag_table();
    const auto found = std::find_if(table.begin(), table.end(),
                                    [&](const flag_spec& flag) { return flag.name == name; });
    return found == table.end() ? nullptr : &*found;
}

bool is_global_flag(const std::string& name)
{
    const auto& commands = command_table();
    return std::none_of(commands.begin(), commands.end(), [&](const command_spec& spec) {
        return std::find(spec.flags.begin(), spec.flags.end(), name) != spec.flags.end();
    });
}

} // namespace gooseberryfall::cli
