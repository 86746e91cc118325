#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::stand_ins {

/// What a route does with its connections.
enum class route_mode {
    /// Passes bytes on.
    pass,
    /// Closes all connections and refuses new ones.
    cut,
    /// Keeps connections open and passes nothing, in neither direction.
    black_hole,
    /// Passes requests on and loses the answers.
    drop_answers,
};

/// One listening port that leads to one upstream address, with faults. Lives on one io_context; not
/// thread-safe.
class proxy_route : public std::enable_shared_from_this<proxy_route> {
public:
    proxy_route(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint upstream);

    /// Listens on a free port of the loopback address and returns it.
    std::uint16_t start();

    /// Sets the mode for all connections, present and new.
    void set_mode(route_mode mode);

    /// Mode in force.
    route_mode mode() const { return mode_; }

    /// Delay of each piece of bytes, in both directions.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }

    /// Present connections stay open and pass nothing for good; new ones work.
    void stall_connections();

    /// Closes present connections; new ones work.
    void close_connections();

    /// Changes the address for new connections.
    void set_upstream(boost::asio::ip::tcp::endpoint upstream) { upstream_ = std::move(upstream); }

    /// Connections accepted since the start.
    std::uint64_t accepted_count() const { return accepted_count_; }

private:
    struct session;

    boost::asio::awaitable<void> listen();
    boost::asio::awaitable<void> serve(std::shared_ptr<session> served);
    boost::asio::awaitable<void> pump(std::shared_ptr<session> served, bool answers);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint upstream_;
    route_mode mode_ = route_mode::pass;
    std::chrono::milliseconds delay_{0};
    std::uint64_t accepted_count_ = 0;
    std::vector<std::weak_ptr<session>> sessions_;
};

} // namespace gooseberryfall::stand_ins
