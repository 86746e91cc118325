#include "peers/peer_transport.hpp"

#include "peers/peer_mailboxes.hpp"
#include "peers/peer_metrics.hpp"
#include "peers/peer_reactor.hpp"

#include <kj/exception.h>

#include <atomic>
#include <cassert>
#include <future>
#include <thread>
#include <utility>

namespace gooseberryfall::peers {

namespace {

using start_result = tl::expected<std::uint16_t, std::string>;

/// Keeps KJ from writing to the standard error: a broken connection is an ordinary event here and
/// is counted.
class quiet_log final : public kj::ExceptionCallback {
public:
    void logMessage(kj::LogSeverity /*severity*/, const char* /*file*/, int /*line*/,
                    int /*context_depth*/, kj::String&& /*text*/) override
    {
    }
};

} // namespace

class peer_transport::implementation {
public:
    implementation(peer_settings settings, receive_callback on_received)
        : settings_(std::move(settings)), on_received_(std::move(on_received)),
          mailboxes_(settings_.queue_limit)
    {
    }

    tl::expected<void, std::string> start()
    {
        std::promise<start_result> started;
        auto result = started.get_future();
        thread_ = std::thread([this, &started]() { run(started); });
        const start_result port = result.get();
        if (!port) {
            thread_.join();
            return tl::unexpected(port.error());
        }
        port_ = *port;
        return {};
    }

    void stop()
    {
        mailboxes_.close();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    std::uint16_t port() const { return port_; }

    void send(const std::string& address, core::peer_envelope envelope)
    {
        if (!mailboxes_.push(address, {std::move(envelope), std::chrono::steady_clock::now()})) {
            ++metrics_.dropped;
        }
    }

    peer_counters counters() const
    {
        peer_counters counters;
        counters.delivered = metrics_.delivered;
        counters.received = metrics_.received;
        counters.dropped = metrics_.dropped;
        counters.lost = metrics_.lost;
        counters.refused = metrics_.refused;
        counters.malformed = metrics_.malformed;
        counters.connects = metrics_.connects;
        counters.connect_failures = metrics_.connect_failures;
        counters.silent = metrics_.silent;
        return counters;
    }

private:
    /// The transport's thread. `started` is not used once its value is set.
    void run(std::promise<start_result>& started)
    {
        const quiet_log quiet;
        try {
            peer_reactor reactor(settings_, on_received_, mailboxes_, metrics_);
            std::uint16_t port = 0;
            try {
                port = reactor.listen();
            }
            catch (const kj::Exception& error) {
                started.set_value(tl::unexpected("cannot listen on " + settings_.listen_address +
                                                 ": " + error.getDescription().cStr()));
                return;
            }
            started.set_value(port);
            reactor.run();
        }
        catch (const kj::Exception& error) {
            assert(false && "the event loop failed");
        }
    }

    const peer_settings settings_;
    const receive_callback on_received_;
    peer_mailboxes mailboxes_;
    peer_metrics metrics_;
    std::atomic<std::uint16_t> port_ = 0;
    std::thread thread_;
};

peer_transport::peer_transport(peer_settings settings, receive_callback on_received)
{
    assert(settings.queue_limit > 0 && settings.window > 0);
    assert(settings.backoff_min.count() > 0 && settings.silence_timeout.count() > 0);
    implementation_ = std::make_unique<implementation>(std::move(settings), std::move(on_received));
}

peer_transport::~peer_transport()
{
    implementation_->stop();
}

tl::expected<void, std::string> peer_transport::start()
{
    return implementation_->start();
}

std::uint16_t peer_transport::port() const
{
    return implementation_->port();
}

void peer_transport::send(const std::string& address, core::peer_envelope envelope)
{
    implementation_->send(address, std::move(envelope));
}

void peer_transport::stop()
{
    implementation_->stop();
}

peer_counters peer_transport::counters() const
{
    return implementation_->counters();
}

} // namespace gooseberryfall::peers
