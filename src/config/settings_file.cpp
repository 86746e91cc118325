#include "config/settings_file.hpp"

#include "config/file_text.hpp"
#include "config/settings_relations.hpp"
#include "config/settings_table.hpp"
#include "config/toml_input.hpp"

#include <algorithm>

namespace gooseberryfall::config {

namespace {

const settings_section* find_section(const std::string& name)
{
    for (const settings_section& section : settings_table()) {
        if (section.name == name) {
            return &section;
        }
    }
    return nullptr;
}

std::vector<std::string> section_names()
{
    std::vector<std::string> names;
    for (const settings_section& section : settings_table()) {
        names.push_back(section.name);
    }
    return names;
}

void read_table(daemon_settings& settings, const raw_table& table, problem_list& problems)
{
    const settings_section* section = find_section(table.name);
    if (section == nullptr) {
        problems.push_back({"", table.line, table.name,
                            "unknown section; the nearest known section is " +
                                nearest_name(table.name, section_names())});
        return;
    }
    if (table.is_array_element) {
        problems.push_back(
            {"", table.line, table.name, "must be one section, written [" + table.name + "]"});
        return;
    }
    read_fields(settings, table, section->fields, setting_names(), problems);
}

/// Qualified name of the setting whose name without the section is nearest to `name`.
std::string nearest_setting(const std::string& name)
{
    std::vector<std::string> unqualified_names;
    for (const std::string& qualified_name : setting_names()) {
        unqualified_names.push_back(qualified_name.substr(qualified_name.find('.') + 1));
    }
    const std::string nearest = nearest_name(name, unqualified_names);
    const auto found = std::find(unqualified_names.begin(), unqualified_names.end(), nearest);
    return setting_names().at(static_cast<std::size_t>(found - unqualified_names.begin()));
}

void report_top_level_key(const raw_field& input_field, problem_list& problems)
{
    const bool is_section = find_section(input_field.name) != nullptr;
    const std::string text = is_section
                                 ? "must be a section, written [" + input_field.name + "]; found " +
                                       to_text(input_field.value)
                                 : "unknown key outside of a section; the nearest known key is " +
                                       nearest_setting(input_field.name);
    problems.push_back({"", input_field.line, input_field.name, text});
}

/// Adds problems for the required settings of sections that are missing from the file.
void check_required_sections(const std::vector<raw_table>& tables, problem_list& problems)
{
    for (const settings_section& section : settings_table()) {
        bool present = false;
        for (const raw_table& table : tables) {
            present = present || table.name == section.name;
        }
        if (!present) {
            daemon_settings unused;
            read_fields(unused, {section.name, section.name, 1, false, {}}, section.fields, {},
                        problems);
        }
    }
}

} // namespace

checked<daemon_settings> parse_settings(const std::string& text, const std::string& file)
{
    auto input = parse_toml(text);
    if (!input) {
        return tl::unexpected(with_file_name(std::move(input.error()), file));
    }
    daemon_settings settings;
    problem_list problems;
    for (const raw_field& input_field : input->top_level_keys) {
        report_top_level_key(input_field, problems);
    }
    for (const raw_table& table : input->tables) {
        read_table(settings, table, problems);
    }
    check_required_sections(input->tables, problems);
    if (problems.empty()) {
        problems = check_relations(settings, input->tables);
    }
    if (!problems.empty()) {
        return tl::unexpected(with_file_name(std::move(problems), file));
    }
    return settings;
}

checked<daemon_settings> read_settings(const std::string& file)
{
    return read_file(file).and_then(
        [&file](const std::string& text) { return parse_settings(text, file); });
}

} // namespace gooseberryfall::config
