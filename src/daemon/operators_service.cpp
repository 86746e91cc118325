#include "daemon/operators_service.hpp"

#include "daemon/decision_service.hpp"

namespace gooseberryfall::daemon {

operators_service::operators_service(operators::operators_settings settings)
    : settings_(std::move(settings))
{
}

operators_service::~operators_service() = default;

tl::expected<void, std::string> operators_service::start(kernel::service_registry& registry)
{
    auto& decisions = registry.get<decision_service>(decision_service::name);
    operators::operators_callbacks callbacks;
    callbacks.try_post = [&decisions](core::event what) {
        return decisions.try_post(std::move(what));
    };
    loop_ = std::make_unique<http::event_loop>(name);
    api_ = std::make_unique<operators::operators_api>(*loop_, settings_, std::move(callbacks));
    const auto port = api_->start();
    if (!port) {
        return tl::unexpected(port.error());
    }
    port_ = *port;
    return {};
}

void operators_service::stop()
{
    api_.reset();
    loop_.reset();
}

} // namespace gooseberryfall::daemon
