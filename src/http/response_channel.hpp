#pragma once

#include "http/message.hpp"
#include "http/server.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace gooseberryfall::http {

/// Output of a handler that the session has to write next.
struct pending_output {
    std::optional<response> complete;
    std::optional<response_head> head;
    /// Concatenated pieces of a streamed response.
    std::string bytes;
    bool finish = false;
    bool abort = false;

    bool empty() const { return !complete && !head && bytes.empty() && !finish && !abort; }
};

/// Passes a response from the handler's thread to the session. Thread-safe.
class response_channel {
public:
    /// `wake` notifies the session's loop that there is output. It is called with the mutex locked
    /// and must not call into the channel. `buffer_limit` is the number of bytes of a streamed
    /// response that may be waiting to be written.
    response_channel(std::size_t buffer_limit, std::function<void()> wake);

    // For the handler; see `responder`.
    void send(response complete);
    void start(response_head head);
    write_result write(std::string&& piece);
    void when_writable(std::function<void()> callback);
    void finish();
    void abort();
    bool ended() const;
    void when_ended(std::function<void(bool)> callback);
    /// The handler released its responder: responds with 500 if nothing was sent, or aborts a
    /// streamed response that is not complete.
    void abandon();

    // For the session.
    pending_output take_output();
    /// Records that bytes of a streamed response have been written.
    void on_written(std::size_t bytes);
    /// Marks the response as ended and calls the callbacks.
    void set_ended(bool complete);
    /// Marks the response as ended without calling the callbacks.
    void detach();

private:
    void wake_locked();

    const std::size_t buffer_limit_;
    mutable std::mutex mutex_;
    std::function<void()> wake_;
    bool wake_pending_ = false;
    pending_output output_;
    /// Bytes accepted from the handler and not yet written.
    std::size_t buffered_ = 0;
    bool response_started_ = false;
    bool streaming_ = false;
    bool closed_ = false;
    std::optional<bool> ended_;
    std::function<void()> on_writable_;
    std::function<void(bool)> on_ended_;
};

/// Makes the handler's side of a channel; `response_channel::abandon` is called when it is
/// destroyed.
std::shared_ptr<responder> make_responder(std::shared_ptr<response_channel> channel);

} // namespace gooseberryfall::http
