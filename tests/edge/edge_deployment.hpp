#pragma once

#include "edge/edge_node.hpp"
#include "http/http.hpp"
#include "stand_ins/log_store.hpp"
#include "stand_ins/model_engine.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

/// Instances in this process with the adapter, before stand-ins of the store and the engines. Each
/// process has loopback addresses of its own, so that tests can run side by side. Each instance has
/// a door of its own to the store.
class edge_deployment {
public:
    /// What a test may change about the deployment.
    struct options {
        std::size_t instances = 3;
        std::size_t engines = 2;
        std::uint32_t slots = 8;
        std::uint32_t events = 10;
        std::chrono::milliseconds event_gap{5};
        double rate = 0;
        double burst = 0;
        /// Limits of what callers may send.
        std::size_t header_bytes = 16384;
        std::size_t body_bytes = 4U << 20U;
        /// Time for which results are kept; 0 for good.
        std::chrono::milliseconds results_retention{0};
    };

    explicit edge_deployment(options wanted);
    ~edge_deployment();
    edge_deployment(const edge_deployment&) = delete;
    edge_deployment& operator=(const edge_deployment&) = delete;
    edge_deployment(edge_deployment&&) = delete;
    edge_deployment& operator=(edge_deployment&&) = delete;

    /// Waits until every instance answers a request and a job call.
    void wait_until_serving();

    /// Writes a desired state with the keys given.
    void put_state(std::uint64_t version, const std::vector<std::string>& keys);

    /// Ends an instance without a word.
    void kill(std::size_t instance);
    /// Log lines of an instance that was killed.
    std::string log_of(std::size_t instance) const;
    /// Starts an instance that was killed.
    void restart(std::size_t instance);

    /// Sends a stream request to an instance.
    gooseberryfall::http::call_result stream(std::size_t instance, const std::string& id,
                                             bool resumable = true,
                                             const std::string& key = "key-a");

    /// Submits a job of some items; the status.
    unsigned submit(std::size_t instance, const std::string& job, int items);
    /// Reads the results of a job from a position on: status and body.
    gooseberryfall::http::call_result results(std::size_t instance, const std::string& job,
                                              int after = 0);
    /// Reads until all results are there, or the time is over.
    std::string all_results(std::size_t instance, const std::string& job, int items,
                            std::chrono::seconds limit = std::chrono::seconds(15));
    unsigned end_job(std::size_t instance, const std::string& job);

    /// Makes a call to the callers' listener of an instance.
    gooseberryfall::http::call_result call(std::size_t instance, const std::string& method,
                                           const std::string& target,
                                           const gooseberryfall::http::header_fields& headers,
                                           const std::string& body = {});

    std::string callers_address(std::size_t instance) const;
    std::string readiness_address(std::size_t instance) const;
    std::string directory_address(std::size_t instance) const;
    std::string internal_address(std::size_t instance) const;

    /// Runs of a request at all engines.
    std::vector<gooseberryfall::stand_ins::engine_run> runs_of(const std::string& request) const;

    gooseberryfall::stand_ins::log_store store{2};
    std::vector<std::unique_ptr<gooseberryfall::stand_ins::model_engine>> engines;
    std::vector<std::unique_ptr<gooseberryfall::edge::edge_node>> nodes;

private:
    void start(std::size_t instance);

    options options_;
    std::vector<std::size_t> doors_;
    std::vector<std::unique_ptr<std::ostringstream>> logs_;
    std::int64_t starts_ = 0;
};

/// Waits until a condition holds; false if it does not within the limit.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(10));
