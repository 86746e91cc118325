#include "http/client_core.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace gooseberryfall::http {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds prune_interval{1};

/// Whether an idle connection can be used for another request: nothing can be read from it, so the
/// server has neither closed it nor sent bytes that belong to no request.
bool is_reusable(transport& connection)
{
    char byte = 0;
    const auto received =
        ::recv(connection.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

client_core::client_core(boost::asio::io_context& loop_context, client_settings client_settings)
    : context(loop_context), settings(std::move(client_settings)),
      tls_(boost::asio::ssl::context::tls_client),
      prune_deadline_(context.get_executor(), [this] { prune_idle(); })
{
    if (settings.tls) {
        error_code error;
        tls_.load_verify_file(settings.tls->ca_file, error);
        // If the file cannot be loaded, no certificate is trusted and each handshake fails.
    }
}

void client_core::add(const std::shared_ptr<client_call>& call)
{
    if (stopped_) {
        call->stop();
        return;
    }
    calls_.insert(call);
    call->run();
}

void client_core::remove(const std::shared_ptr<client_call>& call)
{
    calls_.erase(call);
}

void client_core::stop()
{
    stopped_ = true;
    prune_deadline_.clear();
    pools_.clear();
    for (const auto& call : std::exchange(calls_, {})) {
        call->stop();
    }
}

std::unique_ptr<transport> client_core::take_idle(const client_request& request)
{
    const auto found = pools_.find(request.address);
    if (found == pools_.end() || request.use == connection_use::fresh) {
        return nullptr;
    }
    const auto limit =
        request.use == connection_use::recent ? settings.recent_idle_max : settings.idle_max;
    const auto oldest = steady_clock::now() - limit;
    auto& idle = found->second;
    // The most recently used connection first: it is the least likely to be stale, and surplus
    // connections can reach their maximum idle time.
    for (std::size_t index = idle.size(); index > 0; --index) {
        const auto position = idle.begin() + static_cast<std::ptrdiff_t>(index - 1);
        if (position->idle_since < oldest) {
            return nullptr;
        }
        const bool carried_same = !request.id.empty() && position->last_id == request.id;
        if (carried_same) {
            continue;
        }
        std::unique_ptr<transport> connection = std::move(position->connection);
        idle.erase(position);
        if (is_reusable(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void client_core::put_idle(const client_request& request, std::unique_ptr<transport> connection)
{
    if (stopped_ || settings.tls) {
        return;
    }
    auto& idle = pools_[request.address];
    if (idle.size() >= settings.pool_size) {
        idle.pop_front();
    }
    idle.push_back({std::move(connection), steady_clock::now(), request.id});
    prune_deadline_.set(prune_interval);
}

void client_core::close_idle(const std::string& address)
{
    pools_.erase(address);
}

std::size_t client_core::idle_connections(const std::string& address) const
{
    const auto found = pools_.find(address);
    return found == pools_.end() ? 0 : found->second.size();
}

std::unique_ptr<transport> client_core::make_transport(tcp::socket socket,
                                                       const std::string& address)
{
    set_socket_options(socket, settings.unacknowledged_max);
    if (!settings.tls) {
        return make_plain_transport(std::move(socket));
    }
    std::string name = settings.tls->server_name;
    if (name.empty()) {
        name = parse_endpoint(address)->address().to_string();
    }
    return make_tls_client_transport(std::move(socket), tls_, name);
}

void client_core::prune_idle()
{
    const auto oldest = steady_clock::now() - settings.idle_max;
    for (auto& [address, idle] : pools_) {
        while (!idle.empty() &&
               (idle.front().idle_since < oldest || !is_reusable(*idle.front().connection))) {
            idle.pop_front();
        }
    }
    std::erase_if(pools_, [](const auto& entry) { return entry.second.empty(); });
    if (!pools_.empty()) {
        prune_deadline_.set(prune_interval);
    }
}

} // namespace gooseberryfall::http
