#pragma once

// Daemons as processes, started as the deploy file says, and the record of a case.

#include "engine.hpp"
#include "store.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

namespace review {

/// The case could not be played.
struct not_played : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Writes `record.txt`. Thread-safe.
class record {
public:
    explicit record(const std::string& path) : out_(path) {}

    /// Seconds since the begin of the case.
    std::string time_of(steady_clock::time_point at) const
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(at - begun_at_).count();
        std::ostringstream formatted;
        formatted << elapsed / 1000 << '.' << std::setw(3) << std::setfill('0') << elapsed % 1000;
        return formatted.str();
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        out_ << time_of(steady_clock::now()) << "  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady_clock::time_point begun_at_ = steady_clock::now();
};

/// One instance of the daemon.
class machine {
public:
    machine(std::string name, const std::string& folder, const std::string& zone,
            const std::string& store_address)
        : name_(std::move(name)), settings_path_(folder + "/" + name_ + ".toml"),
          log_path_(folder + "/" + name_ + ".log")
    {
        const auto addresses = free_addresses(4);
        front_ = addresses[0];
        ready_ = addresses[1];
        directory_ = addresses[2];
        // What the template of the deploy file renders with the bounds of the site.
        std::ofstream(settings_path_)
            << "[instance]\nname = \"" << name_ << "\"\ndata_centre = \"" << zone
            << "\"\ncapacity = 0.5\n[listen]\ncallers = \"" << front_ << "\"\nreadiness = \""
            << ready_ << "\"\ndirectory = \"" << directory_ << "\"\ninstances = \"" << addresses[3]
            << "\"\n[store]\naddress = \"" << store_address
            << "\"\npartitions = 8\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
               "membership_min_ms = 1000\n[bounds]\nstate_in_force_ms = 2000\nlimit_window_s = 5\n"
               "limit_overage = 0.1\nlimit_slack = 20\nresults_kept_s = 120\n"
               "directory_lifetime_max_s = 5\nleave_s = 8\n";
    }
    ~machine() { kill(); }
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    machine(machine&&) = delete;
    machine& operator=(machine&&) = delete;

    const std::string& name() const { return name_; }
    const std::string& front() const { return front_; }
    const std::string& directory() const { return directory_; }

    void start()
    {
        // The line `run` of the deploy file; the working directory is the repository's root.
        std::string program = "target/platform/gooseberryfall-platform";
        std::string boot = "GOOSEBERRYFALL_BOOT=" + settings_path_;
        std::string path = "PATH=/usr/bin:/bin";
        char* arguments[] = {program.data(), nullptr};
        char* variables[] = {boot.data(), path.data(), nullptr};
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        pid_t started = -1;
        const int failure =
            ::posix_spawn(&started, program.c_str(), &actions, nullptr, arguments, variables);
        posix_spawn_file_actions_destroy(&actions);
        if (failure != 0) {
            throw not_played("cannot start " + program);
        }
        process_ = started;
        const std::lock_guard lock(started_mutex());
        started_processes().push_back(started);
    }

    /// Ends all processes that were started and not waited for. For a case that takes too long.
    static void kill_all()
    {
        const std::lock_guard lock(started_mutex());
        for (const pid_t process : started_processes()) {
            ::kill(process, SIGKILL);
        }
    }

    void signal(int number) const
    {
        if (process_ > 0) {
            ::kill(process_, number);
        }
    }

    /// Ends the process at once and waits for its end.
    void kill()
    {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            forget();
        }
    }

    /// Reaps the process if it has ended.
    bool is_running()
    {
        if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
            forget();
        }
        return process_ > 0;
    }

    /// Resident memory; 0 if the process has ended.
    std::uint64_t memory_bytes() const
    {
        std::uint64_t total = 0;
        std::uint64_t resident = 0;
        std::ifstream("/proc/" + std::to_string(process_) + "/statm") >> total >> resident;
        return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    }

    bool is_ready() const
    {
        return call(ready_, "GET", "/v1/readiness", "Host: ready\r\n", "", milliseconds(500))
                   .status == 200;
    }

private:
    static std::mutex& started_mutex()
    {
        static std::mutex mutex;
        return mutex;
    }
    static std::vector<pid_t>& started_processes()
    {
        static std::vector<pid_t> processes;
        return processes;
    }
    void forget()
    {
        const std::lock_guard lock(started_mutex());
        std::erase(started_processes(), process_.load());
        process_ = -1;
    }

    std::string name_;
    std::string settings_path_;
    std::string log_path_;
    std::string front_;
    std::string ready_;
    std::string directory_;
    std::atomic<pid_t> process_{-1};
};

/// A small installation: a store, engines and machines.
struct installation {
    std::string folder;
    record& notes;
    store platform{8};
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<machine>> machines;

    installation(std::string work_folder, record& case_notes)
        : folder(std::move(work_folder)), notes(case_notes)
    {
    }

    void add_engine(const std::string& id, const std::string& service,
                    std::function<run_plan(const received_request&)> plan)
    {
        engine_settings settings;
        settings.id = id;
        settings.service = service;
        settings.plan = std::move(plan);
        engines.push_back(std::make_unique<engine>(std::move(settings)));
        platform.put("keyed.servers", id, engines.back()->entry());
    }

    void publish(const json::object& state)
    {
        platform.put("keyed.op", "config", json::serialize(state));
        notes.line("operator: version " + json::serialize(state.at("version")) + " confirmed");
    }

    /// Starts machines and waits until all are ready and traffic may start.
    void start_machines(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            machines.push_back(std::make_unique<machine>("edge-" + std::to_string(index + 1),
                                                         folder, "a", platform.address()));
        }
        for (const auto& each : machines) {
            each->start();
        }
        wait_until_ready();
        // The pages let traffic start 10 s after the machines.
        std::this_thread::sleep_for(milliseconds(4000));
        notes.line("machines are ready");
    }

    void wait_until_ready()
    {
        const auto deadline = steady_clock::now() + std::chrono::seconds(15);
        for (const auto& each : machines) {
            while (!each->is_ready()) {
                if (steady_clock::now() > deadline) {
                    throw not_played(each->name() + " is not ready after 15 s");
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
    }

    std::vector<engine_run> runs() const
    {
        std::vector<engine_run> all;
        for (const auto& each : engines) {
            const auto some = each->runs();
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }
};

} // namespace review
