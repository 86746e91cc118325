#include "http/client_core.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace gooseberryfall::http {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds sweep_interval{1};

/// Whether nothing can be read, which means that the other side has neither closed the connection
/// nor sent bytes that no request asked for.
bool is_quiet(transport& connection)
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
      sweep_(context.get_executor(), [this] { drop_old(); })
{
    if (settings.tls) {
        error_code error;
        tls_.load_verify_file(settings.tls->ca_file, error);
        // Without the file no certificate is trusted, so that each handshake fails.
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
    sweep_.clear();
    pools_.clear();
    for (const auto& call : std::exchange(calls_, {})) {
        call->stop();
    }
}

std::unique_ptr<transport> client_core::take(const std::string& address, connection_use use)
{
    const auto found = pools_.find(address);
    if (found == pools_.end() || use == connection_use::fresh) {
        return nullptr;
    }
    const auto limit = use == connection_use::recent ? settings.recent_idle : settings.idle_max;
    const auto oldest = steady_clock::now() - limit;
    auto& idle = found->second;
    // The youngest one first: it is the least likely to be stale, and the others can grow old.
    while (!idle.empty() && idle.back().since >= oldest) {
        std::unique_ptr<transport> connection = std::move(idle.back().connection);
        idle.pop_back();
        if (is_quiet(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void client_core::put(const std::string& address, std::unique_ptr<transport> connection)
{
    if (stopped_ || settings.tls) {
        return;
    }
    auto& idle = pools_[address];
    if (idle.size() >= settings.pool_size) {
        idle.pop_front();
    }
    idle.push_back({std::move(connection), steady_clock::now()});
    sweep_.set(sweep_interval);
}

void client_core::forget(const std::string& address)
{
    pools_.erase(address);
}

std::size_t client_core::pooled(const std::string& address) const
{
    const auto found = pools_.find(address);
    return found == pools_.end() ? 0 : found->second.size();
}

std::unique_ptr<transport> client_core::wrap(tcp::socket socket, const std::string& address)
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

void client_core::drop_old()
{
    const auto oldest = steady_clock::now() - settings.idle_max;
    for (auto& [address, idle] : pools_) {
        while (!idle.empty() &&
               (idle.front().since < oldest || !is_quiet(*idle.front().connection))) {
            idle.pop_front();
        }
    }
    std::erase_if(pools_, [](const auto& entry) { return entry.second.empty(); });
    if (!pools_.empty()) {
        sweep_.set(sweep_interval);
    }
}

} // namespace gooseberryfall::http
