#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::http {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Result of a read or a write.
struct io_result {
    error_code error;
    std::size_t bytes = 0;
};

/// A TCP connection, with or without TLS. One read and one write may be pending at a time. To be
/// used on the loop's thread only.
class transport {
public:
    explicit transport(tcp::socket socket) : socket_(std::move(socket)) {}
    virtual ~transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    transport(transport&&) = delete;
    transport& operator=(transport&&) = delete;

    /// Performs the TLS handshake; no effect without TLS.
    virtual awaitable<error_code> handshake() = 0;

    virtual awaitable<io_result> read_some(boost::asio::mutable_buffer buffer) = 0;

    /// Writes all bytes. After an error the result says how many were written.
    virtual awaitable<io_result> write(boost::asio::const_buffer buffer) = 0;

    /// Shuts down the sending side of the connection.
    virtual awaitable<void> finish_sending() = 0;

    /// Closes the socket; pending operations end with an error.
    void close();

    /// Sets whether the end of the socket, also by the end of the process, is a TCP reset. Unlike a
    /// plain end, which a peer can't tell from the end of the sending side, a reset says that
    /// nobody reads any more, and the peer's next write fails. Bytes that have not been sent yet
    /// are dropped.
    void set_reset_on_close(bool resets);

    /// Closes the socket with a TCP reset.
    void abort();

    tcp::socket& socket() { return socket_; }

protected:
    tcp::socket socket_;
};

std::unique_ptr<transport> make_plain_transport(tcp::socket socket);

/// Precondition: `context` outlives the transport.
std::unique_ptr<transport> make_tls_server_transport(tcp::socket socket,
                                                     boost::asio::ssl::context& context);

/// `name` is the host name or IP address that the server's certificate must contain.
std::unique_ptr<transport> make_tls_client_transport(tcp::socket socket,
                                                     boost::asio::ssl::context& context,
                                                     const std::string& name);

/// Sets TCP_NODELAY, and keep-alive probes and TCP_USER_TIMEOUT so that an unresponsive peer is
/// detected.
void set_socket_options(tcp::socket& socket, std::chrono::milliseconds unacknowledged_max);

/// Parses `ip:port` or `[ip]:port`.
std::optional<tcp::endpoint> parse_endpoint(const std::string& address);

/// Formats an endpoint in the form that `parse_endpoint` accepts.
std::string format_endpoint(const tcp::endpoint& endpoint);

} // namespace gooseberryfall::http
