#include "cli/command_line.hpp"

#include "cli/flag_table.hpp"

#include "config/endpoint.hpp"
#include "config/nearest_name.hpp"
#include "config/units.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

DECLARE_string(instance);
DECLARE_string(token_file);
DECLARE_string(output);
DECLARE_string(author);
DECLARE_string(timeout);
DECLARE_string(ca_file);
DECLARE_string(server_name);
DECLARE_string(against);
DECLARE_string(comment);
DECLARE_string(team);
DECLARE_string(name);

namespace gooseberryfall::cli {

namespace {

constexpr std::chrono::milliseconds timeout_min{100};
constexpr std::chrono::minutes timeout_max{10};

/// The token is sent in a header field, whose size the instance limits.
constexpr std::size_t token_bytes_max = 4096;

tl::unexpected<failure> usage_failure(std::string message, std::string next_step)
{
    return make_failure(exit_code::usage_error, std::move(message), std::move(next_step));
}

std::string help_hint(const command_spec& command)
{
    return "`gooseberryfall help " + command.name + "` explains the command";
}

/// Most similar flag name. A flag that has `name` as a prefix wins, such as token_file for token.
std::string nearest_flag(const std::string& name)
{
    std::vector<std::string> candidates{"help"};
    for (const flag_spec& flag : flag_table()) {
        if (!name.empty() && flag.name.starts_with(name)) {
            return flag.name;
        }
        candidates.push_back(flag.name);
    }
    return config::nearest_name(name, candidates);
}

/// Words and flag names of a command line. The values of the flags are in gflags' variables.
struct tokenized_line {
    std::vector<std::string> words;
    std::set<std::string> flags;
    bool help = false;
};

/// The message leaves out the value of an unknown flag, because it may be a secret.
tl::unexpected<failure> unknown_flag(const std::string& name)
{
    return usage_failure("unknown flag --" + name + "; the nearest known flag is --" +
                             nearest_flag(name),
                         "`gooseberryfall help` lists all flags");
}

/// Reads the flag at `index`. Advances `index` if the value is a separate argument.
result<void> read_flag(const std::vector<std::string>& arguments, std::size_t& index,
                       tokenized_line& line)
{
    const std::string& argument = arguments[index];
    const std::string text = argument.substr(argument.starts_with("--") ? 2 : 1);
    const std::size_t equals = text.find('=');
    const std::string name = text.substr(0, equals);
    if (name == "help" || name == "h") {
        line.help = true;
        return {};
    }
    if (find_flag(name) == nullptr) {
        return unknown_flag(name);
    }
    const bool has_separate_value = equals == std::string::npos;
    if (has_separate_value && index + 1 == arguments.size()) {
        return usage_failure("--" + name + " needs a value", "write --" + name + "=VALUE");
    }
    if (!line.flags.insert(name).second) {
        return usage_failure("--" + name + " is given twice", "give it once");
    }
    const std::string value = has_separate_value ? arguments[++index] : text.substr(equals + 1);
    gflags::SetCommandLineOption(name.c_str(), value.c_str());
    return {};
}

result<tokenized_line> tokenize(const std::vector<std::string>& arguments)
{
    tokenized_line line;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const std::string& argument = arguments[index];
        if (argument == "--") {
            line.words.insert(line.words.end(),
                              arguments.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                              arguments.end());
            break;
        }
        if (argument.size() < 2 || argument.front() != '-') {
            line.words.push_back(argument);
            continue;
        }
        if (auto read = read_flag(arguments, index, line); !read) {
            return tl::unexpected(read.error());
        }
    }
    return line;
}

std::string join(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

/// Finds the command and removes its words from the front of `words`.
result<const command_spec*> consume_command(std::vector<std::string>& words)
{
    const std::vector<std::string> group = commands_in_group(words.front());
    if (!group.empty() && words.size() == 1) {
        return usage_failure("`" + words.front() + "` is not complete",
                             "use one of: " + join(group));
    }
    const std::size_t count = group.empty() ? 1 : 2;
    const std::string name = count == 1 ? words[0] : words[0] + " " + words[1];
    const command_spec* command = find_command(name);
    if (command == nullptr) {
        const std::string nearest =
            group.empty() ? nearest_command(name) : config::nearest_name(name, group);
        return usage_failure("unknown command `" + name + "`; the nearest known command is `" +
                                 nearest + "`",
                             "`gooseberryfall help` lists all commands");
    }
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
    return command;
}

result<void> check_flags(const command_spec& command, const std::set<std::string>& given)
{
    for (const std::string& name : given) {
        const bool takes_flag =
            std::find(command.flags.begin(), command.flags.end(), name) != command.flags.end();
        if (!takes_flag && !is_global_flag(name)) {
            return usage_failure("`" + command.name + "` does not take --" + name,
                                 help_hint(command));
        }
    }
    for (const std::string& name : command.required_flags) {
        std::string value;
        gflags::GetCommandLineOption(name.c_str(), &value);
        if (value.empty()) {
            return usage_failure("`" + command.name + "` needs --" + name, help_hint(command));
        }
    }
    return {};
}

result<std::vector<std::string>> parse_instances(const std::string& text)
{
    std::vector<std::string> instances;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const auto endpoint = config::parse_endpoint(part);
        if (!endpoint || endpoint->port == 0) {
            return usage_failure("--instance: `" + part +
                                     "` is not an address such as 10.0.0.1:7300 or [fd00::1]:7300",
                                 "give numeric addresses with ports, separated by commas");
        }
        const std::string address = config::to_text(*endpoint);
        if (std::find(instances.begin(), instances.end(), address) == instances.end()) {
            instances.push_back(address);
        }
    }
    if (instances.empty()) {
        return usage_failure(
            "no instance is given",
            "name the operators' address of one or more instances with --instance=ip:port");
    }
    return instances;
}

/// Strips trailing spaces and line ends, and checks that the token is valid in a header field. The
/// token does not appear in the error message.
result<std::string> validate_token(std::string token, const std::string& source)
{
    while (!token.empty() &&
           (token.back() == '\n' || token.back() == '\r' || token.back() == ' ')) {
        token.pop_back();
    }
    const bool printable = std::all_of(token.begin(), token.end(), [](char character) {
        return character > ' ' && character < 0x7f;
    });
    if (token.empty() || token.size() > token_bytes_max || !printable) {
        return usage_failure(source + " must hold only the operators' token, in printable ASCII "
                                      "characters without spaces",
                             "check its content");
    }
    return token;
}

result<std::string> find_token(const environment& variables)
{
    if (!FLAGS_token_file.empty()) {
        std::ifstream file(FLAGS_token_file, std::ios::binary);
        std::string token(token_bytes_max + 2, '\0');
        file.read(token.data(), static_cast<std::streamsize>(token.size()));
        if (file.bad() || (file.fail() && !file.eof())) {
            return usage_failure("--token_file: cannot read " + FLAGS_token_file,
                                 "check that the file exists and that you may read it");
        }
        token.resize(static_cast<std::size_t>(file.gcount()));
        return validate_token(std::move(token), "the file of --token_file");
    }
    const auto found = variables.find("GOOSEBERRYFALL_TOKEN");
    if (found == variables.end() || found->second.empty()) {
        return usage_failure(
            "the operators' token is missing",
            "put it into a file and give --token_file=PATH, or set GOOSEBERRYFALL_TOKEN");
    }
    return validate_token(found->second, "GOOSEBERRYFALL_TOKEN");
}

result<std::chrono::milliseconds> parse_timeout(const std::string& text)
{
    const auto duration = config::parse_duration(text);
    if (!duration || *duration < timeout_min || *duration > timeout_max) {
        return usage_failure("--timeout must be from 100ms to 10min", "for example --timeout=30s");
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
}

result<std::string> find_author(const environment& variables)
{
    if (!FLAGS_author.empty()) {
        return FLAGS_author;
    }
    for (const char* name : {"USER", "LOGNAME"}) {
        const auto found = variables.find(name);
        if (found != variables.end() && !found->second.empty()) {
            return found->second;
        }
    }
    return usage_failure("the author is unknown, because USER is not set", "give --author=NAME");
}

result<std::optional<http::client_tls>> make_tls()
{
    if (FLAGS_ca_file.empty() && !FLAGS_server_name.empty()) {
        return usage_failure("--server_name is given without --ca_file",
                             "give --ca_file too, or neither for plain TCP");
    }
    if (FLAGS_ca_file.empty()) {
        return std::nullopt;
    }
    if (!std::ifstream(FLAGS_ca_file).good()) {
        return usage_failure("--ca_file: cannot read " + FLAGS_ca_file,
                             "check that the file exists and that you may read it");
    }
    return http::client_tls{FLAGS_ca_file, FLAGS_server_name};
}

/// Moves the value of `from` to `to`. If there is none, sets `reason` and returns false.
template <class Value>
bool move_value(result<Value> from, Value& to, failure& reason)
{
    if (!from) {
        reason = from.error();
        return false;
    }
    to = std::move(*from);
    return true;
}

result<command_settings> make_settings(const command_spec& command, const environment& variables)
{
    command_settings values;
    failure reason;
    values.against = FLAGS_against;
    values.comment = FLAGS_comment;
    values.team = FLAGS_team;
    values.name = FLAGS_name;
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        return usage_failure("--output must be text or json", help_hint(command));
    }
    values.output = FLAGS_output == "json" ? output_format::json : output_format::text;
    const bool has_instance = !FLAGS_instance.empty();
    if (command.optionally_remote && has_instance && !FLAGS_against.empty()) {
        return usage_failure("--against and --instance are both given", "give one of them");
    }
    if (!command.remote && !(command.optionally_remote && has_instance)) {
        return values;
    }
    const bool complete =
        move_value(parse_instances(FLAGS_instance), values.instances, reason) &&
        move_value(find_token(variables), values.token, reason) &&
        move_value(parse_timeout(FLAGS_timeout), values.timeout, reason) &&
        move_value(make_tls(), values.tls, reason) &&
        (!command.needs_author || move_value(find_author(variables), values.author, reason));
    if (!complete) {
        return tl::unexpected(reason);
    }
    if (command.id == command_id::drain && values.instances.size() != 1) {
        return usage_failure("`drain` takes exactly one instance",
                             "name the instance to drain with --instance=ip:port");
    }
    return values;
}

} // namespace

result<invocation> parse_command_line(const std::vector<std::string>& arguments,
                                      const environment& variables)
{
    // Restores the flags on return, so that each call starts from the defaults.
    const gflags::FlagSaver saver;
    auto line = tokenize(arguments);
    if (!line) {
        return tl::unexpected(line.error());
    }
    if (line->help) {
        return invocation{find_command("help"), line->words, {}};
    }
    if (line->words.empty()) {
        return usage_failure("no command is given", "`gooseberryfall help` lists all commands");
    }
    const auto command = consume_command(line->words);
    if (!command) {
        return tl::unexpected(command.error());
    }
    const command_spec& spec = **command;
    if (spec.id != command_id::help && line->words.size() != spec.argument_count) {
        return usage_failure(
            "`" + spec.name + "` takes " +
                (spec.arguments.empty() ? "no argument" : "one argument, " + spec.arguments),
            help_hint(spec));
    }
    if (auto flag_check = check_flags(spec, line->flags); !flag_check) {
        return tl::unexpected(flag_check.error());
    }
    auto settings = make_settings(spec, variables);
    if (!settings) {
        return tl::unexpected(settings.error());
    }
    return invocation{&spec, line->words, std::move(*settings)};
}

} // namespace gooseberryfall::cli
