#include "cli/program.hpp"

#include "cli/commands.hpp"
#include "cli/help.hpp"
#include "cli/log_story.hpp"

#include "config/fleet_file.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>

namespace gooseberryfall::cli {

namespace {

result<void> validate(const invocation& call, std::ostream& out)
{
    const std::string& file = call.arguments.front();
    const auto state = config::read_fleet(file);
    if (!state) {
        return fail(exit_code::bad_file,
                    "the fleet file has errors\n" + config::to_text(state.error()),
                    "correct the lines named and run the command again");
    }
    const std::size_t count = state->entries().size();
    if (call.settings.output == output_format::json) {
        out << boost::json::serialize(boost::json::object{{"entries", count}}) << "\n";
        return {};
    }
    out << file << " is valid: " << count << " entries\n";
    return {};
}

result<void> explain_id(const invocation& call, std::ostream& out)
{
    const std::string& file = call.arguments[0];
    const std::string& id = call.arguments[1];
    std::ifstream opened;
    if (file != "-") {
        opened.open(file);
        if (!opened) {
            return fail(exit_code::bad_file, file + " cannot be read", "check the path");
        }
    }
    const log_story story = explain(read_log(file == "-" ? std::cin : opened), id);
    if (story.entries.empty()) {
        return fail(exit_code::refused, "no line names " + id,
                    "look for lines_suppressed, and at the logs of all instances");
    }
    for (const log_entry& entry : story.entries) {
        out << entry.source << entry.text << "\n";
    }
    out << "cause: " << (story.cause.empty() ? "not known from these lines" : story.cause) << "\n";
    return {};
}

result<void> help(const invocation& call, std::ostream& out)
{
    const auto text = help_text(call.arguments);
    if (!text) {
        return tl::unexpected(text.error());
    }
    out << *text;
    return {};
}

result<void> dispatch(const invocation& call, std::ostream& out, std::ostream& err)
{
    switch (call.command->id) {
    case command_id::validate:
        return validate(call, out);
    case command_id::explain:
        return explain_id(call, out);
    case command_id::help:
        return help(call, out);
    default:
        return commands(call, out, err).run();
    }
}

} // namespace

int run(const std::vector<std::string>& arguments, const environment& variables, std::ostream& out,
        std::ostream& err)
{
    const auto call = parse_command_line(arguments, variables);
    const result<void> ended = call ? dispatch(*call, out, err) : tl::unexpected(call.error());
    if (!ended) {
        err << to_text(ended.error()) << std::flush;
        return static_cast<int>(ended.error().code);
    }
    if (!out.flush()) {
        err << "error: the output could not be written\nnext: check where it goes to\n";
        return static_cast<int>(exit_code::refused);
    }
    return static_cast<int>(exit_code::done);
}

} // namespace gooseberryfall::cli
