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
    return std::find(kind_names().begin(), kind_names().end(), name) != kind_names().end();
}

std::string unknown_kind(const std::string& name)
{
    return "unknown kind of entry; the nearest known kind is " + nearest_name(name, kind_names());
}

void read_table(const raw_table& table, fleet_reader& reader)
{
    if (is_kind(table.name) && !table.listed) {
        reader.add_problem(
            {"", table.line, table.name, "must be a list, written [[" + table.name + "]]"});
        return;
    }
    reader.add(table);
}

void refuse_loose(const raw_field& given, fleet_reader& reader)
{
    // The value is not shown: somebody may have written a plain key here.
    const std::string text = is_kind(given.name)
                                 ? "must be a list of tables, written [[" + given.name + "]]"
                                 : unknown_kind(given.name);
    reader.add_problem({"", given.line, given.name, text});
}

/// A value as it is written in TOML.
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
        return tl::unexpected(in_file(std::move(input.error()), file));
    }
    fleet_reader reader;
    for (const raw_field& given : input->loose) {
        refuse_loose(given, reader);
    }
    for (const raw_table& table : input->tables) {
        read_table(table, reader);
    }
    reader.check(true);
    if (!reader.problems().empty()) {
        return tl::unexpected(in_file(reader.problems(), file));
    }
    core::fleet state = reader.result();
    // The core judges every change by its own rules, which the checks above should imply.
    if (const auto fault = state.find_error()) {
        return tl::unexpected(problem_list{{file, 1, "", *fault}});
    }
    return state;
}

checked<core::fleet> read_fleet(const std::string& file)
{
    return read_text(file).and_then(
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
