#pragma once

#include <csignal>
#include <cstdio>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/// A program that a test starts and that reports `ready port=N`. Ended on destruction.
class child_process {
public:
    explicit child_process(std::vector<std::string> arguments)
    {
        int ends[2];
        if (::pipe(ends) != 0) {
            throw std::runtime_error("no pipe");
        }
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_addclose(&actions, ends[0]);
        posix_spawn_file_actions_addclose(&actions, ends[1]);
        std::vector<char*> pointers;
        pointers.reserve(arguments.size() + 1);
        for (std::string& argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        const int failed =
            ::posix_spawn(&process_, pointers[0], &actions, nullptr, pointers.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(ends[1]);
        output_ = ::fdopen(ends[0], "r");
        if (failed != 0) {
            throw std::runtime_error("cannot start " + arguments[0]);
        }
        read_port();
    }

    ~child_process()
    {
        if (process_ > 0) {
            terminate();
        }
        std::fclose(output_);
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Sends SIGTERM, waits and returns the exit code, or -1 if a signal ended the program.
    int terminate()
    {
        ::kill(process_, SIGTERM);
        int status = 0;
        ::waitpid(process_, &status, 0);
        process_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    pid_t id() const { return process_; }

private:
    void read_port()
    {
        if (std::fscanf(output_, "ready port=%d", &port_) != 1) { // NOLINT(cert-err34-c)
            throw std::runtime_error("the program is not ready");
        }
    }

    pid_t process_ = 0;
    int port_ = 0;
    FILE* output_ = nullptr;
};
