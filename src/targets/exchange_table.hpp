#pragma once

#include "core/core.hpp"
#include "http/http.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace gooseberryfall::targets {

/// A caller's request and the way to answer it. The request does not change after creation. The
/// answer may come from the target or be a refusal; the first one wins. Thread-safe.
class exchange {
public:
    exchange(core::request_id number, http::request received,
             std::shared_ptr<http::responder> answer_to);

    /// Claims the answer as a stream. Returns false if it has been claimed already.
    bool begin_stream();

    /// Claims the answer as a whole. Returns false if it has been claimed already.
    bool begin_whole();

    /// Refuses the request: with an answer of its own, or, if a stream has begun, with an error
    /// event where the stream consists of events, and without the end of the body.
    void refuse(const core::refusal& reason);

    /// Says that the stream consists of server-sent events. Called before `begin_stream`.
    void set_event_stream() { events_ = true; }

    const core::request_id id;
    const http::request request;
    const std::shared_ptr<http::responder> responder;
    const std::chrono::steady_clock::time_point received_at;

private:
    enum class state { open, stream, whole };

    std::atomic<state> state_{state::open};
    std::atomic<bool> events_{false};
};

/// Requests of callers that are not answered yet, by number. Thread-safe.
class exchange_table {
public:
    /// Adds a request. Precondition: its number is not in use.
    void add(std::shared_ptr<exchange> added);

    /// The request, or null.
    std::shared_ptr<exchange> find(core::request_id id) const;

    /// Removes and returns the request, or null.
    std::shared_ptr<exchange> take(core::request_id id);

    /// Requests inside.
    std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<core::request_id, std::shared_ptr<exchange>> exchanges_;
};

} // namespace gooseberryfall::targets
