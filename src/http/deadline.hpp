#pragma once

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace gooseberryfall::http {

/// Calls a function unless it is cleared or set anew in time. Setting it is cheap: the timer is not
/// touched unless the new time is earlier. For the loop's thread.
class deadline {
public:
    deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expired);
    ~deadline();
    deadline(const deadline&) = delete;
    deadline& operator=(const deadline&) = delete;
    deadline(deadline&&) = delete;
    deadline& operator=(deadline&&) = delete;

    /// Calls the function after `delay`, in place of an earlier time.
    void set(std::chrono::steady_clock::duration delay);

    void clear();

private:
    struct state;

    static void arm(const std::shared_ptr<state>& self);
    static void fired(const std::shared_ptr<state>& self);

    std::shared_ptr<state> state_;
};

} // namespace gooseberryfall::http
