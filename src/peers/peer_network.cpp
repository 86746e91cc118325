#include "peers/peer_network.hpp"

#include "kernel/kernel.hpp"
#include "wire/envelope_conversion.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace gooseberryfall::peers {

namespace schema = wire::schema;

namespace {

/// Deliveries without an answer yet on one connection.
constexpr unsigned deliveries_open_limit = 64;

kj::Duration to_kj(std::chrono::milliseconds value)
{
    return value.count() * kj::MILLISECONDS;
}

struct outgoing {
    std::string address;
    core::peer_envelope envelope;
};

struct atomic_counts {
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> bad_messages{0};
    std::atomic<std::uint64_t> connections_lost{0};
};

/// Takes the deliveries of other instances.
class peer_server final : public schema::Peer::Server {
public:
    peer_server(const peer_network::receiver& on_envelope, atomic_counts& counts)
        : on_envelope_(on_envelope), counts_(counts)
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        try {
            core::peer_envelope envelope = wire::read(context.getParams().getEnvelope());
            ++counts_.received;
            on_envelope_(std::move(envelope));
        }
        catch (const wire::conversion_error& error) {
            ++counts_.bad_messages;
            KJ_FAIL_REQUIRE("malformed envelope", error.what());
        }
        return kj::READY_NOW;
    }

private:
    const peer_network::receiver& on_envelope_;
    atomic_counts& counts_;
};

/// Connection to one address: connects when there is something to send, closes when silent.
class peer_link : private kj::TaskSet::ErrorHandler {
public:
    peer_link(kj::AsyncIoContext& io, const peer_settings& settings, atomic_counts& counts,
              std::string address)
        : io_(io), settings_(settings), counts_(counts), address_(std::move(address)),
          backoff_(settings.backoff_first), tasks_(*this)
    {
    }

    void send(core::peer_envelope envelope)
    {
        if (queue_.size() >= settings_.queue_limit) {
            // The newest message is worth more than the oldest one.
            queue_.pop_front();
            ++counts_.dropped;
        }
        queue_.push_back(std::move(envelope));
        if (client_) {
            write_queue();
            return;
        }
        if (!connecting_) {
            connect();
        }
    }

private:
    struct connection {
        explicit connection(kj::Own<kj::AsyncIoStream> opened)
            : stream(kj::mv(opened)), rpc(*stream), peer(rpc.bootstrap().castAs<schema::Peer>())
        {
        }

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient rpc;
        schema::Peer::Client peer;
    };

    void connect()
    {
        connecting_ = true;
        auto connected = io_.provider->getNetwork().parseAddress(address_).then(
            [](kj::Own<kj::NetworkAddress> address) {
                auto promise = address->connect();
                return promise.attach(kj::mv(address));
            });
        auto limited = io_.provider->getTimer().timeoutAfter(to_kj(settings_.connect_timeout),
                                                             kj::mv(connected));
        tasks_.add(limited.then([this](kj::Own<kj::AsyncIoStream> stream) {
            connecting_ = false;
            backoff_ = settings_.backoff_first;
            client_ = std::make_unique<connection>(kj::mv(stream));
            open_ = 0;
            write_queue();
        }));
    }

    void write_queue()
    {
        while (client_ && !queue_.empty() && open_ < deliveries_open_limit) {
            const core::peer_envelope envelope = std::move(queue_.front());
            queue_.pop_front();
            auto request = client_->peer.deliverRequest();
            wire::write(request.initEnvelope(), envelope);
            ++open_;
            ++counts_.sent;
            auto answered = request.send().ignoreResult();
            auto limited = io_.provider->getTimer().timeoutAfter(to_kj(settings_.silence_timeout),
                                                                 kj::mv(answered));
            const std::uint64_t generation = generation_;
            tasks_.add(limited.then(
                [this, generation] {
                    if (generation == generation_) {
                        --open_;
                        write_queue();
                    }
                },
                [this, generation](kj::Exception&&) {
                    if (generation == generation_) {
                        close();
                    }
                }));
        }
    }

    /// Closes the connection after a failure. Runs from the event loop, so that the connection is
    /// not destroyed inside one of its own callbacks.
    void close()
    {
        ++generation_;
        ++counts_.connections_lost;
        tasks_.add(kj::evalLater([closing = std::move(client_)]() mutable { closing.reset(); }));
        client_.reset();
        retry_later();
    }

    void retry_later()
    {
        connecting_ = true;
        tasks_.add(io_.provider->getTimer().afterDelay(to_kj(backoff_)).then([this] {
            connecting_ = false;
            if (!queue_.empty()) {
                connect();
            }
        }));
        backoff_ = std::min(backoff_ * 2, settings_.backoff_limit);
    }

    void taskFailed(kj::Exception&&) override
    {
        // Only connecting fails here; deliveries handle their own failure.
        ++counts_.connections_lost;
        counts_.dropped += queue_.size();
        queue_.clear();
        retry_later();
    }

    kj::AsyncIoContext& io_;
    const peer_settings& settings_;
    atomic_counts& counts_;
    const std::string address_;
    std::deque<core::peer_envelope> queue_;
    std::unique_ptr<connection> client_;
    /// Tells deliveries on an earlier connection from those on the present one.
    std::uint64_t generation_ = 0;
    unsigned open_ = 0;
    bool connecting_ = false;
    std::chrono::milliseconds backoff_;
    kj::TaskSet tasks_;
};

} // namespace

/// The thread and all that lives on it.
class peer_network::event_thread {
public:
    event_thread(peer_settings settings, receiver on_envelope)
        : settings_(std::move(settings)), on_envelope_(std::move(on_envelope)),
          ring_(settings_.ring_capacity)
    {
    }

    ~event_thread() { stop(); }
    event_thread(const event_thread&) = delete;
    event_thread& operator=(const event_thread&) = delete;
    event_thread(event_thread&&) = delete;
    event_thread& operator=(event_thread&&) = delete;

    tl::expected<std::uint16_t, std::string> start()
    {
        int ends[2] = {-1, -1};
        if (pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) {
            return tl::unexpected<std::string>("cannot make a pipe");
        }
        wake_read_ = ends[0];
        wake_write_ = ends[1];
        std::promise<tl::expected<std::uint16_t, std::string>> listening;
        auto result = listening.get_future();
        thread_ = std::thread([this, &listening] { run(listening); });
        return result.get();
    }

    bool send(const std::string& address, core::peer_envelope envelope)
    {
        if (!ring_.try_push(outgoing{address, std::move(envelope)})) {
            ++counts_.dropped;
            return false;
        }
        wake();
        return true;
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        stopping_ = true;
        wake();
        thread_.join();
        ::close(wake_read_);
        ::close(wake_write_);
    }

    peer_counts counts() const
    {
        return {counts_.sent, counts_.dropped, counts_.received, counts_.bad_messages,
                counts_.connections_lost};
    }

private:
    /// Wakes the KJ loop. A full pipe means that it is awake already.
    void wake() const
    {
        const char byte = 0;
        [[maybe_unused]] const ssize_t written = ::write(wake_write_, &byte, 1);
    }

    void run(std::promise<tl::expected<std::uint16_t, std::string>>& listening)
    {
        try {
            auto io = kj::setupAsyncIo();
            auto address = io.provider->getNetwork()
                               .parseAddress(settings_.address, settings_.port)
                               .wait(io.waitScope);
            auto receiver = address->listen();
            capnp::TwoPartyServer server(kj::heap<peer_server>(on_envelope_, counts_));
            auto served = server.listen(*receiver).eagerlyEvaluate([](kj::Exception&&) {});
            auto wakeups = io.lowLevelProvider->wrapInputFd(wake_read_);
            listening.set_value(static_cast<std::uint16_t>(receiver->getPort()));
            loop(io, *wakeups);
            links_.clear();
        }
        catch (const kj::Exception& error) {
            // Thrown before the port is known, that is while listening.
            listening.set_value(
                tl::unexpected<std::string>(std::string(error.getDescription().cStr())));
        }
    }

    void loop(kj::AsyncIoContext& io, kj::AsyncInputStream& wakeups)
    {
        char buffer[256];
        while (!stopping_) {
            wakeups.tryRead(buffer, 1, sizeof(buffer)).wait(io.waitScope);
            while (auto next = ring_.try_pop()) {
                link_to(io, next->address).send(std::move(next->envelope));
            }
        }
    }

    peer_link& link_to(kj::AsyncIoContext& io, const std::string& address)
    {
        auto& link = links_[address];
        if (!link) {
            link = std::make_unique<peer_link>(io, settings_, counts_, address);
        }
        return *link;
    }

    const peer_settings settings_;
    const receiver on_envelope_;
    atomic_counts counts_;
    kernel::bounded_ring<outgoing> ring_;
    std::atomic<bool> stopping_{false};
    int wake_read_ = -1;
    int wake_write_ = -1;
    std::map<std::string, std::unique_ptr<peer_link>> links_;
    std::thread thread_;
};

peer_network::peer_network(peer_settings settings, receiver on_envelope)
    : thread_(std::make_unique<event_thread>(std::move(settings), std::move(on_envelope)))
{
}

peer_network::~peer_network() = default;

tl::expected<std::uint16_t, std::string> peer_network::start()
{
    return thread_->start();
}

bool peer_network::send(const std::string& address, core::peer_envelope envelope)
{
    return thread_->send(address, std::move(envelope));
}

void peer_network::stop()
{
    thread_->stop();
}

peer_counts peer_network::counts() const
{
    return thread_->counts();
}

} // namespace gooseberryfall::peers
