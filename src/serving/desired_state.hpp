#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberryfall::serving {

/// What a route promises about repeating its requests.
enum class request_kind { idempotent, non_idempotent, streaming, batch };

/// A service that takes a share of a route's requests.
struct weighted_service {
    core::service_id service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// Terms of a route that takes batch jobs.
struct batch_policy {
    /// Time from the submission until every result is due.
    std::chrono::milliseconds result_objective{0};
    /// Time from the submission after which an item may be given up.
    std::chrono::milliseconds retention{0};
    /// Tokens of one team that may wait over all instances; 0 means no limit.
    std::uint64_t waiting_tokens_max = 0;

    bool operator==(const batch_policy&) const = default;
};

/// Sends the requests of a host and path prefix to services.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::idempotent;
    /// Whether a stream may go on at another target after its last event.
    bool resumable = false;
    std::vector<weighted_service> services;
    /// Longest time for which a request is kept waiting.
    std::chrono::milliseconds timeout{0};
    /// Time within which an answer, or the first event of a stream, is on time.
    std::chrono::milliseconds objective{0};
    /// Targets to which one request may be sent.
    std::uint32_t attempts = 1;
    /// Rank; 0 is the most urgent.
    int priority = 0;
    /// Whether callers need no key.
    bool allows_anonymous = false;
    batch_policy batch;

    /// Whether a request may run more than once. Thread-safe.
    bool repeatable() const
    {
        return kind == request_kind::idempotent || kind == request_kind::batch ||
               (kind == request_kind::streaming && resumable);
    }

    bool operator==(const route&) const = default;
};

/// A set of targets behind routes.
struct target_service {
    core::service_id id;
    /// Connections that one target accepts from all instances together; 0 means no limit.
    std::uint32_t connections_max = 0;

    bool operator==(const target_service&) const = default;
};

/// A customer, with its keys and its rate over all instances together.
struct customer_team {
    core::team_id id;
    std::vector<std::string> keys;
    /// Requests per second; 0 means no limit.
    double rate = 0;
    /// Requests at once.
    double burst = 0;

    bool operator==(const customer_team&) const = default;
};

/// What callers may send, and how long they may take.
struct caller_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4U << 20U;
    std::chrono::milliseconds idle_timeout{15000};

    bool operator==(const caller_limits&) const = default;
};

/// The configuration that the operator wants to be in force, as a whole.
struct desired_state {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<target_service> services;
    std::vector<customer_team> teams;
    /// Whether requests need a key at all.
    bool requires_keys = false;
    caller_limits limits;

    bool operator==(const desired_state&) const = default;
};

/// A desired state with its look-ups. Immutable, thus thread-safe.
class route_table {
public:
    explicit route_table(desired_state state);

    /// Route of a request: the longest prefix among the routes of the host, or null. `path` has no
    /// query.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// Route by its name, or null.
    const route* find_route_by_name(std::string_view name) const;

    /// Whether any batch route has this host.
    bool has_batch_route(std::string_view host) const;

    /// Team that holds a key, or null.
    const customer_team* find_team(const std::string& key) const;

    const desired_state& state() const { return state_; }

private:
    desired_state state_;
    /// Routes of each host, longest prefix first.
    std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
    std::unordered_map<std::string, const customer_team*> by_key_;
};

/// Service for one request of a route, chosen by the weights; `choice` is any number that differs
/// between requests. Empty if the route has no service. Thread-safe.
core::service_id choose_service(const route& from, std::uint64_t choice);

} // namespace gooseberryfall::serving
