/// The daemon: one instance of gooseberryfall.

#include "config/config.hpp"
#include "daemon/daemon.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>

DEFINE_string(settings, "", "Path of the settings file (TOML); see docs/SETTINGS.md");
DEFINE_bool(check_config, false, "Check the settings file and exit");
DEFINE_bool(print_settings_reference, false, "Print the reference page of all settings and exit");

namespace config = gooseberryfall::config;
namespace daemon_space = gooseberryfall::daemon;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_bad_settings = 3;
constexpr std::chrono::milliseconds poll_interval{50};

/// Waits until the instance has left after SIGTERM, SIGINT or an operator's drain. A second signal
/// ends the wait.
void wait_for_end(daemon_space::instance_daemon& running)
{
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    boost::asio::steady_timer timer(context);
    bool leaving = false;
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](const boost::system::error_code& error, int) {
            if (error) {
                return;
            }
            if (leaving) {
                context.stop();
                return;
            }
            leaving = true;
            running.begin_leaving();
            wait_for_signal();
        });
    };
    std::function<void()> poll = [&] {
        timer.expires_after(poll_interval);
        timer.async_wait([&](const boost::system::error_code&) {
            if (running.left()) {
                context.stop();
                return;
            }
            poll();
        });
    };
    wait_for_signal();
    poll();
    context.run();
}

int run(const config::daemon_settings& settings)
{
    daemon_space::instance_daemon instance(settings);
    const auto started = instance.start();
    if (!started) {
        std::cerr << "cannot start: " << started.error() << std::endl;
        return exit_failed;
    }
    std::cout << instance.ready_line() << std::endl;
    wait_for_end(instance);
    instance.stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("one instance of gooseberryfall\n"
                            "  gooseberryfalld --settings=FILE [--check_config]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_print_settings_reference) {
        std::cout << config::settings_reference();
        return 0;
    }
    if (FLAGS_settings.empty()) {
        std::cerr << "--settings=FILE is missing; --help lists all flags" << std::endl;
        return exit_usage;
    }
    const auto settings = config::read_settings(FLAGS_settings);
    if (!settings) {
        std::cerr << config::to_text(settings.error()) << std::endl;
        return exit_bad_settings;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_settings << " is valid" << std::endl;
        return 0;
    }
    return run(*settings);
}
