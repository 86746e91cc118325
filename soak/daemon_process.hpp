#pragma once

#include <string>

#include <sys/types.h>

namespace gooseberryfall::soak {

/// A daemon under test with its lines in a file. The destructor ends it. Only processes that were
/// started here are ever signalled, by their ids. Not thread-safe.
class daemon_process {
public:
    daemon_process() = default;
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    /// Starts the program with a settings file; false if it cannot. Precondition: it does not run.
    bool start(const std::string& program, const std::string& settings, const std::string& log);

    void signal(int number) const;

    /// Kills it and waits for its end.
    void kill();

    /// Whether it runs; reaps it if it has ended.
    bool running();

private:
    pid_t process_ = -1;
};

} // namespace gooseberryfall::soak
