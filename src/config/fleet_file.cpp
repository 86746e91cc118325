#include "config/fleet_file.hpp"

#include "config/entry_fields.hpp"
#include "config/file_text.hpp"
#include "config/fleet_reader.hpp"
#include "config/toml_input.hpp"

#include <algorithm>

namespace gooseberryfall::config {

namespace {

bool is_kind(const std::string& name)
{
    return std::find(entry_kind_names().begin(), entry_kind_names().end(), name) !=
           entry_kind_names().end();
}

std::string unknown_kind(const std::string& name)
{
    return "unknown kind of entry; the nearest known kind is " +
           nearest_name(name, entry_kind_names());
}

void read_table(const raw_table& table, fleet_reader& reader)
{
    if (is_kind(table.name) && !table.is_array_element) {
        reader.add_problem(
            {"", table.line, table.name, "must be a list, written [[" + table.name + "]]"});
        return;
    }
    reader.add(table);
}

void report_top_level_key(const raw_field& input_field, fleet_reader& reader)
{
    // The value is not shown, because it may be a plaintext API key.
    const std::string text = is_kind(input_field.name)
                                 ? "must be a list of tables, written [[" + input_field.name + "]]"
                                 : unknown_kind(input_field.name);
    reader.add_problem({"", input_field.line, input_field.name, text});
}

/// Formats a value as TOML.
std::string toml_text(const raw_value& value)
{
    if (const auto* number = std::get_if<double>(&value)) {
        return format_number(*number);
    }
    if (const auto* text = std::get_if<std::string>(&value)) {
        return quoted(*text);
    }
    return to_text(value);
}

} // namespace

checked<core::fleet> parse_fleet(const std::string& text, const std::string& file)
{
    auto input = parse_toml(text);
    if (!input) {
        return tl::unexpected(with_file_name(std::move(input.error()), file));
    }
    fleet_reader reader;
    for (const raw_field& input_field : input->top_level_keys) {
        report_top_level_key(input_field, reader);
    }
    for (const raw_table& table : input->tables) {
        read_table(table, reader);
    }
    reader.check(true);
    if (!reader.found_problems().empty()) {
        return tl::unexpected(with_file_name(reader.found_problems(), file));
    }
    core::fleet state = reader.to_fleet();
    // The core validates every change by its own rules. The checks above are meant to imply them;
    // this check covers rules that they miss.
    if (const auto fleet_error = state.find_error()) {
        return tl::unexpected(problem_list{{file, 1, "", *fleet_error}});
    }
    return state;
}

checked<core::fleet> read_fleet(const std::string& file)
{
    return read_file(file).and_then(
        [&file](const std::string& text) { return parse_fleet(text, file); });
}

std::string write_fleet(const core::fleet& state)
{
    std::string text;
    for (const core::fleet_entry& entry : state.entries()) {
        text += text.empty() ? "" : "\n";
        text += std::string("[[") + core::to_text(core::key_of(entry).kind) + "]]\n";
        for (const raw_field& value : write_entry(entry, false)) {
            text += value.name + " = " + toml_text(value.value) + "\n";
        }
    }
    return text;
}

} // namespace gooseberryfall::config
