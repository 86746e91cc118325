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

/// A part of the process with a life of its own.
class service {
public:
    service() = default;
    virtual ~service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;

    /// Begins to work; all dependencies have started. Returns the reason if it cannot.
    virtual tl::expected<void, std::string> start(service_registry& registry) = 0;

    /// Ends the work; services that depend on this one have stopped. Called only after a successful
    /// start.
    virtual void stop() = 0;
};

/// Which service failed to start, and why.
struct start_error {
    std::string service;
    std::string reason;
};

/// Services by name, started in dependency order and stopped in reverse. Services are registered
/// before the start; afterwards `find` is thread-safe. The other methods are for one thread.
class service_registry {
public:
    service_registry() = default;
    /// Stops what runs and destroys the services in reverse order of their start.
    ~service_registry();
    service_registry(const service_registry&) = delete;
    service_registry& operator=(const service_registry&) = delete;
    service_registry(service_registry&&) = delete;
    service_registry& operator=(service_registry&&) = delete;

    /// Registers a service that needs the named ones. Precondition: not started, and the name is
    /// not taken.
    template <class T>
    T& add(const std::string& name, const std::vector<std::string>& dependencies,
           std::unique_ptr<T> added)
    {
        T& reference = *added;
        add_entry(name, dependencies, std::move(added));
        return reference;
    }

    /// The service of that name, or null if there is none or it is no `T`.
    template <class T>
    T* find(const std::string& name) const
    {
        return dynamic_cast<T*>(find_entry(name));
    }

    /// The service of that name. Precondition: it exists and is a `T`.
    template <class T>
    T& get(const std::string& name) const
    {
        T* found = find<T>(name);
        assert(found != nullptr);
        return *found;
    }

    /// Starts all services. If one fails, those already started are stopped again. Unknown or
    /// circular dependencies are errors, too.
    tl::expected<void, start_error> start_all();

    /// Stops all services that have started, in reverse order.
    void stop_all();

private:
    struct entry {
        std::vector<std::string> dependencies;
        std::unique_ptr<service> instance;
    };
    enum class visit_state { unseen, open, done };

    void add_entry(const std::string& name, const std::vector<std::string>& dependencies,
                   std::unique_ptr<service> added);
    service* find_entry(const std::string& name) const;
    tl::expected<std::vector<std::string>, start_error> start_order() const;
    tl::expected<void, start_error> visit(const std::string& name,
                                          std::map<std::string, visit_state>& states,
                                          std::vector<std::string>& order) const;

    std::map<std::string, entry> entries_;
    /// Names in order of registration, which decides between services without a dependency.
    std::vector<std::string> names_;
    /// Names in order of start.
    std::vector<std::string> started_;
    /// Order of the last start, also after a stop.
    std::vector<std::string> order_;
};

} // namespace gooseberryfall::kernel
