#include "peers/peer_server.hpp"

#include "peers/peer_sockets.hpp"
#include "wire/envelope_conversion.hpp"

#include <capnp/rpc-twoparty.h>

#include <exception>
#include <optional>
#include <utility>

namespace gooseberryfall::peers {

namespace {

namespace schema = wire::schema;

/// Words of one RPC message that may be read: twice the size of the largest envelope, since its
/// parts are read about once.
constexpr std::uint64_t message_words_limit = 2 * (std::uint64_t{4} << 20U) / sizeof(capnp::word);
constexpr int nesting_limit = 32;

capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = message_words_limit;
    options.nestingLimit = nesting_limit;
    return options;
}

/// The interface that other instances call.
class receiver final : public schema::Peer::Server {
public:
    receiver(const peer_transport::receive_callback& on_received, peer_metrics& metrics)
        : on_received_(on_received), metrics_(metrics)
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        core::peer_envelope envelope;
        try {
            envelope = wire::read(context.getParams().getEnvelope());
        }
        catch (const std::exception& error) {
            ++metrics_.malformed;
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "envelope refused", error.what()));
        }
        catch (const kj::Exception&) {
            ++metrics_.malformed;
            throw;
        }
        context.releaseParams();
        ++metrics_.received;
        on_received_(std::move(envelope));
        return kj::READY_NOW;
    }

private:
    const peer_transport::receive_callback& on_received_;
    peer_metrics& metrics_;
};

/// One accepted connection. The members are destroyed in reverse order.
struct accepted_connection {
    accepted_connection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client interface)
        : stream(kj::mv(accepted)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER, reader_options()),
          system(capnp::makeRpcServer(network, kj::mv(interface)))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace

peer_server::peer_server(const peer_settings& settings,
                         const peer_transport::receive_callback& on_received, peer_metrics& metrics)
    : settings_(settings), on_received_(on_received), metrics_(metrics), tasks_(*this)
{
}

kj::Promise<void> peer_server::listen(kj::ConnectionReceiver& receiver)
{
    return receiver.accept().then(
        [this, &receiver](kj::Own<kj::AsyncIoStream> stream) {
            serve(kj::mv(stream));
            return listen(receiver);
        },
        [this, &receiver](kj::Exception&&) {
            // A connection that ended before it was accepted.
            return kj::evalLater([this, &receiver]() { return listen(receiver); });
        });
}

void peer_server::taskFailed(kj::Exception&& /*exception*/) {}

void peer_server::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (connections_ >= settings_.connection_limit) {
        return;
    }
    set_socket_options(*stream, settings_.silence_timeout);
    auto connection = kj::heap<accepted_connection>(
        kj::mv(stream), capnp::Capability::Client(kj::heap<receiver>(on_received_, metrics_)));
    auto ended = connection->network.onDisconnect();
    ++connections_;
    // The connection is kept until its end and destroyed with the promise.
    tasks_.add(ended.attach(kj::mv(connection), kj::defer([this]() { --connections_; })));
}

} // namespace gooseberryfall::peers
