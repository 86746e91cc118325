#include "core/messages.hpp"
#include "peers/peers.hpp"
#include "wire/wire.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

namespace core = gooseberryfall::core;
namespace peers = gooseberryfall::peers;
namespace wire = gooseberryfall::wire;

namespace {

core::peer_envelope probe_envelope(std::size_t news)
{
    core::peer_envelope envelope;
    envelope.from = {core::instance_id("entry-be-central-1-a7"), 1767225600000};
    envelope.to = {core::instance_id("entry-be-central-2-c3"), 1767225600001};
    core::probe probe;
    probe.sequence = 12345;
    probe.applied_next = 678901;
    for (std::size_t entry = 0; entry < news; ++entry) {
        probe.news.push_back({envelope.from, core::member_condition::suspect, entry});
    }
    envelope.messages = {probe};
    return envelope;
}

double cpu_seconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Passes one connection on and counts its bytes.
class byte_counter {
public:
    explicit byte_counter(std::uint16_t target) : target_(target)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof address;
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
            ::listen(listener_, 1) != 0) {
            std::perror("listen");
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port = ntohs(address.sin_port);
        thread_ = std::thread([this]() { pass(); });
    }
    ~byte_counter()
    {
        thread_.join();
        ::close(listener_);
    }
    byte_counter(const byte_counter&) = delete;
    byte_counter& operator=(const byte_counter&) = delete;
    byte_counter(byte_counter&&) = delete;
    byte_counter& operator=(byte_counter&&) = delete;

    std::uint16_t port = 0;
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> answered = 0;

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    static bool copy(int from, int to, std::atomic<std::uint64_t>& count)
    {
        std::array<char, 65536> bytes{};
        const ssize_t size = ::recv(from, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            return false;
        }
        count += static_cast<std::uint64_t>(size);
        return ::send(to, bytes.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
    }

    void pass()
    {
        const int near = ::accept(listener_, nullptr, nullptr);
        const int far = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(target_);
        bool open =
            ::connect(far, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        while (open) {
            std::array<pollfd, 2> ends{{{near, POLLIN, 0}, {far, POLLIN, 0}}};
            open = ::poll(ends.data(), ends.size(), -1) > 0 &&
                   (ends[0].revents == 0 || copy(near, far, sent)) &&
                   (ends[1].revents == 0 || copy(far, near, answered));
        }
        ::close(near);
        ::close(far);
    }

    std::uint16_t target_;
    int listener_ = -1;
    std::thread thread_;
};

/// Two transports in this process, one of which counts what arrives.
struct pair {
    pair()
        : receiver({}, [this](const core::peer_envelope&) { ++received; }),
          sender({}, [](const core::peer_envelope&) {})
    {
        started = receiver.start().has_value() && sender.start().has_value();
    }

    /// Sends envelopes, never more than a queue at once, and waits for the answers.
    void send(const std::string& address, const core::peer_envelope& envelope, std::uint64_t count)
    {
        const std::uint64_t before = sender.counters().delivered;
        std::uint64_t sent = 0;
        while (sender.counters().delivered < before + count) {
            const std::uint64_t open = before + sent - sender.counters().delivered;
            if (sent < count && open < 16) {
                sender.send(address, envelope);
                ++sent;
            }
            else {
                std::this_thread::sleep_for(std::chrono::microseconds(50));
            }
        }
    }

    std::atomic<std::uint64_t> received = 0;
    peers::peer_transport receiver;
    peers::peer_transport sender;
    bool started = false;
};

void measure_bytes(std::size_t news)
{
    pair ends;
    const core::peer_envelope envelope = probe_envelope(news);
    byte_counter counter(ends.receiver.port());
    const std::string address = "127.0.0.1:" + std::to_string(counter.port);
    ends.send(address, envelope, 1);
    const std::uint64_t sent = counter.sent;
    const std::uint64_t answered = counter.answered;
    constexpr std::uint64_t count = 200;
    ends.send(address, envelope, count);
    std::printf(
        "probe with %zu news: %zu bytes encoded; on the wire %.0f bytes sent and %.0f bytes "
        "back for each, without TCP and IP\n",
        news, wire::encode_envelope(envelope).size(),
        static_cast<double>(counter.sent - sent) / count,
        static_cast<double>(counter.answered - answered) / count);
    ends.sender.stop();
}

void measure_cpu(std::uint64_t per_second)
{
    pair ends;
    const core::peer_envelope envelope = probe_envelope(2);
    const std::string address = "127.0.0.1:" + std::to_string(ends.receiver.port());
    ends.send(address, envelope, 100);
    constexpr std::chrono::nanoseconds span = std::chrono::seconds(2);
    const std::uint64_t count = 2 * per_second;
    const double cpu = cpu_seconds();
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t number = 0; number < count; ++number) {
        ends.sender.send(address, envelope);
        std::this_thread::sleep_until(start + span * (number + 1) / count);
    }
    std::printf("%6lu probes/s: %.1f us CPU for each, both ends and answer included (with the "
                "sender's sleeps); delivered %lu\n",
                static_cast<unsigned long>(per_second),
                (cpu_seconds() - cpu) * 1e6 / static_cast<double>(count),
                static_cast<unsigned long>(ends.sender.counters().delivered));
}

void measure_bulk()
{
    pair ends;
    const core::peer_envelope envelope = probe_envelope(2);
    const std::string address = "127.0.0.1:" + std::to_string(ends.receiver.port());
    ends.send(address, envelope, 100);
    constexpr std::uint64_t count = 100'000;
    const double cpu = cpu_seconds();
    const auto start = std::chrono::steady_clock::now();
    ends.send(address, envelope, count);
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
    std::printf("in bulk: %.1f us CPU for each, %.0f probes/s\n",
                (cpu_seconds() - cpu) * 1e6 / count, count / wall.count());
}

void measure_idle()
{
    pair ends;
    ends.send("127.0.0.1:" + std::to_string(ends.receiver.port()), probe_envelope(0), 1);
    const double cpu = cpu_seconds();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    std::printf("idle: %.3f%% of a core for two transports\n", (cpu_seconds() - cpu) / 2 * 100);
}

} // namespace

int main()
{
    measure_bytes(0);
    measure_bytes(8);
    measure_idle();
    measure_cpu(100);
    measure_cpu(2000);
    measure_bulk();
    return 0;
}
