#include "daemon/callers_service.hpp"

#include "daemon/decision_service.hpp"
#include "daemon/platform_service.hpp"

#include <future>

namespace gooseberryfall::daemon {

callers_service::callers_service(callers::callers_settings settings, kernel::metrics& numbers)
    : settings_(std::move(settings)), numbers_(numbers)
{
}

callers_service::~callers_service() = default;

tl::expected<void, std::string> callers_service::start(kernel::service_registry& registry)
{
    auto& decisions = registry.get<decision_service>(decision_service::name);
    auto& platform = registry.get<platform_service>(platform_service::name);
    callers::callers_callbacks callbacks;
    callbacks.try_post = [&decisions](core::event what) {
        return decisions.try_post(std::move(what));
    };
    callbacks.read_body = [&platform](std::uint32_t partition, const core::body_position& position,
                                      platform_service::body_callback callback) {
        platform.read_body(partition, position, std::move(callback));
    };
    callbacks.metrics = [this] { return numbers_.exposition(); };
    callbacks.health = [&decisions] { return decisions.health(); };
    loop_ = std::make_unique<http::event_loop>(name);
    api_ =
        std::make_unique<callers::callers_api>(*loop_, exchanges_, settings_, std::move(callbacks));
    const auto port = api_->start();
    if (!port) {
        return tl::unexpected(port.error());
    }
    port_ = *port;
    return {};
}

void callers_service::drain()
{
    auto drained = std::make_shared<std::promise<void>>();
    std::future<void> done = drained->get_future();
    api_->drain([drained] { drained->set_value(); });
    done.wait();
}

void callers_service::stop()
{
    api_.reset();
    loop_.reset();
}

} // namespace gooseberryfall::daemon
