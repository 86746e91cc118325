#pragma once

#include "edge/edge_node.hpp"
#include "http/http.hpp"
#include "stand_ins/log_store.hpp"
#include "stand_ins/model_engine.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

/// Runs instances with the platform adapter in this process, with stand-ins of the store and the
/// engines. Each process uses its own loopback addresses, so that tests can run in parallel. Each
/// instance has its own listener of the store, so that a test can disturb it separately.
class edge_deployment {
public:
    /// Settings of the deployment.
    struct options {
        std::size_t instances = 3;
        std::size_t engines = 2;
        std::uint32_t slots = 8;
        std::uint32_t events = 10;
        std::chrono::milliseconds event_interval{5};
        double rate = 0;
        double burst = 0;
        /// Size limits of callers' requests.
        std::size_t header_bytes = 16384;
        std::size_t body_bytes = 4U << 20U;
        /// Time for which results are kept; 0 keeps them without limit.
        std::chrono::milliseconds results_retention{0};
        /// Time after which batch items are abandoned.
        std::chrono::seconds item_lifetime{60};
        /// Adds a second batch route, `/idle/`, to a service that has no engines.
        bool has_idle_service = false;
        /// Time after which a leaving instance exits.
        std::chrono::milliseconds leave_timeout{7500};
        /// Requests a second that a cold engine takes; 0: engines are never cold.
        double cold_rate = 0;
        /// Data centres of the engines; those beyond the list are in `a`, as the instances are.
        std::vector<std::string> engine_data_centres{};
        /// Interval at which instances read the desired state.
        std::chrono::milliseconds state_poll_interval{650};
        /// Capacities of the instances; those beyond the list have 1.
        std::vector<double> capacities{};
    };

    explicit edge_deployment(options deployment_options);
    ~edge_deployment();
    edge_deployment(const edge_deployment&) = delete;
    edge_deployment& operator=(const edge_deployment&) = delete;
    edge_deployment(edge_deployment&&) = delete;
    edge_deployment& operator=(edge_deployment&&) = delete;

    /// Waits until every instance serves a request and accepts a job; throws if one does not in
    /// time.
    void wait_until_serving();
    /// Also waits for the end of the items that this sends, so that none of them arrives at a
    /// target that a test answers for by itself.
    void wait_until_idle();

    /// Waits until the first instance knows this number of usable targets; returns false if that
    /// takes too long.
    bool wait_for_targets(int count) const;

    /// How a route differs from that of the first desired state.
    struct route_change {
        /// Service to which it goes.
        std::string service{"lm"};
        bool removed = false;
        /// Other than before; empty: the same.
        std::string kind{};
    };
    /// By the name of the route.
    using route_changes = std::map<std::string, route_change>;

    /// Writes a desired state with these API keys to the store. `changes`: how its routes differ
    /// from those of the first one.
    void put_state(std::uint64_t version, const std::vector<std::string>& keys,
                   const route_changes& changes = {});

    /// Writes the entry of an engine to the store, as an engine of this service.
    void list_engine(std::size_t engine, const std::string& service);
    /// Removes the entry of an engine from the store.
    void remove_engine(std::size_t engine);

    /// Evacuates a data centre, as the operator does, or takes it back.
    void evacuate(const std::string& data_centre, bool evacuated = true);

    /// Value of a metric of an instance that has no labels; unset if it can't be read.
    std::optional<double> metric(std::size_t instance, const std::string& name) const;

    /// How an instance's own listener of the store behaves.
    void disturb_store(std::size_t instance, gooseberryfall::stand_ins::listener_mode mode);

    /// Ends an instance without a graceful shutdown.
    void kill(std::size_t instance);
    /// Log lines of a killed instance. Precondition: the instance has been killed.
    std::string log_output(std::size_t instance) const;
    /// Restarts a killed instance.
    void restart(std::size_t instance);
    /// Blocks the event loop of an instance for this time, as if its process were stopped.
    void freeze(std::size_t instance, std::chrono::milliseconds duration);

    /// Sends a stream request to an instance.
    gooseberryfall::http::call_result stream(std::size_t instance, const std::string& id,
                                             bool resumable = true,
                                             const std::string& key = "key-a");

    /// Submits a job with this number of items on a batch route and returns the HTTP status.
    unsigned submit(std::size_t instance, const std::string& job, int items,
                    const std::string& route = "/notes/");
    /// Reads the results of a job from a position on.
    gooseberryfall::http::call_result results(std::size_t instance, const std::string& job,
                                              int after = 0);
    /// Reads until all results are present or the time limit is over; returns the last body.
    std::string wait_for_results(std::size_t instance, const std::string& job, int items,
                                 std::chrono::seconds limit = std::chrono::seconds(15));
    /// Ends a job and returns the HTTP status.
    unsigned cancel_job(std::size_t instance, const std::string& job);

    /// Sends a request to the callers' listener of an instance.
    gooseberryfall::http::call_result call(std::size_t instance, const std::string& method,
                                           const std::string& target,
                                           const gooseberryfall::http::header_fields& headers,
                                           const std::string& body = {});

    std::string callers_address(std::size_t instance) const;
    std::string readiness_address(std::size_t instance) const;
    std::string directory_address(std::size_t instance) const;
    std::string internal_address(std::size_t instance) const;

    /// Runs of a request or item at all engines.
    std::vector<gooseberryfall::stand_ins::engine_run> runs_of(const std::string& request) const;

    gooseberryfall::stand_ins::log_store store{2};
    std::vector<std::unique_ptr<gooseberryfall::stand_ins::model_engine>> engines;
    std::vector<std::unique_ptr<gooseberryfall::edge::edge_node>> nodes;

private:
    void start(std::size_t instance);

    options options_;
    std::vector<std::size_t> store_listeners_;
    std::vector<std::unique_ptr<std::ostringstream>> logs_;
    /// Of the instances, which own them.
    std::vector<gooseberryfall::http::event_loop*> loops_;
    std::int64_t start_count_ = 0;
};

/// Number of results in a page of a job's results; 0 if the body is empty.
std::size_t result_count(const std::string& body);

/// Polls until a condition holds; returns false if it does not within the limit.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(10));
