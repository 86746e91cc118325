#pragma once

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <string>
#include <sys/prctl.h>
#include <tl/expected.hpp>

namespace gooseberryfall::stand_ins {

/// Blocks the signals that end the program, so that `wait_for_end` gets them. To be called before
/// any thread is started.
inline void hold_signals()
{
    sigset_t ends{};
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
}

/// Sends this process SIGTERM when the thread that started it ends, so that a test that crashes
/// leaves nothing behind.
inline void end_with_parent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGTERM);
}

/// Prints the ready line.
inline void report_ready(std::uint16_t port)
{
    std::printf("ready port=%u\n", static_cast<unsigned>(port));
    std::fflush(stdout);
}

/// Waits for SIGTERM or SIGINT. Precondition: `hold_signals` was called.
inline void wait_for_end()
{
    sigset_t ends{};
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    int signal = 0;
    sigwait(&ends, &signal);
}

/// Reports the port and waits for the end; returns the exit status, 1 with the reason on standard
/// error if there is no port. Precondition: `hold_signals` was called.
inline int run_until_signal(const tl::expected<std::uint16_t, std::string>& port)
{
    if (!port) {
        std::fprintf(stderr, "cannot listen: %s\n", port.error().c_str());
        return 1;
    }
    report_ready(*port);
    wait_for_end();
    return 0;
}

} // namespace gooseberryfall::stand_ins
