#include "edge/log_follower.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::steady_clock;

/// Delays of reads after failed ones. The longest one bounds how late an instance learns that the
/// store is back.
constexpr serving::backoff_settings read_backoff{std::chrono::milliseconds(150),
                                                 std::chrono::milliseconds(600)};

} // namespace

log_follower::log_follower(store& durable_store, topic_partition partition, std::uint64_t seed,
                           follower_callbacks callbacks)
    : store_(durable_store), partition_(std::move(partition)), callbacks_(std::move(callbacks)),
      backoff_(read_backoff, core::stable_hash(partition_.topic, seed))
{
}

log_follower::~log_follower()
{
    *alive_ = false;
}

void log_follower::reload()
{
    next_offset_.reset();
    snapshot_after_key_.reset();
    read_triggered_ = true;
}

void log_follower::skip_to(std::uint64_t offset)
{
    next_offset_ = std::max(next_offset_.value_or(offset), offset);
}

void log_follower::tick(core::time_point now, std::chrono::milliseconds interval)
{
    const auto wait = reachable_.value_or(true) ? interval : retry_delay_;
    if (reading_ || (!read_triggered_ && now - last_attempt_at_ < wait)) {
        return;
    }
    reading_ = true;
    read_triggered_ = false;
    last_attempt_at_ = now;
    if (next_offset_) {
        read_appended(now);
        return;
    }
    if (!snapshot_after_key_) {
        snapshot_.clear();
        snapshot_end_ = 0;
    }
    // Pages that were read before a failure are kept.
    read_snapshot(snapshot_after_key_, now);
}

void log_follower::read_snapshot(const std::optional<std::string>& after_key,
                                 core::time_point sent_at)
{
    store_.read_latest(partition_, after_key, timeout_.timeout(),
                       [this, alive = alive_, after_key, sent_at](store_result<log_page> page) {
                           if (!*alive) {
                               return;
                           }
                           if (!page) {
                               on_failure(page.error());
                               return;
                           }
                           // The pages are read at different times. Reading continues at their
                           // smallest end offset, so that records appended in between are not
                           // missed.
                           snapshot_end_ = after_key ? std::min(snapshot_end_, page->end_offset)
                                                     : page->end_offset;
                           for (keyed_record& record : page->records) {
                               snapshot_[record.key] = std::move(record.value);
                           }
                           snapshot_after_key_ = page->next_key;
                           if (page->next_key) {
                               read_snapshot(page->next_key, sent_at);
                               return;
                           }
                           on_success(sent_at);
                           if (next_offset_.value_or(0) > snapshot_end_) {
                               // Later records have been skipped during the read.
                               snapshot_.clear();
                               return;
                           }
                           skip_to(snapshot_end_);
                           callbacks_.on_snapshot(std::exchange(snapshot_, {}));
                       });
}

void log_follower::read_appended(core::time_point sent_at)
{
    store_.read(partition_, *next_offset_, timeout_.timeout(),
                [this, alive = alive_, sent_at,
                 offset = *next_offset_](const store_result<log_page>& page) {
                    if (!*alive) {
                        return;
                    }
                    if (!page && page.error().failure == store_failure::expired) {
                        next_offset_.reset();
                        snapshot_after_key_.reset();
                        reading_ = false;
                        read_triggered_ = true;
                        return;
                    }
                    if (!page) {
                        on_failure(page.error());
                        return;
                    }
                    on_success(sent_at);
                    if (!next_offset_) {
                        // `reload` was called during the read.
                        return;
                    }
                    const std::uint64_t read_to = offset + page->records.size();
                    if (*next_offset_ > read_to) {
                        // Later records have been skipped during the read.
                        return;
                    }
                    skip_to(read_to);
                    // A page holds a limited number of bytes.
                    read_triggered_ =
                        read_triggered_ || (!page->records.empty() && read_to < page->end_offset);
                    for (const keyed_record& record : page->records) {
                        callbacks_.on_change(record.key, record.value);
                    }
                });
}

void log_follower::on_failure(const store_error& error)
{
    reading_ = false;
    retry_delay_ = backoff_.next_delay();
    if (error.failure == store_failure::unknown) {
        timeout_.on_timeout();
    }
    if (reachable_ != std::optional(false)) {
        reachable_ = false;
        callbacks_.on_reachability(error);
    }
}

void log_follower::on_success(core::time_point sent_at)
{
    reading_ = false;
    backoff_.reset();
    timeout_.on_response();
    last_read_sent_at_ = sent_at;
    if (reachable_ != std::optional(true)) {
        reachable_ = true;
        callbacks_.on_reachability(std::nullopt);
    }
}

} // namespace gooseberryfall::edge
