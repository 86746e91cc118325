#include "kernel/process_memory.hpp"

#include <fstream>
#include <unistd.h>

namespace gooseberryfall::kernel {

std::optional<std::size_t> resident_memory_bytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    if (!(statm >> total_pages >> resident_pages) || page_bytes <= 0) {
        return std::nullopt;
    }
    return resident_pages * static_cast<std::size_t>(page_bytes);
}

} // namespace gooseberryfall::kernel
