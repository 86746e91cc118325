// Plays the script cases 6 to 10: starts the daemon of the deploy file in several processes before
// a store and engines that run in this process, sends requests as clients do, and checks one rule.
// Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

#include "http/http.hpp"
#include "stand-ins-2.hpp"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gooseberryfall::review {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr const char* host = "proofs.example";
constexpr std::size_t megabyte = 1U << 20U;
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_unable = 2;

/// Delay after which the platform restarts a process that has ended.
constexpr milliseconds restart_delay{300};
constexpr milliseconds memory_check_interval{50};

/// A case that takes longer is ended.
constexpr unsigned time_limit_seconds = 116;

/// Processes that were started, by machine, for `end_at_once`.
constexpr std::size_t machines_most = 16;
std::array<std::atomic<pid_t>, machines_most> started_processes{};

/// Handler of signals that end the driver: ends the processes that it started first.
void end_at_once(int /*signal_number*/)
{
    for (const std::atomic<pid_t>& process : started_processes) {
        if (process > 0) {
            ::kill(process, SIGKILL);
        }
    }
    ::_exit(exit_unable);
}

/// Writes `record.txt`: a line for each event, with the time since the start.
class recorder {
public:
    explicit recorder(const std::string& path) : out_(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin_).count();
        out_ << elapsed << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady_clock::time_point begin_ = steady_clock::now();
};

/// Settings of a deployment that a case plays.
struct deployment {
    std::size_t machines = 3;
    std::size_t memory_mb = 300;
    std::size_t engines = 12;
    std::size_t teams = 1;
    /// Time limit of an item after its job was sent.
    int retention_s = 600;
    engine_pace pace;
    /// Bytes that the store keeps before it refuses appends.
    std::size_t store_bytes_max = 400U * megabyte;
    /// Whether the platform kills processes that exceed the memory of their machine.
    bool enforces_memory = false;
};

std::string team_name(std::size_t team)
{
    return "studio-" + std::to_string(team);
}

std::string team_key(std::size_t team)
{
    return "key-of-studio-" + std::to_string(team);
}

/// A port that no one listens on at the address.
std::uint16_t find_free_port(const std::string& address)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address(address), 0));
    return acceptor.local_endpoint().port();
}

/// The processes of the system on their machines, with their store and engines.
class fleet {
public:
    fleet(deployment plan, recorder& record, std::string folder)
        : plan_(plan), record_(record), folder_(std::move(folder)), store_(plan_.store_bytes_max)
    {
        for (std::size_t index = 0; index < plan_.engines; ++index) {
            engines_.push_back(std::make_unique<engine>(
                "i-engine-" + std::to_string(index), plan_.pace, [this](const engine& started) {
                    store_.put("servers", started.id(), started.entry());
                }));
        }
        publish_state(1, true);
        const auto process_id = static_cast<unsigned>(::getpid());
        for (std::size_t index = 0; index < plan_.machines; ++index) {
            machine added;
            added.ip = "127." + std::to_string(100 + process_id % 100) + '.' +
                       std::to_string(process_id / 100 % 250) + '.' + std::to_string(index + 1);
            for (std::uint16_t& port : added.ports) {
                port = find_free_port(added.ip);
            }
            machines_.push_back(added);
            write_settings(index);
        }
    }

    ~fleet()
    {
        stopping_ = true;
        if (supervisor_.joinable()) {
            supervisor_.join();
        }
        for (machine& each : machines_) {
            if (each.process > 0) {
                ::kill(each.process, SIGKILL);
                ::waitpid(each.process, nullptr, 0);
            }
        }
    }

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Starts all processes; false if not all get ready.
    bool start()
    {
        for (std::size_t index = 0; index < machines_.size(); ++index) {
            start_process(index);
        }
        supervisor_ = std::thread([this] { supervise(); });
        const auto deadline = steady_clock::now() + seconds(15);
        while (steady_clock::now() < deadline) {
            std::size_t ready = 0;
            for (const machine& each : machines_) {
                const auto answer = http::call(each.ip + ':' + std::to_string(each.ports[1]), "GET",
                                               "/v1/readiness", {}, {}, seconds(1));
                ready += answer.head.status == 200 ? 1 : 0;
            }
            if (ready == machines_.size()) {
                // The first second of a fleet: leader, list of engines, owners of the jobs.
                std::this_thread::sleep_for(seconds(4));
                record_.line("all " + std::to_string(ready) + " machines are ready");
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

    /// Writes a desired state, as the operator does.
    void publish_state(int version, bool has_notes)
    {
        store_.put("op", "config", desired_state(version, has_notes));
    }

    std::string front(std::size_t index) const
    {
        const machine& each = machines_[index % machines_.size()];
        return each.ip + ':' + std::to_string(each.ports[0]);
    }

    std::size_t size() const { return machines_.size(); }
    store& platform_store() { return store_; }
    const std::vector<std::unique_ptr<engine>>& engines() const { return engines_; }

    /// Kills of processes that exceeded the memory of their machine, by machine.
    std::vector<int> memory_kills() const
    {
        const std::lock_guard lock(mutex_);
        std::vector<int> kills;
        for (const machine& each : machines_) {
            kills.push_back(each.memory_kills);
        }
        return kills;
    }

    /// Ends of processes that nobody killed.
    int own_ends() const { return own_ends_; }

    /// Largest resident memory of each machine's processes so far, in bytes.
    std::vector<std::size_t> memory_peaks() const
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::size_t> peaks;
        for (const machine& each : machines_) {
            peaks.push_back(each.memory_peak);
        }
        return peaks;
    }

private:
    struct machine {
        std::string ip;
        /// Of callers, the readiness check, the directory and other instances.
        std::array<std::uint16_t, 4> ports{};
        pid_t process = -1;
        int memory_kills = 0;
        std::size_t memory_peak = 0;
    };

    /// A desired state, with or without the batch route.
    std::string desired_state(int version, bool has_notes) const
    {
        json::array teams;
        for (std::size_t team = 0; team < plan_.teams; ++team) {
            teams.push_back(json::object{{"name", team_name(team)},
                                         {"api_keys", json::array{team_key(team)}},
                                         {"rate_per_s", 0},
                                         {"burst", 0}});
        }
        const json::object notes{{"name", "notes"},          {"host", host},
                                 {"path_prefix", "/notes/"}, {"kind", "batch"},
                                 {"service", "lm"},          {"timeout_ms", 15000},
                                 {"goal_ms", 400},           {"attempts", 3},
                                 {"resumable", true},        {"priority", 2},
                                 {"sticky", true},           {"retention_s", plan_.retention_s},
                                 {"cap", 1000000},           {"result_target_ms", 18000}};
        const json::object caption{
            {"name", "caption"},   {"host", host},    {"path_prefix", "/caption/"},
            {"kind", "streaming"}, {"service", "lm"}, {"timeout_ms", 5000},
            {"goal_ms", 300},      {"attempts", 1},   {"resumable", false},
            {"priority", 0},       {"sticky", true},  {"gap_aim_ms", 250}};
        json::object resumable = caption;
        resumable["name"] = "resumable";
        resumable["path_prefix"] = "/resumable/";
        resumable["resumable"] = true;
        resumable["attempts"] = 2;
        const json::object limits{{"max_header_bytes", 32768},
                                  {"max_body_bytes", 4194304},
                                  {"header_timeout_ms", 5000},
                                  {"idle_timeout_ms", 30000}};
        json::array routes{caption, resumable};
        if (has_notes) {
            routes.push_back(notes);
        }
        return json::serialize(json::object{{"version", version},
                                            {"routes", std::move(routes)},
                                            {"services", json::array{json::object{{"name", "lm"}}}},
                                            {"tenants", std::move(teams)},
                                            {"limits", limits}});
    }

    std::string settings_path(std::size_t index) const
    {
        return folder_ + "/machine-" + std::to_string(index) + ".toml";
    }

    /// The settings file as the platform makes it from `platform/edge_settings.toml`.
    void write_settings(std::size_t index) const
    {
        const machine& each = machines_[index];
        const auto address = [&each](std::size_t port) {
            return '"' + each.ip + ':' + std::to_string(each.ports.at(port)) + '"';
        };
        std::ofstream(settings_path(index))
            << "[instance]\nname = \"edge-a-" << index
            << "\"\ndata_centre = \"a\"\ncapacity = 0.5\nmemory_mb = " << plan_.memory_mb
            << "\nmax_fds = 8200\n[listen]\ncallers = " << address(0)
            << "\nreadiness = " << address(1) << "\ndirectory = " << address(2)
            << "\ninstances = " << address(3) << "\n[store]\naddress = \"" << store_.address()
            << "\"\npartitions = 8\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
               "membership_min_ms = 1000\n[bounds]\nstate_in_force_ms = 2000\n"
               "limit_window_s = 5\nlimit_overage = 0.1\nlimit_slack = 20\n"
               "results_kept_s = 120\ndirectory_lifetime_max_s = 5\nleave_s = 8\n";
    }

    void start_process(std::size_t index)
    {
        const std::string log = folder_ + "/machine-" + std::to_string(index) + ".log";
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        std::string program = "target/platform/gooseberryfall-platform";
        std::string boot = "GOOSEBERRYFALL_BOOT=" + settings_path(index);
        std::array<char*, 2> arguments{program.data(), nullptr};
        std::array<char*, 2> environment{boot.data(), nullptr};
        pid_t process = -1;
        if (::posix_spawn(&process, program.c_str(), &actions, nullptr, arguments.data(),
                          environment.data()) != 0) {
            process = -1;
        }
        posix_spawn_file_actions_destroy(&actions);
        started_processes.at(index) = process;
        const std::lock_guard lock(mutex_);
        machines_[index].process = process;
    }

    static std::size_t resident_bytes(pid_t process)
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    void supervise()
    {
        while (!stopping_) {
            std::this_thread::sleep_for(memory_check_interval);
            for (std::size_t index = 0; index < machines_.size(); ++index) {
                supervise(index);
            }
        }
    }

    /// Does what the platform does: kills a process that exceeds its memory, and restarts one that
    /// has ended.
    void supervise(std::size_t index)
    {
        pid_t process = -1;
        bool killed = false;
        {
            const std::lock_guard lock(mutex_);
            machine& each = machines_[index];
            process = each.process;
            const std::size_t bytes = resident_bytes(process);
            each.memory_peak = std::max(each.memory_peak, bytes);
            if (plan_.enforces_memory && bytes > plan_.memory_mb * megabyte) {
                record_.line("machine " + std::to_string(index) + " has " +
                             std::to_string(bytes / megabyte) + " MB and is killed");
                ++each.memory_kills;
                ::kill(process, SIGKILL);
                killed = true;
            }
        }
        if (::waitpid(process, nullptr, killed ? 0 : WNOHANG) != process) {
            return;
        }
        if (!killed) {
            ++own_ends_;
            record_.line("machine " + std::to_string(index) + ": the process has ended by itself");
        }
        std::this_thread::sleep_for(restart_delay);
        start_process(index);
    }

    deployment plan_;
    recorder& record_;
    std::string folder_;
    store store_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<machine> machines_;
    mutable std::mutex mutex_;
    std::thread supervisor_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> own_ends_{0};
};

std::string hex_id(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex;
    text.width(16);
    text.fill('0');
    text << number * 0x9E3779B97F4A7C15U;
    return text.str();
}

/// An item as clients send it. `body` is base64.
json::object make_item(const std::string& id, const std::string& path, const std::string& body)
{
    return {{"id", id},
            {"path", path},
            {"headers", json::object{{"X-Gooseberryfall-Model", "m"},
                                     {"X-Gooseberryfall-Token-Usage", "350,240"},
                                     {"X-Gooseberryfall-Prompt-Prefix", "9c2e41:100,5d07b8:250"}}},
            {"body", body},
            {"tokens", 590}};
}

http::header_fields client_headers(std::size_t team)
{
    return {{"Host", host}, {"Authorization", "Bearer " + team_key(team)}};
}

/// A client of batch jobs, which tries each call again at another machine, as clients do.
class job_client {
public:
    job_client(fleet& system, recorder& record) : system_(system), record_(record) {}

    /// Sends a job until it is accepted, at most three times. Returns the last status.
    unsigned submit(std::size_t team, const std::string& job, json::array items)
    {
        const std::string body = json::serialize(json::object{{"items", std::move(items)}});
        unsigned status = 0;
        for (int attempt = 0; attempt < 3; ++attempt) {
            http::header_fields headers = client_headers(team);
            headers.set("X-Gooseberryfall-Request-Id", job);
            headers.set("Content-Type", "application/json");
            const auto answer = http::call(system_.front(next_++), "POST", "/notes/" + job, headers,
                                           body, seconds(6));
            status = answer.head.status;
            record_.line("job " + job + " of " + team_name(team) + ", " +
                         std::to_string(body.size()) + " bytes: " + std::to_string(status));
            if (status == 202 || status == 413 || status == 400) {
                return status;
            }
            std::this_thread::sleep_for(milliseconds(300));
        }
        return status;
    }

    struct page {
        unsigned status = 0;
        std::size_t total = 0;
        /// Id and state of each result.
        std::vector<std::pair<std::string, std::string>> results;
    };

    page read(std::size_t team, const std::string& job)
    {
        page result;
        const auto answer =
            http::call(system_.front(next_++), "GET", "/v1/lots/" + job + "?after=0",
                       client_headers(team), {}, seconds(3));
        result.status = answer.outcome == http::call_outcome::completed ? answer.head.status : 0;
        if (result.status == 200) {
            const json::value parsed = json::parse(answer.body);
            result.total = parsed.at("total").to_number<std::size_t>();
            for (const json::value& entry : parsed.at("results").as_array()) {
                result.results.emplace_back(entry.at("id").as_string(),
                                            entry.at("state").as_string());
            }
        }
        return result;
    }

private:
    fleet& system_;
    recorder& record_;
    std::size_t next_ = 0;
};

/// What a case gets.
struct case_input {
    recorder& record;
    std::string folder;
    /// False: the same without the disruption.
    bool trouble = true;
};

/// A job that was answered 202.
struct accepted_job {
    std::size_t team = 0;
    std::string id;
};

/// Size of an item's body: the usual one, and the largest one with which four items fit a request.
constexpr std::size_t usual_body_bytes = 15000;
constexpr std::size_t large_body_bytes = 780000;
constexpr std::size_t items_per_job = 4;
/// Time that batch jobs have after the traffic (`finish_s`).
constexpr seconds finish_time{18};
/// Ends of processes by themselves that break the rule: so many on each of so many machines.
constexpr int ends_max = 3;
constexpr int machines_max = 2;

std::string base64_of_zeros(std::size_t bytes)
{
    return std::string((bytes + 2) / 3 * 4, 'A');
}

json::array make_items(const std::string& job, std::size_t body_bytes)
{
    json::array items;
    for (std::size_t index = 0; index < items_per_job; ++index) {
        items.push_back(make_item(job + '-' + std::to_string(index), "/notes/" + job,
                                  base64_of_zeros(body_bytes)));
    }
    return items;
}

/// Sends jobs one after the other, about five a second, and returns the accepted ones.
std::vector<accepted_job> send_jobs(job_client& client, std::size_t count, std::size_t teams,
                                    std::size_t body_bytes, std::size_t refusals_max)
{
    std::vector<accepted_job> accepted;
    std::size_t refused = 0;
    for (std::size_t index = 0; index < count && refused < refusals_max; ++index) {
        const auto next_at = steady_clock::now() + milliseconds(200);
        const accepted_job job{index % teams, hex_id(index + 1)};
        if (client.submit(job.team, job.id, make_items(job.id, body_bytes)) == 202) {
            accepted.push_back(job);
        }
        else {
            ++refused;
        }
        std::this_thread::sleep_until(next_at);
    }
    return accepted;
}

/// Reads the accepted jobs in turn until all are complete or `end` has come. Returns the number of
/// those that can't be read or have items without a result.
std::size_t count_lost(job_client& client, recorder& record, std::vector<accepted_job> accepted,
                       steady_clock::time_point end)
{
    while (!accepted.empty() && steady_clock::now() < end) {
        for (auto job = accepted.begin(); job != accepted.end() && steady_clock::now() < end;) {
            const auto page = client.read(job->team, job->id);
            const bool whole = page.status == 200 && page.results.size() == page.total;
            record.line("job " + job->id + ": status " + std::to_string(page.status) + ", " +
                        std::to_string(page.results.size()) + " of " + std::to_string(page.total) +
                        " items listed");
            job = whole ? accepted.erase(job) : std::next(job);
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    return accepted.size();
}

void record_memory(const fleet& system, recorder& record)
{
    const auto kills = system.memory_kills();
    const auto peaks = system.memory_peaks();
    for (std::size_t index = 0; index < kills.size(); ++index) {
        record.line("machine " + std::to_string(index) + ": at most " +
                    std::to_string(peaks[index] / megabyte) + " MB, killed " +
                    std::to_string(kills[index]) + " times for its memory");
    }
}

/// Many jobs of legal size from one team exceed the memory of the machine that owns its partition.
int play_large_jobs(const case_input& input)
{
    deployment plan;
    plan.enforces_memory = true;
    fleet system(plan, input.record, input.folder);
    if (!system.start()) {
        return exit_unable;
    }
    job_client client(system, input.record);
    const auto accepted =
        send_jobs(client, 110, 1, input.trouble ? large_body_bytes : usual_body_bytes, 1);
    input.record.line(std::to_string(accepted.size()) + " jobs were accepted");
    std::this_thread::sleep_for(finish_time);
    const std::size_t lost =
        count_lost(client, input.record, accepted, steady_clock::now() + seconds(15));
    record_memory(system, input.record);
    input.record.line(std::to_string(lost) + " of " + std::to_string(accepted.size()) +
                      " accepted jobs can't be read or have items without a result");
    return accepted.empty() ? exit_unable : lost > 0 ? exit_broken : exit_held;
}

/// Jobs of legal size fill the store; what was accepted before can't be finished any more.
int play_full_store(const case_input& input)
{
    deployment plan;
    plan.machines = 9;
    plan.teams = 8;
    fleet system(plan, input.record, input.folder);
    if (!system.start()) {
        return exit_unable;
    }
    job_client client(system, input.record);
    const auto accepted = send_jobs(client, input.trouble ? 160 : 40, plan.teams,
                                    input.trouble ? large_body_bytes : usual_body_bytes, 2);
    input.record.line(std::to_string(accepted.size()) + " jobs were accepted; the store keeps " +
                      std::to_string(system.platform_store().stored_bytes() / megabyte) + " MB");
    std::this_thread::sleep_for(finish_time);
    std::size_t running = 0;
    for (const auto& each : system.engines()) {
        running += each->running();
    }
    const std::size_t lost =
        count_lost(client, input.record, accepted, steady_clock::now() + seconds(15));
    record_memory(system, input.record);
    input.record.line("appends refused by the store: " +
                      std::to_string(system.platform_store().refused_appends()) +
                      ", requests at the engines: " + std::to_string(running));
    input.record.line(std::to_string(lost) + " of " + std::to_string(accepted.size()) +
                      " accepted jobs can't be read or have items without a result");
    return accepted.empty() ? exit_unable : lost > 0 ? exit_broken : exit_held;
}

/// The path of an item contains line breaks, and with them a second request.
int play_smuggled_request(const case_input& input)
{
    deployment plan;
    plan.teams = 2;
    fleet system(plan, input.record, input.folder);
    if (!system.start()) {
        return exit_unable;
    }
    job_client client(system, input.record);
    const std::string smuggled_id = "5a6b7c8d9e0f1a2b";
    const std::string path = input.trouble ? "/notes/a HTTP/1.1\r\nHost: " + std::string(host) +
                                                 "\r\nX-Gooseberryfall-Request-Id: " + smuggled_id +
                                                 "\r\nX-Gooseberryfall-Tenant: " + team_name(1) +
                                                 "\r\nContent-Length: 0\r\n\r\nPOST /notes/b"
                                           : std::string("/notes/a");
    const std::string job = hex_id(1);
    const unsigned status = client.submit(
        0, job, json::array{make_item(job + "-0", path, base64_of_zeros(usual_body_bytes))});
    std::this_thread::sleep_for(seconds(5));
    bool ran = false;
    bool smuggled = false;
    for (const auto& each : system.engines()) {
        for (const engine_run& run : each->runs()) {
            input.record.line(each->id() + " ran request " + run.id + " of " + run.team + ": " +
                              run.path);
            smuggled = smuggled || run.id == smuggled_id;
            ran = true;
        }
    }
    if (smuggled) {
        return exit_broken;
    }
    return ran || status == 400 ? exit_held : exit_unable;
}

/// Bound of the rule: more than so many requests with the part reach engines later than
/// `stable_window` after the fifth crash.
constexpr std::size_t crashes_before_refusal = 5;
constexpr std::size_t late_runs_max = 3;
constexpr milliseconds stable_window{3000};

/// A part of the prompt crashes engines, and the items of a job have it. Checks what reaches
/// engines, and whether sound requests are still served.
int play_crashing_items(const case_input& input)
{
    const std::string part = "dead0001";
    deployment plan;
    plan.retention_s = 60;
    plan.pace = {8, 34, milliseconds(20)};
    fleet system(plan, input.record, input.folder);
    if (!system.start()) {
        return exit_unable;
    }
    for (const auto& each : system.engines()) {
        each->crash_on_part(part, milliseconds(3000));
    }
    std::atomic<bool> stop{false};
    std::atomic<std::size_t> sound_sent{0};
    std::atomic<std::size_t> sound_served{0};
    const auto call = [&](const std::string& id, const std::string& prefix, std::size_t machine) {
        http::header_fields headers = client_headers(0);
        headers.set("X-Gooseberryfall-Request-Id", id);
        headers.set("X-Gooseberryfall-Model", "m");
        headers.set("X-Gooseberryfall-Token-Usage", "450,34");
        headers.set("X-Gooseberryfall-Deadline-Ms", "5000");
        headers.set("X-Gooseberryfall-Prompt-Prefix", prefix);
        return http::call(system.front(machine), "POST", "/caption/" + id, headers, "prompt",
                          seconds(5));
    };
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&, caller] {
            for (std::size_t sequence = 0; !stop; ++sequence) {
                const std::string id = hex_id(1000 * (caller + 1) + sequence);
                const bool crashes = input.trouble && caller == 0 && sequence % 4 == 3;
                std::string prefix = "9c2e41:100,";
                prefix += crashes ? part + ":100," : std::string();
                prefix += id + ":250";
                const auto answer = call(id, prefix, caller + sequence);
                const bool whole =
                    answer.outcome == http::call_outcome::completed && answer.head.status == 200;
                if (!crashes) {
                    ++sound_sent;
                    sound_served += whole ? 1 : 0;
                }
                input.record.line("request " + id + (crashes ? " with the part" : "") + ": " +
                                  (whole ? "200" : "status " + std::to_string(answer.head.status)));
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
    }
    std::this_thread::sleep_for(seconds(5));
    job_client client(system, input.record);
    const std::string job = hex_id(1);
    json::array items;
    for (int index = 0; index < 10; ++index) {
        json::object item = make_item(job + '-' + std::to_string(index), "/notes/" + job,
                                      base64_of_zeros(usual_body_bytes));
        item["headers"].as_object()["X-Gooseberryfall-Prompt-Prefix"] =
            "9c2e41:100," + (input.trouble ? part : "5d07b8") + ":100,0" + std::to_string(index) +
            ":250";
        items.push_back(std::move(item));
    }
    client.submit(0, job, std::move(items));
    std::this_thread::sleep_for(seconds(40));
    stop = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    std::vector<engine_run> crashing;
    std::size_t cut = 0;
    for (const auto& each : system.engines()) {
        for (const engine_run& run : each->runs()) {
            if (run.crashed) {
                crashing.push_back(run);
            }
            cut += run.cut_by_crash ? 1 : 0;
        }
    }
    std::ranges::sort(crashing, {}, &engine_run::arrived_at);
    std::size_t late_items = 0;
    std::size_t late_requests = 0;
    for (const engine_run& run : crashing) {
        const bool item = run.path.starts_with("/notes/");
        const bool late = crashing.size() > crashes_before_refusal &&
                          run.arrived_at > crashing[crashes_before_refusal - 1].arrived_at +
                                               stable_window + milliseconds(500);
        late_items += late && item ? 1 : 0;
        late_requests += late && !item ? 1 : 0;
        input.record.line("an engine began to run " + run.id + " with the part, " +
                          (item ? "an item" : "a request") + (late ? ", late" : ""));
    }
    input.record.line("crashes of engines: " + std::to_string(crashing.size()) +
                      "; after the bound " + std::to_string(late_items) + " by items and " +
                      std::to_string(late_requests) +
                      " by other requests; sound runs cut by them " + std::to_string(cut));
    input.record.line("sound requests served: " + std::to_string(sound_served) + " of " +
                      std::to_string(sound_sent));
    if (sound_served == 0) {
        return exit_unable;
    }
    return late_items + late_requests > late_runs_max ? exit_broken : exit_held;
}

/// Half of the engines are in trouble: the bodies of their answers to items have no end.
int play_endless_answers(const case_input& input)
{
    deployment plan;
    plan.teams = 4;
    plan.enforces_memory = true;
    fleet system(plan, input.record, input.folder);
    if (!system.start()) {
        return exit_unable;
    }
    for (std::size_t index = 0; input.trouble && index < plan.engines / 2; ++index) {
        system.engines()[index]->answer_without_end(milliseconds(100));
    }
    job_client client(system, input.record);
    const auto accepted = send_jobs(client, 100, plan.teams, usual_body_bytes, 1);
    std::this_thread::sleep_for(finish_time);
    count_lost(client, input.record, accepted, steady_clock::now() + seconds(10));
    record_memory(system, input.record);
    const auto kills = system.memory_kills();
    const auto often =
        std::count_if(kills.begin(), kills.end(), [](int count) { return count >= ends_max; });
    input.record.line(std::to_string(often) + " machines were killed three times or more");
    if (accepted.empty()) {
        return exit_unable;
    }
    return often >= machines_max ? exit_broken : exit_held;
}

/// A faulty engine truncates its streams inside an event, and ends the body as if it were whole.
int play_truncated_streams(const case_input& input)
{
    deployment plan;
    plan.pace = {8, 34, milliseconds(5)};
    fleet system(plan, input.record, input.folder);
    if (!system.start()) {
        return exit_unable;
    }
    for (std::size_t index = 0; input.trouble && index < plan.engines / 2; ++index) {
        system.engines()[index]->truncate_at(20, 33);
    }
    std::size_t whole = 0;
    std::size_t truncated = 0;
    for (std::uint64_t sequence = 0; sequence < 240; ++sequence) {
        const std::string route = sequence % 2 == 0 ? "/caption/" : "/resumable/";
        http::header_fields headers = client_headers(0);
        const std::string id = hex_id(sequence + 1);
        headers.set("X-Gooseberryfall-Request-Id", id);
        headers.set("X-Gooseberryfall-Model", "m");
        headers.set("X-Gooseberryfall-Token-Usage", "450,34");
        headers.set("X-Gooseberryfall-Deadline-Ms", "5000");
        headers.set("X-Gooseberryfall-Prompt-Prefix", "9c2e41:100," + id + ":250");
        const auto answer =
            http::call(system.front(sequence), "POST", route + id, headers, "prompt", seconds(6));
        // The chunks of an answer that was broken off lack the last one.
        const bool complete = answer.outcome == http::call_outcome::completed;
        const std::string path = route + id;
        const bool has_last_event = answer.body.ends_with("id: 33\ndata: " + path + "#33\n\n");
        const bool looks_whole = complete && answer.head.status == 200;
        whole += looks_whole && has_last_event ? 1 : 0;
        truncated += looks_whole && !has_last_event ? 1 : 0;
        input.record.line(
            "request " + path + ": " +
            (complete ? "status " + std::to_string(answer.head.status) : "broken off") + ", " +
            std::to_string(answer.body.size()) + " bytes, " +
            (has_last_event ? "with the last event" : "without the last event"));
    }
    input.record.line("whole answers: " + std::to_string(whole) +
                      ", answers that end early and look complete: " + std::to_string(truncated));
    if (whole == 0) {
        return exit_unable;
    }
    return truncated > 0 ? exit_broken : exit_held;
}

/// The operator removes the batch route of a job whose results have been read.
int play_ended_route(const case_input& input)
{
    deployment plan;
    plan.pace = {8, 34, milliseconds(5)};
    fleet system(plan, input.record, input.folder);
    if (!system.start()) {
        return exit_unable;
    }
    job_client client(system, input.record);
    const auto accepted = send_jobs(client, 5, 1, usual_body_bytes, 1);
    const std::size_t unread =
        count_lost(client, input.record, accepted, steady_clock::now() + seconds(15));
    if (accepted.empty() || unread > 0) {
        return exit_unable;
    }
    system.publish_state(2, !input.trouble);
    input.record.line(std::string("the operator writes version 2") +
                      (input.trouble ? ", without the batch route" : ""));
    std::this_thread::sleep_for(seconds(8));
    // Three reads of each job, so that each machine is asked.
    std::size_t missing = 0;
    std::size_t reads = 0;
    for (const accepted_job& job : accepted) {
        for (std::size_t machine = 0; machine < system.size(); ++machine) {
            const auto page = client.read(job.team, job.id);
            missing += page.status == 404 || page.status == 410 ? 1 : 0;
            ++reads;
            input.record.line("job " + job.id + ": status " + std::to_string(page.status) + ", " +
                              std::to_string(page.results.size()) + " results");
        }
    }
    input.record.line(std::to_string(missing) + " of " + std::to_string(reads) +
                      " reads of jobs that had been read were answered 404 or 410");
    return missing > 0 ? exit_broken : exit_held;
}

int play(const std::string& name, const case_input& input)
{
    const std::map<std::string, std::function<int(const case_input&)>> cases{
        {"large_jobs", play_large_jobs},
        {"full_store", play_full_store},
        {"smuggled_request", play_smuggled_request},
        {"crashing_items", play_crashing_items},
        {"ended_route", play_ended_route},
        {"truncated_streams", play_truncated_streams},
        {"endless_answers", play_endless_answers},
    };
    const auto found = cases.find(name);
    return found == cases.end() ? exit_unable : found->second(input);
}

} // namespace

/// `arguments`: the case and the file for its record.
int run(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2) {
        std::cerr << "usage: driver-2 CASE RECORD" << std::endl;
        return exit_unable;
    }
    const char* trouble = std::getenv("TROUBLE");
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        return exit_unable;
    }
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) {
        std::signal(number, end_at_once);
    }
    ::alarm(time_limit_seconds);
    recorder record(arguments[1]);
    int result = exit_unable;
    try {
        result =
            play(arguments[0], {record, folder, trouble == nullptr || std::string(trouble) != "0"});
    }
    catch (const std::exception& error) {
        record.line(std::string("the case could not run: ") + error.what());
    }
    record.line(result == exit_broken ? "the rule was broken"
                : result == exit_held ? "the rule held"
                                      : "the case could not run");
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder);
    }
    else {
        std::cout << folder << std::endl;
    }
    return result;
}

} // namespace gooseberryfall::review

int main(int argc, char** argv)
{
    return gooseberryfall::review::run(std::vector<std::string>(argv + 1, argv + argc));
}
