#include "http/server.hpp"

#include "http/server_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl/context.hpp>

#include <cassert>

namespace gooseberryfall::http {

namespace {

namespace asio = boost::asio;
namespace ssl = boost::asio::ssl;

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Maximum number of connections beyond the limit that get a 503 response; further ones are closed
/// without one.
constexpr std::size_t rejection_responses_max = 64;

tl::expected<void, std::string> tls_file_error(const std::string& what, const error_code& error)
{
    return tl::make_unexpected(what + ": " + error.message());
}

} // namespace

server_core::server_core(asio::io_context& loop_context, server_settings server_settings,
                         server_handlers server_handlers)
    : context(loop_context), settings(std::move(server_settings)),
      handlers(std::move(server_handlers)), acceptor_(context), tls_(ssl::context::tls_server)
{
}

tl::expected<std::uint16_t, std::string> server_core::listen()
{
    if (auto loaded = load_tls(); !loaded) {
        return tl::make_unexpected(loaded.error());
    }
    error_code error;
    const auto ip = asio::ip::make_address(settings.address, error);
    if (error) {
        return tl::make_unexpected("not a numeric IP address: " + settings.address);
    }
    const tcp::endpoint endpoint(ip, settings.port);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        const std::string where = format_endpoint(endpoint);
        return tl::make_unexpected("cannot listen on " + where + ": " + error.message());
    }
    return acceptor_.local_endpoint().port();
}

tl::expected<void, std::string> server_core::load_tls()
{
    if (!settings.tls) {
        return {};
    }
    error_code error;
    tls_.set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 |
                         ssl::context::no_tlsv1_1,
                     error);
    tls_.use_certificate_chain_file(settings.tls->certificate_file, error);
    if (error) {
        return tls_file_error("cannot load the certificate file " + settings.tls->certificate_file,
                              error);
    }
    tls_.use_private_key_file(settings.tls->key_file, ssl::context::pem, error);
    if (error) {
        return tls_file_error("cannot load the private key file " + settings.tls->key_file, error);
    }
    return {};
}

awaitable<void> server_core::accept_loop()
{
    const auto self = shared_from_this();
    asio::steady_timer pause(context);
    while (acceptor_.is_open()) {
        tcp::socket socket(context);
        const auto [error] =
            co_await acceptor_.async_accept(socket, asio::as_tuple(asio::use_awaitable));
        if (!acceptor_.is_open()) {
            break;
        }
        if (error) {
            pause.expires_after(accept_retry_delay);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        add_connection(std::move(socket));
    }
}

void server_core::add_connection(tcp::socket socket)
{
    ++accepted;
    const bool rejects = sessions_.size() >= settings.connections_max;
    if (rejects) {
        ++rejected;
    }
    if (sessions_.size() >= settings.connections_max + rejection_responses_max) {
        return;
    }
    // A client that neither acknowledges nor closes is disconnected after the same time as one that
    // does not read.
    set_socket_options(socket, settings.write_timeout);
    auto stream = settings.tls ? make_tls_server_transport(std::move(socket), tls_)
                               : make_plain_transport(std::move(socket));
    auto session = std::make_shared<server_session>(shared_from_this(), std::move(stream), rejects);
    sessions_.insert(session);
    ++open_connections;
    session->run();
}

void server_core::accept_backlog()
{
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(context);
        acceptor_.accept(socket, error);
        if (!error) {
            add_connection(std::move(socket));
        }
    }
}

void server_core::drain(std::function<void()> drained)
{
    if (stopped) {
        return;
    }
    closing = true;
    draining = true;
    on_drained_ = std::move(drained);
    if (acceptor_.is_open()) {
        // Closing the acceptor would reset the connections in the backlog.
        accept_backlog();
        error_code ignored;
        acceptor_.close(ignored);
    }
    for (const auto& session : sessions_) {
        session->drain();
    }
    notify_if_drained();
}

void server_core::stop()
{
    stopped = true;
    on_drained_ = nullptr;
    error_code ignored;
    acceptor_.close(ignored);
    // From here on a session lives as long as its coroutines, also if the loop destroys them before
    // they end.
    for (const auto& session : std::exchange(sessions_, {})) {
        session->stop();
    }
}

void server_core::remove(server_session& session)
{
    --open_connections;
    sessions_.erase(session.shared_from_this());
    notify_if_drained();
}

void server_core::notify_if_drained()
{
    if (draining && sessions_.empty() && on_drained_) {
        const std::function<void()> callback = std::exchange(on_drained_, nullptr);
        callback();
    }
}

server::server(event_loop& loop, server_settings settings, server_handlers handlers)
    : loop_(loop),
      core_(std::make_shared<server_core>(loop.context(), std::move(settings), std::move(handlers)))
{
    assert(core_->handlers.handle);
}

server::~server()
{
    loop_.run_and_wait([this] { core_->stop(); });
}

tl::expected<std::uint16_t, std::string> server::start()
{
    tl::expected<std::uint16_t, std::string> result = 0;
    loop_.run_and_wait([this, &result] {
        result = core_->listen();
        if (result) {
            asio::co_spawn(
                core_->context, [core = core_] { return core->accept_loop(); }, asio::detached);
        }
    });
    return result;
}

void server::set_limits(client_limits limits)
{
    assert(limits.header_limit > 0 && limits.body_limit > 0 && limits.idle_timeout.count() > 0);
    loop_.post([core = core_, limits] {
        core->settings.header_limit = limits.header_limit;
        core->settings.body_limit = limits.body_limit;
        core->settings.idle_timeout = limits.idle_timeout;
    });
}

void server::announce_closing()
{
    loop_.post([core = core_] { core->closing = true; });
}

void server::drain(std::function<void()> drained)
{
    loop_.post([core = core_, drained = std::move(drained)]() mutable {
        core->drain(std::move(drained));
    });
}

std::size_t server::connections() const
{
    return core_->open_connections;
}

server_counts server::counts() const
{
    return {core_->accepted, core_->rejected, core_->requests, core_->bad_requests};
}

} // namespace gooseberryfall::http
