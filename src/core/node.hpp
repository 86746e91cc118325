#pragma once

#include "core/actions.hpp"
#include "core/admission_queue.hpp"
#include "core/batch_partition.hpp"
#include "core/capacity_governor.hpp"
#include "core/control_state.hpp"
#include "core/currency.hpp"
#include "core/events.hpp"
#include "core/limit_client.hpp"
#include "core/limit_owner.hpp"
#include "core/membership.hpp"
#include "core/quarantine.hpp"
#include "core/retry_budget.hpp"
#include "core/router.hpp"
#include "core/shard_manager.hpp"
#include "core/types.hpp"

#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::core {

/// Settings of one instance's decisions.
struct node_settings {
    incarnation_id self;
    data_centre_id data_centre;
    /// Addresses that other instances and callers are told, as `ip:port`.
    std::string caller_address;
    std::string peer_address;
    /// Peer addresses that a new instance asks for the control state while it cannot read the log.
    std::vector<std::string> seeds;
    std::uint32_t limit_shards = 32;
    std::uint32_t batch_partitions = 16;
    /// Age up to which control state counts as current.
    duration currency_bound = std::chrono::seconds(2);
    /// Lifetime of a grant of limit tokens.
    duration grant_lifetime = std::chrono::seconds(1);
    /// Allowance for differences between the rates of two clocks over the bounds above.
    duration clock_margin = std::chrono::milliseconds(300);
    /// Time that a request waits for a limit token.
    duration token_wait = std::chrono::milliseconds(250);
    /// Time that a request waits in the queue.
    duration queue_wait = std::chrono::seconds(10);
    /// Time for which callers may cache a directory answer.
    std::chrono::milliseconds directory_validity = std::chrono::seconds(5);
    /// Time for which submission and cancel wait for the partition's holder.
    duration job_wait = std::chrono::seconds(20);
    dispatch_timeouts timeouts;
    membership_settings members;
    router_settings routing;
    governor_settings governor;
    retry_settings retries;
    quarantine_settings crashes;
    batch_settings batch;
    queue_order order = queue_order::fair;
};

/// Counters of a node, for metrics. All count since the start.
struct node_counters {
    std::uint64_t online_received = 0;
    std::uint64_t online_completed = 0;
    std::uint64_t online_refused = 0;
    std::uint64_t online_retried = 0;
    std::uint64_t batch_dispatched = 0;
    std::uint64_t batch_yielded = 0;
    std::uint64_t batch_completed = 0;
    std::uint64_t records_ignored = 0;
    std::uint64_t peer_messages_sent = 0;
    std::uint64_t refused_by_code[static_cast<std::size_t>(refusal_code::internal) + 1] = {};
};

/// The decisions of one instance: events in, actions out. Deterministic: no I/O, no clock, no
/// randomness of its own. Not thread-safe; the decision thread owns it.
class node {
public:
    explicit node(node_settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// Handles one event and returns what is to be done, in order. Precondition: `now` does not go
    /// back.
    actions handle(const event& what, time_point now);

    /// Counters since the start.
    const node_counters& counters() const;

    /// Whether the instance serves keyed traffic at `now`.
    bool is_current(time_point now) const;

    /// Control state, for tests and status.
    const control_state& state() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace gooseberryfall::core
