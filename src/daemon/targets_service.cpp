#include "daemon/targets_service.hpp"

#include "daemon/callers_service.hpp"
#include "daemon/decision_service.hpp"
#include "daemon/platform_service.hpp"

namespace gooseberryfall::daemon {

targets_service::targets_service(targets_service_settings settings, kernel::metrics& numbers)
    : settings_(std::move(settings)),
      first_byte_(numbers.add_histogram("gooseberryfall_first_byte_seconds",
                                        "Time from a request's arrival to the first byte of its "
                                        "answer."))
{
}

targets_service::~targets_service() = default;

tl::expected<void, std::string> targets_service::start(kernel::service_registry& registry)
{
    auto& decisions = registry.get<decision_service>(decision_service::name);
    auto& callers = registry.get<callers_service>(callers_service::name);
    auto& platform = registry.get<platform_service>(platform_service::name);
    targets::dispatcher_callbacks callbacks;
    callbacks.post = [&decisions](core::event what) { decisions.post(std::move(what)); };
    callbacks.read_body = [&platform](const core::item_body& item,
                                      platform_service::body_callback callback) {
        platform.read_body(item.partition, item.position, std::move(callback));
    };
    callbacks.first_byte = [this](const targets::exchange& answered) {
        first_byte_.record(std::chrono::steady_clock::now() - answered.received_at);
    };
    loop_ = std::make_unique<http::event_loop>(name);
    client_ = std::make_unique<http::client>(*loop_, settings_.client);
    loop_->run_and_wait([&] {
        dispatcher_ = std::make_unique<targets::dispatcher>(
            *loop_, *client_, callers.exchanges(), settings_.dispatcher, std::move(callbacks));
        poller_ = std::make_unique<targets::load_poller>(
            *loop_, *client_, settings_.load,
            [&decisions](core::event what) { decisions.post(std::move(what)); });
    });
    return {};
}

void targets_service::stop()
{
    loop_->run_and_wait([this] {
        poller_.reset();
        dispatcher_.reset();
    });
    client_.reset();
    loop_.reset();
}

void targets_service::perform(core::dispatch order)
{
    loop_->post([this, order = std::move(order)] {
        if (dispatcher_) {
            dispatcher_->perform(order);
        }
    });
}

void targets_service::cancel(core::dispatch_id id)
{
    loop_->post([this, id] {
        if (dispatcher_) {
            dispatcher_->cancel(id);
        }
    });
}

void targets_service::poll(std::vector<core::target> targets)
{
    loop_->post([this, targets = std::move(targets)] {
        if (poller_) {
            poller_->set_targets(targets);
        }
    });
}

} // namespace gooseberryfall::daemon
