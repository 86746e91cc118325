/// TCP proxy that provokes faults, controlled over HTTP:
/// `POST /control/routes?name=N&upstream=ip:port` adds a route and answers its port;
/// `POST /control?name=N&mode=pass|cut|black_hole|drop_answers&delay_ms=D&silence=1&close=1`
/// changes it.

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
    const bool valid = std::from_chars(text.data() + colon + 1, end, port).ec == std::errc{};
    if (error || !valid) {
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

/// The routes by name, and the control interface over them.
class proxy_control {
public:
    explicit proxy_control(http::event_loop& loop) : loop_(loop) {}

    void handle(const http::request& request, const std::shared_ptr<http::responder>& to)
    {
        const auto parts = http::parse_target(request.target);
        if (!parts) {
            answer(to, 400, {{"error", "malformed path"}});
            return;
        }
        if (parts->path == "/control/routes") {
            add(parts->query, to);
            return;
        }
        change(parts->query, to);
    }

private:
    using query_map = std::map<std::string, std::string>;

    static void answer(const std::shared_ptr<http::responder>& to, unsigned status,
                       const json::object& body)
    {
        http::response whole;
        whole.status = status;
        whole.headers.set("Content-Type", "application/json");
        whole.body = json::serialize(body);
        to->send(std::move(whole));
    }

    static std::string value(const query_map& query, const std::string& name)
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }

    void add(const query_map& query, const std::shared_ptr<http::responder>& to)
    {
        const auto upstream = parse_endpoint(value(query, "upstream"));
        if (!upstream) {
            answer(to, 400, {{"error", "upstream must be ip:port"}});
            return;
        }
        auto route = std::make_shared<stand_ins::proxy_route>(loop_.context(), *upstream);
        const std::uint16_t port = route->start();
        routes_[value(query, "name")] = std::move(route);
        answer(to, 200, {{"port", port}});
    }

    void change(const query_map& query, const std::shared_ptr<http::responder>& to)
    {
        const auto found = routes_.find(value(query, "name"));
        if (found == routes_.end()) {
            answer(to, 404, {{"error", "no such route"}});
            return;
        }
        stand_ins::proxy_route& route = *found->second;
        if (const auto mode = parse_mode(value(query, "mode"))) {
            route.set_mode(*mode);
        }
        if (const auto upstream = parse_endpoint(value(query, "upstream"))) {
            route.set_upstream(*upstream);
        }
        const std::string delay = value(query, "delay_ms");
        if (!delay.empty()) {
            int milliseconds = 0;
            std::from_chars(delay.data(), delay.data() + delay.size(), milliseconds);
            route.set_delay(std::chrono::milliseconds(milliseconds));
        }
        if (value(query, "silence") == "1") {
            route.stall_connections();
        }
        if (value(query, "close") == "1") {
            route.close_connections();
        }
        answer(to, 200, {{"accepted", route.accepted_count()}});
    }

    http::event_loop& loop_;
    std::map<std::string, std::shared_ptr<stand_ins::proxy_route>> routes_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("TCP proxy that provokes faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    stand_ins::block_termination_signals();
    http::event_loop loop("proxy");
    proxy_control control(loop);
    http::server_settings listening;
    listening.port = static_cast<std::uint16_t>(FLAGS_port);
    http::server_handlers handlers;
    handlers.handle = [&control](const http::request& request,
                                 const std::shared_ptr<http::responder>& responder) {
        control.handle(request, responder);
    };
    http::server server(loop, listening, std::move(handlers));
    return stand_ins::run_until_signal(server.start());
}
