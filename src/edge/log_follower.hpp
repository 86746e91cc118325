#pragma once

#include "core/types.hpp"
#include "edge/store.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::edge {

/// What a follower tells, on the loop's thread.
struct follower_callbacks {
    /// The newest value of every key. Sent at first and whenever records were missed.
    std::function<void(const std::map<std::string, std::string>&)> on_snapshot;
    /// A key has a new value; an empty one means that the key was dropped.
    std::function<void(const std::string& key, const std::string& value)> on_change;
    /// A read has failed after one that succeeded, or succeeds again; unset if it succeeds.
    std::function<void(const std::optional<store_error>& failure)> on_reachability;
};

/// Keeps up with a partition that holds the newest record of each key, by reading it at an
/// interval. Reads that wait for news are not used: a connection that has gone silent would look
/// like a log without news. For the loop's thread.
class log_follower {
public:
    log_follower(store& durable, topic_partition place, follower_callbacks callbacks);
    ~log_follower();
    log_follower(const log_follower&) = delete;
    log_follower& operator=(const log_follower&) = delete;
    log_follower(log_follower&&) = delete;
    log_follower& operator=(log_follower&&) = delete;

    /// Reads if the interval is over. To be called often.
    void tick(core::time_point now, std::chrono::milliseconds interval);

    /// Reads everything anew at the next tick, for a follower that has paused.
    void restart();

    /// Reads at the next tick.
    void trigger_read() { hurried_ = true; }

    /// When the last read was sent that succeeded; unset if none has.
    std::optional<core::time_point> read_at() const { return read_at_; }

private:
    void read_all(const std::optional<std::string>& after, core::time_point sent);
    void read_news(core::time_point sent);
    void on_failure(const store_error& error);
    void on_success(core::time_point sent);

    store& store_;
    topic_partition place_;
    follower_callbacks callbacks_;
    std::optional<std::uint64_t> next_;
    std::map<std::string, std::string> pages_;
    std::uint64_t pages_end_ = 0;
    bool busy_ = false;
    bool hurried_ = true;
    std::optional<bool> reachable_;
    core::time_point started_at_{};
    std::optional<core::time_point> read_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
