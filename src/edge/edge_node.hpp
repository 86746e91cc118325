#pragma once

#include "edge/admission_client.hpp"
#include "edge/caller_gateway.hpp"
#include "edge/client_memory.hpp"
#include "edge/crash_mark_backup.hpp"
#include "edge/directory_service.hpp"
#include "edge/edge_context.hpp"
#include "edge/edge_settings.hpp"
#include "edge/fleet_service.hpp"
#include "edge/job_service.hpp"
#include "edge/member_registry.hpp"
#include "edge/protocol.hpp"
#include "edge/state_sync.hpp"
#include "edge/store.hpp"
#include "edge/target_list.hpp"
#include "http/http.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::edge {

/// One instance: its listeners, the followers of the store's logs and the services that use them,
/// on one event loop. Created by `builder`. `start`, `begin_leaving`, `reload` and `has_left` are
/// thread-safe.
class edge_node {
public:
    class builder;

    ~edge_node();
    edge_node(const edge_node&) = delete;
    edge_node& operator=(const edge_node&) = delete;
    edge_node(edge_node&&) = delete;
    edge_node& operator=(edge_node&&) = delete;

    /// Opens all listeners and starts serving. Returns the reason on failure.
    tl::expected<void, std::string> start();

    /// Starts a graceful shutdown: callers are sent to other instances, and jobs are handed over.
    void begin_leaving();

    /// Applies the dynamic settings of a reloaded settings file. If the file is invalid, logs its
    /// faults, given as the error, and keeps all settings. Thread-safe.
    void reload(tl::expected<reloaded_settings, std::string> settings);

    /// Whether the shutdown is complete and the process may exit.
    bool has_left() const { return has_left_; }

private:
    edge_node(edge_settings settings, std::unique_ptr<protocol> translator,
              std::unique_ptr<store> durable_store, std::unique_ptr<http::event_loop> loop,
              std::unique_ptr<kernel::logger> logger, std::unique_ptr<kernel::metrics> metrics);

    tl::expected<void, std::string> open_listeners();
    void apply_dynamic_settings(const dynamic_edge_settings& dynamic);
    void apply_reloaded_settings(const tl::expected<reloaded_settings, std::string>& settings);
    void tick();
    void poll_store(core::time_point now);
    /// Starts or stops taking part in owning jobs, by the capacity of this instance and the others.
    void update_job_ownership(core::time_point now);
    /// Puts a desired state into force and returns its version, if it is newer than the one in
    /// force.
    std::optional<std::uint64_t> apply_state(const std::string& value, const char* source);
    /// Apply records of the partition that holds the desired state, if they are evacuations.
    void apply_evacuation_snapshot(std::uint64_t offset,
                                   const std::map<std::string, std::string>& records);
    void apply_evacuation_record(std::uint64_t offset, const std::string& key,
                                 const std::string& value);
    void apply_limits(const serving::caller_limits& limits);
    /// Address of another instance that can probably reach the store; unset if none is known.
    std::optional<std::string> choose_relay();
    void log_reachability(const char* reader, const std::optional<store_error>& failure);
    instance_status local_status() const;
    bool ready() const;
    void handle_readiness(const http::request& received,
                          const std::shared_ptr<http::responder>& caller) const;
    void handle_internal(http::request received, const std::shared_ptr<http::responder>& caller);
    std::unique_ptr<http::server> make_server(const std::string& address,
                                              std::size_t connections_max,
                                              http::server_handlers handlers);
    void start_leaving();
    void advance_leaving(core::time_point now);

    edge_settings settings_;
    std::unique_ptr<http::event_loop> loop_;
    std::unique_ptr<kernel::logger> logger_;
    std::unique_ptr<kernel::metrics> metrics_;
    std::unique_ptr<protocol> translator_;
    std::unique_ptr<store> store_;
    std::unique_ptr<http::client> targets_client_;
    std::unique_ptr<http::client> peers_client_;
    std::unique_ptr<fleet_service> fleet_;
    std::unique_ptr<admission_client> admission_;
    std::unique_ptr<edge_context> context_;
    std::unique_ptr<job_service> jobs_;
    std::unique_ptr<caller_gateway> gateway_;
    std::unique_ptr<state_sync> state_sync_;
    std::unique_ptr<crash_mark_backup> crash_backup_;
    std::unique_ptr<target_list> targets_;
    std::unique_ptr<directory_service> directory_;
    std::unique_ptr<member_registry> registry_;
    std::unique_ptr<client_memory> client_memory_;
    std::unique_ptr<http::server> callers_server_;
    std::unique_ptr<http::server> readiness_server_;
    std::unique_ptr<http::server> directory_server_;
    std::unique_ptr<http::server> internal_server_;
    kernel::gauge* state_version_gauge_ = nullptr;
    kernel::gauge* store_age_gauge_ = nullptr;
    kernel::gauge* memory_gauge_ = nullptr;
    /// Interval of this instance's reads of the desired state, with its jitter.
    std::chrono::milliseconds state_poll_interval_{0};
    std::size_t relay_index_ = 0;
    serving::job_owner_policy job_owner_policy_;
    core::time_point job_owner_check_at_{};
    core::time_point started_at_ = std::chrono::steady_clock::now();
    std::optional<core::time_point> leaving_since_;
    /// When a leaving instance ends, whatever is still open. Set with `leaving_since_`.
    core::time_point exit_at_{};
    bool jobs_handed_over_ = false;
    /// Set when a leaving instance no longer accepts requests.
    bool intake_ended_ = false;
    bool callers_drained_ = false;
    std::atomic<bool> has_left_{false};
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Builds an `edge_node`. Not thread-safe.
class edge_node::builder {
public:
    /// Sets the settings; required.
    builder& with_settings(edge_settings settings);

    /// Sets the translator of the protocol of callers and targets; required.
    builder& with_protocol(std::unique_ptr<protocol> translator);

    /// Creates the client of the platform's store on the node's loop, with the node's metrics.
    using store_factory =
        std::function<std::unique_ptr<store>(http::event_loop&, kernel::metrics&)>;

    /// Sets the factory of the store client; required.
    builder& with_store(store_factory make_store);

    /// Sets where log lines are written; standard output by default. The stream must outlive the
    /// node.
    builder& with_log(kernel::logger_settings settings);

    /// Creates the node. Precondition: all required parts have been set.
    std::unique_ptr<edge_node> build();

private:
    edge_settings settings_;
    std::unique_ptr<protocol> translator_;
    store_factory make_store_;
    kernel::logger_settings log_;
};

} // namespace gooseberryfall::edge
