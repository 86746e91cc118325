#pragma once

#include "http/raw_socket.hpp"
#include "platform/names.hpp"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

/// Listens on a free port and serves each connection by a function of the test on a thread of its
/// own. Thread-safe.
class raw_server {
public:
    using connection_handler = std::function<void(const raw_connection&)>;

    explicit raw_server(connection_handler serve)
        : serve_(std::move(serve)), acceptor_([this] { accept_connections(); })
    {
    }
    ~raw_server()
    {
        stopping_ = true;
        // Ends the wait for a connection.
        raw_connection::connect_to(listener_.port());
        acceptor_.join();
        const std::lock_guard lock(mutex_);
        threads_.clear();
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    /// `ip:port`.
    std::string address() const { return listener_.address(); }

    /// Whether the destructor waits for the handlers to return.
    bool is_stopping() const { return stopping_; }

    /// Entry in the store by which this server is a target with this number of slots.
    std::string target_entry(int slots) const
    {
        return R"({"service":"lm","address":")" + address() + R"(","zone":"a","slots":)" +
               std::to_string(slots) + R"(,"state":"ready","sequence":1,"born":1000})";
    }

    /// Line with the id of the request in the head of a request, without its line break; empty if
    /// there is none. It stands in a response to the request as it is.
    static std::string request_id_line(const std::string& request_head)
    {
        const std::string name = std::string(gooseberryfall::adapter::names::request_id) + ": ";
        const std::size_t begin = request_head.find(name);
        if (begin == std::string::npos) {
            return {};
        }
        return request_head.substr(begin, request_head.find("\r\n", begin) - begin);
    }

private:
    void accept_connections()
    {
        while (!stopping_) {
            raw_connection accepted = listener_.accept();
            const std::lock_guard lock(mutex_);
            threads_.emplace_back([this, connection = std::move(accepted)] { serve_(connection); });
        }
    }

    connection_handler serve_;
    raw_listener listener_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::list<std::jthread> threads_;
    std::thread acceptor_;
};
