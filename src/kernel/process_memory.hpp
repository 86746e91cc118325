#pragma once

#include <cstddef>
#include <optional>

namespace gooseberryfall::kernel {

/// Resident memory of this process in bytes; unset where the system does not tell. Thread-safe.
std::optional<std::size_t> resident_memory();

} // namespace gooseberryfall::kernel
