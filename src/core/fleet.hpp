#pragma once

#include "core/types.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::core {

/// A customer of the deployment.
struct team {
    team_id id;
    /// Online requests per second over the whole fleet; above 0.
    double rate = 1.0;
    /// Online requests at once over the whole fleet; at least 1.
    double burst = 1.0;
    /// Share in fair queueing relative to other teams; above 0.
    double weight = 1.0;
    /// Requests of the team that one instance queues at most.
    std::uint32_t queue_limit = 64;

    bool operator==(const team&) const = default;
};

/// A caller's key. Only its SHA-256 digest is kept.
struct api_key {
    key_id id;
    team_id team;
    digest hash{};

    bool operator==(const api_key&) const = default;
};

/// A model that engines serve.
struct model {
    model_id id;
    /// Tokens that a request is expected to generate when it does not say; used for fair queueing.
    std::uint32_t expected_tokens = 128;

    bool operator==(const model&) const = default;
};

/// How a service talks to its targets.
enum class service_kind { engine, plain };

/// A set of targets behind one route.
struct service {
    service_id id;
    service_kind kind = service_kind::engine;
    /// Model of an engine service; empty for a plain service.
    model_id model;
    /// Path prefix of a plain service, for example `/studio/`; empty for an engine service.
    std::string path_prefix;
    /// Whether the route is open to callers without a key.
    bool open = false;
    /// Whether every call may be repeated, whatever its method. Otherwise POST and PATCH may not.
    bool repeatable = false;

    bool operator==(const service&) const = default;
};

/// A back end of a service.
struct target {
    target_id id;
    service_id service;
    /// IP address.
    std::string address;
    std::uint16_t port = 0;
    data_centre_id data_centre;
    /// Requests that the target runs at once; at least 1.
    std::uint32_t slots = 1;
    /// Whether the target refuses an order with an old fencing number.
    bool checks_fencing = false;

    bool operator==(const target&) const = default;
};

/// One entry of the fleet's configuration.
using fleet_entry = std::variant<team, api_key, model, service, target>;

/// Kind of an entry, in the order of `fleet_entry`.
enum class entry_kind { team, api_key, model, service, target };

/// Names an entry.
struct entry_key {
    entry_kind kind = entry_kind::team;
    std::string id;

    auto operator<=>(const entry_key&) const = default;
};

/// Names the entry. Thread-safe.
entry_key key_of(const fleet_entry& entry);

/// Text of a kind: `team`, `key`, `model`, `service`, `target`. Thread-safe.
const char* to_text(entry_kind kind);

/// Text of a name, for example `team/namur`. Thread-safe.
std::string to_text(const entry_key& key);

/// The declared state of the fleet. A value type; not thread-safe while changed.
struct fleet {
    config_version version = 0;
    std::map<team_id, team> teams;
    std::map<key_id, api_key> keys;
    std::map<model_id, model> models;
    std::map<service_id, service> services;
    std::map<target_id, target> targets;

    /// Adds or replaces an entry.
    void upsert(const fleet_entry& entry);

    /// Removes an entry and says whether it was there.
    bool remove(const entry_key& key);

    /// All entries, ordered by kind and name.
    std::vector<fleet_entry> entries() const;

    /// First dangling reference or value out of range as a sentence, or nothing if the fleet is
    /// consistent.
    std::optional<std::string> find_error() const;

    /// Whether the entries are the same, whatever the version.
    bool same_entries(const fleet& other) const;
};

/// Difference between two fleets.
struct fleet_difference {
    std::vector<fleet_entry> upserts;
    std::vector<entry_key> removals;

    bool empty() const { return upserts.empty() && removals.empty(); }
};

/// What turns `from` into `to`. Thread-safe.
fleet_difference difference(const fleet& from, const fleet& to);

} // namespace gooseberryfall::core
