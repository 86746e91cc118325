#include "process/child_process.hpp"

#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::chrono::milliseconds wait_step{10};

/// Starts the program with its outputs connected to a pipe; returns the reading end.
std::pair<pid_t, int> spawn(const std::string& program, const std::vector<std::string>& arguments,
                            bool with_errors)
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
        return {-1, -1};
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (with_errors) {
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
    }
    // Inherited connections would stay open after their ends have closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<std::string> all{program};
    all.insert(all.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(all.size() + 1);
    for (std::string& argument : all) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    if (failed != 0) {
        ::close(ends[0]);
        return {-1, -1};
    }
    return {pid, ends[0]};
}

/// Reads what is there, waiting up to `limit`; false at the end of the output or the limit.
bool read_some(int file, std::string& text, std::chrono::milliseconds limit)
{
    pollfd waiting{file, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    char buffer[4096];
    const ssize_t count = ::read(file, buffer, sizeof(buffer));
    if (count <= 0) {
        return false;
    }
    text.append(buffer, static_cast<std::size_t>(count));
    return true;
}

/// Children that run. A failed assertion leaves a test without destructors; what it started is then
/// ended when its process exits.
std::set<pid_t>& live_children()
{
    static std::set<pid_t> children;
    return children;
}

void end_live_children()
{
    for (const pid_t child : live_children()) {
        ::kill(child, SIGKILL);
    }
}

void note_started(pid_t child)
{
    if (live_children().empty()) {
        static const bool registered = std::atexit(end_live_children) == 0;
        static_cast<void>(registered);
    }
    live_children().insert(child);
}

std::chrono::milliseconds remaining(clock_type::time_point end)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - clock_type::now());
    return std::max(left, std::chrono::milliseconds(0));
}

} // namespace

child_process::~child_process()
{
    kill();
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), output_(std::exchange(other.output_, -1)),
      ready_(std::move(other.ready_))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    kill();
    pid_ = std::exchange(other.pid_, -1);
    output_ = std::exchange(other.output_, -1);
    ready_ = std::move(other.ready_);
    return *this;
}

bool child_process::start(const std::string& program, const std::vector<std::string>& arguments,
                          std::chrono::seconds limit)
{
    kill();
    ready_.clear();
    std::tie(pid_, output_) = spawn(program, arguments, false);
    if (pid_ < 0) {
        return false;
    }
    note_started(pid_);
    const auto end = clock_type::now() + limit;
    std::string text;
    while (text.find('\n') == std::string::npos) {
        if (!read_some(output_, text, remaining(end))) {
            return false;
        }
    }
    std::istringstream line(text.substr(0, text.find('\n')));
    std::string word;
    line >> word;
    if (word != "ready") {
        return false;
    }
    while (line >> word) {
        const std::size_t equals = word.find('=');
        if (equals != std::string::npos) {
            ready_[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return true;
}

std::uint16_t child_process::ready(const std::string& name) const
{
    const auto found = ready_.find(name);
    std::uint16_t value = 0;
    if (found != ready_.end()) {
        const std::string& text = found->second;
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

void child_process::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void child_process::close_output()
{
    if (output_ >= 0) {
        ::close(output_);
        output_ = -1;
    }
}

void child_process::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        int status = 0;
        while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
        }
        live_children().erase(pid_);
        pid_ = -1;
    }
    close_output();
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    if (pid_ <= 0) {
        return std::nullopt;
    }
    const auto end = clock_type::now() + limit;
    for (;;) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            live_children().erase(pid_);
            pid_ = -1;
            close_output();
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        if (clock_type::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(wait_step);
    }
}

bool child_process::running()
{
    if (pid_ <= 0) {
        return false;
    }
    siginfo_t information{};
    const int result =
        waitid(P_PID, static_cast<id_t>(pid_), &information, WEXITED | WNOHANG | WNOWAIT);
    return result == 0 && information.si_pid == 0;
}

std::pair<int, std::string> run_program(const std::string& program,
                                        const std::vector<std::string>& arguments,
                                        std::chrono::seconds limit)
{
    const auto [pid, output] = spawn(program, arguments, true);
    if (pid < 0) {
        return {-1, "cannot start " + program};
    }
    const auto end = clock_type::now() + limit;
    std::string text;
    while (read_some(output, text, remaining(end))) {
    }
    if (clock_type::now() >= end) {
        ::kill(pid, SIGKILL);
    }
    int status = 0;
    waitpid(pid, &status, 0);
    ::close(output);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status), text};
}
