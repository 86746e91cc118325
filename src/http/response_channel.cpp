#include "http/response_channel.hpp"

#include <cassert>
#include <utility>

namespace gooseberryfall::http {

namespace {

class channel_responder : public responder {
public:
    explicit channel_responder(std::shared_ptr<response_channel> channel)
        : channel_(std::move(channel))
    {
    }
    ~channel_responder() override { channel_->abandon(); }
    channel_responder(const channel_responder&) = delete;
    channel_responder& operator=(const channel_responder&) = delete;
    channel_responder(channel_responder&&) = delete;
    channel_responder& operator=(channel_responder&&) = delete;

    void send(response complete) override { channel_->send(std::move(complete)); }
    void start(response_head head) override { channel_->start(std::move(head)); }
    write_result write(std::string&& piece) override { return channel_->write(std::move(piece)); }
    void when_writable(std::function<void()> callback) override
    {
        channel_->when_writable(std::move(callback));
    }
    void finish() override { channel_->finish(); }
    void abort() override { channel_->abort(); }
    bool ended() const override { return channel_->ended(); }
    void when_ended(std::function<void(bool)> callback) override
    {
        channel_->when_ended(std::move(callback));
    }

private:
    std::shared_ptr<response_channel> channel_;
};

} // namespace

std::shared_ptr<responder> make_responder(std::shared_ptr<response_channel> channel)
{
    return std::make_shared<channel_responder>(std::move(channel));
}

response_channel::response_channel(std::size_t buffer_limit, std::function<void()> wake)
    : buffer_limit_(buffer_limit), wake_(std::move(wake))
{
}

void response_channel::send(response complete)
{
    const std::lock_guard lock(mutex_);
    if (ended_) {
        return;
    }
    assert(!response_started_);
    response_started_ = true;
    closed_ = true;
    output_.complete = std::move(complete);
    wake_locked();
}

void response_channel::start(response_head head)
{
    const std::lock_guard lock(mutex_);
    if (ended_) {
        return;
    }
    assert(!response_started_);
    response_started_ = true;
    streaming_ = true;
    output_.head = std::move(head);
    wake_locked();
}

write_result response_channel::write(std::string&& piece)
{
    const std::lock_guard lock(mutex_);
    if (ended_ || closed_) {
        return write_result::closed;
    }
    assert(streaming_);
    if (buffered_ >= buffer_limit_) {
        return write_result::buffer_full;
    }
    buffered_ += piece.size();
    if (output_.bytes.empty()) {
        output_.bytes = std::move(piece);
    }
    else {
        output_.bytes += piece;
    }
    wake_locked();
    return write_result::buffered;
}

void response_channel::when_writable(std::function<void()> callback)
{
    {
        const std::lock_guard lock(mutex_);
        if (!ended_ && !closed_ && buffered_ > buffer_limit_ / 2) {
            on_writable_ = std::move(callback);
            return;
        }
    }
    callback();
}

void response_channel::finish()
{
    const std::lock_guard lock(mutex_);
    if (ended_ || closed_) {
        return;
    }
    assert(streaming_);
    closed_ = true;
    output_.finish = true;
    wake_locked();
}

void response_channel::abort()
{
    const std::lock_guard lock(mutex_);
    if (ended_ || closed_) {
        return;
    }
    response_started_ = true;
    closed_ = true;
    output_.abort = true;
    wake_locked();
}

bool response_channel::ended() const
{
    const std::lock_guard lock(mutex_);
    return ended_.has_value();
}

void response_channel::when_ended(std::function<void(bool)> callback)
{
    bool complete = false;
    {
        const std::lock_guard lock(mutex_);
        if (!ended_) {
            on_ended_ = std::move(callback);
            return;
        }
        complete = *ended_;
    }
    callback(complete);
}

void response_channel::abandon()
{
    bool response_started = false;
    {
        const std::lock_guard lock(mutex_);
        response_started = response_started_;
    }
    if (response_started) {
        abort();
        return;
    }
    send(error_response({500, "internal", "The request was given up on.", "may_have_run", {}}));
}

pending_output response_channel::take_output()
{
    const std::lock_guard lock(mutex_);
    wake_pending_ = false;
    return std::exchange(output_, pending_output());
}

void response_channel::on_written(std::size_t bytes)
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(mutex_);
        assert(bytes <= buffered_);
        buffered_ -= bytes;
        if (buffered_ <= buffer_limit_ / 2) {
            callback = std::exchange(on_writable_, nullptr);
        }
    }
    if (callback) {
        callback();
    }
}

void response_channel::set_ended(bool complete)
{
    std::function<void()> on_writable;
    std::function<void(bool)> on_ended;
    {
        const std::lock_guard lock(mutex_);
        if (ended_) {
            return;
        }
        ended_ = complete;
        wake_ = nullptr;
        output_ = pending_output();
        on_writable = std::exchange(on_writable_, nullptr);
        on_ended = std::exchange(on_ended_, nullptr);
    }
    if (on_writable) {
        on_writable();
    }
    if (on_ended) {
        on_ended(complete);
    }
}

void response_channel::detach()
{
    std::function<void()> on_writable;
    std::function<void(bool)> on_ended;
    const std::lock_guard lock(mutex_);
    if (!ended_) {
        ended_ = false;
    }
    wake_ = nullptr;
    // Declared before the lock so that they are destroyed after it is released: they may hold the
    // last reference to a responder, whose destructor locks the mutex.
    on_writable = std::exchange(on_writable_, nullptr);
    on_ended = std::exchange(on_ended_, nullptr);
}

void response_channel::wake_locked()
{
    if (wake_ && !wake_pending_) {
        wake_pending_ = true;
        wake_();
    }
}

} // namespace gooseberryfall::http
