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

/// Parses with an instance given; expects wrong usage and returns the message.
std::string refusal_of(words line)
{
    line.insert(line.begin(), "--instance=127.0.0.1:1");
    const auto parsed = cli::parse_command_line(line, variables);
    cr_assert(!parsed.has_value(), "accepted: %s", line.back().c_str());
    cr_assert(parsed.error().code == cli::exit_code::wrong_usage);
    cr_assert(!parsed.error().next_step.empty());
    return parsed.error().message;
}

bool holds(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

/// Guards against flags that are read only before the command, or only with an equals sign.
Test(command_line, takes_flags_in_any_place_and_form)
{
    const auto parsed = cli::parse_command_line(
        {"--instance", "10.0.0.1:7300,[fd00::1]:7300,10.0.0.1:7300", "key", "--team=namur", "issue",
         "-name", "k1", "--timeout=250ms", "--output", "json"},
        variables);
    cr_assert(parsed.has_value());
    cr_assert(parsed->command->id == cli::command_id::key_issue);
    const cli::options& given = parsed->settings;
    cr_assert(given.instances == (words{"10.0.0.1:7300", "[fd00::1]:7300"}));
    cr_assert(given.team == "namur" && given.name == "k1" && given.author == "jan");
    cr_assert(given.timeout == std::chrono::milliseconds(250));
    cr_assert(given.output == cli::output_format::json);
    cr_assert(given.token == "secret-token" && !given.tls);
}

/// Guards against flags of one call that stay set for the next, as gflags keeps them globally.
Test(command_line, starts_each_call_from_the_defaults)
{
    cr_assert(cli::parse_command_line({"validate", "f", "--output=json"}, variables).has_value());
    const auto second = cli::parse_command_line({"validate", "f"}, variables);
    cr_assert(second->settings.output == cli::output_format::text);
}

/// Guards against mistakes that are accepted, and against messages that do not name a way out.
Test(command_line, refuses_wrong_usage_with_the_nearest_name)
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
        const std::string refusal = refusal_of(line);
        cr_assert(holds(refusal, message), "%s", refusal.c_str());
    }
    for (const std::string address : {"", "localhost:1", "10.0.0.1", "10.0.0.1:0", "1.1.1.1:1,,"}) {
        const auto parsed = cli::parse_command_line({"status", "--instance=" + address}, variables);
        const bool last_comma = address == "1.1.1.1:1,,";
        cr_assert(!parsed.has_value(), "accepted: %s", address.c_str());
        cr_assert(!last_comma || holds(parsed.error().message, "``"));
    }
}

/// Guards against a token on the command line that is repeated in a message.
Test(command_line, shows_no_value_of_an_unknown_flag)
{
    const std::string refusal = refusal_of({"status", "--token=secret-token"});
    cr_assert(holds(refusal, "nearest known flag is --token_file"));
    cr_assert(!holds(refusal, "secret"));
}

/// Guards against tokens that would end the header field.
Test(command_line, refuses_a_token_with_control_characters)
{
    const auto parsed = cli::parse_command_line({"status", "--instance=127.0.0.1:1"},
                                                {{"GOOSEBERRYFALL_TOKEN", "secret\r\nX-Other: 1"}});
    cr_assert(!parsed.has_value());
    cr_assert(!holds(parsed.error().message, "secret"));
}

/// Guards against changes without an author in the audit trail.
Test(command_line, asks_for_the_author_if_it_is_unknown)
{
    const cli::environment no_user{{"GOOSEBERRYFALL_TOKEN", "t"}};
    const auto parsed = cli::parse_command_line({"apply", "f", "--instance=127.0.0.1:1"}, no_user);
    cr_assert(!parsed.has_value());
    cr_assert(holds(parsed.error().next_step, "--author"));
    cr_assert(cli::parse_command_line({"status", "--instance=127.0.0.1:1"}, no_user).has_value());
}

/// Guards against commands that the help forgets.
Test(command_line, helps_with_every_command)
{
    const std::string overview = cli::help_text({}).value();
    for (const cli::command_spec& spec : cli::command_table()) {
        cr_assert(holds(overview, "  " + spec.name), "%s", spec.name.c_str());
        const auto parsed = cli::parse_command_line(
            {spec.name.substr(0, spec.name.find(' ')), "--help"}, variables);
        cr_assert(parsed.has_value() && cli::help_text(parsed->arguments).has_value());
        cr_assert(!spec.example.empty() && !spec.details.empty());
    }
    cr_assert(holds(cli::help_text({"key", "issue"}).value(), "--team=VALUE"));
}
