#pragma once

#include "soak/daemon_process.hpp"
#include "soak/faulty_links.hpp"
#include "soak/history.hpp"
#include "stand_ins/log_store.hpp"
#include "stand_ins/model_engine.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::soak {

/// Settings of a soak test.
struct soak_options {
    std::uint64_t seed = 1;
    /// Time for which faults are injected.
    std::chrono::seconds fault_duration{20};
    std::size_t instances = 4;
    std::size_t engines = 3;
    std::size_t callers = 6;
    /// Whether network faults are injected in addition to those of processes, store and engines.
    bool link_faults = true;
    /// Path of the daemon's program.
    std::string daemon_program;
    /// Folder for the settings and logs of the daemons.
    std::string folder;
};

/// One soak test: starts real daemons with stand-ins for the store and the engines, injects random
/// faults determined by the seed while callers send requests and jobs, and checks the service's
/// guarantees at the end. Not thread-safe.
class soak_run {
public:
    explicit soak_run(soak_options options);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(soak_run&&) = delete;

    /// Performs the run and returns a sentence for each violated guarantee.
    std::vector<std::string> run();

private:
    /// Writes a desired state with this version to the store.
    void publish_state(std::uint64_t version);
    /// Path of an instance's file with this file name extension.
    std::string instance_file(std::size_t instance, const char* extension) const;
    /// Settings of an instance in TOML. `variant` selects the values of the settings that may
    /// change while the daemon runs.
    std::string settings_text(std::size_t instance, std::uint64_t variant) const;
    void write_settings(std::size_t instance, const std::string& text) const;
    /// Pace of a run at an engine: determined by the seed, the engine and the run's id.
    stand_ins::run_pace draw_pace(std::size_t engine, const std::string& run_id) const;
    /// Number of events after which a run at an engine is truncated, determined like its pace;
    /// unset if it isn't, as for all runs once the faults have ended.
    std::optional<std::uint32_t> draw_truncation(std::size_t engine,
                                                 const std::string& run_id) const;
    /// Number of the instance that holds the other end of a connection to a link; empty if none
    /// does any more.
    std::optional<std::size_t> find_sender(std::uint16_t sender_port, std::uint16_t link_port);
    /// Sets the mode of the store's listener of one instance, or of all if `instance` is empty.
    void disturb_store(std::optional<std::size_t> instance, stand_ins::listener_mode mode);
    void restore_store();
    /// Rewrites settings files until the faults end: with or without SIGHUP, and some of them in
    /// two steps, so that a daemon may read a truncated file.
    void inject_settings_changes();
    /// Lets one engine at a time say that it leaves, before the store's list says so, and replaces
    /// it, until the faults end.
    void inject_leaving_engines();
    /// Suspends one instance at a time and ends all others while it sleeps, until the faults end.
    /// They start again only when it is awake.
    void inject_owner_losses();
    /// Ends the instance for good, if the run has one that is larger than the others.
    void lose_largest_instance();
    /// Whether an instance is kept down for good.
    bool is_lost(std::size_t instance) const
    {
        return has_large_instance() && faults_over_ && instance == 0;
    }
    /// Whether instance 0 has a larger capacity than the others, so that it owns all jobs.
    bool has_large_instance() const { return options_.seed % 2 == 0; }
    /// Ends a daemon, or lets `supervise` start it again.
    void hold_down(std::size_t instance, bool down);
    /// Lets requests with a part come that crashes engines, now and then until the faults end.
    void inject_crashing_parts();
    /// Lets such requests come while nothing else is wrong. Returns a sentence for each violation.
    std::vector<std::string> check_crashing_part();
    /// Numbers the part that crashes engines from now on; 0: none.
    void set_crashing_part(unsigned number);
    /// What the engines have run.
    std::vector<observed_run> observed_runs() const;
    /// Restarts daemons that have exited, as the platform does, until the run ends.
    void supervise();
    void start(std::size_t instance);
    void send_signal(std::size_t instance, int signal_number);
    /// Sends requests of one caller until the run ends.
    void run_caller(std::size_t caller);
    /// Submits jobs and reads their results until the faults end.
    void submit_jobs();
    /// `crashing_part`: number of the part of the prompt that crashes engines; 0: none.
    void send_request(std::size_t instance, const std::string& id, bool repeatable,
                      unsigned crashing_part);
    /// Returns whether the job was accepted.
    bool submit(std::size_t instance, const std::string& job, int items);
    /// Returns whether the results of all items were read.
    bool read_results(std::size_t instance, const std::string& job, int items);
    /// Injects faults of daemons, store and engines for `fault_duration`.
    void inject_faults();
    /// Injects one fault and returns its description.
    std::string inject_random_fault(std::mt19937_64& random);
    /// Suspends the process of an instance.
    void pause(std::size_t instance, std::chrono::milliseconds duration);
    /// Injects network faults concurrently with the other faults until those end.
    void inject_link_faults();
    /// Ends the faults of all links and of the store.
    void clear_faults();
    /// Checks that every instance serves requests and rejects withdrawn keys again, and reads the
    /// results of all accepted jobs. Returns a sentence for each violation.
    std::vector<std::string> check_recovery();
    std::string address(std::size_t instance, int port) const;
    /// Address of the link through which callers reach an instance.
    std::string caller_address(std::size_t instance) const;
    std::string current_key() const;
    /// Prints an event with the time since the start of the run.
    void log_event(const std::string& text);

    soak_options options_;
    history history_;
    stand_ins::log_store store_{2};
    /// Index of the store's listener for each instance.
    std::vector<std::size_t> store_listeners_;
    // Before the links, whose thread looks up senders until it ends.
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    std::mutex daemons_mutex_;
    /// Daemons that are not started again for now.
    std::set<std::size_t> held_down_;
    faulty_links links_;
    /// Links from the callers to each instance, from each instance to the store, and from the
    /// instances to each engine.
    std::vector<std::size_t> caller_links_;
    std::vector<std::size_t> store_links_;
    std::vector<std::size_t> engine_links_;
    /// Numbers of the disturbances of the store that haven't ended.
    std::vector<std::size_t> store_disturbances_;
    std::vector<std::unique_ptr<stand_ins::model_engine>> engines_;
    std::atomic<bool> faults_over_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<unsigned> crashing_part_{0};
    std::atomic<std::uint64_t> state_version_{1};
    std::mutex log_mutex_;
    std::chrono::steady_clock::time_point started_at_;
};

} // namespace gooseberryfall::soak
