#pragma once

#include "config/daemon_settings.hpp"
#include "config/fields.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::config {

/// A section of the settings file.
struct settings_section {
    std::string name;
    /// One sentence on what it is for.
    std::string meaning;
    field_table<daemon_settings> fields;
};

/// Every setting, declared once. Thread-safe.
const std::vector<settings_section>& settings_table();

/// `section.name` of every setting. Thread-safe.
std::vector<std::string> setting_names();

} // namespace gooseberryfall::config
