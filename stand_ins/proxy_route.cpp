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
constexpr std::chrono::milliseconds silent_check{20};

} // namespace

/// One connection and its upstream side.
struct proxy_route::session {
    session(tcp::socket accepted, asio::io_context& context)
        : client(std::move(accepted)), upstream(context)
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
    /// Passes nothing any more, whatever the mode.
    bool silent = false;
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
        context_, [self = shared_from_this()] { return self->listen(); }, asio::detached);
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
        if (const auto present = weak.lock()) {
            present->silent = true;
        }
    }
}

void proxy_route::close_connections()
{
    for (const auto& weak : sessions_) {
        if (const auto present = weak.lock()) {
            present->close();
        }
    }
    sessions_.clear();
}

asio::awaitable<void> proxy_route::listen()
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

asio::awaitable<void> proxy_route::serve(std::shared_ptr<session> served)
{
    const auto self = shared_from_this();
    const auto [error] = co_await served->upstream.async_connect(upstream_, use_tuple);
    if (error) {
        served->close();
        co_return;
    }
    boost::system::error_code ignored;
    served->client.set_option(tcp::no_delay(true), ignored);
    served->upstream.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(
        context_, [self, served] { return self->pump(served, true); }, asio::detached);
    co_await pump(served, false);
}

asio::awaitable<void> proxy_route::pump(std::shared_ptr<session> served, bool answers)
{
    const auto self = shared_from_this();
    tcp::socket& from = answers ? served->upstream : served->client;
    tcp::socket& to = answers ? served->client : served->upstream;
    std::array<char, 16384> buffer{};
    asio::steady_timer timer(context_);
    for (;;) {
        const auto [read_error, count] =
            co_await from.async_read_some(asio::buffer(buffer), use_tuple);
        while (from.is_open() && (served->silent || mode_ == route_mode::black_hole)) {
            timer.expires_after(silent_check);
            co_await timer.async_wait(use_tuple);
        }
        if (read_error || !to.is_open()) {
            served->close();
            co_return;
        }
        if (delay_.count() > 0) {
            timer.expires_after(delay_);
            co_await timer.async_wait(use_tuple);
        }
        if (answers && mode_ == route_mode::drop_answers) {
            continue;
        }
        const auto [write_error, written] =
            co_await asio::async_write(to, asio::buffer(buffer.data(), count), use_tuple);
        if (write_error || written != count) {
            served->close();
            co_return;
        }
    }
}

} // namespace gooseberryfall::stand_ins
