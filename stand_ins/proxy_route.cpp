#include "proxy_route.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace gooseberryfall::stand_ins {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds stall_poll_interval{20};

} // namespace

/// A client connection and its upstream connection.
struct proxy_route::session {
    session(tcp::socket accepted_socket, asio::io_context& context)
        : client(std::move(accepted_socket)), upstream(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        upstream.close(ignored);
    }

    tcp::socket client;
    tcp::socket upstream;
    /// Forwards nothing any more, whatever the mode.
    bool stalled = false;
};

proxy_route::proxy_route(asio::io_context& context, tcp::endpoint upstream)
    : context_(context), acceptor_(context), upstream_(std::move(upstream))
{
}

std::uint16_t proxy_route::start()
{
    const tcp::endpoint local(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(local.protocol());
    acceptor_.bind(local);
    acceptor_.listen();
    asio::co_spawn(
        context_, [self = shared_from_this()] { return self->accept_connections(); },
        asio::detached);
    return acceptor_.local_endpoint().port();
}

void proxy_route::set_mode(route_mode mode)
{
    mode_ = mode;
    if (mode == route_mode::cut) {
        close_connections();
    }
}

void proxy_route::stall_connections()
{
    for (const auto& weak : sessions_) {
        if (const auto existing = weak.lock()) {
            existing->stalled = true;
        }
    }
}

void proxy_route::close_connections()
{
    for (const auto& weak : sessions_) {
        if (const auto existing = weak.lock()) {
            existing->close();
        }
    }
    sessions_.clear();
}

asio::awaitable<void> proxy_route::accept_connections()
{
    const auto self = shared_from_this();
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(use_tuple);
        if (error) {
            co_return;
        }
        ++accepted_count_;
        if (mode_ == route_mode::cut) {
            continue;
        }
        auto added = std::make_shared<session>(std::move(socket), context_);
        std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
        sessions_.push_back(added);
        asio::co_spawn(
            context_, [self, added] { return self->serve(added); }, asio::detached);
    }
}

void proxy_route::bind_source(session& connection) const
{
    boost::system::error_code error;
    const tcp::endpoint client = connection.client.remote_endpoint(error);
    if (!select_source_ || error) {
        return;
    }
    const auto source = select_source_(client, acceptor_.local_endpoint().port());
    connection.upstream.open(upstream_.protocol(), error);
    connection.upstream.bind(tcp::endpoint(source, 0), error);
}

asio::awaitable<void> proxy_route::serve(std::shared_ptr<session> connection)
{
    const auto self = shared_from_this();
    bind_source(*connection);
    const auto [error] = co_await connection->upstream.async_connect(upstream_, use_tuple);
    if (error) {
        connection->close();
        co_return;
    }
    boost::system::error_code ignored;
    connection->client.set_option(tcp::no_delay(true), ignored);
    connection->upstream.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(
        context_, [self, connection] { return self->forward(connection, true); }, asio::detached);
    co_await forward(connection, false);
}

asio::awaitable<void> proxy_route::forward(std::shared_ptr<session> connection, bool to_client)
{
    const auto self = shared_from_this();
    tcp::socket& from = to_client ? connection->upstream : connection->client;
    tcp::socket& to = to_client ? connection->client : connection->upstream;
    std::array<char, 16384> buffer{};
    asio::steady_timer timer(context_);
    for (;;) {
        const auto [read_error, read_size] =
            co_await from.async_read_some(asio::buffer(buffer), use_tuple);
        while (from.is_open() && (connection->stalled || mode_ == route_mode::black_hole)) {
            timer.expires_after(stall_poll_interval);
            co_await timer.async_wait(use_tuple);
        }
        if (!to_client && keeps_half_closed_ && read_error == asio::error::eof) {
            co_return;
        }
        if (read_error || !to.is_open()) {
            connection->close();
            co_return;
        }
        if (delay_.count() > 0) {
            timer.expires_after(delay_);
            co_await timer.async_wait(use_tuple);
        }
        if (to_client && mode_ == route_mode::drop_answers) {
            continue;
        }
        const auto [write_error, written_size] =
            co_await asio::async_write(to, asio::buffer(buffer.data(), read_size), use_tuple);
        if (write_error || written_size != read_size) {
            connection->close();
            co_return;
        }
    }
}

} // namespace gooseberryfall::stand_ins
