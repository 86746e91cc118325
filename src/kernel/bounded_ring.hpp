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

/// Bounded queue from any number of producers to one consumer. Every method is thread-safe; the pop
/// methods are for the consumer.
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

    /// Sets a function that wakes the consumer's event loop. It is called, on the producer's thread
    /// and without a lock held, after each push into an empty ring; the consumer must therefore
    /// take entries until the ring is empty. Called at once if the ring is not empty. Must be set
    /// before the producers start.
    void set_notifier(std::function<void()> notifier)
    {
        notifier_ = std::move(notifier);
        if (notifier_ && !empty()) {
            notifier_();
        }
    }

    /// Adds an entry, or returns false and leaves `value` as it is if the ring is full or closed.
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
        wake();
        return true;
    }

    /// Adds a copy of an entry.
    bool try_push(const T& value) { return try_push(T(value)); }

    /// Removes and returns the oldest entry, or nothing if the ring is empty.
    std::optional<T> try_pop()
    {
        const std::lock_guard lock(mutex_);
        return take_front();
    }

    /// Waits up to `limit` for an entry. Returns nothing at the limit, or at once if the ring is
    /// closed and empty.
    std::optional<T> pop(std::chrono::steady_clock::duration limit)
    {
        std::unique_lock lock(mutex_);
        filled_.wait_for(lock, limit, [this] { return closed_ || !entries_.empty(); });
        return take_front();
    }

    /// Appends up to `limit` entries to `out`, oldest first, and returns their number.
    std::size_t pop_into(std::vector<T>& out, std::size_t limit)
    {
        const std::lock_guard lock(mutex_);
        std::size_t taken = 0;
        for (; taken < limit && !entries_.empty(); ++taken) {
            out.push_back(std::move(entries_.front()));
            entries_.pop_front();
        }
        return taken;
    }

    /// From now on nothing is added and a waiting consumer returns. Entries inside can be taken.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        wake();
    }

    /// Entries inside.
    std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return entries_.size();
    }

    bool empty() const { return size() == 0; }

    /// Entries that fit.
    std::size_t capacity() const { return entries_.capacity(); }

private:
    std::optional<T> take_front()
    {
        if (entries_.empty()) {
            return std::nullopt;
        }
        std::optional<T> front(std::move(entries_.front()));
        entries_.pop_front();
        return front;
    }

    void wake()
    {
        filled_.notify_one();
        if (notifier_) {
            notifier_();
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable filled_;
    boost::circular_buffer<T> entries_;
    bool closed_ = false;
    std::function<void()> notifier_;
};

} // namespace gooseberryfall::kernel
