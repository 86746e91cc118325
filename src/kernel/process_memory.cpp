#include "kernel/process_memory.hpp"

#include <fstream>
#include <unistd.h>

namespace gooseberryfall::kernel {

std::optional<std::size_t> resident_memory()
{
    std::ifstream pages("/proc/self/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    if (!(pages >> size >> resident) || page_bytes <= 0) {
        return std::nullopt;
    }
    return resident * static_cast<std::size_t>(page_bytes);
}

} // namespace gooseberryfall::kernel
