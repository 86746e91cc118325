#pragma once

#include "core/types.hpp"
#include "edge/store.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::edge {

/// Callbacks of `log_follower`; invoked on the event loop's thread.
struct follower_callbacks {
    /// Called with the latest value of every key: after the first read, after `reload` and whenever
    /// records were missed.
    std::function<void(const std::map<std::string, std::string>&)> on_snapshot;
    /// Called after a key got a new value; an empty value means that the key was removed.
    std::function<void(const std::string& key, const std::string& value)> on_change;
    /// Called after the first read and when reads begin to fail or to succeed again. `failure` is
    /// unset on success.
    std::function<void(const std::optional<store_error>& failure)> on_reachability;
};

/// Follows a compacted partition by polling. Long polls are not used, because a connection that no
/// longer delivers anything would look like a log without new records. To be used on the event
/// loop's thread only.
class log_follower {
public:
    /// `seed`: differs between instances, which then retry failed reads at different times.
    log_follower(store& durable_store, topic_partition partition, std::uint64_t seed,
                 follower_callbacks callbacks);
    ~log_follower();
    log_follower(const log_follower&) = delete;
    log_follower& operator=(const log_follower&) = delete;
    log_follower(log_follower&&) = delete;
    log_follower& operator=(log_follower&&) = delete;

    /// Starts a read if the interval has elapsed, or if a failed read is to be retried. To be
    /// called about every 20 ms.
    void tick(core::time_point now, std::chrono::milliseconds interval);

    /// Makes the next tick read a whole snapshot, for a follower that was paused.
    void reload();

    /// Skips the records before an offset, because their content is known from elsewhere. What a
    /// read that is under way returns from before the offset only is not passed on.
    void skip_to(std::uint64_t offset);

    /// Offset of the next record to read; unset until a snapshot has been read.
    std::optional<std::uint64_t> next_offset() const { return next_offset_; }

    /// Whether the last read has failed.
    bool is_failing() const { return reachable_ == std::optional(false); }

    /// Makes the next tick read, regardless of the interval.
    void trigger_read() { read_triggered_ = true; }

    /// When the last successful read was sent; unset if none has succeeded.
    std::optional<core::time_point> last_read_sent_at() const { return last_read_sent_at_; }

private:
    void read_snapshot(const std::optional<std::string>& after_key, core::time_point sent_at);
    void read_appended(core::time_point sent_at);
    void on_failure(const store_error& error);
    void on_success(core::time_point sent_at);

    store& store_;
    topic_partition partition_;
    follower_callbacks callbacks_;
    std::optional<std::uint64_t> next_offset_;
    std::map<std::string, std::string> snapshot_;
    std::uint64_t snapshot_end_ = 0;
    /// Key after which a snapshot that was read in part continues.
    std::optional<std::string> snapshot_after_key_;
    bool reading_ = false;
    bool read_triggered_ = true;
    std::optional<bool> reachable_;
    serving::retry_backoff backoff_;
    /// Time until a failed read is retried.
    std::chrono::milliseconds retry_delay_{0};
    serving::adaptive_timeout timeout_;
    core::time_point last_attempt_at_{};
    std::optional<core::time_point> last_read_sent_at_;
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
