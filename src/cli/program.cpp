#include "cli/program.hpp"

#include "cli/check_command.hpp"
#include "cli/command_runner.hpp"
#include "cli/help.hpp"
#include "cli/log_explanation.hpp"

#include "config/fleet_file.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>

namespace gooseberryfall::cli {

namespace {

result<void> run_validate(const invocation& command_line, std::ostream& out)
{
    const std::string& file = command_line.arguments.front();
    const auto state = config::read_fleet(file);
    if (!state) {
        return make_failure(exit_code::invalid_file,
                            "the fleet file has errors\n" + config::to_text(state.error()),
                            "correct the lines named and run the command again");
    }
    const std::size_t count = state->entries().size();
    if (command_line.settings.output == output_format::json) {
        out << boost::json::serialize(boost::json::object{{"entries", count}}) << "\n";
        return {};
    }
    out << file << " is valid: " << count << " entries\n";
    return {};
}

result<void> run_explain(const invocation& command_line, std::ostream& out)
{
    const std::string& file = command_line.arguments[0];
    const std::string& id = command_line.arguments[1];
    std::ifstream input_file;
    if (file != "-") {
        input_file.open(file);
        if (!input_file) {
            return make_failure(exit_code::invalid_file, file + " cannot be read",
                                "check the path");
        }
    }
    const log_explanation explanation =
        explain_id(read_log(file == "-" ? std::cin : input_file), id);
    if (explanation.entries.empty()) {
        return make_failure(exit_code::rejected, "no line names " + id,
                            "look for lines_suppressed, and at the logs of all instances");
    }
    for (const log_entry& entry : explanation.entries) {
        out << entry.source << entry.text << "\n";
    }
    out << "cause: "
        << (explanation.cause.empty() ? "not known from these lines" : explanation.cause) << "\n";
    return {};
}

result<void> run_help(const invocation& command_line, std::ostream& out)
{
    const auto text = help_text(command_line.arguments);
    if (!text) {
        return tl::unexpected(text.error());
    }
    out << *text;
    return {};
}

result<void> dispatch(const invocation& command_line, std::ostream& out, std::ostream& err)
{
    switch (command_line.command->id) {
    case command_id::validate:
        return run_validate(command_line, out);
    case command_id::check:
        return run_check(command_line, out);
    case command_id::explain:
        return run_explain(command_line, out);
    case command_id::help:
        return run_help(command_line, out);
    default:
        return command_runner(command_line, out, err).run();
    }
}

} // namespace

int run(const std::vector<std::string>& arguments, const environment& variables, std::ostream& out,
        std::ostream& err)
{
    const auto command_line = parse_command_line(arguments, variables);
    const result<void> outcome =
        command_line ? dispatch(*command_line, out, err) : tl::unexpected(command_line.error());
    if (!outcome) {
        err << to_text(outcome.error()) << std::flush;
        return static_cast<int>(outcome.error().code);
    }
    if (!out.flush()) {
        err << "error: the output could not be written\nnext: check the destination of standard "
               "output\n";
        return static_cast<int>(exit_code::rejected);
    }
    return static_cast<int>(exit_code::success);
}

} // namespace gooseberryfall::cli
