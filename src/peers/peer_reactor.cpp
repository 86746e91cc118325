#include "peers/peer_reactor.hpp"

#include <sys/eventfd.h>

#include <chrono>

namespace gooseberryfall::peers {

namespace {

/// Time between two looks at each link. Bounds how late a silent or ended connection is noticed.
constexpr auto sweep_interval = 100 * kj::MILLISECONDS;

/// An event descriptor in place of KJ's cross-thread promises, because the thread sanitizer does
/// not see the locks inside of KJ's library and reports each of their uses.
int make_event()
{
    const int event = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    KJ_REQUIRE(event >= 0, "no event descriptor");
    return event;
}

} // namespace

peer_reactor::peer_reactor(const peer_settings& settings,
                           const peer_transport::receive_callback& on_received,
                           peer_mailboxes& mailboxes, peer_metrics& metrics)
    : settings_(settings), mailboxes_(mailboxes), metrics_(metrics), io_(kj::setupAsyncIo()),
      wake_(make_event()),
      wake_observer_(io_.unixEventPort, wake_, kj::UnixEventPort::FdObserver::OBSERVE_READ),
      server_(settings, on_received, metrics)
{
}

std::uint16_t peer_reactor::listen()
{
    auto& network = io_.provider->getNetwork();
    auto address = network.parseAddress(settings_.listen_address).wait(io_.waitScope);
    receiver_ = address->listen();
    return static_cast<std::uint16_t>(receiver_->getPort());
}

void peer_reactor::run()
{
    auto accepting = server_.listen(*receiver_).eagerlyEvaluate(nullptr);
    auto sweeping = sweep_links().eagerlyEvaluate(nullptr);
    follow_mailboxes().wait(io_.waitScope);
}

kj::Promise<void> peer_reactor::follow_mailboxes()
{
    mailboxes_.arm([event = wake_.get()]() { (void)::eventfd_write(event, 1); });
    return wait_for_wake().then([this]() -> kj::Promise<void> {
        if (mailboxes_.closed()) {
            return kj::READY_NOW;
        }
        pump_changed();
        return follow_mailboxes();
    });
}

kj::Promise<void> peer_reactor::wait_for_wake()
{
    eventfd_t count = 0;
    if (::eventfd_read(wake_, &count) == 0) {
        return kj::READY_NOW;
    }
    return wake_observer_.whenBecomesReadable().then([this]() { return wait_for_wake(); });
}

kj::Promise<void> peer_reactor::sweep_links()
{
    return io_.provider->getTimer().afterDelay(sweep_interval).then([this]() {
        const auto now = std::chrono::steady_clock::now();
        for (auto link = links_.begin(); link != links_.end();) {
            link->second->sweep(now);
            if (link->second->idle(now)) {
                metrics_.dropped += mailboxes_.drop(link->first);
                link = links_.erase(link);
            }
            else {
                ++link;
            }
        }
        return sweep_links();
    });
}

void peer_reactor::pump_changed()
{
    const auto now = std::chrono::steady_clock::now();
    for (const std::string& address : mailboxes_.take_changed()) {
        link_to(address).pump(now);
    }
}

peer_link& peer_reactor::link_to(const std::string& address)
{
    auto& link = links_[address];
    if (!link) {
        const link_environment environment{settings_, io_.provider->getNetwork(),
                                           io_.provider->getTimer(), mailboxes_, metrics_};
        link = std::make_unique<peer_link>(environment, address);
    }
    return *link;
}

} // namespace gooseberryfall::peers
