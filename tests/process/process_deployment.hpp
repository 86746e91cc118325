#pragma once

#include "http/http.hpp"
#include "process/child_process.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What a test deployment consists of.
struct deployment_options {
    std::uint32_t instances = 3;
    std::uint32_t engines = 2;
    std::uint32_t slots = 8;
    /// Whether there is a plain service, `/studio/`, and an open one, `/open/`.
    bool plain_service = false;
    /// Additional flags of the engines.
    std::vector<std::string> engine_flags;
    /// Teams with keys `key-TEAM`, as name, rate, burst.
    struct team {
        std::string name;
        double rate = 100;
        double burst = 100;
        double weight = 1;
    };
    std::vector<team> teams{{"namur", 100, 100}, {"leuven", 100, 100}};
    std::uint32_t limit_shards = 8;
    std::uint32_t batch_partitions = 4;
    std::uint32_t data_centres = 3;
    /// Text added to each instance's settings file.
    std::string settings;
    /// Whether engines are reached through the fault proxy.
    bool engines_through_proxy = false;
};

/// Stand-ins, fault proxy and instances as processes on loopback. Each instance reaches the
/// platform through a proxy route `log-I`, and is reached by its peers through `peer-I`; engine E,
/// if through the proxy, through `engine-E`. Not thread-safe.
class process_deployment {
public:
    explicit process_deployment(deployment_options options);
    ~process_deployment();
    process_deployment(const process_deployment&) = delete;
    process_deployment& operator=(const process_deployment&) = delete;
    process_deployment(process_deployment&&) = delete;
    process_deployment& operator=(process_deployment&&) = delete;

    /// Starts everything, applies the fleet and waits until every instance serves it.
    bool start();

    /// Starts an instance, again or for the first time.
    bool start_instance(std::uint32_t number);

    /// Waits until the instances that run are ready and one online request through each succeeds.
    bool wait_until_serving(std::chrono::seconds limit);

    child_process& instance(std::uint32_t number) { return instances_.at(number); }
    child_process& engine(std::uint32_t number) { return engines_.at(number); }
    /// Starts an engine on the port that it had.
    bool restart_engine(std::uint32_t number);

    /// Address of an instance's callers' API.
    std::string callers(std::uint32_t number) const;
    /// Address of an instance's operators' API.
    std::string operators(std::uint32_t number) const;
    std::string engine_address(std::uint32_t number) const;
    std::string platform_address() const;

    /// Changes a proxy route, for example `mode=cut`.
    void fault(const std::string& route, const std::string& change);

    /// A control call of the platform stand-in, with path and query.
    gooseberryfall::http::call_result control_platform(const std::string& target);
    /// A control call of an engine, with query.
    void control_engine(std::uint32_t number, const std::string& query);

    /// The fleet file as text; teams, keys, targets as the options say.
    std::string fleet_text() const;
    /// Writes a file into the test's folder and returns its path.
    std::string write_file(const std::string& name, const std::string& text) const;

    /// Runs the operators' command against an instance.
    std::pair<int, std::string> command(std::uint32_t instance,
                                        const std::vector<std::string>& arguments) const;

    /// One online request that is not streamed.
    gooseberryfall::http::call_result
    ask(std::uint32_t instance, const std::string& key, const std::string& text = "hello",
        std::uint32_t tokens = 5, std::chrono::milliseconds limit = std::chrono::seconds(20)) const;
    /// Submits a job of items `{"messages": ..., "item": I}`.
    gooseberryfall::http::call_result submit(std::uint32_t instance, const std::string& key,
                                             const std::string& job_key, std::uint32_t items,
                                             bool repeatable = true,
                                             std::uint32_t tokens = 5) const;
    gooseberryfall::http::call_result get(std::uint32_t instance, const std::string& key,
                                          const std::string& path) const;
    gooseberryfall::http::call_result post(std::uint32_t instance, const std::string& key,
                                           const std::string& path) const;

    /// Waits until the job has ended and returns its state, or nothing at the limit. Asks the
    /// instances that run in turn.
    std::optional<std::map<std::string, std::string>>
    wait_for_job(const std::string& key, const std::string& job, std::chrono::seconds limit) const;

    /// Indices of all results of a job, as often as they are listed.
    std::vector<std::uint32_t> result_indices(std::uint32_t instance, const std::string& key,
                                              const std::string& job) const;

    /// Requests that all engines saw.
    struct seen_request {
        std::uint32_t engine = 0;
        std::int64_t at_us = 0;
        /// When it got and left a slot; 0 if it has not.
        std::int64_t started_us = 0;
        std::int64_t ended_us = 0;
        std::string path;
        std::string body;
        std::vector<std::string> headers;
        std::string end;
    };
    std::vector<seen_request> seen() const;

private:
    std::uint32_t first_running() const;
    std::string settings_text(std::uint32_t number) const;

    deployment_options options_;
    std::string folder_;
    child_process platform_;
    child_process proxy_;
    std::vector<child_process> engines_;
    std::vector<std::uint16_t> engine_ports_;
    std::vector<child_process> instances_;
    std::map<std::string, std::uint16_t> routes_;
};

/// Value of a field of a flat JSON object as text; empty if there is none.
std::string json_field(const std::string& object, const std::string& name);
/// Value of `error.NAME` of a refusal.
std::string error_field(const std::string& body, const std::string& name);
