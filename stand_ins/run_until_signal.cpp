#include "run_until_signal.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace gooseberryfall::stand_ins {

int run_until_signal(const tl::expected<std::uint16_t, std::string>& port)
{
    if (!port) {
        std::cerr << "cannot listen: " << port.error() << std::endl;
        return 1;
    }
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code&, int) {});
    std::cout << "ready port=" << *port << std::endl;
    context.run();
    return 0;
}

} // namespace gooseberryfall::stand_ins
