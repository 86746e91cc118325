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
#include <random>
#include <string>
#include <vector>

namespace gooseberryfall::soak {

/// Settings of a run.
struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::seconds length{20};
    std::size_t instances = 4;
    std::size_t engines = 3;
    std::size_t callers = 6;
    /// Whether links have faults, too.
    bool link_faults = true;
    /// Program of the daemon.
    std::string daemon;
    /// Folder for settings and logs.
    std::string folder;
};

/// One run: real daemons before stand-ins of the store and the engines, faults drawn from the seed,
/// callers that go on through them, and the promises checked at the end. Not thread-safe.
class soak_run {
public:
    explicit soak_run(soak_options options);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(soak_run&&) = delete;

    /// Runs it and returns a sentence for each broken promise.
    std::vector<std::string> run();

private:
    void put_state(std::uint64_t version);
    /// Path of an instance's file with this ending.
    std::string file_of(std::size_t instance, const char* ending) const;
    /// Settings of an instance. `variant` draws values that may change at any time.
    std::string settings_text(std::size_t instance, std::uint64_t variant) const;
    void write_settings(std::size_t instance, const std::string& text) const;
    /// Changes settings files, with a signal or without, some of them in two steps.
    void change_settings();
    /// Starts daemons that have ended, as the platform does, until the run ends.
    void supervise();
    void start(std::size_t instance);
    void signal(std::size_t instance, int number);
    void call_all_day(std::size_t caller);
    void submit_all_day();
    void send_request(std::size_t instance, const std::string& id, bool repeatable);
    bool submit(std::size_t instance, const std::string& job, int items);
    bool read_results(std::size_t instance, const std::string& job, int items);
    void inject_faults();
    std::string inject_one(std::mt19937_64& random);
    /// Injects faults of links, beside the others and overlapping with them.
    void inject_link_faults();
    void heal();
    std::vector<std::string> check_recovery();
    std::string address(std::size_t instance, int port) const;
    /// Address at which callers reach an instance, through a link.
    std::string caller_address(std::size_t instance) const;
    std::string current_key() const;
    void note(const std::string& text);

    soak_options options_;
    history history_;
    stand_ins::log_store store_{2};
    std::vector<std::size_t> doors_;
    faulty_links links_;
    /// Links from the callers to each instance, from each instance to the store, and to each
    /// engine.
    std::vector<std::size_t> caller_links_;
    std::vector<std::size_t> store_links_;
    std::vector<std::size_t> engine_links_;
    std::vector<std::unique_ptr<stand_ins::model_engine>> engines_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    std::mutex daemons_mutex_;
    std::atomic<bool> faults_over_{false};
    std::atomic<bool> ends_{false};
    std::atomic<std::uint64_t> version_{1};
    std::mutex notes_mutex_;
    std::chrono::steady_clock::time_point begun_at_;
};

} // namespace gooseberryfall::soak
