#include "cli/help.hpp"

#include "cli/command_table.hpp"
#include "cli/flag_table.hpp"
#include "cli/text_table.hpp"

namespace gooseberryfall::cli {

namespace {

constexpr const char* introduction =
    "gooseberryfall operates a fleet of gooseberryfalld instances.\n"
    "\n"
    "usage: gooseberryfall COMMAND [ARGUMENT] [--flag=value ...]\n";

constexpr const char* first_steps =
    "To begin:\n"
    "  export GOOSEBERRYFALL_TOKEN=...     the operators' token of the deployment\n"
    "  gooseberryfall status --instance=10.0.0.1:7300\n"
    "  gooseberryfall fleet --instance=10.0.0.1:7300 > fleet.toml\n"
    "  (edit fleet.toml)\n"
    "  gooseberryfall validate fleet.toml\n"
    "  gooseberryfall diff fleet.toml --instance=10.0.0.1:7300\n"
    "  gooseberryfall apply fleet.toml --instance=10.0.0.1:7300 --comment=\"why\"\n";

constexpr const char* exit_statuses = "Exit status:\n"
                                      "  0  done\n"
                                      "  1  refused by the system\n"
                                      "  2  wrong usage\n"
                                      "  3  the file has errors\n"
                                      "  4  conflict with another change\n"
                                      "  5  no instance could be reached\n"
                                      "  6  outcome unknown: the change may be in force or not\n";

std::string synopsis(const command_spec& spec)
{
    return spec.name + (spec.arguments.empty() ? "" : " " + spec.arguments);
}

std::string indent(const std::string& lines)
{
    std::string text = "  " + lines;
    for (std::size_t at = text.find('\n'); at != std::string::npos && at + 1 < text.size();
         at = text.find('\n', at + 1)) {
        text.insert(at + 1, "  ");
    }
    return text;
}

std::string flag_lines(const std::vector<flag_spec>& flags)
{
    text_table table;
    for (const flag_spec& flag : flags) {
        const std::string default_value =
            flag.default_value.empty() ? "" : " Default: " + flag.default_value + ".";
        table.add_row({"--" + flag.name, flag.description + default_value});
    }
    return indent(table.format());
}

std::vector<flag_spec> global_flags()
{
    std::vector<flag_spec> flags;
    for (const flag_spec& flag : flag_table()) {
        if (is_global_flag(flag.name)) {
            flags.push_back(flag);
        }
    }
    return flags;
}

std::vector<flag_spec> command_flags(const command_spec& spec)
{
    std::vector<flag_spec> flags;
    for (const std::string& name : spec.flags) {
        flags.push_back(*find_flag(name));
    }
    return flags;
}

std::string command_lines(const std::vector<command_spec>& specs)
{
    text_table table;
    for (const command_spec& spec : specs) {
        table.add_row({synopsis(spec), spec.summary});
    }
    return indent(table.format());
}

std::string overview()
{
    return std::string(introduction) + "\nCommands:\n" + command_lines(command_table()) +
           "\n`gooseberryfall help COMMAND` explains a command.\n" + "\nFlags of all commands:\n" +
           flag_lines(global_flags()) + "\n" + first_steps + "\n" + exit_statuses;
}

std::string command_help(const command_spec& spec)
{
    std::string text = "usage: gooseberryfall " + synopsis(spec);
    for (const std::string& name : spec.required_flags) {
        text += " --" + name + "=VALUE";
    }
    text += " [--flag=value ...]\n\n" + spec.details + "\n";
    if (!spec.flags.empty()) {
        text += "\nFlags:\n" + flag_lines(command_flags(spec));
    }
    text += "\nExample:\n  " + spec.example + "\n";
    return text +
           "\n`gooseberryfall help` lists the flags of all commands and the exit statuses.\n";
}

std::string group_help(const std::vector<std::string>& names)
{
    std::vector<command_spec> specs;
    specs.reserve(names.size());
    for (const std::string& name : names) {
        specs.push_back(*find_command(name));
    }
    return command_lines(specs);
}

} // namespace

result<std::string> help_text(const std::vector<std::string>& words)
{
    if (words.empty()) {
        return overview();
    }
    const std::vector<std::string> group = commands_in_group(words.front());
    if (!group.empty() && words.size() == 1) {
        return group_help(group);
    }
    const std::string name = group.empty() ? words[0] : words[0] + " " + words[1];
    const command_spec* spec = find_command(name);
    if (spec == nullptr) {
        return make_failure(exit_code::usage_error,
                            "unknown command `" + name + "`; the nearest known command is `" +
                                nearest_command(name) + "`",
                            "`gooseberryfall help` lists all commands");
    }
    return command_help(*spec);
}

} // namespace gooseberryfall::cli
