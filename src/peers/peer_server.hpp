#pragma once

#include "peers/peer_metrics.hpp"
#include "peers/peer_transport.hpp"

#include <kj/async-io.h>

#include <cstddef>

namespace gooseberryfall::peers {

// Private to this library.

/// Accepts connections of other instances and hands their envelopes on. Not thread-safe: lives on
/// the transport's thread. What goes wrong on a connection ends that connection only.
class peer_server final : private kj::TaskSet::ErrorHandler {
public:
    peer_server(const peer_settings& settings, const peer_transport::receive_callback& on_received,
                peer_metrics& metrics);

    /// Accepts connections until the promise is dropped.
    kj::Promise<void> listen(kj::ConnectionReceiver& receiver);

private:
    void taskFailed(kj::Exception&& exception) override;
    void serve(kj::Own<kj::AsyncIoStream> stream);

    const peer_settings& settings_;
    const peer_transport::receive_callback& on_received_;
    peer_metrics& metrics_;
    std::size_t connections_ = 0;
    kj::TaskSet tasks_;
};

} // namespace gooseberryfall::peers
