#include "http/client.hpp"

#include "http/client_core.hpp"

#include <boost/asio/post.hpp>

#include <future>

namespace gooseberryfall::http {

const char* to_text(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::completed:
        return "completed";
    case call_outcome::not_sent:
        return "not_sent";
    case call_outcome::connection_lost:
        return "connection_lost";
    case call_outcome::timed_out:
        return "timed_out";
    case call_outcome::cancelled:
        return "cancelled";
    case call_outcome::invalid_response:
        return "invalid_answer";
    }
    return "unknown";
}

const char* to_text(call_phase phase)
{
    switch (phase) {
    case call_phase::connect:
        return "connect";
    case call_phase::write:
        return "write";
    case call_phase::first_byte:
        return "first_byte";
    case call_phase::between_bytes:
        return "between_bytes";
    }
    return "unknown";
}

client::client(event_loop& loop, client_settings settings)
    : loop_(loop), core_(std::make_shared<client_core>(loop.context(), std::move(settings)))
{
}

client::~client()
{
    loop_.run_and_wait([this] { core_->stop(); });
}

std::shared_ptr<ongoing_call> client::start(client_request request, call_observer observer)
{
    auto call = client_call::make(core_, std::move(request), std::move(observer));
    std::shared_ptr<ongoing_call> handle = call->handle();
    boost::asio::post(core_->context, [core = core_, call] { core->add(call); });
    return handle;
}

void client::close_idle(const std::string& address)
{
    loop_.post([core = core_, address] { core->close_idle(address); });
}

std::size_t client::idle_connections(const std::string& address) const
{
    std::size_t count = 0;
    loop_.run_and_wait([this, &address, &count] { count = core_->idle_connections(address); });
    return count;
}

call_result call(const std::string& address, const std::string& method, const std::string& target,
                 const header_fields& headers, const std::string& body,
                 std::chrono::milliseconds timeout, const std::optional<client_tls>& tls)
{
    std::promise<call_result> promise;
    std::future<call_result> result_future = promise.get_future();
    event_loop loop("http-call");
    client_settings settings;
    settings.tls = tls;
    client http_client(loop, settings);

    client_request request;
    request.address = address;
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.body = body;
    request.timeouts = {timeout, timeout, timeout, timeout};
    request.use = connection_use::fresh;
    call_observer observer;
    observer.on_done = [&promise](call_result result) { promise.set_value(std::move(result)); };

    const auto ongoing = http_client.start(std::move(request), std::move(observer));
    const bool total_timeout_expired = result_future.wait_for(timeout) != std::future_status::ready;
    if (total_timeout_expired) {
        ongoing->cancel();
    }
    call_result result = result_future.get();
    if (total_timeout_expired && result.outcome == call_outcome::cancelled) {
        result.outcome = call_outcome::timed_out;
        result.reason = std::string(to_text(result.phase)) + " timed out";
    }
    return result;
}

} // namespace gooseberryfall::http
