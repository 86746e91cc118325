#include "cli/check_command.hpp"

#include "cli/api_client.hpp"
#include "cli/fleet_editor.hpp"
#include "cli/text_table.hpp"

#include "config/config.hpp"

#include <boost/json.hpp>

#include <optional>
#include <ostream>

namespace gooseberryfall::cli {

namespace {

namespace json = boost::json;

failure file_failure(const config::problem_list& problems)
{
    return {exit_code::invalid_file, "the fleet file has errors\n" + config::to_text(problems),
            "correct the lines named and run the command again"};
}

/// Fleet that the file is compared with; none if the command line names none.
result<std::optional<core::fleet>> read_base(const invocation& command_line)
{
    const command_settings& settings = command_line.settings;
    if (!settings.against.empty()) {
        auto base = config::read_fleet(settings.against);
        if (!base) {
            return tl::unexpected(file_failure(base.error()));
        }
        return std::optional(std::move(*base));
    }
    if (settings.instances.empty()) {
        return std::optional<core::fleet>();
    }
    api_client client(settings);
    auto snapshot = fleet_editor(client, settings).read();
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    return std::optional(std::move(snapshot->state));
}

json::array to_json(const config::problem_list& problems)
{
    json::array result;
    for (const config::problem& each : problems) {
        result.push_back(json::object{
            {"file", each.file}, {"line", each.line}, {"key", each.key}, {"text", each.text}});
    }
    return result;
}

json::array to_json(const std::vector<std::string>& lines)
{
    json::array result;
    for (const std::string& line : lines) {
        result.emplace_back(line);
    }
    return result;
}

void print_text(const std::string& file, const config::checked_fleet& checked,
                const std::optional<core::fleet>& base, std::ostream& out)
{
    out << file << " is valid: " << checked.state.entries().size() << " entries\n";
    for (const config::problem& warning : checked.warnings) {
        out << "warning: " << sanitize(config::to_text(warning)) << "\n";
    }
    if (!base) {
        return;
    }
    const core::fleet_difference change = core::difference(*base, checked.state);
    for (const std::string& line : config::describe(change, *base)) {
        out << sanitize(line) << "\n";
    }
    for (const std::string& effect : config::describe_effects(change, *base)) {
        out << "effect: " << sanitize(effect) << "\n";
    }
    if (change.empty()) {
        out << "no difference\n";
    }
}

void print_json(const config::checked_fleet& checked, const std::optional<core::fleet>& base,
                std::ostream& out)
{
    json::object report{{"entries", checked.state.entries().size()},
                        {"warnings", to_json(checked.warnings)}};
    if (base) {
        const core::fleet_difference change = core::difference(*base, checked.state);
        report["change"] = config::to_json(change);
        report["effects"] = to_json(config::describe_effects(change, *base));
    }
    out << json::serialize(report) << "\n";
}

} // namespace

result<void> run_check(const invocation& command_line, std::ostream& out)
{
    const std::string& file = command_line.arguments.front();
    const bool as_json = command_line.settings.output == output_format::json;
    const auto checked = config::check_fleet_file(file);
    if (!checked) {
        if (as_json) {
            out << json::serialize(json::object{{"errors", to_json(checked.error())}}) << "\n";
        }
        return tl::unexpected(file_failure(checked.error()));
    }
    const auto base = read_base(command_line);
    if (!base) {
        return tl::unexpected(base.error());
    }
    if (as_json) {
        print_json(*checked, *base, out);
    }
    else {
        print_text(file, *checked, *base, out);
    }
    return {};
}

} // namespace gooseberryfall::cli
