#include "daemon/daemon.hpp"

#include "daemon/callers_service.hpp"
#include "daemon/decision_service.hpp"
#include "daemon/operators_service.hpp"
#include "daemon/peers_service.hpp"
#include "daemon/platform_service.hpp"
#include "daemon/targets_service.hpp"

#include <algorithm>
#include <chrono>

namespace gooseberryfall::daemon {

namespace {

std::uint64_t incarnation_now()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

kernel::log_level to_kernel(config::log_level level)
{
    switch (level) {
    case config::log_level::debug:
        return kernel::log_level::debug;
    case config::log_level::info:
        return kernel::log_level::info;
    case config::log_level::warning:
        return kernel::log_level::warning;
    case config::log_level::error:
        return kernel::log_level::error;
    }
    return kernel::log_level::info;
}

std::optional<http::server_tls> to_tls(const config::tls_settings& tls)
{
    if (tls.certificate.empty()) {
        return std::nullopt;
    }
    return http::server_tls{tls.certificate, tls.key};
}

callers::callers_settings make_callers(const config::daemon_settings& settings)
{
    callers::callers_settings result;
    http::server_settings& server = result.server;
    server.address = settings.callers.listen.address;
    server.port = settings.callers.listen.port;
    server.tls = to_tls(settings.tls);
    server.header_limit = settings.http.header_limit;
    server.body_limit = settings.http.body_limit;
    server.response_buffer_bytes = settings.http.stream_buffer;
    server.connections_max = settings.http.caller_connections;
    server.read_timeout = settings.http.caller_read_timeout;
    server.write_timeout = settings.http.caller_write_timeout;
    server.idle_timeout = settings.http.caller_idle_timeout;
    result.uploads.job_items = settings.submissions.job_items;
    result.uploads.item_bytes = settings.submissions.item_limit;
    return result;
}

operators::operators_settings make_operators(const config::daemon_settings& settings)
{
    operators::operators_settings result;
    result.server.address = settings.operators.address;
    result.server.port = settings.operators.port;
    result.server.tls = to_tls(settings.tls);
    result.token = settings.operator_token;
    return result;
}

targets_service_settings make_targets(const config::daemon_settings& settings,
                                      const core::incarnation_id& self)
{
    targets_service_settings result;
    result.client.recent_idle_max = settings.http.target_idle_timeout;
    result.client.pool_size = settings.http.target_connections;
    result.client.unacknowledged_max = settings.http.tcp_user_timeout;
    result.load.interval = settings.load_interval;
    result.dispatcher.self = self;
    result.dispatcher.result_limit = settings.submissions.item_limit;
    return result;
}

platform::http_platform_settings make_platform(const config::daemon_settings& settings,
                                               std::uint64_t seed)
{
    platform::http_platform_settings result;
    const config::ip_endpoint& address = settings.platform.addresses.front();
    result.address = address.address + ":" + std::to_string(address.port);
    result.read_wait = settings.platform.read_wait;
    result.list_interval = settings.platform.list_interval;
    result.answer_first = settings.platform.call_timeout;
    result.seed = static_cast<std::uint32_t>(seed);
    return result;
}

} // namespace

instance_daemon::instance_daemon(config::daemon_settings settings)
    : settings_(std::move(settings)), incarnation_(incarnation_now()),
      logger_({to_kernel(settings_.level), nullptr})
{
}

instance_daemon::~instance_daemon() = default;

void instance_daemon::add_services()
{
    const core::incarnation_id self{settings_.node.self.instance, incarnation_};
    // Services that take events start before the decisions; their events wait in the ring.
    registry_.add(platform_service::name, {},
                  std::make_unique<platform_service>(make_platform(settings_, incarnation_),
                                                     settings_.submissions.body_cache, logger_,
                                                     metrics_));
    peers_ = &registry_.add(peers_service::name, {},
                            std::make_unique<peers_service>(settings_.peers, metrics_));
    callers_ = &registry_.add(callers_service::name, {platform_service::name},
                              std::make_unique<callers_service>(make_callers(settings_), metrics_));
    registry_.add(targets_service::name, {callers_service::name, platform_service::name},
                  std::make_unique<targets_service>(make_targets(settings_, self), metrics_));
    operators_ = &registry_.add(operators_service::name, {},
                                std::make_unique<operators_service>(make_operators(settings_)));
    decisions_ = &registry_.add(decision_service::name,
                                {platform_service::name, peers_service::name, callers_service::name,
                                 targets_service::name, operators_service::name},
                                std::make_unique<decision_service>(logger_, metrics_));
    decisions_->configure_at_start([this] {
        return config::make_node_settings(settings_, incarnation_, callers_->port(),
                                          peers_->port());
    });
}

tl::expected<void, std::string> instance_daemon::start()
{
    add_services();
    const auto started = registry_.start_all();
    if (!started) {
        return tl::unexpected<std::string>(started.error().service + ": " + started.error().reason);
    }
    logger_.write(kernel::log_level::info, "started",
                  {{"instance", settings_.node.self.instance.value()},
                   {"incarnation", std::to_string(incarnation_)}});
    return {};
}

std::string instance_daemon::ready_line() const
{
    return "ready callers=" + std::to_string(callers_->port()) +
           " peers=" + std::to_string(peers_->port()) +
           " operators=" + std::to_string(operators_->port());
}

void instance_daemon::begin_leaving()
{
    decisions_->post(core::leave_requested{});
}

bool instance_daemon::left() const
{
    return decisions_->stopped();
}

void instance_daemon::stop()
{
    callers_->drain();
    registry_.stop_all();
    logger_.write(kernel::log_level::info, "stopped", {});
}

} // namespace gooseberryfall::daemon
