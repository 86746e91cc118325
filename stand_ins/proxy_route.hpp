#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::stand_ins {

/// How a route forwards bytes.
enum class route_mode {
    /// Forwards bytes without a fault.
    pass,
    /// Closes all connections and refuses new ones.
    cut,
    /// Keeps connections open and forwards nothing in either direction.
    black_hole,
    /// Forwards requests and drops the responses.
    drop_answers,
};

/// Forwards one listening port to one upstream address, with faults. Runs on one io_context; not
/// thread-safe.
class proxy_route : public std::enable_shared_from_this<proxy_route> {
public:
    proxy_route(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint upstream);

    /// Listens on a free port of the loopback address and returns it.
    std::uint16_t start();

    /// Sets the mode for all connections, existing and new.
    void set_mode(route_mode mode);

    /// Current mode.
    route_mode mode() const { return mode_; }

    /// Sets the delay of each forwarded chunk, in both directions.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }

    /// Makes existing connections forward nothing for the rest of their lives, while they stay
    /// open; new connections work.
    void stall_connections();

    /// Closes existing connections; new ones work.
    void close_connections();

    /// Sets the upstream address of new connections.
    void set_upstream(boost::asio::ip::tcp::endpoint upstream) { upstream_ = std::move(upstream); }

    /// Whether the responses of a call go on when its caller ends its sending side: the upstream
    /// learns that the caller has gone only from a reset or a failed write.
    void set_keeps_half_closed(bool keeps) { keeps_half_closed_ = keeps; }

    /// Chooses the local address of an upstream connection by the remote endpoint of its client.
    /// Precondition: not started.
    using source_selector = std::function<boost::asio::ip::address(
        const boost::asio::ip::tcp::endpoint& client, std::uint16_t listening_port)>;
    void set_source_selector(source_selector selector) { select_source_ = std::move(selector); }

    /// Number of connections accepted since the start.
    std::uint64_t accepted_count() const { return accepted_count_; }

private:
    struct session;

    boost::asio::awaitable<void> accept_connections();
    /// Binds the upstream socket to the address that the source selector chooses.
    void bind_source(session& connection) const;
    boost::asio::awaitable<void> serve(std::shared_ptr<session> connection);
    boost::asio::awaitable<void> forward(std::shared_ptr<session> connection, bool to_client);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint upstream_;
    route_mode mode_ = route_mode::pass;
    bool keeps_half_closed_ = false;
    source_selector select_source_;
    std::chrono::milliseconds delay_{0};
    std::uint64_t accepted_count_ = 0;
    std::vector<std::weak_ptr<session>> sessions_;
};

} // namespace gooseberryfall::stand_ins
