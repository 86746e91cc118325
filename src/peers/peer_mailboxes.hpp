#pragma once

#include "core/messages.hpp"
#include "core/types.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace gooseberryfall::peers {

// Private to this library.

/// An envelope that waits to be sent.
struct waiting_envelope {
    core::peer_envelope envelope;
    core::time_point queued_at;
};

/// Bounded queues by address, filled by any thread and emptied by the transport's. Thread-safe.
class peer_mailboxes {
public:
    explicit peer_mailboxes(std::size_t limit);

    /// Adds an envelope, or returns false if the queue is full.
    bool push(const std::string& address, waiting_envelope envelope);

    /// Takes the oldest envelope of an address.
    std::optional<waiting_envelope> pop(const std::string& address);

    /// Drops envelopes of an address that were queued before a time and returns their number.
    std::size_t drop_before(const std::string& address, core::time_point time);

    /// Whether nothing waits for an address.
    bool empty(const std::string& address) const;

    /// Drops an address and returns the number of its envelopes.
    std::size_t drop(const std::string& address);

    /// Addresses that got envelopes since the last call.
    std::set<std::string> take_changed();

    /// Calls `wake` once, at the next `push` or `close`, or at once if there was one since the last
    /// `take_changed`. `wake` runs under the lock and must not block.
    void arm(std::function<void()> wake);

    /// Wakes the reader for the last time. What `arm` was given is not called later.
    void close();
    bool closed() const;

private:
    void wake_locked();

    const std::size_t limit_;
    mutable std::mutex mutex_;
    std::map<std::string, std::deque<waiting_envelope>> queues_;
    std::set<std::string> changed_;
    std::function<void()> wake_;
    bool closed_ = false;
};

} // namespace gooseberryfall::peers
