#include "config/settings_file.hpp"
#include "config/settings_table.hpp"

#include <string_view>

namespace gooseberryfall::config {

namespace {

constexpr std::string_view introduction =
    R"(# Settings of gooseberryfalld

This page is the output of `gooseberryfalld --print-settings-reference`.

The settings file is TOML. Durations are texts with a unit, for example `"250 ms"`; sizes are texts with a unit, for example `"256 KiB"`. Unknown keys are refused. All errors of a file are reported together, each with its line, and nothing is started with a file that has one.
)";

std::string default_text(const field<daemon_settings>& setting)
{
    if (setting.required) {
        return "required";
    }
    const raw_value value = setting.write(daemon_settings{});
    const bool unset = value == raw_value(std::string());
    return unset ? "none" : "`" + to_text(value) + "`";
}

std::string section_text(const settings_section& section)
{
    std::string text = "\n## " + section.name + "\n\n" + section.description + "\n\n";
    text += "| setting | value | default | meaning |\n|---|---|---|---|\n";
    for (const field<daemon_settings>& setting : section.fields) {
        text += "| `" + section.name + "." + setting.name + "` | " + setting.allowed + " | " +
                default_text(setting) + " | " + setting.description + " |\n";
    }
    return text;
}

} // namespace

std::string settings_reference()
{
    std::string text(introduction);
    for (const settings_section& section : settings_table()) {
        text += section_text(section);
    }
    return text;
}

} // namespace gooseberryfall::config
