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

/// Handle of a task that runs after a delay. Thread-safe.
class scheduled_task {
public:
    virtual ~scheduled_task() = default;

    /// Cancels the task if it has not started to run.
    virtual void cancel() = 0;
};

/// A thread with a name that runs an Asio io_context. Servers and clients that share a loop share
/// its thread. Must outlive the servers and clients on it.
class event_loop {
public:
    /// Starts the thread.
    explicit event_loop(const std::string& thread_name);

    /// Ends the thread; pending tasks are discarded. Must not be called on the loop's thread.
    ~event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Runs a task on the loop's thread, never synchronously within this call. The task
    /// must not throw. Thread-safe.
    void post(std::function<void()> task);

    /// Runs a task on the loop's thread after `delay`. The returned handle may be dropped.
    /// Thread-safe.
    std::shared_ptr<scheduled_task> post_after(std::chrono::steady_clock::duration delay,
                                               std::function<void()> task);

    /// Runs a task on the loop's thread and waits until it has returned; runs it directly if the
    /// caller is on the loop's thread. Thread-safe.
    void run_and_wait(const std::function<void()>& task);

    /// Whether the caller is on the loop's thread. Thread-safe.
    bool is_current() const;

    /// The io_context, for code that uses Asio directly.
    boost::asio::io_context& context() { return *context_; }

private:
    std::unique_ptr<boost::asio::io_context> context_;
    std::unique_ptr<kernel::worker_thread> thread_;
};

} // namespace gooseberryfall::http
