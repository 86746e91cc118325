#pragma once

#include "config/daemon_settings.hpp"
#include "config/problem.hpp"

#include <string>

namespace gooseberryfall::config {

/// Parses the text of a settings file (TOML); `file` is its name in messages. Thread-safe.
checked<daemon_settings> parse_settings(const std::string& text, const std::string& file);

/// Reads and parses a settings file. Thread-safe.
checked<daemon_settings> read_settings(const std::string& file);

/// Reference page of all settings in Markdown; docs/SETTINGS.md is a copy of it. Thread-safe.
std::string settings_reference();

} // namespace gooseberryfall::config
