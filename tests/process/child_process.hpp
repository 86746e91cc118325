#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// A program under test. It prints a line `ready name=value ...` on standard output once it works.
/// The destructor kills and reaps it. Not thread-safe.
class child_process {
public:
    child_process() = default;
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// Starts the program and waits for its ready line; false if it ends or takes too long.
    bool start(const std::string& program, const std::vector<std::string>& arguments,
               std::chrono::seconds limit = std::chrono::seconds(20));

    /// Value of the ready line, for example a port; 0 if there is none.
    std::uint16_t ready(const std::string& name) const;

    /// Sends a signal.
    void signal(int number) const;

    /// Kills it and waits for its end.
    void kill();

    /// Waits for its end and returns the exit status, or nothing at the limit.
    std::optional<int> wait(std::chrono::milliseconds limit);

    /// Whether it runs, also while it is stopped by SIGSTOP.
    bool running();

    pid_t pid() const { return pid_; }

private:
    void close_output();

    pid_t pid_ = -1;
    int output_ = -1;
    std::map<std::string, std::string> ready_;
};

/// Runs a program to its end and returns its exit status and what it printed on both outputs.
std::pair<int, std::string> run_program(const std::string& program,
                                        const std::vector<std::string>& arguments,
                                        std::chrono::seconds limit = std::chrono::seconds(60));
