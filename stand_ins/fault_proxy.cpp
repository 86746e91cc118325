/// TCP proxy that injects faults, controlled over HTTP:
/// `POST /control/routes?name=N&upstream=ip:port` adds a route and responds with its port;
/// `POST /control?name=N&mode=pass|cut|black_hole|drop_answers&delay_ms=D&silence=1&close=1`
/// changes the route; `silence` stalls and `close` closes its existing connections.

#include "proxy_route.hpp"
#include "stand_in.hpp"

#include "http/http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <charconv>
#include <map>
#include <optional>

DEFINE_int32(port, 0, "Port of the control interface; 0 takes any free one");

namespace stand_ins = gooseberryfall::stand_ins;
namespace http = gooseberryfall::http;
namespace json = boost::json;

namespace {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const bool valid_port = std::from_chars(text.data() + colon + 1, end, port).ec == std::errc{};
    if (error || !valid_port) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::optional<stand_ins::route_mode> parse_mode(const std::string& text)
{
    static const std::map<std::string, stand_ins::route_mode> modes{
        {"pass", stand_ins::route_mode::pass},
        {"cut", stand_ins::route_mode::cut},
        {"black_hole", stand_ins::route_mode::black_hole},
        {"drop_answers", stand_ins::route_mode::drop_answers}};
    const auto found = modes.find(text);
    if (found == modes.end()) {
        return std::nullopt;
    }
    return found->second;
}

/// The control interface, and the routes by name.
class proxy_control {
public:
    explicit proxy_control(http::event_loop& loop) : loop_(loop) {}

    void handle(const http::request& request, const std::shared_ptr<http::responder>& caller)
    {
        const auto parts = http::parse_target(request.target);
        if (!parts) {
            send_json(
                caller, 400,
                {{"error", "malformed request target, expected a path with an optional query"}});
            return;
        }
        if (parts->path == "/control/routes") {
            add_route(parts->query, caller);
            return;
        }
        change_route(parts->query, caller);
    }

private:
    using query_map = std::map<std::string, std::string>;

    static void send_json(const std::shared_ptr<http::responder>& caller, unsigned status,
                          const json::object& body)
    {
        http::response control_response;
        control_response.status = status;
        control_response.headers.set("Content-Type", "application/json");
        control_response.body = json::serialize(body);
        caller->send(std::move(control_response));
    }

    static std::string query_text(const query_map& query, const std::string& name)
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }

    void add_route(const query_map& query, const std::shared_ptr<http::responder>& caller)
    {
        const auto upstream = parse_endpoint(query_text(query, "upstream"));
        if (!upstream) {
            send_json(caller, 400, {{"error", "upstream is not a numeric ip:port"}});
            return;
        }
        auto route = std::make_shared<stand_ins::proxy_route>(loop_.context(), *upstream);
        const std::uint16_t port = route->start();
        routes_[query_text(query, "name")] = std::move(route);
        send_json(caller, 200, {{"port", port}});
    }

    void change_route(const query_map& query, const std::shared_ptr<http::responder>& caller)
    {
        const auto found = routes_.find(query_text(query, "name"));
        if (found == routes_.end()) {
            send_json(caller, 404, {{"error", "no route of this name"}});
            return;
        }
        stand_ins::proxy_route& route = *found->second;
        if (const auto mode = parse_mode(query_text(query, "mode"))) {
            route.set_mode(*mode);
        }
        if (const auto upstream = parse_endpoint(query_text(query, "upstream"))) {
            route.set_upstream(*upstream);
        }
        const std::string delay_text = query_text(query, "delay_ms");
        if (!delay_text.empty()) {
            int delay_ms = 0;
            std::from_chars(delay_text.data(), delay_text.data() + delay_text.size(), delay_ms);
            route.set_delay(std::chrono::milliseconds(delay_ms));
        }
        if (query_text(query, "silence") == "1") {
            route.stall_connections();
        }
        if (query_text(query, "close") == "1") {
            route.close_connections();
        }
        send_json(caller, 200, {{"accepted", route.accepted_count()}});
    }

    http::event_loop& loop_;
    std::map<std::string, std::shared_ptr<stand_ins::proxy_route>> routes_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("TCP proxy that injects faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    stand_ins::block_termination_signals();
    http::event_loop loop("proxy");
    proxy_control control(loop);
    http::server_settings control_settings;
    control_settings.port = static_cast<std::uint16_t>(FLAGS_port);
    http::server_handlers handlers;
    handlers.handle = [&control](const http::request& request,
                                 const std::shared_ptr<http::responder>& responder) {
        control.handle(request, responder);
    };
    http::server server(loop, control_settings, std::move(handlers));
    return stand_ins::run_until_signal(server.start());
}
