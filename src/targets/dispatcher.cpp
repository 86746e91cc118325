#include "targets/dispatcher.hpp"

#include "targets/item_dispatch.hpp"
#include "targets/online_dispatch.hpp"

#include <cassert>
#include <utility>

namespace gooseberryfall::targets {

dispatcher::dispatcher(http::event_loop& loop, http::client& client, exchange_table& exchanges,
                       dispatcher_settings settings, dispatcher_callbacks callbacks)
    : settings_(std::move(settings)), callbacks_(std::move(callbacks)),
      context_(std::make_unique<dispatch_context>(dispatch_context{
          loop, client, exchanges, settings_, callbacks_,
          [this](core::dispatch_finished finished) { finish(std::move(finished)); }, alive_}))
{
}

dispatcher::~dispatcher()
{
    *alive_ = false;
}

void dispatcher::perform(const core::dispatch& order)
{
    assert(context_->loop.is_current());
    std::shared_ptr<running_dispatch> running;
    if (std::holds_alternative<core::online_body>(order.body)) {
        running = std::make_shared<online_dispatch>(*context_, order);
    }
    else {
        running = std::make_shared<item_dispatch>(*context_, order);
    }
    const bool inserted = running_.emplace(order.dispatch, running).second;
    assert(inserted);
    static_cast<void>(inserted);
    running->begin();
}

void dispatcher::cancel(core::dispatch_id id)
{
    assert(context_->loop.is_current());
    const auto found = running_.find(id);
    if (found != running_.end()) {
        const std::shared_ptr<running_dispatch> running = found->second;
        running->cancel();
    }
}

std::size_t dispatcher::size() const
{
    return running_.size();
}

void dispatcher::finish(core::dispatch_finished finished)
{
    running_.erase(finished.dispatch);
    callbacks_.post(std::move(finished));
}

} // namespace gooseberryfall::targets
