#pragma once

#include <csignal>
#include <cstdio>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/// A program that a test starts, and that prints `ready port=N` when it accepts connections. The
/// destructor terminates it. Not thread-safe.
class child_process {
public:
    /// Starts the program with its arguments, of which the first is its path, and waits until it is
    /// ready. Throws `std::runtime_error` if it cannot be started or exits before.
    explicit child_process(std::vector<std::string> arguments)
    {
        int pipe_ends[2];
        if (::pipe(pipe_ends) != 0) {
            throw std::runtime_error("cannot create a pipe for the program's output");
        }
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_addclose(&actions, pipe_ends[0]);
        posix_spawn_file_actions_addclose(&actions, pipe_ends[1]);
        std::vector<char*> argument_pointers;
        argument_pointers.reserve(arguments.size() + 1);
        for (std::string& argument : arguments) {
            argument_pointers.push_back(argument.data());
        }
        argument_pointers.push_back(nullptr);
        const int spawn_error = ::posix_spawn(&process_id_, argument_pointers[0], &actions, nullptr,
                                              argument_pointers.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(pipe_ends[1]);
        output_ = ::fdopen(pipe_ends[0], "r");
        if (spawn_error != 0) {
            throw std::runtime_error("cannot start " + arguments[0]);
        }
        read_port();
    }

    ~child_process()
    {
        if (process_id_ > 0) {
            terminate();
        }
        std::fclose(output_);
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Sends SIGTERM, waits for the exit and returns the exit code, or -1 if a signal ended the
    /// program.
    int terminate()
    {
        ::kill(process_id_, SIGTERM);
        int status = 0;
        ::waitpid(process_id_, &status, 0);
        process_id_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    /// `IP:PORT` on which the program listens.
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    pid_t process_id() const { return process_id_; }

private:
    void read_port()
    {
        if (std::fscanf(output_, "ready port=%d", &port_) != 1) { // NOLINT(cert-err34-c)
            throw std::runtime_error("the program did not print \"ready port=N\"");
        }
    }

    pid_t process_id_ = 0;
    int port_ = 0;
    FILE* output_ = nullptr;
};
