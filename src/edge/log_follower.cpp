#include "edge/log_follower.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::steady_clock;

/// Pause after a read that failed.
constexpr std::chrono::milliseconds failure_pause{150};

} // namespace

log_follower::log_follower(store& durable, topic_partition place, follower_callbacks callbacks)
    : store_(durable), place_(std::move(place)), callbacks_(std::move(callbacks))
{
}

log_follower::~log_follower()
{
    *alive_ = false;
}

void log_follower::restart()
{
    next_.reset();
    hurried_ = true;
}

void log_follower::tick(core::time_point now, std::chrono::milliseconds interval)
{
    const auto pause = reachable_.value_or(true) ? interval : std::min(interval, failure_pause);
    if (busy_ || (!hurried_ && now - started_at_ < pause)) {
        return;
    }
    busy_ = true;
    hurried_ = false;
    started_at_ = now;
    if (next_) {
        read_news(now);
    }
    else {
        pages_.clear();
        pages_end_ = 0;
        read_all(std::nullopt, now);
    }
}

void log_follower::read_all(const std::optional<std::string>& after, core::time_point sent)
{
    store_.read_latest(
        place_, after, [this, alive = alive_, after, sent](store_result<log_page> page) {
            if (!*alive) {
                return;
            }
            if (!page) {
                on_failure(page.error());
                return;
            }
            // Pages are no snapshot: what was appended between them is read again after the first
            // end.
            pages_end_ = after ? std::min(pages_end_, page->end_offset) : page->end_offset;
            for (keyed_record& record : page->records) {
                pages_[record.key] = std::move(record.value);
            }
            if (page->next_key) {
                read_all(page->next_key, sent);
                return;
            }
            next_ = pages_end_;
            on_success(sent);
            callbacks_.on_snapshot(std::exchange(pages_, {}));
        });
}

void log_follower::read_news(core::time_point sent)
{
    store_.read(place_, *next_, [this, alive = alive_, sent](const store_result<log_page>& page) {
        if (!*alive) {
            return;
        }
        if (!page && page.error().failure == store_failure::expired) {
            next_.reset();
            busy_ = false;
            hurried_ = true;
            return;
        }
        if (!page) {
            on_failure(page.error());
            return;
        }
        on_success(sent);
        if (!next_) {
            // Restarted meanwhile.
            return;
        }
        next_ = *next_ + page->records.size();
        for (const keyed_record& record : page->records) {
            callbacks_.on_change(record.key, record.value);
        }
    });
}

void log_follower::on_failure(const store_error& error)
{
    busy_ = false;
    if (reachable_ != std::optional(false)) {
        reachable_ = false;
        callbacks_.on_reachability(error);
    }
}

void log_follower::on_success(core::time_point sent)
{
    busy_ = false;
    read_at_ = sent;
    if (reachable_ != std::optional(true)) {
        reachable_ = true;
        callbacks_.on_reachability(std::nullopt);
    }
}

} // namespace gooseberryfall::edge
