#pragma once

#include "http/raw_socket.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

/// A target whose responses have no end: it sends until its caller closes the connection.
/// Thread-safe.
class endless_target {
public:
    /// `begin_response` returns what a response begins with, given the head of the request. It is
    /// followed by repetitions of `repeated`.
    endless_target(std::function<std::string(const std::string&)> begin_response,
                   std::string repeated)
        : begin_response_(std::move(begin_response)), repeated_(std::move(repeated)),
          acceptor_([this] { accept_connections(); })
    {
    }
    ~endless_target()
    {
        stopping_ = true;
        // Ends the wait for a connection.
        raw_connection::connect_to(listener_.port());
        acceptor_.join();
        const std::lock_guard lock(mutex_);
        connections_.clear();
    }
    endless_target(const endless_target&) = delete;
    endless_target& operator=(const endless_target&) = delete;
    endless_target(endless_target&&) = delete;
    endless_target& operator=(endless_target&&) = delete;

    /// `ip:port`.
    std::string address() const { return listener_.address(); }

    /// Number of requests so far.
    std::size_t request_count() const { return request_count_; }

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
