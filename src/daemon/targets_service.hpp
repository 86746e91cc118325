#pragma once

#include "core/core.hpp"
#include "kernel/kernel.hpp"
#include "targets/targets.hpp"

#include <memory>

namespace gooseberryfall::daemon {

/// Settings of `targets_service`.
struct targets_service_settings {
    http::client_settings client;
    targets::load_poller_settings load;
    targets::dispatcher_settings dispatcher;
};

/// Dispatch to targets as a service, on a thread of its own.
class targets_service : public kernel::service {
public:
    static constexpr const char* name = "targets";

    /// Precondition: `numbers` outlives the service.
    targets_service(targets_service_settings settings, kernel::metrics& numbers);
    ~targets_service() override;
    targets_service(const targets_service&) = delete;
    targets_service& operator=(const targets_service&) = delete;
    targets_service(targets_service&&) = delete;
    targets_service& operator=(targets_service&&) = delete;

    tl::expected<void, std::string> start(kernel::service_registry& registry) override;
    void stop() override;

    /// Starts a dispatch. Thread-safe.
    void perform(core::dispatch order);

    /// Cancels a dispatch. Thread-safe.
    void cancel(core::dispatch_id id);

    /// Polls the load of exactly these targets. Thread-safe.
    void poll(std::vector<core::target> targets);

private:
    targets_service_settings settings_;
    kernel::latency_histogram& first_byte_;
    std::unique_ptr<http::event_loop> loop_;
    std::unique_ptr<http::client> client_;
    std::unique_ptr<targets::dispatcher> dispatcher_;
    std::unique_ptr<targets::load_poller> poller_;
};

} // namespace gooseberryfall::daemon
