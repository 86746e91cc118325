#include "peers/peers.hpp"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <limits>
#include <mutex>
#include <random>
#include <thread>

namespace core = gooseberryfall::core;
namespace peers = gooseberryfall::peers;

namespace {

using namespace std::chrono_literals;

/// Time after which a test gives up waiting for an event.
constexpr auto patience = 20s;

/// Collects what a transport receives and waits for it.
class inbox {
public:
    void add(const core::peer_envelope& envelope)
    {
        const std::lock_guard lock(mutex_);
        for (const core::peer_message& message : envelope.messages) {
            if (const auto* request = std::get_if<core::control_request>(&message)) {
                numbers_.push_back(request->from);
            }
        }
        changed_.notify_all();
    }

    /// Whether a number arrives in time.
    bool wait_for(std::uint64_t number)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, patience, [&]() {
            return std::find(numbers_.begin(), numbers_.end(), number) != numbers_.end();
        });
    }

    std::vector<std::uint64_t> numbers()
    {
        const std::lock_guard lock(mutex_);
        return numbers_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::uint64_t> numbers_;
};

/// A started transport with its inbox.
struct instance {
    explicit instance(peers::peer_settings settings = {})
        : transport(std::move(settings),
                    [this](const core::peer_envelope& envelope) { received.add(envelope); })
    {
        const auto started = transport.start();
        cr_assert(started.has_value(), "%s", started.error().c_str());
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(transport.port()); }

    inbox received;
    peers::peer_transport transport;
};

core::peer_envelope envelope_of(std::uint64_t number)
{
    core::peer_envelope envelope;
    envelope.from = {core::instance_id("sender"), 1};
    envelope.messages = {core::control_request{number}};
    return envelope;
}

/// Sends a number again and again until it arrives.
bool send_until_received(peers::peer_transport& from, instance& to, std::uint64_t number)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < deadline) {
        from.send(to.address(), envelope_of(number));
        std::this_thread::sleep_for(5ms);
        const auto numbers = to.received.numbers();
        if (std::find(numbers.begin(), numbers.end(), number) != numbers.end()) {
            return true;
        }
    }
    return false;
}

/// Waits until a counter reaches a value.
template <class Read>
bool wait_until(Read read)
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!read() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    return read();
}

/// A raw socket.
class raw_socket {
public:
    raw_socket() : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {}
    ~raw_socket() { ::close(descriptor_); }
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    raw_socket(raw_socket&&) = delete;
    raw_socket& operator=(raw_socket&&) = delete;

    /// Listens without ever accepting: the kernel completes connections, nobody answers.
    std::string listen_silently()
    {
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof address;
        cr_assert_eq(::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), length), 0);
        cr_assert_eq(::listen(descriptor_, 64), 0);
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

    void connect(std::uint16_t port)
    {
        const sockaddr_in address = loopback(port);
        cr_assert_eq(
            ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        const timeval limit{20, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    void write(const std::string& bytes)
    {
        // The other end may close before all is written.
        (void)::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Whether the other end closes the connection.
    bool is_closed_by_peer()
    {
        char bytes[512];
        ssize_t count = 0;
        do {
            count = ::recv(descriptor_, bytes, sizeof bytes, 0);
        } while (count > 0);
        return count == 0 || errno == ECONNRESET;
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int descriptor_;
};

} // namespace

// Guards against envelopes that are lost, doubled or reordered on a working connection.
Test(peer_transport, envelopes_arrive_in_order)
{
    instance sender;
    instance receiver;
    constexpr std::uint64_t count = 200;
    for (std::uint64_t number = 1; number <= count; ++number) {
        sender.transport.send(receiver.address(), envelope_of(number));
    }
    cr_assert(receiver.received.wait_for(count));
    const auto numbers = receiver.received.numbers();
    cr_assert_eq(numbers.size(), count);
    cr_assert(std::is_sorted(numbers.begin(), numbers.end()));
    cr_assert(wait_until([&]() { return sender.transport.counters().delivered == count; }));
    cr_assert_eq(sender.transport.counters().connects, 1U);
}

// Guards against threads that disturb each other when they send at once.
Test(peer_transport, any_thread_may_send)
{
    instance sender;
    instance receiver;
    std::vector<std::thread> threads;
    for (std::uint64_t thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&sender, &receiver, thread]() {
            for (std::uint64_t number = 0; number < 50; ++number) {
                sender.transport.send(receiver.address(), envelope_of(thread * 50 + number));
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    cr_assert(wait_until([&]() { return receiver.received.numbers().size() == 200; }));
}

// Guards against a link that stays dead after the other instance was replaced.
Test(peer_transport, a_restarted_peer_is_reached_again)
{
    instance sender;
    auto receiver = std::make_unique<instance>();
    cr_assert(send_until_received(sender.transport, *receiver, 1));
    peers::peer_settings same_port;
    same_port.listen_address = receiver->address();
    receiver.reset();
    receiver = std::make_unique<instance>(same_port);
    cr_assert(send_until_received(sender.transport, *receiver, 2));
    cr_assert_geq(sender.transport.counters().connects, 2U);
}

// Guards against a black-holed connection that is never replaced, or that holds up others.
Test(peer_transport, a_silent_peer_is_reconnected_and_blocks_nobody)
{
    peers::peer_settings settings;
    settings.silence_timeout = 200ms;
    instance sender(settings);
    instance receiver;
    raw_socket silent;
    const std::string silent_address = silent.listen_silently();
    const bool reopened = wait_until([&]() {
        sender.transport.send(silent_address, envelope_of(1));
        return sender.transport.counters().silent >= 2;
    });
    cr_assert(reopened);
    const auto start = std::chrono::steady_clock::now();
    cr_assert(send_until_received(sender.transport, receiver, 2));
    cr_assert_lt((std::chrono::steady_clock::now() - start).count(),
                 std::chrono::nanoseconds(5s).count());
    cr_assert_geq(sender.transport.counters().connects, 3U);
    cr_assert_gt(sender.transport.counters().lost, 0U);
}

// Guards against a full queue that blocks the decision thread or grows, and against old news that
// is sent after an outage.
Test(peer_transport, an_unreachable_peer_costs_dropped_envelopes_only)
{
    peers::peer_settings settings;
    settings.queue_limit = 10;
    settings.queue_timeout = 300ms;
    instance sender(settings);
    const std::string address = []() {
        raw_socket bound;
        return bound.listen_silently();
    }();
    for (std::uint64_t number = 0; number < 100; ++number) {
        sender.transport.send(address, envelope_of(number));
    }
    cr_assert_geq(sender.transport.counters().dropped, 80U);
    cr_assert(wait_until([&]() { return sender.transport.counters().dropped == 100; }));
    cr_assert_geq(sender.transport.counters().connect_failures, 1U);
}

// Guards against bytes of a stranger that end the server or other instances' connections.
Test(peer_transport, garbage_ends_its_own_connection_only)
{
    instance sender;
    instance receiver;
    cr_assert(send_until_received(sender.transport, receiver, 1));
    std::mt19937 random(20260101);
    for (int trial = 0; trial < 20; ++trial) {
        std::string bytes(4096, '\0');
        for (char& byte : bytes) {
            byte = static_cast<char>(random());
        }
        // A huge number of segments, then a single huge segment, then noise.
        bytes.replace(0, 8,
                      trial == 0 ? std::string("\xff\xff\xff\x7f\xff\xff\xff\x7f", 8)
                                 : std::string("\0\0\0\0\xff\xff\xff\x7f", 8));
        raw_socket stranger;
        stranger.connect(receiver.transport.port());
        stranger.write(trial < 2 ? bytes : bytes.substr(8));
        if (trial < 2) {
            cr_assert(stranger.is_closed_by_peer(), "trial %d", trial);
        }
    }
    sender.transport.send(receiver.address(), envelope_of(2));
    cr_assert(receiver.received.wait_for(2));
    cr_assert_eq(sender.transport.counters().connects, 1U);
}

// Guards against one envelope that is not understood, as from a later version, taking the
// connection or its neighbours with it.
Test(peer_transport, an_envelope_that_is_not_understood_is_refused_alone)
{
    instance sender;
    instance receiver;
    core::peer_envelope bad;
    core::limit_grant grant;
    grant.tokens = std::numeric_limits<double>::quiet_NaN();
    bad.messages = {grant};
    sender.transport.send(receiver.address(), bad);
    sender.transport.send(receiver.address(), envelope_of(1));
    cr_assert(receiver.received.wait_for(1));
    cr_assert(wait_until([&]() { return sender.transport.counters().refused == 1; }));
    cr_assert_eq(receiver.transport.counters().malformed, 1U);
    cr_assert_eq(sender.transport.counters().connects, 1U);
}

// Guards against a stop that hangs while connections are open, silent or being opened, and against
// use after it.
Test(peer_transport, stop_joins_in_any_state)
{
    instance sender;
    instance receiver;
    raw_socket silent;
    sender.transport.send(silent.listen_silently(), envelope_of(1));
    sender.transport.send("127.0.0.1:1", envelope_of(1));
    cr_assert(send_until_received(sender.transport, receiver, 1));
    receiver.transport.stop();
    sender.transport.stop();
    sender.transport.stop();
    sender.transport.send(receiver.address(), envelope_of(2));
    cr_assert_geq(sender.transport.counters().dropped, 1U);
}

// Guards against an address in use that looks like a started transport.
Test(peer_transport, a_failed_listen_is_reported)
{
    instance first;
    peers::peer_settings settings;
    settings.listen_address = first.address();
    peers::peer_transport second(settings, [](const core::peer_envelope&) {});
    const auto started = second.start();
    cr_assert(!started.has_value());
    cr_assert_neq(started.error().find("cannot listen on " + first.address()), std::string::npos);
}
