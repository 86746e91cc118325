#include "http/transport.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>

namespace gooseberryfall::http {

namespace {

namespace asio = boost::asio;
namespace ssl = boost::asio::ssl;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

constexpr int keep_alive_idle_s = 5;
constexpr int keep_alive_interval_s = 2;
constexpr int keep_alive_probes = 3;

void set_option(tcp::socket& socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

class plain_transport : public transport {
public:
    using transport::transport;

    awaitable<error_code> handshake() override { co_return error_code(); }

    awaitable<io_result> read_some(asio::mutable_buffer buffer) override
    {
        const auto [error, bytes] = co_await socket_.async_read_some(buffer, as_result);
        co_return io_result{error, bytes};
    }

    awaitable<io_result> write(asio::const_buffer buffer) override
    {
        const auto [error, bytes] = co_await asio::async_write(socket_, buffer, as_result);
        co_return io_result{error, bytes};
    }

    awaitable<void> finish_sending() override
    {
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
    }
};

class tls_transport : public transport {
public:
    tls_transport(tcp::socket socket, ssl::context& context, ssl::stream_base::handshake_type role)
        : transport(std::move(socket)), stream_(socket_, context), role_(role)
    {
    }

    /// Requires a server certificate for this host name or IP address.
    void verify_server_name(const std::string& name)
    {
        stream_.set_verify_mode(ssl::verify_peer);
        stream_.set_verify_callback(ssl::host_name_verification(name));
        error_code not_ip;
        asio::ip::make_address(name, not_ip);
        if (not_ip) {
            SSL_set_tlsext_host_name(stream_.native_handle(), name.c_str());
        }
    }

    awaitable<error_code> handshake() override
    {
        const auto [error] = co_await stream_.async_handshake(role_, as_result);
        co_return error;
    }

    awaitable<io_result> read_some(asio::mutable_buffer buffer) override
    {
        const auto [error, bytes] = co_await stream_.async_read_some(buffer, as_result);
        co_return io_result{error, bytes};
    }

    awaitable<io_result> write(asio::const_buffer buffer) override
    {
        const auto [error, bytes] = co_await asio::async_write(stream_, buffer, as_result);
        co_return io_result{error, bytes};
    }

    awaitable<void> finish_sending() override
    {
        // Returns when the peer has sent its close notification or the caller's time limit closes
        // the socket.
        co_await stream_.async_shutdown(as_result);
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

private:
    ssl::stream<tcp::socket&> stream_;
    ssl::stream_base::handshake_type role_;
};

} // namespace

void transport::close()
{
    error_code ignored;
    socket_.close(ignored);
}

void transport::set_reset_on_close(bool resets)
{
    // Not through asio, which undoes the option when a socket is destroyed.
    const linger option{resets ? 1 : 0, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void transport::abort()
{
    set_reset_on_close(true);
    close();
}

std::unique_ptr<transport> make_plain_transport(tcp::socket socket)
{
    return std::make_unique<plain_transport>(std::move(socket));
}

std::unique_ptr<transport> make_tls_server_transport(tcp::socket socket, ssl::context& context)
{
    return std::make_unique<tls_transport>(std::move(socket), context, ssl::stream_base::server);
}

std::unique_ptr<transport> make_tls_client_transport(tcp::socket socket, ssl::context& context,
                                                     const std::string& name)
{
    auto result =
        std::make_unique<tls_transport>(std::move(socket), context, ssl::stream_base::client);
    result->verify_server_name(name);
    return result;
}

void set_socket_options(tcp::socket& socket, std::chrono::milliseconds unacknowledged_max)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged_max.count()));
}

std::optional<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

std::string format_endpoint(const tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace gooseberryfall::http
