#pragma once

#include "config/daemon_settings.hpp"
#include "config/fields.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// A section of the settings file.
struct settings_section {
    std::string name;
    /// Purpose of the section in one sentence, for the reference page.
    std::string description;
    field_table<daemon_settings> fields;
};

/// All settings by section, in the order of the reference page. Thread-safe.
const std::vector<settings_section>& settings_table();

/// Names of all settings, each as `section.name`. Thread-safe.
std::vector<std::string> setting_names();

} // namespace gooseberryfall::config
