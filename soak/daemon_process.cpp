#include "soak/daemon_process.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gooseberryfall::soak {

namespace {

/// Port of an `ADDRESS:PORT` in hexadecimal digits.
unsigned long parse_port(const std::string& endpoint)
{
    return std::stoul(endpoint.substr(endpoint.find(':') + 1), nullptr, 16);
}

/// Number (inode) of the socket of a TCP connection; empty if there is none.
std::string find_socket_number(std::uint16_t local_port, std::uint16_t remote_port)
{
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line);
    while (std::getline(connections, line)) {
        std::istringstream fields(line);
        std::string row, local, remote, state, queues, timer, retransmits, user, timeout, number;
        fields >> row >> local >> remote >> state >> queues >> timer >> retransmits >> user >>
            timeout >> number;
        if (parse_port(local) == local_port && parse_port(remote) == remote_port) {
            return number;
        }
    }
    return {};
}

} // namespace

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

bool daemon_process::holds_connection(std::uint16_t local_port, std::uint16_t remote_port) const
{
    const std::string socket_number = find_socket_number(local_port, remote_port);
    if (process_id_ <= 0 || socket_number.empty()) {
        return false;
    }
    const std::string wanted = "socket:[" + socket_number + "]";
    std::error_code error;
    const std::string descriptors = "/proc/" + std::to_string(process_id_) + "/fd";
    for (std::filesystem::directory_iterator entry(descriptors, error), end; !error && entry != end;
         entry.increment(error)) {
        std::error_code closed_meanwhile;
        if (std::filesystem::read_symlink(entry->path(), closed_meanwhile) == wanted) {
            return true;
        }
    }
    return false;
}

} // namespace gooseberryfall::soak
