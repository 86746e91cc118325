#include "soak/daemon_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gooseberryfall::soak {

daemon_process::~daemon_process()
{
    kill();
}

bool daemon_process::start(const std::string& program, const std::string& settings,
                           const std::string& log)
{
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), flags, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string flag = "--settings=" + settings;
    std::string name = program;
    char* arguments[] = {name.data(), flag.data(), nullptr};
    const int failed =
        ::posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        process_ = -1;
    }
    return failed == 0;
}

void daemon_process::signal(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

void daemon_process::kill()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = -1;
    }
}

bool daemon_process::running()
{
    if (process_ <= 0) {
        return false;
    }
    if (::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
        return false;
    }
    return true;
}

} // namespace gooseberryfall::soak
