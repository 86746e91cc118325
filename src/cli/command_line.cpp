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
DECLARE_string(comment);
DECLARE_string(team);
DECLARE_string(name);

namespace gooseberryfall::cli {

namespace {

constexpr std::chrono::milliseconds shortest_timeout{100};
constexpr std::chrono::minutes longest_timeout{10};

/// A token is sent in a header field, which is limited by the instance.
constexpr std::size_t token_limit = 4096;

tl::unexpected<failure> usage(std::string message, std::string next_step)
{
    return fail(exit_code::wrong_usage, std::move(message), std::move(next_step));
}

std::string help_hint(const command_spec& command)
{
    return "`gooseberryfall help " + command.name + "` explains the command";
}

/// Prefers a name that begins with the one given, such as token_file for token.
std::string nearest_flag(const std::string& name)
{
    std::vector<std::string> known{"help"};
    for (const flag_info& info : flag_table()) {
        if (!name.empty() && info.name.starts_with(name)) {
            return info.name;
        }
        known.push_back(info.name);
    }
    return config::nearest_name(name, known);
}

/// Words and flag names of a command line. The values are in gflags' variables.
struct split_line {
    std::vector<std::string> words;
    std::set<std::string> flags;
    bool help = false;
};

/// Values of unknown flags are not shown, as they may be secret.
tl::unexpected<failure> unknown_flag(const std::string& name)
{
    return usage("unknown flag --" + name + "; the nearest known flag is --" + nearest_flag(name),
                 "`gooseberryfall help` lists all flags");
}

/// Reads the flag at `index`, and moves on over its value if that is an argument of its own.
result<void> read_flag(const std::vector<std::string>& arguments, std::size_t& index,
                       split_line& line)
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
    const bool separate = equals == std::string::npos;
    if (separate && index + 1 == arguments.size()) {
        return usage("--" + name + " needs a value", "write --" + name + "=VALUE");
    }
    if (!line.flags.insert(name).second) {
        return usage("--" + name + " is given twice", "give it once");
    }
    const std::string value = separate ? arguments[++index] : text.substr(equals + 1);
    gflags::SetCommandLineOption(name.c_str(), value.c_str());
    return {};
}

result<split_line> split(const std::vector<std::string>& arguments)
{
    split_line line;
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

/// Takes the words of the command from the front of `words`.
result<const command_spec*> take_command(std::vector<std::string>& words)
{
    const std::vector<std::string> group = commands_in_group(words.front());
    if (!group.empty() && words.size() == 1) {
        return usage("`" + words.front() + "` is not complete", "use one of: " + join(group));
    }
    const std::size_t count = group.empty() ? 1 : 2;
    const std::string name = count == 1 ? words[0] : words[0] + " " + words[1];
    const command_spec* command = find_command(name);
    if (command == nullptr) {
        const std::string nearest =
            group.empty() ? nearest_command(name) : config::nearest_name(name, group);
        return usage("unknown command `" + name + "`; the nearest known command is `" + nearest +
                         "`",
                     "`gooseberryfall help` lists all commands");
    }
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
    return command;
}

result<void> check_flags(const command_spec& command, const std::set<std::string>& given)
{
    for (const std::string& name : given) {
        const bool own =
            std::find(command.flags.begin(), command.flags.end(), name) != command.flags.end();
        if (!own && !is_global_flag(name)) {
            return usage("`" + command.name + "` does not take --" + name, help_hint(command));
        }
    }
    for (const std::string& name : command.required_flags) {
        std::string value;
        gflags::GetCommandLineOption(name.c_str(), &value);
        if (value.empty()) {
            return usage("`" + command.name + "` needs --" + name, help_hint(command));
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
            return usage("--instance: `" + part +
                             "` is not an address such as 10.0.0.1:7300 or [fd00::1]:7300",
                         "give numeric addresses with ports, separated by commas");
        }
        const std::string address = config::to_text(*endpoint);
        if (std::find(instances.begin(), instances.end(), address) == instances.end()) {
            instances.push_back(address);
        }
    }
    if (instances.empty()) {
        return usage(
            "no instance is given",
            "name the operators' address of one or more instances with --instance=ip:port");
    }
    return instances;
}

/// The token must be fit for a header field. It is not shown.
result<std::string> checked_token(std::string token, const std::string& source)
{
    while (!token.empty() &&
           (token.back() == '\n' || token.back() == '\r' || token.back() == ' ')) {
        token.pop_back();
    }
    const bool printable = std::all_of(token.begin(), token.end(), [](char character) {
        return character > ' ' && character < 0x7f;
    });
    if (token.empty() || token.size() > token_limit || !printable) {
        return usage(source + " must hold the operators' token alone, in printable characters",
                     "check its content");
    }
    return token;
}

result<std::string> find_token(const environment& variables)
{
    if (!FLAGS_token_file.empty()) {
        std::ifstream file(FLAGS_token_file, std::ios::binary);
        std::string token(token_limit + 2, '\0');
        file.read(token.data(), static_cast<std::streamsize>(token.size()));
        if (file.bad() || (file.fail() && !file.eof())) {
            return usage("--token_file: cannot read " + FLAGS_token_file,
                         "check that the file exists and that you may read it");
        }
        token.resize(static_cast<std::size_t>(file.gcount()));
        return checked_token(std::move(token), "the file of --token_file");
    }
    const auto found = variables.find("GOOSEBERRYFALL_TOKEN");
    if (found == variables.end() || found->second.empty()) {
        return usage("the operators' token is missing",
                     "put it into a file and give --token_file=PATH, or set GOOSEBERRYFALL_TOKEN");
    }
    return checked_token(found->second, "GOOSEBERRYFALL_TOKEN");
}

result<std::chrono::milliseconds> parse_timeout(const std::string& text)
{
    const auto length = config::parse_duration(text);
    if (!length || *length < shortest_timeout || *length > longest_timeout) {
        return usage("--timeout must be from 100ms to 10min", "for example --timeout=30s");
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(*length);
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
    return usage("the author is unknown, because USER is not set", "give --author=NAME");
}

result<std::optional<http::client_tls>> make_tls()
{
    if (FLAGS_ca_file.empty() && !FLAGS_server_name.empty()) {
        return usage("--server_name is given without --ca_file",
                     "give --ca_file too, or neither for plain TCP");
    }
    if (FLAGS_ca_file.empty()) {
        return std::nullopt;
    }
    if (!std::ifstream(FLAGS_ca_file).good()) {
        return usage("--ca_file: cannot read " + FLAGS_ca_file,
                     "check that the file exists and that you may read it");
    }
    return http::client_tls{FLAGS_ca_file, FLAGS_server_name};
}

/// Moves the value of `from` to `to`; returns whether there was one.
template <class Value>
bool take(result<Value> from, Value& to, failure& reason)
{
    if (!from) {
        reason = from.error();
        return false;
    }
    to = std::move(*from);
    return true;
}

result<options> make_options(const command_spec& command, const environment& variables)
{
    options made;
    failure reason;
    made.comment = FLAGS_comment;
    made.team = FLAGS_team;
    made.name = FLAGS_name;
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        return usage("--output must be text or json", help_hint(command));
    }
    made.output = FLAGS_output == "json" ? output_format::json : output_format::text;
    if (!command.remote) {
        return made;
    }
    const bool complete = take(parse_instances(FLAGS_instance), made.instances, reason) &&
                          take(find_token(variables), made.token, reason) &&
                          take(parse_timeout(FLAGS_timeout), made.timeout, reason) &&
                          take(make_tls(), made.tls, reason) &&
                          (!command.authored || take(find_author(variables), made.author, reason));
    if (!complete) {
        return tl::unexpected(reason);
    }
    if (command.id == command_id::drain && made.instances.size() != 1) {
        return usage("`drain` takes exactly one instance",
                     "name the one that shall leave with --instance=ip:port");
    }
    return made;
}

} // namespace

result<invocation> parse_command_line(const std::vector<std::string>& arguments,
                                      const environment& variables)
{
    // Restores the flags, so that each call starts from the defaults.
    const gflags::FlagSaver saver;
    auto line = split(arguments);
    if (!line) {
        return tl::unexpected(line.error());
    }
    if (line->help) {
        return invocation{find_command("help"), line->words, {}};
    }
    if (line->words.empty()) {
        return usage("no command is given", "`gooseberryfall help` lists all commands");
    }
    const auto command = take_command(line->words);
    if (!command) {
        return tl::unexpected(command.error());
    }
    const command_spec& spec = **command;
    if (spec.id != command_id::help && line->words.size() != spec.argument_count) {
        return usage(
            "`" + spec.name + "` takes " +
                (spec.arguments.empty() ? "no argument" : "one argument, " + spec.arguments),
            help_hint(spec));
    }
    if (auto fits = check_flags(spec, line->flags); !fits) {
        return tl::unexpected(fits.error());
    }
    auto settings = make_options(spec, variables);
    if (!settings) {
        return tl::unexpected(settings.error());
    }
    return invocation{&spec, line->words, std::move(*settings)};
}

} // namespace gooseberryfall::cli
