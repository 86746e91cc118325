#pragma once

#include "config/config.hpp"
#include "kernel/kernel.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace gooseberryfall::daemon {

class callers_service;
class decision_service;
class operators_service;
class peers_service;

/// One instance: the services of the daemon in the micro-kernel. Used by one thread.
class instance_daemon {
public:
    explicit instance_daemon(config::daemon_settings settings);
    ~instance_daemon();
    instance_daemon(const instance_daemon&) = delete;
    instance_daemon& operator=(const instance_daemon&) = delete;
    instance_daemon(instance_daemon&&) = delete;
    instance_daemon& operator=(instance_daemon&&) = delete;

    /// Starts all services, or returns the reason why not.
    tl::expected<void, std::string> start();

    /// Line that names the ports, for example `ready callers=8080 peers=7000 operators=9000`.
    /// Precondition: started.
    std::string ready_line() const;

    /// Begins to leave: see section 7 of docs/design.md.
    void begin_leaving();

    /// Whether the instance has left and may exit.
    bool left() const;

    /// Writes what callers still wait for and stops all services.
    void stop();

private:
    void add_services();

    config::daemon_settings settings_;
    std::uint64_t incarnation_;
    kernel::metrics metrics_;
    kernel::logger logger_;
    kernel::service_registry registry_;
    callers_service* callers_ = nullptr;
    decision_service* decisions_ = nullptr;
    operators_service* operators_ = nullptr;
    peers_service* peers_ = nullptr;
};

} // namespace gooseberryfall::daemon
