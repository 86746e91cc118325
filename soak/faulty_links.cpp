#include "soak/faulty_links.hpp"

#include <boost/asio/post.hpp>

namespace gooseberryfall::soak {

namespace asio = boost::asio;
using stand_ins::route_mode;

const char* to_text(link_fault fault)
{
    switch (fault) {
    case link_fault::slow:
        return "slow link";
    case link_fault::reset:
        return "reset connections";
    case link_fault::cut:
        return "cut link";
    case link_fault::one_way:
        return "lost answers";
    case link_fault::silent:
        return "silent link";
    case link_fault::existing_silent:
        return "silent connections";
    }
    return "unknown fault";
}

faulty_links::faulty_links()
    : work_guard_(asio::make_work_guard(context_)), thread_([this] { context_.run(); })
{
}

faulty_links::~faulty_links()
{
    context_.stop();
    thread_.join();
}

std::size_t faulty_links::open(const std::string& upstream)
{
    return add(make_route(upstream));
}

std::size_t faulty_links::open_to_engine(const std::string& upstream,
                                         stand_ins::proxy_route::source_selector selector)
{
    auto route = make_route(upstream);
    route->set_keeps_half_closed(true);
    route->set_source_selector(std::move(selector));
    return add(std::move(route));
}

std::shared_ptr<stand_ins::proxy_route> faulty_links::make_route(const std::string& upstream)
{
    const std::size_t colon = upstream.rfind(':');
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(upstream.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(upstream.substr(colon + 1))));
    return std::make_shared<stand_ins::proxy_route>(context_, endpoint);
}

std::size_t faulty_links::add(std::shared_ptr<stand_ins::proxy_route> route)
{
    link_entry new_link;
    new_link.route = std::move(route);
    new_link.port = new_link.route->start();
    links_.push_back(std::move(new_link));
    return links_.size() - 1;
}

std::string faulty_links::address(std::size_t link) const
{
    return "127.0.0.1:" + std::to_string(links_[link].port);
}

void faulty_links::inject(std::size_t link, link_fault fault, std::chrono::milliseconds delay)
{
    asio::post(context_, [route = links_[link].route, fault, delay] {
        switch (fault) {
        case link_fault::slow:
            route->set_delay(delay);
            return;
        case link_fault::reset:
            route->close_connections();
            return;
        case link_fault::cut:
            route->set_mode(route_mode::cut);
            return;
        case link_fault::one_way:
            route->set_mode(route_mode::drop_answers);
            return;
        case link_fault::silent:
            route->set_mode(route_mode::black_hole);
            return;
        case link_fault::existing_silent:
            route->stall_connections();
            return;
        }
    });
}

void faulty_links::clear_fault(std::size_t link)
{
    asio::post(context_, [route = links_[link].route] {
        // A connection that has dropped bytes of a response cannot be used again.
        if (route->mode() == route_mode::drop_answers) {
            route->close_connections();
        }
        route->set_delay(std::chrono::milliseconds(0));
        route->set_mode(route_mode::pass);
    });
}

void faulty_links::clear_all_faults()
{
    for (std::size_t link = 0; link < links_.size(); ++link) {
        clear_fault(link);
    }
}

} // namespace gooseberryfall::soak
