#include "edge/peer_socket.hpp"

#include "http/transport.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <vector>

namespace gooseberryfall::edge {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

std::optional<udp::endpoint> to_endpoint(const std::string& address)
{
    const auto parsed = http::parse_endpoint(address);
    if (!parsed) {
        return std::nullopt;
    }
    return udp::endpoint(parsed->address(), parsed->port());
}

} // namespace

struct peer_socket::implementation : std::enable_shared_from_this<implementation> {
    implementation(http::event_loop& loop, kernel::metrics& metrics)
        : socket(loop.context()), buffer(fleet_wire::datagram_bytes_max),
          received(metrics.add_counter("peer_datagrams_received", "Datagrams from instances")),
          unreadable(
              metrics.add_counter("peer_datagrams_unreadable", "Datagrams of no known form")),
          unsent(metrics.add_counter("peer_datagrams_unsent", "Datagrams that could not be sent"))
    {
    }

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(buffer), sender,
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
                if (!self->socket.is_open()) {
                    return;
                }
                if (!error) {
                    self->deliver(std::string_view(self->buffer.data(), size));
                }
                self->receive();
            });
    }

    void deliver(std::string_view bytes)
    {
        received.add();
        const core::instance_id from(sender.address().to_string() + ':' +
                                     std::to_string(sender.port()));
        auto message = fleet_wire::decode(bytes, from);
        if (!message) {
            unreadable.add();
            return;
        }
        on_message(from, std::move(*message));
    }

    udp::socket socket;
    udp::endpoint sender;
    std::vector<char> buffer;
    message_callback on_message;
    kernel::counter& received;
    kernel::counter& unreadable;
    kernel::counter& unsent;
};

peer_socket::peer_socket(http::event_loop& loop, kernel::metrics& metrics)
    : implementation_(std::make_shared<implementation>(loop, metrics))
{
}

peer_socket::~peer_socket()
{
    close();
}

tl::expected<void, std::string> peer_socket::open(const std::string& address,
                                                  message_callback on_message)
{
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
        return tl::unexpected("invalid datagram address, expected a numeric ip:port: " + address);
    }
    boost::system::error_code error;
    implementation_->socket.open(endpoint->protocol(), error);
    if (!error) {
        implementation_->socket.bind(*endpoint, error);
    }
    if (!error) {
        implementation_->socket.non_blocking(true, error);
    }
    if (error) {
        return tl::unexpected("cannot receive datagrams at " + address + ": " + error.message());
    }
    implementation_->on_message = std::move(on_message);
    implementation_->receive();
    return {};
}

void peer_socket::send(const core::instance_id& to, const serving::peer_message& message)
{
    const auto endpoint = to_endpoint(to.value());
    const std::string bytes = fleet_wire::encode(message);
    boost::system::error_code error;
    if (endpoint) {
        implementation_->socket.send_to(asio::buffer(bytes), *endpoint, 0, error);
    }
    if (!endpoint || error) {
        implementation_->unsent.add();
    }
}

void peer_socket::close()
{
    boost::system::error_code ignored;
    implementation_->socket.close(ignored);
}

} // namespace gooseberryfall::edge
