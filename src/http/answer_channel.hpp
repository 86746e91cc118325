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

/// What the session has to write next.
struct answer_work {
    std::optional<response> whole;
    std::optional<response_head> head;
    /// Pieces of a streamed answer, joined.
    std::string bytes;
    bool finish = false;
    bool abort = false;

    bool empty() const { return !whole && !head && bytes.empty() && !finish && !abort; }
};

/// An answer on its way from a handler's thread to the session. Thread-safe.
class answer_channel {
public:
    /// `wake` tells the session's loop that there is work; it is called under a lock and must not
    /// call back.
    answer_channel(std::size_t limit, std::function<void()> wake);

    // For the handler; see `responder`.
    void send(response whole);
    void start(response_head head);
    write_result write(std::string&& piece);
    void when_room(std::function<void()> callback);
    void finish();
    void abort();
    bool ended() const;
    void when_ended(std::function<void(bool)> callback);
    /// The handler let go of the answer: answers 500 or aborts if it is not complete.
    void abandon();

    // For the session.
    answer_work take();
    /// Bytes of a streamed answer have been written.
    void written(std::size_t bytes);
    /// The answer has ended. Calls back.
    void end(bool whole);
    /// Ends the answer without a call back.
    void detach();

private:
    void wake_locked();

    const std::size_t limit_;
    mutable std::mutex mutex_;
    std::function<void()> wake_;
    bool wake_pending_ = false;
    answer_work work_;
    /// Bytes taken from the handler and not yet written.
    std::size_t buffered_ = 0;
    bool answered_ = false;
    bool streaming_ = false;
    bool closed_ = false;
    std::optional<bool> ended_;
    std::function<void()> on_room_;
    std::function<void(bool)> on_ended_;
};

/// Handle of a channel for the handler.
std::shared_ptr<responder> make_responder(std::shared_ptr<answer_channel> channel);

} // namespace gooseberryfall::http
