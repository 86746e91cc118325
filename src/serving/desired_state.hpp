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

/// How the requests of a route are run, and whether they may be repeated.
enum class request_kind { idempotent, non_idempotent, streaming, batch };

/// A service that receives a weighted share of a route's requests.
struct weighted_service {
    core::service_id service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// Policy of a route for batch jobs.
struct batch_policy {
    /// Time from the submission until all results are due; the point in time is called `due_at`.
    std::chrono::milliseconds result_objective{0};
    /// Time from the submission after which an unfinished item is abandoned.
    std::chrono::milliseconds item_lifetime{0};
    /// Tokens of one team that may be pending over all instances; 0 means no limit.
    std::uint64_t pending_tokens_max = 0;

    bool operator==(const batch_policy&) const = default;
};

/// Routes the requests of a host and path prefix to services.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::idempotent;
    /// Whether a stream may be continued at another target, after the last event received.
    bool resumable = false;
    std::vector<weighted_service> services;
    /// Longest time for which a request is kept waiting for its response.
    std::chrono::milliseconds timeout{0};
    /// Latency objective for the response, or for the first event of a stream.
    std::chrono::milliseconds objective{0};
    /// Maximum number of attempts. For a request these are the targets to which it may be sent, for
    /// an item the failures that targets report.
    std::uint32_t attempts_max = 1;
    /// 0 is the highest priority.
    int priority = 0;
    /// Whether callers may send requests without an API key.
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

/// A service: a set of targets that serve the same requests.
struct target_service {
    core::service_id id;
    /// Connections that one target accepts from all instances together; 0 means no limit.
    std::uint32_t connections_max = 0;
    /// Time for which a target takes few requests after its start, and how many a second from all
    /// instances together; a rate of 0 means no limit.
    std::chrono::milliseconds cold_start{0};
    double cold_rate = 0;
    /// Memory of one target in tokens of prompts and outputs; 0 means that it isn't counted.
    std::uint64_t target_memory = 0;

    bool operator==(const target_service&) const = default;
};

/// A customer team, with its API keys and its rate limit over all instances together.
struct customer_team {
    core::team_id id;
    std::vector<std::string> keys;
    /// Requests per second; 0 means no limit.
    double rate = 0;
    /// Depth of the token bucket, in requests: how many may be sent at once.
    double burst = 0;
    /// Weight of the team when slots are scarce; see `fair_shares`. Positive.
    double weight = 1;

    bool operator==(const customer_team&) const = default;
};

/// Limits for the requests and connections of callers.
struct caller_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4U << 20U;
    std::chrono::milliseconds idle_timeout{15000};

    bool operator==(const caller_limits&) const = default;
};

/// The complete configuration that the operator wants to be in effect.
struct desired_state {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<target_service> services;
    std::vector<customer_team> teams;
    /// Whether requests need an API key, except on routes that allow anonymous callers.
    bool requires_api_key = false;
    caller_limits limits;

    bool operator==(const desired_state&) const = default;
};

/// A desired state with indexes for lookups. Immutable, thus thread-safe.
class route_table {
public:
    explicit route_table(desired_state state);

    /// Route of a request: the one with the longest matching prefix among the routes of the host,
    /// or null. `path` must not contain a query.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// Route with the given name, or null.
    const route* find_route_by_name(std::string_view name) const;

    /// Batch route with the given name, or null.
    const route* find_batch_route(std::string_view name) const;

    /// Team that owns an API key, or null.
    const customer_team* find_team(const std::string& api_key) const;

    const desired_state& state() const { return state_; }

private:
    desired_state state_;
    /// Routes of each host, longest prefix first.
    std::map<std::string, std::vector<const route*>, std::less<>> routes_by_host_;
    std::unordered_map<std::string, const customer_team*> teams_by_api_key_;
};

/// Service for one request of a route, chosen by the weights. `request_hash` identifies the
/// request: the same value gives the same service. Empty if the route has no service. Thread-safe.
core::service_id choose_service(const route& requested_route, std::uint64_t request_hash);

/// Whether the route sends requests to the service. Thread-safe.
bool sends_to(const route& requested_route, const core::service_id& service);

} // namespace gooseberryfall::serving
