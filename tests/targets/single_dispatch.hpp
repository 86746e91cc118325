#pragma once

#include "targets/targets.hpp"

// Included after the product's headers, which its macros break.
#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Sends one request or item to a target on this port of the loopback interface and returns the
/// events that the decisions get, of which `dispatch_finished` is the last. A request has to be in
/// `exchanges`.
inline std::vector<gooseberryfall::core::event> perform_dispatch(
    std::uint16_t port, gooseberryfall::core::service_kind kind,
    std::variant<gooseberryfall::core::online_body, gooseberryfall::core::item_body> body,
    gooseberryfall::targets::exchange_table& exchanges)
{
    namespace core = gooseberryfall::core;
    namespace http = gooseberryfall::http;
    namespace targets = gooseberryfall::targets;
    http::event_loop loop("targets");
    http::client client(loop);
    std::vector<core::event> events;
    std::promise<void> finished;
    targets::dispatcher_callbacks callbacks;
    callbacks.post = [&](const core::event& event) {
        events.push_back(event);
        if (std::holds_alternative<core::dispatch_finished>(event)) {
            finished.set_value();
        }
    };
    callbacks.read_body = [](const core::item_body&, const auto& done) {
        done(std::string(R"({"messages":[]})"));
    };
    callbacks.first_byte = [](const targets::exchange&) {};
    targets::dispatcher_settings settings;
    settings.self.instance = core::instance_id("instance");
    std::unique_ptr<targets::dispatcher> dispatcher;
    loop.run_and_wait([&] {
        dispatcher = std::make_unique<targets::dispatcher>(loop, client, exchanges, settings,
                                                           std::move(callbacks));
        core::dispatch order;
        order.dispatch = 7;
        order.target = core::target_id("engine");
        order.address = "127.0.0.1";
        order.port = port;
        order.kind = kind;
        order.body = std::move(body);
        dispatcher->perform(order);
    });
    cr_assert(finished.get_future().wait_for(std::chrono::seconds(10)) ==
              std::future_status::ready);
    loop.run_and_wait([&] { dispatcher.reset(); });
    return events;
}
