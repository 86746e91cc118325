#pragma once

#include "core/core.hpp"
#include "http/http.hpp"
#include "targets/exchange_table.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <tl/expected.hpp>

namespace gooseberryfall::targets {

class running_dispatch;
struct dispatch_context;

/// Settings of `dispatcher`.
struct dispatcher_settings {
    core::incarnation_id self;
    /// Answers up to this length are collected before they are passed on, so that a target that
    /// dies half-way leaves the caller's answer unstarted and the request can be tried elsewhere.
    std::size_t collect_limit = 256U << 10U;
    /// Limit of an item's result.
    std::size_t result_limit = 960U << 10U;
};

/// What the dispatcher needs of others. All are called on the loop's thread.
struct dispatcher_callbacks {
    /// Takes events to the decisions.
    std::function<void(core::event)> post;
    /// Reads the body of an item; calls back on any thread.
    std::function<void(const core::item_body&,
                       std::function<void(tl::expected<std::string, std::string>)>)>
        read_body;
    /// The first byte of an answer went to the caller.
    std::function<void(const exchange&)> first_byte;
};

/// Sends requests and items to targets and passes answers on. Lives on an event loop: `perform` and
/// `cancel` must be called on the loop's thread. Each dispatch ends with exactly one
/// `dispatch_finished`.
class dispatcher {
public:
    /// Precondition: `loop`, `client` and `exchanges` outlive the dispatcher.
    dispatcher(http::event_loop& loop, http::client& client, exchange_table& exchanges,
               dispatcher_settings settings, dispatcher_callbacks callbacks);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    dispatcher(dispatcher&&) = delete;
    dispatcher& operator=(dispatcher&&) = delete;

    /// Starts a dispatch. Precondition: its number is not in use.
    void perform(const core::dispatch& order);

    /// Cancels a dispatch, if it still runs.
    void cancel(core::dispatch_id id);

    /// Dispatches under way.
    std::size_t size() const;

private:
    void finish(core::dispatch_finished finished);

    const dispatcher_settings settings_;
    const dispatcher_callbacks callbacks_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<dispatch_context> context_;
    std::unordered_map<core::dispatch_id, std::shared_ptr<running_dispatch>> running_;
};

} // namespace gooseberryfall::targets
