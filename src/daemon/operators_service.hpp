#pragma once

#include "kernel/kernel.hpp"
#include "operators/operators.hpp"

#include <memory>

namespace gooseberryfall::daemon {

/// The operators' HTTP API as a service, on a thread of its own.
class operators_service : public kernel::service {
public:
    static constexpr const char* name = "operators";

    explicit operators_service(operators::operators_settings settings);
    ~operators_service() override;
    operators_service(const operators_service&) = delete;
    operators_service& operator=(const operators_service&) = delete;
    operators_service(operators_service&&) = delete;
    operators_service& operator=(operators_service&&) = delete;

    tl::expected<void, std::string> start(kernel::service_registry& registry) override;
    void stop() override;

    /// Whether a request came from an operator. Thread-safe.
    static bool owns(core::request_id id) { return (id & operators::operator_request_bit) != 0; }

    /// Port that the API listens on. Precondition: started.
    std::uint16_t port() const { return port_; }

    /// Carries out an action of the decisions. Thread-safe.
    template <class Action>
    void perform(const Action& what)
    {
        api_->perform(what);
    }

private:
    operators::operators_settings settings_;
    std::unique_ptr<http::event_loop> loop_;
    std::unique_ptr<operators::operators_api> api_;
    std::uint16_t port_ = 0;
};

} // namespace gooseberryfall::daemon
