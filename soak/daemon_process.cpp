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

bool daemon_process::start(const std::string& program, const std::string& settings_path,
                           const std::string& log_path)
{
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    constexpr int open_flags = O_WRONLY | O_CREAT | O_APPEND;
    constexpr mode_t permissions = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), open_flags,
                                     permissions);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A daemon that inherited the connections of the proxies would keep them open after their ends
    // have closed them, so that an engine wouldn't see that its caller has gone.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string settings_flag = "--settings=" + settings_path;
    std::string program_name = program;
    char* arguments[] = {program_name.data(), settings_flag.data(), nullptr};
    const int spawn_error =
        ::posix_spawn(&process_id_, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawn_error != 0) {
        process_id_ = -1;
    }
    return spawn_error == 0;
}

void daemon_process::send_signal(int signal_number) const
{
    if (process_id_ > 0) {
        ::kill(process_id_, signal_number);
    }
}

void daemon_process::kill()
{
    if (process_id_ > 0) {
        ::kill(process_id_, SIGKILL);
        ::waitpid(process_id_, nullptr, 0);
        process_id_ = -1;
    }
}

bool daemon_process::is_running()
{
    if (process_id_ <= 0) {
        return false;
    }
    if (::waitpid(process_id_, nullptr, WNOHANG) == process_id_) {
        process_id_ = -1;
        return false;
    }
    return true;
}

} // namespace gooseberryfall::soak
