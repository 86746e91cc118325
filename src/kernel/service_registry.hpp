#pragma once

#include <tl/expected.hpp>

#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::kernel {

class service_registry;

/// Component of the process that is started and stopped by a `service_registry`.
class service {
public:
    service() = default;
    virtual ~service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;

    /// Starts the service. Called after all its dependencies have started. Returns the reason as an
    /// error if the service cannot start.
    virtual tl::expected<void, std::string> start(service_registry& registry) = 0;

    /// Stops the service. Called only after a successful start, and after all services that depend
    /// on this one have stopped.
    virtual void stop() = 0;
};

/// Name of the service that failed to start, and the reason.
struct start_error {
    std::string service;
    std::string reason;
};

/// Owns services by name, starts them in dependency order and stops them in reverse order. All
/// services must be added before the start. `find` and `get` are thread-safe after the start; the
/// other methods must be called from a single thread.
class service_registry {
public:
    service_registry() = default;
    /// Stops the running services, then destroys all services in reverse start order.
    ~service_registry();
    service_registry(const service_registry&) = delete;
    service_registry& operator=(const service_registry&) = delete;
    service_registry(service_registry&&) = delete;
    service_registry& operator=(service_registry&&) = delete;

    /// Registers a service that depends on the services named in `dependencies`. Preconditions: the
    /// registry is not started, and the name is not yet registered.
    template <class T>
    T& add(const std::string& name, const std::vector<std::string>& dependencies,
           std::unique_ptr<T> new_service)
    {
        T& reference = *new_service;
        add_entry(name, dependencies, std::move(new_service));
        return reference;
    }

    /// Returns the service with this name, or null if there is none or it is not a `T`.
    template <class T>
    T* find(const std::string& name) const
    {
        return dynamic_cast<T*>(find_entry(name));
    }

    /// Returns the service with this name. Precondition: it exists and is a `T`.
    template <class T>
    T& get(const std::string& name) const
    {
        T* found = find<T>(name);
        assert(found != nullptr);
        return *found;
    }

    /// Starts all services. If one fails to start, stops those that have started. Unregistered or
    /// circular dependencies are errors, in which case no service is started.
    tl::expected<void, start_error> start_all();

    /// Stops all running services, in reverse start order.
    void stop_all();

private:
    struct entry {
        std::vector<std::string> dependencies;
        std::unique_ptr<service> service_ptr;
    };
    enum class visit_state { unvisited, visiting, visited };

    void add_entry(const std::string& name, const std::vector<std::string>& dependencies,
                   std::unique_ptr<service> new_service);
    service* find_entry(const std::string& name) const;
    tl::expected<std::vector<std::string>, start_error> start_order() const;
    tl::expected<void, start_error> visit(const std::string& name,
                                          std::map<std::string, visit_state>& states,
                                          std::vector<std::string>& order) const;

    std::map<std::string, entry> entries_;
    /// Names in order of registration. Dependencies are resolved in this order, so that it decides
    /// the start order of services where their dependencies don't.
    std::vector<std::string> registered_names_;
    /// Names of the running services, in start order.
    std::vector<std::string> started_;
    /// Start order of the last `start_all`, kept after a stop for the order of destruction.
    std::vector<std::string> last_start_order_;
};

} // namespace gooseberryfall::kernel
