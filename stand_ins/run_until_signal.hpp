#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberryfall::stand_ins {

/// Prints `ready port=N` on standard output and waits for SIGTERM or SIGINT. Prints the reason on
/// standard error and returns 1 if there is no port.
int run_until_signal(const tl::expected<std::uint16_t, std::string>& port);

} // namespace gooseberryfall::stand_ins
