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
    /// When the timer expires, if it is running. May be earlier than `expiry`.
    std::optional<steady_clock::time_point> timer_expiry;
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
    if (!state_->timer_expiry || *state_->timer_expiry > *state_->expiry) {
        start_timer(state_);
    }
}

void deadline::clear()
{
    state_->expiry.reset();
}

void deadline::start_timer(const std::shared_ptr<state>& self)
{
    self->timer_expiry = self->expiry;
    self->timer.expires_at(*self->expiry);
    self->timer.async_wait([self](const boost::system::error_code& error) {
        if (!error) {
            on_timer(self);
        }
    });
}

void deadline::on_timer(const std::shared_ptr<state>& self)
{
    self->timer_expiry.reset();
    if (!self->expiry) {
        return;
    }
    if (*self->expiry > steady_clock::now()) {
        start_timer(self);
        return;
    }
    self->expiry.reset();
    const std::function<void()> callback = self->on_expired;
    callback();
}

} // namespace gooseberryfall::http
