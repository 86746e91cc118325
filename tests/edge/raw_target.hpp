#pragma once

#include "http/raw_socket.hpp"
#include "platform/names.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

/// A target that responds with bytes that the test chooses, followed by the end of the connection
/// or by repetitions without end. Thread-safe.
class raw_target {
public:
    /// `begin_response` returns what a response begins with, given the head of the request. If
    /// `repeated` isn't empty, repetitions of it follow until the caller closes the connection.
    raw_target(std::function<std::string(const std::string&)> begin_response,
               std::string repeated = {})
        : begin_response_(std::move(begin_response)), repeated_(std::move(repeated)),
          acceptor_([this] { accept_connections(); })
    {
    }
    ~raw_target()
    {
        stopping_ = true;
        // Ends the wait for a connection.
        raw_connection::connect_to(listener_.port());
        acceptor_.join();
        const std::lock_guard lock(mutex_);
        connections_.clear();
    }
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;
    raw_target(raw_target&&) = delete;
    raw_target& operator=(raw_target&&) = delete;

    /// `ip:port`.
    std::string address() const { return listener_.address(); }

    /// Number of requests so far.
    std::size_t request_count() const { return request_count_; }

    /// Header lines that make a response belong to the request with this head and sign it.
    static std::string response_headers(const std::string& request_head)
    {
        namespace names = gooseberryfall::adapter::names;
        const std::string name = std::string(names::request_id) + ": ";
        const std::size_t begin = request_head.find(name);
        const std::size_t end = request_head.find("\r\n", begin);
        return request_head.substr(begin, end - begin) + "\r\n" + names::signature + ": s\r\n";
    }

    /// Entry of this target in the store.
    std::string entry() const
    {
        return R"({"service":"lm","address":")" + address() +
               R"(","zone":"a","slots":64,"state":"ready","sequence":1,"born":1000})";
    }

private:
    void accept_connections()
    {
        while (!stopping_) {
            raw_connection accepted = listener_.accept();
            const std::lock_guard lock(mutex_);
            connections_.emplace_back(
                [this, connection = std::move(accepted)] { respond(connection); });
        }
    }

    void respond(const raw_connection& connection)
    {
        const std::string head = connection.receive_until("\r\n\r\n");
        if (head.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        ++request_count_;
        bool open = connection.send(begin_response_(head));
        if (repeated_.empty()) {
            return;
        }
        std::string block;
        while (block.size() < block_bytes) {
            block += repeated_;
        }
        while (open && !stopping_) {
            open = connection.send(block);
        }
    }

    static constexpr std::size_t block_bytes = 16U << 10U;

    std::function<std::string(const std::string&)> begin_response_;
    std::string repeated_;
    raw_listener listener_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> request_count_{0};
    std::mutex mutex_;
    std::list<std::jthread> connections_;
    std::thread acceptor_;
};
