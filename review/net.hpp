#pragma once

// Blocking sockets and HTTP/1.1 for the stand-ins. All addresses are on loopback.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Header names in lower case.
using header_map = std::map<std::string, std::string>;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// Owns a file descriptor.
class descriptor {
public:
    explicit descriptor(int number = -1) : number_(number) {}
    ~descriptor() { reset(); }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    descriptor(descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
    descriptor& operator=(descriptor&& other) noexcept
    {
        reset(std::exchange(other.number_, -1));
        return *this;
    }
    int get() const { return number_; }
    void reset(int number = -1)
    {
        if (number_ >= 0) {
            ::close(number_);
        }
        number_ = number;
    }

private:
    int number_;
};

inline sockaddr_in make_endpoint(const std::string& address)
{
    sockaddr_in endpoint{};
    const std::size_t colon = address.find(':');
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

/// Listens on a free port of 127.0.0.1; the second value is `ip:port`.
inline std::pair<descriptor, std::string> listen_anywhere()
{
    descriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in endpoint = make_endpoint("127.0.0.1:0");
    socklen_t size = sizeof endpoint;
    ::bind(listener.get(), reinterpret_cast<sockaddr*>(&endpoint), size);
    ::listen(listener.get(), 256);
    ::getsockname(listener.get(), reinterpret_cast<sockaddr*>(&endpoint), &size);
    return {std::move(listener), "127.0.0.1:" + std::to_string(ntohs(endpoint.sin_port))};
}

/// Free `ip:port` addresses on loopback, for daemons that bind them a moment later.
inline std::vector<std::string> free_addresses(std::size_t count)
{
    std::vector<descriptor> reserved;
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < count; ++index) {
        auto [listener, address] = listen_anywhere();
        reserved.push_back(std::move(listener));
        addresses.push_back(address);
    }
    return addresses;
}

inline bool send_all(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Whether the peer has closed or reset the connection. Precondition: no unread bytes are expected.
inline bool peer_has_closed(int socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Reads HTTP/1.1 messages from a socket.
class message_reader {
public:
    explicit message_reader(int socket) : socket_(socket) {}

    /// Reads up to the empty line after the headers; false at the end of the connection or the
    /// deadline.
    bool read_head(std::string& start_line, header_map& headers, steady_clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!read_more(deadline)) {
                return false;
            }
        }
        const std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        headers.clear();
        std::size_t begin = head.find("\r\n");
        start_line = head.substr(0, begin);
        begin += 2;
        while (begin < head.size()) {
            const std::size_t line_end = head.find("\r\n", begin);
            const std::string line = head.substr(begin, line_end - begin);
            begin = line_end + 2;
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                headers[lower(line.substr(0, colon))] =
                    value == std::string::npos ? "" : line.substr(value);
            }
        }
        return true;
    }

    /// Reads a body with a length or in chunks; false if it is cut short.
    bool read_body(const header_map& headers, std::string& body, steady_clock::time_point deadline)
    {
        const auto encoding = headers.find("transfer-encoding");
        if (encoding == headers.end()) {
            const auto length = headers.find("content-length");
            return read_exactly(length == headers.end() ? 0 : std::stoull(length->second), body,
                                deadline);
        }
        for (;;) {
            std::string line;
            if (!read_line(line, deadline)) {
                return false;
            }
            const std::size_t size = std::stoull(line, nullptr, 16);
            if (size == 0) {
                return read_line(line, deadline);
            }
            if (!read_exactly(size, body, deadline) || !read_line(line, deadline)) {
                return false;
            }
        }
    }

private:
    bool read_line(std::string& line, steady_clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!read_more(deadline)) {
                return false;
            }
        }
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    bool read_exactly(std::size_t size, std::string& body, steady_clock::time_point deadline)
    {
        while (buffer_.size() < size) {
            if (!read_more(deadline)) {
                body += buffer_;
                return false;
            }
        }
        body += buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

    bool read_more(steady_clock::time_point deadline)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
        pollfd watched{socket_, POLLIN, 0};
        if (left <= 0 || ::poll(&watched, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        std::string piece(256U << 10U, '\0');
        const ssize_t received = ::recv(socket_, piece.data(), piece.size(), 0);
        if (received <= 0) {
            return false;
        }
        buffer_.append(piece, 0, static_cast<std::size_t>(received));
        return true;
    }

    int socket_;
    std::string buffer_;
};

struct received_request {
    std::string method;
    std::string target;
    header_map headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// Serves requests with a thread for each connection. The handler writes the response itself and
/// returns false to close the connection.
class raw_server {
public:
    using handler = std::function<bool(int socket, const received_request&)>;

    explicit raw_server(handler handle) : handle_(std::move(handle))
    {
        std::tie(listener_, address_) = listen_anywhere();
        acceptor_ = std::thread([this] { accept_connections(); });
    }
    ~raw_server() { stop(); }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    const std::string& address() const { return address_; }

    /// Closes the listener and all connections, as a crash does.
    void stop()
    {
        if (stopping_.exchange(true)) {
            return;
        }
        ::shutdown(listener_.get(), SHUT_RDWR);
        acceptor_.join();
        listener_.reset();
        {
            const std::lock_guard lock(mutex_);
            for (const int socket : open_) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        for (std::thread& connection : connections_) {
            connection.join();
        }
    }

    bool stopping() const { return stopping_; }

private:
    void accept_connections()
    {
        for (;;) {
            const int socket = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(mutex_);
            open_.push_back(socket);
            connections_.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(int socket)
    {
        message_reader reader(socket);
        std::string start_line;
        received_request request;
        constexpr std::chrono::hours never(1);
        while (!stopping_ &&
               reader.read_head(start_line, request.headers, steady_clock::now() + never)) {
            const std::size_t first = start_line.find(' ');
            const std::size_t second = start_line.find(' ', first + 1);
            request.method = start_line.substr(0, first);
            request.target = start_line.substr(first + 1, second - first - 1);
            request.body.clear();
            if (!reader.read_body(request.headers, request.body, steady_clock::now() + never) ||
                !handle_(socket, request)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        open_.erase(std::find(open_.begin(), open_.end(), socket));
        ::close(socket);
    }

    handler handle_;
    descriptor listener_;
    std::string address_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<int> open_;
    std::vector<std::thread> connections_;
    std::thread acceptor_;
};

inline std::string make_response(unsigned status, const std::string& body,
                                 const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a client received for a request.
struct answer {
    /// 0 if the channel ended before the head of an answer.
    unsigned status = 0;
    header_map headers;
    std::string body;
    bool complete = false;
    /// The client gave up at its own time limit; otherwise the other side closed.
    bool timed_out = false;
};

/// A client's channel, kept for several requests.
class channel {
public:
    bool open(const std::string& address)
    {
        socket_.reset(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const sockaddr_in endpoint = make_endpoint(address);
        if (::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&endpoint),
                      sizeof endpoint) != 0) {
            socket_.reset();
            return false;
        }
        const int on = 1;
        ::setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        reader_.emplace(socket_.get());
        return true;
    }

    bool is_open() const { return socket_.get() >= 0; }
    bool closed_by_peer() const { return peer_has_closed(socket_.get()); }
    void close() { socket_.reset(); }

    answer exchange(const std::string& request, milliseconds timeout)
    {
        answer received;
        const auto deadline = steady_clock::now() + timeout;
        std::string status_line;
        if (send_all(socket_.get(), request) &&
            reader_->read_head(status_line, received.headers, deadline)) {
            received.status = static_cast<unsigned>(std::stoul(status_line.substr(9, 3)));
            received.complete = reader_->read_body(received.headers, received.body, deadline);
        }
        received.timed_out = !received.complete && steady_clock::now() >= deadline;
        if (!received.complete || received.headers["connection"] == "close") {
            close();
        }
        return received;
    }

private:
    descriptor socket_;
    std::optional<message_reader> reader_;
};

inline std::string make_request(const std::string& method, const std::string& target,
                                const std::string& headers, const std::string& body)
{
    return method + ' ' + target + " HTTP/1.1\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One request on a new channel.
inline answer call(const std::string& address, const std::string& method, const std::string& target,
                   const std::string& headers, const std::string& body, milliseconds timeout)
{
    channel fresh;
    return fresh.open(address)
               ? fresh.exchange(make_request(method, target, headers, body), timeout)
               : answer();
}

} // namespace review
