#pragma once

#include "core/types.hpp"
#include "peers/peer_mailboxes.hpp"
#include "peers/peer_metrics.hpp"
#include "peers/peer_transport.hpp"
#include "wire/generated/gooseberryfall.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <string>

namespace gooseberryfall::peers {

// Private to this library.

/// Things that all links share. Used on the transport's thread.
struct link_environment {
    const peer_settings& settings;
    kj::Network& network;
    kj::Timer& timer;
    peer_mailboxes& mailboxes;
    peer_metrics& metrics;
};

/// Sends the envelopes of one address over one connection, which is opened when it is needed. Not
/// thread-safe: lives on the transport's thread. Connections are closed in `sweep` only, because a
/// KJ promise must not be destroyed by its own callback.
class peer_link final : private kj::TaskSet::ErrorHandler {
public:
    peer_link(link_environment environment, std::string address);

    /// Sends what waits, as far as the window allows; opens the connection first if needed.
    void pump(core::time_point now);

    /// Closes a connection that ended or is silent, drops what waited too long, and tries again
    /// when the backoff is over.
    void sweep(core::time_point now);

    /// Whether nothing was sent for the idle timeout.
    bool idle(core::time_point now) const;

private:
    /// The members are destroyed in reverse order: calls first.
    struct connection {
        connection(kj::Own<kj::AsyncIoStream> connected, kj::TaskSet::ErrorHandler& errors);

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
        wire::schema::Peer::Client peer;
        /// Calls that are not answered, with the time when they were sent.
        std::map<std::uint64_t, core::time_point> open_calls;
        kj::TaskSet tasks;
        bool ended = false;
    };

    void taskFailed(kj::Exception&& exception) override;
    void connect(core::time_point now);
    void on_connected(kj::Own<kj::AsyncIoStream> stream);
    void on_connect_failed();
    void call(connection& over, const core::peer_envelope& envelope, core::time_point now);
    void on_answered(std::uint64_t call);
    void on_call_failed(std::uint64_t call, const kj::Exception& error);
    bool is_silent(core::time_point now) const;
    void close(core::time_point now);
    void back_off(core::time_point now);

    link_environment environment_;
    std::string address_;
    kj::Maybe<kj::Own<connection>> connection_;
    /// Runs while the connection is being opened.
    kj::Promise<void> connecting_ = nullptr;
    bool is_connecting_ = false;
    std::uint64_t next_call_ = 1;
    unsigned failures_ = 0;
    core::time_point retry_at_;
    core::time_point last_use_;
};

} // namespace gooseberryfall::peers
