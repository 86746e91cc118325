#pragma once

#include "kernel/worker_thread.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace gooseberryfall::http {

/// Stops a task that was posted for later. Thread-safe.
class scheduled_task {
public:
    virtual ~scheduled_task() = default;

    /// The task does not run if it has not begun to.
    virtual void cancel() = 0;
};

/// A named thread that runs an Asio io_context. Servers and clients that share a loop share its
/// thread. Must outlive the servers and clients on it.
class event_loop {
public:
    /// Starts the thread.
    explicit event_loop(const std::string& thread_name);

    /// Ends the thread; tasks that wait are dropped. Must not be called on the loop's thread.
    ~event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Runs a task on the loop's thread, never within this call. The task must not throw.
    /// Thread-safe.
    void post(std::function<void()> task);

    /// Runs a task on the loop's thread after `delay`. The result may be dropped. Thread-safe.
    std::shared_ptr<scheduled_task> post_after(std::chrono::steady_clock::duration delay,
                                               std::function<void()> task);

    /// Runs a task on the loop's thread and waits for its end; runs it at once if this is the
    /// loop's thread. Thread-safe.
    void run_and_wait(const std::function<void()>& task);

    /// Whether the caller is on the loop's thread. Thread-safe.
    bool is_current() const;

    /// For code that uses Asio directly.
    boost::asio::io_context& context() { return *context_; }

private:
    std::unique_ptr<boost::asio::io_context> context_;
    std::unique_ptr<kernel::worker_thread> thread_;
};

} // namespace gooseberryfall::http
