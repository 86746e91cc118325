#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gooseberryfall::http {

/// Wakes one coroutine of an event loop. A notification without a waiter is kept for the next wait.
/// Spurious wake-ups are possible, so the waiter has to check its condition again. To be used on
/// the loop's thread only.
class async_signal {
public:
    explicit async_signal(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    void notify()
    {
        notified_ = true;
        timer_.cancel();
    }

    boost::asio::awaitable<void> wait()
    {
        if (!notified_) {
            timer_.expires_at(boost::asio::steady_timer::time_point::max());
            co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        notified_ = false;
    }

private:
    boost::asio::steady_timer timer_;
    bool notified_ = false;
};

} // namespace gooseberryfall::http
