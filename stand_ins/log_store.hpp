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

/// How a door of the store treats its callers.
enum class door_mode {
    open,
    /// Answers 503; nothing is done.
    busy,
    /// Never answers.
    silent,
    /// Carries writes out and does not answer them.
    lossy,
};

/// The platform's store over HTTP. Instances may be given doors of their own, so that it can serve
/// some and turn others away. All methods are thread-safe.
class log_store {
public:
    explicit log_store(std::uint32_t partitions);

    /// Opens a door and returns its number.
    std::size_t open_door();

    /// `ip:port` of a door.
    std::string address(std::size_t number) const;

    void set_mode(std::size_t number, door_mode mode);
    void set_mode_of_all(door_mode mode);

    /// Drops the history; the newest record of each key stays.
    void forget_history();

    /// Writes a value of a key, as the operator and the targets do; an empty one drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// Keys in all partitions of the topics whose names contain a text.
    std::size_t key_count(const std::string& topics) const;

    /// Names of the writers that have set an epoch.
    std::set<std::string> writer_names() const;

    /// Calls served so far.
    std::size_t calls() const { return calls_; }

private:
    struct door {
        std::atomic<door_mode> mode{door_mode::open};
        std::unique_ptr<http::server> server;
        std::uint16_t port = 0;
        /// Answers that are never given.
        std::vector<std::shared_ptr<http::responder>> unanswered;
    };

    void handle(door& at, const http::request& received,
                const std::shared_ptr<http::responder>& caller);
    http::response serve(const http::request& received);
    http::response append(const http::target_parts& parts, const std::string& body);
    http::response read(const http::target_parts& parts);
    http::response newest(const http::target_parts& parts);
    http::response join(const std::string& body);
    http::response leave(const std::string& body);

    mutable std::mutex mutex_;
    log_store_state state_;
    std::atomic<std::size_t> calls_{0};
    http::event_loop loop_{"store"};
    std::vector<std::unique_ptr<door>> doors_;
};

} // namespace gooseberryfall::stand_ins
