#pragma once

#include <optional>
#include <string>

namespace gooseberryfall::cli {

/// A caller's key of 256 random bits as 64 hexadecimal digits, or nothing if the random source
/// fails. Thread-safe.
std::optional<std::string> make_key();

} // namespace gooseberryfall::cli
