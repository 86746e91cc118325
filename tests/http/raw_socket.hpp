#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

/// A blocking TCP connection for tests; each wait for received bytes times out after ten seconds.
class raw_connection {
public:
    explicit raw_connection(int handle) : handle_(handle) {}
    ~raw_connection() { close(); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
    raw_connection& operator=(raw_connection&&) = delete;

    static raw_connection connect_to(std::uint16_t port, int receive_buffer = 0)
    {
        raw_connection connection(::socket(AF_INET, SOCK_STREAM, 0));
        if (receive_buffer > 0) {
            ::setsockopt(connection.handle_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof(receive_buffer));
        }
        sockaddr_in address = loopback(port);
        if (::connect(connection.handle_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
            0) {
            throw std::runtime_error("cannot connect");
        }
        return connection;
    }

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    /// Sends all bytes; returns false if the connection is closed.
    bool send(const std::string& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count =
                ::send(handle_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Sends as many bytes as possible without blocking and returns their number.
    std::size_t send_some(const std::string& bytes) const
    {
        const auto count = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return count < 0 ? 0 : static_cast<std::size_t>(count);
    }

    /// Appends received bytes to `text`; returns false at the end of the connection or after ten
    /// seconds.
    bool receive(std::string& text) const
    {
        pollfd entry{handle_, POLLIN, 0};
        if (::poll(&entry, 1, 10000) != 1) {
            return false;
        }
        char bytes[4096];
        const auto count = ::recv(handle_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        text.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Receives until the peer closes the connection.
    std::string receive_all() const
    {
        std::string text;
        while (receive(text)) {
        }
        return text;
    }

    /// Whether the peer has reset the connection. A plain close, which is the same as the end of
    /// the peer's sending side, doesn't count.
    bool is_reset() const
    {
        pollfd entry{handle_, 0, 0};
        return ::poll(&entry, 1, 0) == 1 && (entry.revents & (POLLERR | POLLHUP)) != 0;
    }

    /// Receives until the end of the connection and returns whether that is a reset.
    bool ends_with_reset() const
    {
        receive_all();
        return is_reset();
    }

    /// Receives until the received bytes contain `expected`; returns all of them.
    std::string receive_until(const std::string& expected) const
    {
        std::string text;
        while (text.find(expected) == std::string::npos && receive(text)) {
        }
        return text;
    }

    void close() { ::close(std::exchange(handle_, -1)); }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger option{1, 0};
        ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

private:
    int handle_;
};

/// A listening socket on a free port.
class raw_listener {
public:
    raw_listener() : handle_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = raw_connection::loopback(0);
        socklen_t size = sizeof(address);
        auto* socket_address = reinterpret_cast<sockaddr*>(&address);
        if (::bind(handle_, socket_address, size) != 0 || ::listen(handle_, 16) != 0 ||
            ::getsockname(handle_, socket_address, &size) != 0) {
            throw std::runtime_error("cannot listen");
        }
        port_ = ntohs(address.sin_port);
    }
    ~raw_listener() { ::close(handle_); }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;
    raw_listener(raw_listener&&) = delete;
    raw_listener& operator=(raw_listener&&) = delete;

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    raw_connection accept() const { return raw_connection(::accept(handle_, nullptr, nullptr)); }

private:
    int handle_;
    std::uint16_t port_ = 0;
};
