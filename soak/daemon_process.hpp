#pragma once

#include <cstdint>
#include <string>

#include <sys/types.h>

namespace gooseberryfall::soak {

/// A daemon under test whose standard output and error are appended to a file. The destructor kills
/// it. Sends signals only to the process that it started itself, by process id. Not thread-safe.
class daemon_process {
public:
    daemon_process() = default;
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    /// Starts the program with a settings file. Returns false if the process cannot be created.
    /// Precondition: the daemon is not running.
    bool start(const std::string& program, const std::string& settings_path,
               const std::string& log_path);

    /// Sends a signal, if the process was started and not yet reaped.
    void send_signal(int signal_number) const;

    /// Kills the process with SIGKILL and waits until it has exited.
    void kill();

    /// Whether the process is running. Reaps it if it has exited.
    bool is_running();

    /// Id of the process; -1 if it was not started or has exited.
    pid_t process_id() const { return process_id_; }

    /// Whether the process holds one end of the TCP connection from local port `local_port` to
    /// `remote_port`.
    bool holds_connection(std::uint16_t local_port, std::uint16_t remote_port) const;

private:
    pid_t process_id_ = -1;
};

} // namespace gooseberryfall::soak
