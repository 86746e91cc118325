#pragma once

#include "core/capacity_governor.hpp"
#include "core/control_state.hpp"
#include "core/currency.hpp"
#include "core/limit_client.hpp"
#include "core/limit_owner.hpp"
#include "core/membership.hpp"
#include "core/node.hpp"
#include "core/quarantine.hpp"
#include "core/retry_budget.hpp"
#include "core/router.hpp"
#include "core/shard_manager.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::core {

/// Refusal of a call because the control state is not known to be current. Thread-safe.
refusal not_current(std::chrono::milliseconds retry_after = std::chrono::milliseconds(1000));

/// State that the parts of a node share, and the actions of the event being handled. Owned by the
/// node. Not thread-safe.
class node_parts {
public:
    explicit node_parts(const node_settings& node_configuration);

    /// Adds an action.
    void emit(action what) { out.push_back(std::move(what)); }

    /// Queues a message; all messages to one instance leave as one envelope after the event.
    void send(const instance_id& to, peer_message message);

    /// Sends a message to every other reachable member.
    void broadcast(const peer_message& message, time_point at);

    /// Remembers where an instance that is not a member yet can be answered.
    void remember_address(const incarnation_id& from, const std::string& address);

    /// Turns the queued messages into actions.
    void flush_messages();

    /// Appends a record as a group of its own to the control stream and returns its sequence.
    /// Writer and sequence are set here: sequences must increase in the order in which groups
    /// leave.
    std::uint64_t append_control(control_body body);

    /// Appends a group to a batch stream and returns its append number.
    std::uint64_t append_batch(std::uint32_t partition, std::vector<batch_body> bodies);

    /// Ends a caller's request with a refusal and counts it.
    void refuse(request_id request, refusal reason);

    /// Whether this instance may act on control state now.
    bool is_current(time_point now) const { return freshness.is_current(now); }

    /// Whether the instance has begun to leave.
    bool leaving() const { return leaving_since.has_value(); }

    /// Whether new requests are refused because the instance leaves: the time for which callers may
    /// have cached its address is over.
    bool closed_to_new(time_point now) const;

    /// Checks that apply to every call: leaving and currency. Returns a refusal if one fails.
    std::optional<refusal> check_open(time_point now) const;

    /// Team of a key, or the refusal.
    std::pair<std::optional<api_key>, refusal> find_key(const std::optional<digest>& key) const;

    /// A target's connection broke with a request in flight: counts it against the request's
    /// fingerprint, tells the other instances, and logs it.
    void record_death(const digest& fingerprint, const target_id& target, bool alone,
                      time_point now);

    /// Rebuilds what is derived from the fleet.
    void on_fleet_changed(time_point now);

    /// Instance that holds a shard by the log, if it is not known to be silent.
    std::optional<instance_id> holder_of(const shard_id& shard, time_point now) const;

    /// Instance that governs a target.
    instance_id governor_of(const target_id& id, time_point now) const;

    /// Targets of the service on which this instance runs no marked request alone: those of other
    /// instances, and targets that failed while others are sound. The targets are divided among the
    /// serving instances, because two that see the same idle target would both send a request, and
    /// each death there would count as a death alone.
    std::set<target_id> targets_to_avoid(const service_id& service, time_point now) const;

    const node_settings& settings;
    control_state state;
    currency freshness;
    membership members;
    shard_manager shards;
    limit_owner owner;
    limit_client borrower;
    router targets;
    capacity_governor governor;
    retry_budget retries;
    quarantine crashes;
    node_counters counters;

    /// Time of the event being handled.
    time_point event_time;
    /// When the instance began to leave.
    std::optional<time_point> leaving_since;
    /// Wall-clock time of the last tick.
    wall_time wall;
    /// Targets on which one request runs alone.
    std::set<target_id> reserved_targets;
    /// Targets on which a request runs that the quarantine has marked. No second one is sent there,
    /// so that an innocent one does not stand beside the one that ends targets again.
    std::set<target_id> marked_targets;
    dispatch_id next_dispatch = 1;

    actions out;

private:
    std::uint64_t next_append_ = 1;
    std::uint64_t next_sequence_ = 1;
    std::map<instance_id, std::vector<peer_message>> outbox_;
    std::map<instance_id, std::pair<incarnation_id, std::string>> addresses_;
    /// Keys by the first 8 bytes of their digest; the whole digest is compared in constant time.
    std::multimap<std::uint64_t, api_key> keys_;
};

} // namespace gooseberryfall::core
