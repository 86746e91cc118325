#pragma once

#include <optional>
#include <string>

namespace gooseberryfall::cli {

/// Generates a caller's API key of 256 random bits as 64 hexadecimal digits. Returns nothing if the
/// random source fails. Thread-safe.
std::optional<std::string> generate_api_key();

} // namespace gooseberryfall::cli
