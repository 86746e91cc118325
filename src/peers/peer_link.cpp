#include "peers/peer_link.hpp"

#include "peers/peer_sockets.hpp"
#include "wire/envelope_conversion.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::peers {

namespace {

/// Doublings of the backoff at most, so that the shift cannot overflow.
constexpr unsigned doublings_limit = 16;

kj::Duration to_kj(std::chrono::milliseconds time)
{
    return time.count() * kj::MILLISECONDS;
}

} // namespace

peer_link::connection::connection(kj::Own<kj::AsyncIoStream> connected,
                                  kj::TaskSet::ErrorHandler& errors)
    : stream(kj::mv(connected)), client(*stream),
      peer(client.bootstrap().castAs<wire::schema::Peer>()), tasks(errors)
{
    tasks.add(client.onDisconnect().then([this]() { ended = true; }));
}

peer_link::peer_link(link_environment environment, std::string address)
    : environment_(environment), address_(std::move(address))
{
}

void peer_link::pump(core::time_point now)
{
    last_use_ = now;
    environment_.metrics.dropped +=
        environment_.mailboxes.drop_before(address_, now - environment_.settings.queue_timeout);
    KJ_IF_MAYBE (over, connection_) {
        while (!(*over)->ended && (*over)->open_calls.size() < environment_.settings.window) {
            const auto waiting = environment_.mailboxes.pop(address_);
            if (!waiting) {
                return;
            }
            call(**over, waiting->envelope, now);
        }
        return;
    }
    if (!is_connecting_ && now >= retry_at_) {
        connect(now);
    }
}

void peer_link::sweep(core::time_point now)
{
    if (is_silent(now)) {
        ++environment_.metrics.silent;
        close(now);
    }
    KJ_IF_MAYBE (over, connection_) {
        if ((*over)->ended) {
            close(now);
        }
        return;
    }
    environment_.metrics.dropped +=
        environment_.mailboxes.drop_before(address_, now - environment_.settings.queue_timeout);
    if (!is_connecting_ && now >= retry_at_ && !environment_.mailboxes.empty(address_)) {
        connect(now);
    }
}

bool peer_link::idle(core::time_point now) const
{
    return !is_connecting_ && now - last_use_ >= environment_.settings.idle_timeout;
}

void peer_link::taskFailed(kj::Exception&& /*exception*/)
{
    // Calls handle their errors; what is left is the connection's end.
    KJ_IF_MAYBE (over, connection_) {
        (*over)->ended = true;
    }
}

void peer_link::connect(core::time_point now)
{
    is_connecting_ = true;
    retry_at_ = now;
    auto attempt =
        environment_.network.parseAddress(address_).then([](kj::Own<kj::NetworkAddress> address) {
            auto connected = address->connect();
            return connected.attach(kj::mv(address));
        });
    connecting_ =
        environment_.timer
            .timeoutAfter(to_kj(environment_.settings.connect_timeout), kj::mv(attempt))
            .then([this](kj::Own<kj::AsyncIoStream> stream) { on_connected(kj::mv(stream)); },
                  [this](kj::Exception&&) { on_connect_failed(); })
            .eagerlyEvaluate(nullptr);
}

void peer_link::on_connected(kj::Own<kj::AsyncIoStream> stream)
{
    is_connecting_ = false;
    ++environment_.metrics.connects;
    set_socket_options(*stream, environment_.settings.silence_timeout);
    kj::TaskSet::ErrorHandler& errors = *this;
    connection_ = kj::heap<connection>(kj::mv(stream), errors);
    pump(std::chrono::steady_clock::now());
}

void peer_link::on_connect_failed()
{
    is_connecting_ = false;
    ++environment_.metrics.connect_failures;
    back_off(std::chrono::steady_clock::now());
}

void peer_link::call(connection& over, const core::peer_envelope& envelope, core::time_point now)
{
    const std::uint64_t number = next_call_++;
    over.open_calls.emplace(number, now);
    auto request = over.peer.deliverRequest();
    wire::write(request.initEnvelope(), envelope);
    over.tasks.add(request.send().then(
        [this, number](auto&&) { on_answered(number); },
        [this, number](kj::Exception&& error) { on_call_failed(number, error); }));
}

void peer_link::on_answered(std::uint64_t call)
{
    ++environment_.metrics.delivered;
    failures_ = 0;
    KJ_IF_MAYBE (over, connection_) {
        (*over)->open_calls.erase(call);
    }
    pump(std::chrono::steady_clock::now());
}

void peer_link::on_call_failed(std::uint64_t call, const kj::Exception& error)
{
    KJ_IF_MAYBE (over, connection_) {
        // Any other error is an answer: the other end is there and did not understand.
        if (error.getType() == kj::Exception::Type::DISCONNECTED) {
            (*over)->ended = true;
            return;
        }
        (*over)->open_calls.erase(call);
        ++environment_.metrics.refused;
    }
}

bool peer_link::is_silent(core::time_point now) const
{
    KJ_IF_MAYBE (over, connection_) {
        const auto& calls = (*over)->open_calls;
        return !calls.empty() &&
               now - calls.begin()->second >= environment_.settings.silence_timeout;
    }
    return false;
}

void peer_link::close(core::time_point now)
{
    KJ_IF_MAYBE (over, connection_) {
        environment_.metrics.lost += (*over)->open_calls.size();
    }
    connection_ = nullptr;
    back_off(now);
}

void peer_link::back_off(core::time_point now)
{
    const auto doubled = environment_.settings.backoff_min * (1U << failures_);
    retry_at_ = now + std::min(doubled, environment_.settings.backoff_max);
    failures_ = std::min(failures_ + 1, doublings_limit);
}

} // namespace gooseberryfall::peers
