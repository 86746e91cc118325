#include "http/deadline.hpp"

#include <optional>
#include <utility>

namespace gooseberryfall::http {

using std::chrono::steady_clock;

struct deadline::state {
    state(const boost::asio::any_io_executor& executor, std::function<void()> callback)
        : timer(executor), on_expired(std::move(callback))
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> on_expired;
    std::optional<steady_clock::time_point> expiry;
    /// When the pending wait ends, if there is one.
    std::optional<steady_clock::time_point> armed;
};

deadline::deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expired)
    : state_(std::make_shared<state>(executor, std::move(on_expired)))
{
}

deadline::~deadline()
{
    state_->expiry.reset();
    state_->on_expired = {};
    state_->timer.cancel();
}

void deadline::set(steady_clock::duration delay)
{
    state_->expiry = steady_clock::now() + delay;
    if (!state_->armed || *state_->armed > *state_->expiry) {
        arm(state_);
    }
}

void deadline::clear()
{
    state_->expiry.reset();
}

void deadline::arm(const std::shared_ptr<state>& self)
{
    self->armed = self->expiry;
    self->timer.expires_at(*self->expiry);
    self->timer.async_wait([self](const boost::system::error_code& error) {
        if (!error) {
            fired(self);
        }
    });
}

void deadline::fired(const std::shared_ptr<state>& self)
{
    self->armed.reset();
    if (!self->expiry) {
        return;
    }
    if (*self->expiry > steady_clock::now()) {
        arm(self);
        return;
    }
    self->expiry.reset();
    const std::function<void()> callback = self->on_expired;
    callback();
}

} // namespace gooseberryfall::http
