#pragma once

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <sys/prctl.h>

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

} // namespace gooseberryfall::stand_ins
