#pragma once

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <string>
#include <sys/prctl.h>
#include <tl/expected.hpp>

namespace gooseberryfall::stand_ins {

/// Blocks SIGTERM and SIGINT, so that `wait_for_termination` receives them. Call it before any
/// thread is started, because threads inherit the mask.
inline void block_termination_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Makes the kernel send this process SIGTERM when the thread that started it exits, so that a test
/// that crashes leaves no process behind.
inline void terminate_with_parent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGTERM);
}

/// Prints the line that tells the starting process the port.
inline void print_ready_line(std::uint16_t port)
{
    std::printf("ready port=%u\n", static_cast<unsigned>(port));
    std::fflush(stdout);
}

/// Waits for SIGTERM or SIGINT. Precondition: `block_termination_signals` was called.
inline void wait_for_termination()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
}

/// Prints the port and waits for SIGTERM or SIGINT; returns the exit status: 1, with the reason on
/// standard error, if there is no port. Precondition: `block_termination_signals` was called.
inline int run_until_signal(const tl::expected<std::uint16_t, std::string>& port)
{
    if (!port) {
        std::fprintf(stderr, "cannot listen: %s\n", port.error().c_str());
        return 1;
    }
    print_ready_line(*port);
    wait_for_termination();
    return 0;
}

} // namespace gooseberryfall::stand_ins
