#pragma once

#include "callers/callers.hpp"
#include "kernel/kernel.hpp"

#include <memory>

namespace gooseberryfall::daemon {

/// The callers' HTTP API as a service, on a thread of its own.
class callers_service : public kernel::service {
public:
    static constexpr const char* name = "callers";

    /// Precondition: `numbers` outlives the service.
    callers_service(callers::callers_settings settings, kernel::metrics& numbers);
    ~callers_service() override;
    callers_service(const callers_service&) = delete;
    callers_service& operator=(const callers_service&) = delete;
    callers_service(callers_service&&) = delete;
    callers_service& operator=(callers_service&&) = delete;

    tl::expected<void, std::string> start(kernel::service_registry& registry) override;
    void stop() override;

    /// Port that the API listens on. Precondition: started.
    std::uint16_t port() const { return port_; }

    /// Requests of callers that are not answered yet. Thread-safe.
    targets::exchange_table& exchanges() { return exchanges_; }

    /// Answers say from now on that the connection closes. Thread-safe.
    void announce_closing() { api_->announce_closing(); }

    /// Stops listening and waits until all answers are written. Must not be called on the callers'
    /// thread.
    void drain();

    /// Carries out an action of the decisions. Thread-safe.
    template <class Action>
    void perform(const Action& what)
    {
        api_->perform(what);
    }

private:
    callers::callers_settings settings_;
    kernel::metrics& numbers_;
    targets::exchange_table exchanges_;
    std::unique_ptr<http::event_loop> loop_;
    std::unique_ptr<callers::callers_api> api_;
    std::uint16_t port_ = 0;
};

} // namespace gooseberryfall::daemon
