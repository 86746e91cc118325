#pragma once

#include "edge/raw_server.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

/// A target that responds with bytes that the test chooses, followed by the end of the connection
/// or by repetitions without end. Thread-safe.
class raw_target {
public:
    /// `begin_response` returns what a response begins with, given the head of the request. If
    /// `repeated` isn't empty, repetitions of it follow until the caller closes the connection.
    raw_target(std::function<std::string(const std::string&)> begin_response,
               std::string repeated = {})
        : begin_response_(std::move(begin_response)), repeated_(std::move(repeated)),
          server_([this](const raw_connection& connection) { respond(connection); })
    {
    }

    /// `ip:port`.
    std::string address() const { return server_.address(); }

    /// Number of requests so far.
    std::size_t request_count() const { return request_count_; }

    /// Header lines that make a response belong to the request with this head and sign it.
    static std::string response_headers(const std::string& request_head)
    {
        return raw_server::request_id_line(request_head) + "\r\n" +
               gooseberryfall::adapter::names::signature + ": s\r\n";
    }

    /// Entry of this target in the store.
    std::string entry() const { return server_.target_entry(slots); }

private:
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
        while (open && !server_.is_stopping()) {
            open = connection.send(block);
        }
    }

    static constexpr std::size_t block_bytes = 16U << 10U;
    static constexpr int slots = 64;

    std::function<std::string(const std::string&)> begin_response_;
    std::string repeated_;
    std::atomic<std::size_t> request_count_{0};
    /// Last, since its threads use the members before.
    raw_server server_;
};
