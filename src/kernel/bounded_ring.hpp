#pragma once

#include <boost/circular_buffer.hpp>

#include <cassert>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace gooseberryfall::kernel {

/// Bounded queue with any number of producers and a single consumer. All methods are thread-safe;
/// only the consumer may call the pop methods.
template <class T>
class bounded_ring {
public:
    /// Precondition: `capacity` is above 0.
    explicit bounded_ring(std::size_t capacity) : entries_(capacity) { assert(capacity > 0); }

    ~bounded_ring() = default;
    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;
    bounded_ring(bounded_ring&&) = delete;
    bounded_ring& operator=(bounded_ring&&) = delete;

    /// Sets a callback that wakes the consumer's event loop. It is called after each push into an
    /// empty ring, on the producer's thread and without a lock held. Because later pushes don't
    /// call it, the consumer must pop entries until the ring is empty. It is also called by
    /// `close`, and by this method if the ring is not empty. Must be set before the producers
    /// start.
    void set_notifier(std::function<void()> notifier)
    {
        notifier_ = std::move(notifier);
        if (notifier_ && !empty()) {
            notifier_();
        }
    }

    /// Appends `value`. Returns false and leaves `value` unchanged if the ring is full or closed.
    /// Never waits for the consumer.
    bool try_push(T&& value)
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_ || entries_.full()) {
                return false;
            }
            entries_.push_back(std::move(value));
            if (entries_.size() > 1) {
                return true;
            }
        }
        notify_consumer();
        return true;
    }

    /// Appends a copy of `value`. Returns false if the ring is full or closed.
    bool try_push(const T& value) { return try_push(T(value)); }

    /// Removes and returns the oldest entry, or nothing if the ring is empty.
    std::optional<T> try_pop()
    {
        const std::lock_guard lock(mutex_);
        return pop_oldest();
    }

    /// Removes and returns the oldest entry, waiting up to `timeout` for one. Returns nothing after
    /// the timeout, or immediately if the ring is closed and empty.
    std::optional<T> pop(std::chrono::steady_clock::duration timeout)
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait_for(lock, timeout, [this] { return closed_ || !entries_.empty(); });
        return pop_oldest();
    }

    /// Moves up to `max_count` entries to the end of `out`, oldest first, and returns how many.
    std::size_t pop_into(std::vector<T>& out, std::size_t max_count)
    {
        const std::lock_guard lock(mutex_);
        std::size_t popped = 0;
        for (; popped < max_count && !entries_.empty(); ++popped) {
            out.push_back(std::move(entries_.front()));
            entries_.pop_front();
        }
        return popped;
    }

    /// Rejects all further pushes and wakes a waiting consumer. Queued entries can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        notify_consumer();
    }

    /// Number of queued entries.
    std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return entries_.size();
    }

    bool empty() const { return size() == 0; }

    /// Maximum number of queued entries.
    std::size_t capacity() const { return entries_.capacity(); }

private:
    std::optional<T> pop_oldest()
    {
        if (entries_.empty()) {
            return std::nullopt;
        }
        std::optional<T> front(std::move(entries_.front()));
        entries_.pop_front();
        return front;
    }

    void notify_consumer()
    {
        not_empty_.notify_one();
        if (notifier_) {
            notifier_();
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable not_empty_;
    boost::circular_buffer<T> entries_;
    bool closed_ = false;
    std::function<void()> notifier_;
};

} // namespace gooseberryfall::kernel
