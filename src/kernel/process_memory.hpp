#pragma once

#include <cstddef>
#include <optional>

namespace gooseberryfall::kernel {

/// Resident memory of this process in bytes, or nothing if the system does not provide it.
/// Thread-safe.
std::optional<std::size_t> resident_memory_bytes();

} // namespace gooseberryfall::kernel
