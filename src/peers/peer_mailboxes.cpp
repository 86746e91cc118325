#include "peers/peer_mailboxes.hpp"

#include <utility>

namespace gooseberryfall::peers {

peer_mailboxes::peer_mailboxes(std::size_t limit) : limit_(limit) {}

bool peer_mailboxes::push(const std::string& address, waiting_envelope envelope)
{
    const std::lock_guard lock(mutex_);
    auto& queue = queues_[address];
    if (closed_ || queue.size() >= limit_) {
        return false;
    }
    queue.push_back(std::move(envelope));
    changed_.insert(address);
    wake_locked();
    return true;
}

std::optional<waiting_envelope> peer_mailboxes::pop(const std::string& address)
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(address);
    if (queue == queues_.end() || queue->second.empty()) {
        return std::nullopt;
    }
    waiting_envelope envelope = std::move(queue->second.front());
    queue->second.pop_front();
    return envelope;
}

std::size_t peer_mailboxes::drop_before(const std::string& address, core::time_point time)
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(address);
    std::size_t count = 0;
    while (queue != queues_.end() && !queue->second.empty() &&
           queue->second.front().queued_at < time) {
        queue->second.pop_front();
        ++count;
    }
    return count;
}

bool peer_mailboxes::empty(const std::string& address) const
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(address);
    return queue == queues_.end() || queue->second.empty();
}

std::size_t peer_mailboxes::drop(const std::string& address)
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(address);
    if (queue == queues_.end()) {
        return 0;
    }
    const std::size_t count = queue->second.size();
    queues_.erase(queue);
    return count;
}

std::set<std::string> peer_mailboxes::take_changed()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(changed_, {});
}

void peer_mailboxes::arm(std::function<void()> wake)
{
    const std::lock_guard lock(mutex_);
    wake_ = std::move(wake);
    if (closed_ || !changed_.empty()) {
        wake_locked();
    }
}

void peer_mailboxes::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
    wake_locked();
}

bool peer_mailboxes::closed() const
{
    const std::lock_guard lock(mutex_);
    return closed_;
}

void peer_mailboxes::wake_locked()
{
    if (wake_) {
        std::exchange(wake_, nullptr)();
    }
}

} // namespace gooseberryfall::peers
