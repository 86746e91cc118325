#pragma once

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace gooseberryfall::http {

/// Calls a function when a time limit expires, unless it is cleared or set again before. Setting it
/// is cheap: the timer is restarted only if the new time is earlier. To be used on the loop's
/// thread only.
class deadline {
public:
    deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expired);
    ~deadline();
    deadline(const deadline&) = delete;
    deadline& operator=(const deadline&) = delete;
    deadline(deadline&&) = delete;
    deadline& operator=(deadline&&) = delete;

    /// Calls the function after `delay`. Replaces the time that was set before.
    void set(std::chrono::steady_clock::duration delay);

    void clear();

private:
    struct state;

    static void start_timer(const std::shared_ptr<state>& self);
    static void on_timer(const std::shared_ptr<state>& self);

    std::shared_ptr<state> state_;
};

} // namespace gooseberryfall::http
