#include "cli/cli.hpp"
#include "cli/command_line.hpp"
#include "cli/help.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace cli = gooseberryfall::cli;

namespace {

using words = std::vector<std::string>;

const cli::environment variables{{"GOOSEBERRYFALL_TOKEN", "secret-token"}, {"USER", "jan"}};

/// Parses the line together with an instance, expects a usage error and returns its message.
std::string usage_error_message(words line)
{
    line.insert(line.begin(), "--instance=127.0.0.1:1");
    const auto parsed = cli::parse_command_line(line, variables);
    cr_assert(!parsed.has_value(), "accepted: %s", line.back().c_str());
    cr_assert(parsed.error().code == cli::exit_code::usage_error);
    cr_assert(!parsed.error().next_step.empty());
    return parsed.error().message;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

/// Guards against flags that are read only before the command, or only with an equals sign.
Test(command_line, accepts_flags_in_any_position_and_form)
{
    const auto parsed = cli::parse_command_line(
        {"--instance", "10.0.0.1:7300,[fd00::1]:7300,10.0.0.1:7300", "key", "--team=namur", "issue",
         "-name", "k1", "--timeout=250ms", "--output", "json"},
        variables);
    cr_assert(parsed.has_value());
    cr_assert(parsed->command->id == cli::command_id::key_issue);
    const cli::command_settings& given = parsed->settings;
    cr_assert(given.instances == (words{"10.0.0.1:7300", "[fd00::1]:7300"}));
    cr_assert(given.team == "namur" && given.name == "k1" && given.author == "jan");
    cr_assert(given.timeout == std::chrono::milliseconds(250));
    cr_assert(given.output == cli::output_format::json);
    cr_assert(given.token == "secret-token" && !given.tls);
}

/// Guards against flags of one call that stay set for the next, because gflags keeps them in global
/// variables.
Test(command_line, starts_each_call_from_the_defaults)
{
    cr_assert(cli::parse_command_line({"validate", "f", "--output=json"}, variables).has_value());
    const auto second = cli::parse_command_line({"validate", "f"}, variables);
    cr_assert(second->settings.output == cli::output_format::text);
}

/// Guards against mistakes that are accepted, and against messages without advice.
Test(command_line, rejects_usage_errors_and_suggests_the_nearest_name)
{
    const std::vector<std::pair<words, std::string>> cases = {
        {{}, "no command"},
        {{"aply", "f"}, "nearest known command is `apply`"},
        {{"job", "lst"}, "nearest known command is `job list`"},
        {{"key"}, "`key` is not complete"},
        {{"status", "--outptu=json"}, "nearest known flag is --output"},
        {{"status", "--flagfile=/etc/x"}, "unknown flag --flagfile"},
        {{"status", "--output=xml"}, "--output must be text or json"},
        {{"status", "--output"}, "--output needs a value"},
        {{"status", "--output=text", "--output=json"}, "--output is given twice"},
        {{"status", "extra"}, "`status` takes no argument"},
        {{"apply"}, "`apply` takes one argument, FILE"},
        {{"status", "--comment=x"}, "`status` does not take --comment"},
        {{"key", "issue", "--team=t"}, "`key issue` needs --name"},
        {{"status", "--timeout=1"}, "--timeout must be"},
        {{"status", "--timeout=1h"}, "--timeout must be"},
        {{"status", "--server_name=x"}, "--server_name is given without --ca_file"},
        {{"status", "--ca_file=/nowhere/ca"}, "--ca_file: cannot read"},
        {{"status", "--token_file=/nowhere/token"}, "--token_file: cannot read"},
        {{"help", "stat"}, ""},
    };
    for (const auto& [line, message] : cases) {
        if (message.empty()) {
            cr_assert(!cli::help_text({line.back()}).has_value());
            continue;
        }
        const std::string message_shown = usage_error_message(line);
        cr_assert(contains(message_shown, message), "%s", message_shown.c_str());
    }
    for (const std::string address : {"", "localhost:1", "10.0.0.1", "10.0.0.1:0", "1.1.1.1:1,,"}) {
        const auto parsed = cli::parse_command_line({"status", "--instance=" + address}, variables);
        const bool last_comma = address == "1.1.1.1:1,,";
        cr_assert(!parsed.has_value(), "accepted: %s", address.c_str());
        cr_assert(!last_comma || contains(parsed.error().message, "``"));
    }
}

/// Guards against an error message that repeats a token from the command line.
Test(command_line, shows_no_value_of_an_unknown_flag)
{
    const std::string message_shown = usage_error_message({"status", "--token=secret-token"});
    cr_assert(contains(message_shown, "nearest known flag is --token_file"));
    cr_assert(!contains(message_shown, "secret"));
}

/// Guards against tokens with a line end, which would inject another header field.
Test(command_line, rejects_a_token_with_control_characters)
{
    const auto parsed = cli::parse_command_line({"status", "--instance=127.0.0.1:1"},
                                                {{"GOOSEBERRYFALL_TOKEN", "secret\r\nX-Other: 1"}});
    cr_assert(!parsed.has_value());
    cr_assert(!contains(parsed.error().message, "secret"));
}

/// Guards against changes without an author in the audit trail.
Test(command_line, requires_an_author_for_changes)
{
    const cli::environment no_user{{"GOOSEBERRYFALL_TOKEN", "t"}};
    const auto parsed = cli::parse_command_line({"apply", "f", "--instance=127.0.0.1:1"}, no_user);
    cr_assert(!parsed.has_value());
    cr_assert(contains(parsed.error().next_step, "--author"));
    cr_assert(cli::parse_command_line({"status", "--instance=127.0.0.1:1"}, no_user).has_value());
}

/// Guards against commands that are missing from the help.
Test(command_line, help_covers_every_command)
{
    const std::string overview = cli::help_text({}).value();
    for (const cli::command_spec& spec : cli::command_table()) {
        cr_assert(contains(overview, "  " + spec.name), "%s", spec.name.c_str());
        const auto parsed = cli::parse_command_line(
            {spec.name.substr(0, spec.name.find(' ')), "--help"}, variables);
        cr_assert(parsed.has_value() && cli::help_text(parsed->arguments).has_value());
        cr_assert(!spec.example.empty() && !spec.details.empty());
    }
    cr_assert(contains(cli::help_text({"key", "issue"}).value(), "--team=VALUE"));
}
