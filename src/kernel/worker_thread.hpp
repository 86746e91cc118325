#pragma once

#include <functional>
#include <stop_token>
#include <string>
#include <thread>

namespace gooseberryfall::kernel {

/// Named thread whose destructor requests its stop and joins it. All signals are blocked in the
/// thread, so that the main thread receives them.
class worker_thread {
public:
    /// Runs `body` on a new thread. `body` must not throw, and must return soon after a stop is
    /// requested through its token. The thread name is the first 15 characters of `name`, which is
    /// the limit of the operating system.
    worker_thread(const std::string& name, std::function<void(std::stop_token)> body);

    /// Requests the stop and joins the thread. Must not be called by the thread itself.
    ~worker_thread();

    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;
    worker_thread(worker_thread&&) = delete;
    worker_thread& operator=(worker_thread&&) = delete;

    /// Requests the stop through the token of `body`, and does not wait. Thread-safe.
    void request_stop();

    /// Whether it is called on this thread. Thread-safe.
    bool is_current() const;

private:
    std::jthread thread_;
};

} // namespace gooseberryfall::kernel
