#pragma once

#include "http/http.hpp"
#include "stand_ins/log_store_state.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::stand_ins {

/// How a listener of the store responds to calls.
enum class listener_mode {
    normal,
    /// Responds with 503 and does not execute the call.
    rejecting,
    /// Never responds and does not execute the call.
    unresponsive,
    /// Executes each call and drops the responses to writes.
    dropping_responses,
};

/// The platform's store over HTTP. Each instance can be given its own listener, so that the store
/// can serve some instances and fail others. All methods are thread-safe.
class log_store {
public:
    explicit log_store(std::uint32_t partitions);

    /// Opens a listener and returns its index.
    std::size_t open_listener();

    /// `ip:port` of a listener.
    std::string address(std::size_t listener_index) const;

    void set_mode(std::size_t listener_index, listener_mode mode);
    void set_all_modes(listener_mode mode);

    /// Drops the history of all partitions; the latest record of each key stays.
    void compact();

    /// Writes the value of a key, as the operator and the targets do; an empty value deletes the
    /// key.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// Number of keys in all partitions of the topics whose names contain this text.
    std::size_t key_count(const std::string& topic_substring) const;

    /// Names of the writers that have set an epoch.
    std::set<std::string> writer_names() const;

    /// Calls received so far, including those that were not executed.
    std::size_t call_count() const { return call_count_; }

private:
    struct listener {
        std::atomic<listener_mode> mode{listener_mode::normal};
        std::unique_ptr<http::server> server;
        std::uint16_t port = 0;
        /// Calls that never get a response; kept so that their connections stay open.
        std::vector<std::shared_ptr<http::responder>> unanswered_calls;
    };

    void handle(listener& receiver, const http::request& received,
                const std::shared_ptr<http::responder>& caller);
    http::response serve(const http::request& received);
    http::response append(const http::target_parts& parts, const std::string& body);
    http::response read(const http::target_parts& parts);
    http::response read_latest(const http::target_parts& parts);
    http::response join(const std::string& body);
    http::response leave(const std::string& body);

    mutable std::mutex mutex_;
    log_store_state state_;
    std::atomic<std::size_t> call_count_{0};
    http::event_loop loop_{"store"};
    std::vector<std::unique_ptr<listener>> listeners_;
};

} // namespace gooseberryfall::stand_ins
