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

void read_table(daemon_settings& settings, const raw_table& table, problem_list& faults)
{
    const settings_section* section = find_section(table.name);
    if (section == nullptr) {
        faults.push_back({"", table.line, table.name,
                          "unknown section; the nearest known section is " +
                              nearest_name(table.name, section_names())});
        return;
    }
    if (table.listed) {
        faults.push_back(
            {"", table.line, table.name, "must be one section, written [" + table.name + "]"});
        return;
    }
    read_fields(settings, table, section->fields, setting_names(), faults);
}

/// Setting whose name without its section is nearest.
std::string nearest_setting(const std::string& name)
{
    std::vector<std::string> bare_names;
    for (const std::string& full : setting_names()) {
        bare_names.push_back(full.substr(full.find('.') + 1));
    }
    const std::string nearest = nearest_name(name, bare_names);
    const auto found = std::find(bare_names.begin(), bare_names.end(), nearest);
    return setting_names().at(static_cast<std::size_t>(found - bare_names.begin()));
}

void refuse_loose(const raw_field& given, problem_list& faults)
{
    const bool section = find_section(given.name) != nullptr;
    const std::string text =
        section ? "must be a section, written [" + given.name + "]; found " + to_text(given.value)
                : "unknown key outside of a section; the nearest known key is " +
                      nearest_setting(given.name);
    faults.push_back({"", given.line, given.name, text});
}

/// Adds problems of required sections that are not there at all.
void check_presence(const std::vector<raw_table>& tables, problem_list& faults)
{
    for (const settings_section& section : settings_table()) {
        bool present = false;
        for (const raw_table& table : tables) {
            present = present || table.name == section.name;
        }
        if (!present) {
            daemon_settings unused;
            read_fields(unused, {section.name, section.name, 1, false, {}}, section.fields, {},
                        faults);
        }
    }
}

} // namespace

checked<daemon_settings> parse_settings(const std::string& text, const std::string& file)
{
    auto input = parse_toml(text);
    if (!input) {
        return tl::unexpected(in_file(std::move(input.error()), file));
    }
    daemon_settings settings;
    problem_list faults;
    for (const raw_field& given : input->loose) {
        refuse_loose(given, faults);
    }
    for (const raw_table& table : input->tables) {
        read_table(settings, table, faults);
    }
    check_presence(input->tables, faults);
    if (faults.empty()) {
        faults = check_relations(settings, input->tables);
    }
    if (!faults.empty()) {
        return tl::unexpected(in_file(std::move(faults), file));
    }
    return settings;
}

checked<daemon_settings> read_settings(const std::string& file)
{
    return read_text(file).and_then(
        [&file](const std::string& text) { return parse_settings(text, file); });
}

} // namespace gooseberryfall::config
