#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <mutex>
#include <utility>

namespace gooseberryfall::http {

/// Lets other threads post tasks to an event loop until it is closed. After `close` the loop may be
/// destroyed. Thread-safe.
class closable_executor {
public:
    explicit closable_executor(boost::asio::io_context& context) : context_(&context) {}

    /// Posts a task, or returns false if the executor is closed.
    bool post(std::function<void()> task)
    {
        const std::lock_guard lock(mutex_);
        if (context_ == nullptr) {
            return false;
        }
        boost::asio::post(*context_, std::move(task));
        return true;
    }

    void close()
    {
        const std::lock_guard lock(mutex_);
        context_ = nullptr;
    }

    bool is_open() const
    {
        const std::lock_guard lock(mutex_);
        return context_ != nullptr;
    }

private:
    mutable std::mutex mutex_;
    boost::asio::io_context* context_;
};

} // namespace gooseberryfall::http
