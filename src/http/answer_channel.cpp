#include "http/answer_channel.hpp"

#include <cassert>
#include <utility>

namespace gooseberryfall::http {

namespace {

class channel_responder : public responder {
public:
    explicit channel_responder(std::shared_ptr<answer_channel> channel)
        : channel_(std::move(channel))
    {
    }
    ~channel_responder() override { channel_->abandon(); }
    channel_responder(const channel_responder&) = delete;
    channel_responder& operator=(const channel_responder&) = delete;
    channel_responder(channel_responder&&) = delete;
    channel_responder& operator=(channel_responder&&) = delete;

    void send(response whole) override { channel_->send(std::move(whole)); }
    void start(response_head head) override { channel_->start(std::move(head)); }
    write_result write(std::string&& piece) override { return channel_->write(std::move(piece)); }
    void when_room(std::function<void()> callback) override
    {
        channel_->when_room(std::move(callback));
    }
    void finish() override { channel_->finish(); }
    void abort() override { channel_->abort(); }
    bool ended() const override { return channel_->ended(); }
    void when_ended(std::function<void(bool)> callback) override
    {
        channel_->when_ended(std::move(callback));
    }

private:
    std::shared_ptr<answer_channel> channel_;
};

} // namespace

std::shared_ptr<responder> make_responder(std::shared_ptr<answer_channel> channel)
{
    return std::make_shared<channel_responder>(std::move(channel));
}

answer_channel::answer_channel(std::size_t limit, std::function<void()> wake)
    : limit_(limit), wake_(std::move(wake))
{
}

void answer_channel::send(response whole)
{
    const std::lock_guard lock(mutex_);
    if (ended_) {
        return;
    }
    assert(!answered_);
    answered_ = true;
    closed_ = true;
    work_.whole = std::move(whole);
    wake_locked();
}

void answer_channel::start(response_head head)
{
    const std::lock_guard lock(mutex_);
    if (ended_) {
        return;
    }
    assert(!answered_);
    answered_ = true;
    streaming_ = true;
    work_.head = std::move(head);
    wake_locked();
}

write_result answer_channel::write(std::string&& piece)
{
    const std::lock_guard lock(mutex_);
    if (ended_ || closed_) {
        return write_result::gone;
    }
    assert(streaming_);
    if (buffered_ >= limit_) {
        return write_result::full;
    }
    buffered_ += piece.size();
    if (work_.bytes.empty()) {
        work_.bytes = std::move(piece);
    }
    else {
        work_.bytes += piece;
    }
    wake_locked();
    return write_result::taken;
}

void answer_channel::when_room(std::function<void()> callback)
{
    {
        const std::lock_guard lock(mutex_);
        if (!ended_ && !closed_ && buffered_ > limit_ / 2) {
            on_room_ = std::move(callback);
            return;
        }
    }
    callback();
}

void answer_channel::finish()
{
    const std::lock_guard lock(mutex_);
    if (ended_ || closed_) {
        return;
    }
    assert(streaming_);
    closed_ = true;
    work_.finish = true;
    wake_locked();
}

void answer_channel::abort()
{
    const std::lock_guard lock(mutex_);
    if (ended_ || closed_) {
        return;
    }
    answered_ = true;
    closed_ = true;
    work_.abort = true;
    wake_locked();
}

bool answer_channel::ended() const
{
    const std::lock_guard lock(mutex_);
    return ended_.has_value();
}

void answer_channel::when_ended(std::function<void(bool)> callback)
{
    bool whole = false;
    {
        const std::lock_guard lock(mutex_);
        if (!ended_) {
            on_ended_ = std::move(callback);
            return;
        }
        whole = *ended_;
    }
    callback(whole);
}

void answer_channel::abandon()
{
    bool answered = false;
    {
        const std::lock_guard lock(mutex_);
        answered = answered_;
    }
    if (answered) {
        abort();
        return;
    }
    send(error_response({500, "internal", "The request was given up on.", "may_have_run", {}}));
}

answer_work answer_channel::take()
{
    const std::lock_guard lock(mutex_);
    wake_pending_ = false;
    return std::exchange(work_, answer_work());
}

void answer_channel::written(std::size_t bytes)
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(mutex_);
        assert(bytes <= buffered_);
        buffered_ -= bytes;
        if (buffered_ <= limit_ / 2) {
            callback = std::exchange(on_room_, nullptr);
        }
    }
    if (callback) {
        callback();
    }
}

void answer_channel::end(bool whole)
{
    std::function<void()> on_room;
    std::function<void(bool)> on_ended;
    {
        const std::lock_guard lock(mutex_);
        if (ended_) {
            return;
        }
        ended_ = whole;
        wake_ = nullptr;
        work_ = answer_work();
        on_room = std::exchange(on_room_, nullptr);
        on_ended = std::exchange(on_ended_, nullptr);
    }
    if (on_room) {
        on_room();
    }
    if (on_ended) {
        on_ended(whole);
    }
}

void answer_channel::detach()
{
    std::function<void()> on_room;
    std::function<void(bool)> on_ended;
    const std::lock_guard lock(mutex_);
    if (!ended_) {
        ended_ = false;
    }
    wake_ = nullptr;
    // Destroyed after the lock is released, because they may hold the last reference to a
    // responder.
    on_room = std::exchange(on_room_, nullptr);
    on_ended = std::exchange(on_ended_, nullptr);
}

void answer_channel::wake_locked()
{
    if (wake_ && !wake_pending_) {
        wake_pending_ = true;
        wake_();
    }
}

} // namespace gooseberryfall::http
