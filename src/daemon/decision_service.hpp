#pragma once

#include "callers/callers.hpp"
#include "core/core.hpp"
#include "kernel/kernel.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace gooseberryfall::daemon {

class callers_service;
class operators_service;
class peers_service;
class platform_service;
class targets_service;

/// Runs the decision core on a thread of its own: takes events from a bounded ring and hands
/// actions to the services that carry them out.
class decision_service : public kernel::service {
public:
    /// Name under which the service is registered.
    static constexpr const char* name = "decisions";

    /// Precondition: `log` and `numbers` outlive the service.
    decision_service(kernel::logger& log, kernel::metrics& numbers);
    ~decision_service() override;
    decision_service(const decision_service&) = delete;
    decision_service& operator=(const decision_service&) = delete;
    decision_service(decision_service&&) = delete;
    decision_service& operator=(decision_service&&) = delete;

    /// Sets the function that makes the core's settings at the start, when the ports of the other
    /// services are known. Precondition: not started.
    void configure_at_start(std::function<core::node_settings()> make_settings);

    tl::expected<void, std::string> start(kernel::service_registry& registry) override;
    void stop() override;

    /// Adds an event, or returns false if the ring is full. Thread-safe.
    bool try_post(core::event what);

    /// Adds an event that must not be lost; waits while the ring is full. Thread-safe. Must not be
    /// called on the decision thread.
    void post(core::event what);

    /// State of the instance, for health checks. Thread-safe.
    callers::health_state health() const;

    /// Whether the core has said that the process may exit. Thread-safe.
    bool stopped() const { return stopped_; }

private:
    struct counters;

    void run(const std::stop_token& token);
    void handle(const core::event& what);
    void perform(core::actions actions);
    void perform(core::action& what);
    void publish();

    kernel::logger& log_;
    std::unique_ptr<counters> counters_;
    kernel::bounded_ring<core::event> ring_;
    std::function<core::node_settings()> make_settings_;
    std::unique_ptr<core::node> node_;
    std::atomic<bool> current_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<bool> stopped_{false};
    /// Set once events are no longer taken.
    std::atomic<bool> closed_{false};
    std::chrono::steady_clock::time_point next_publish_;
    callers_service* callers_ = nullptr;
    operators_service* operators_ = nullptr;
    peers_service* peers_ = nullptr;
    platform_service* platform_ = nullptr;
    targets_service* targets_ = nullptr;
    std::unique_ptr<kernel::worker_thread> thread_;
};

} // namespace gooseberryfall::daemon
