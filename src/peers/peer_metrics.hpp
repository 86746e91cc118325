#pragma once

#include <atomic>
#include <cstdint>

namespace gooseberryfall::peers {

// Private to this library.

/// Counters that the transport's thread and the senders raise.
struct peer_metrics {
    std::atomic<std::uint64_t> delivered = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<std::uint64_t> lost = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> malformed = 0;
    std::atomic<std::uint64_t> connects = 0;
    std::atomic<std::uint64_t> connect_failures = 0;
    std::atomic<std::uint64_t> silent = 0;
};

} // namespace gooseberryfall::peers
