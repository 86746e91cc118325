#include "core/fleet.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <tuple>

namespace gooseberryfall::core {

namespace {

using finding = std::optional<std::string>;

constexpr std::size_t longest_name = 128;

/// Names of kinds, indexed by `entry_kind`.
constexpr std::array<const char*, 5> kind_names{"team", "key", "model", "service", "target"};

template <class Entry>
constexpr entry_kind kind_of()
{
    if constexpr (std::is_same_v<Entry, team>) {
        return entry_kind::team;
    }
    else if constexpr (std::is_same_v<Entry, api_key>) {
        return entry_kind::api_key;
    }
    else if constexpr (std::is_same_v<Entry, model>) {
        return entry_kind::model;
    }
    else if constexpr (std::is_same_v<Entry, service>) {
        return entry_kind::service;
    }
    else {
        return entry_kind::target;
    }
}

template <class Entry>
std::string name_of(const Entry& entry)
{
    return to_text(entry_key{kind_of<Entry>(), entry.id.value()});
}

template <class Entry>
std::string say(const Entry& entry, const std::string& what)
{
    return name_of(entry) + ": " + what;
}

bool is_name(const std::string& text)
{
    const auto printable = [](char character) { return character > ' ' && character <= '~'; };
    return !text.empty() && text.size() <= longest_name && std::ranges::all_of(text, printable);
}

bool looks_like_address(const std::string& text)
{
    constexpr const char* allowed = "0123456789abcdefABCDEF.:";
    const bool separated = text.find_first_of(".:") != std::string::npos;
    return separated && text.find_first_not_of(allowed) == std::string::npos;
}

bool is_positive(double value)
{
    return std::isfinite(value) && value > 0;
}

finding check(const team& entry, const fleet&)
{
    if (!is_positive(entry.rate)) {
        return say(entry, "rate must be above 0");
    }
    if (!std::isfinite(entry.burst) || entry.burst < 1) {
        return say(entry, "burst must be at least 1");
    }
    if (!is_positive(entry.weight)) {
        return say(entry, "weight must be above 0");
    }
    if (entry.queue_limit == 0) {
        return say(entry, "queue limit must be at least 1");
    }
    return std::nullopt;
}

finding check(const api_key& entry, const fleet& all)
{
    if (!all.teams.contains(entry.team)) {
        return say(entry, "team `" + entry.team.value() + "` does not exist");
    }
    if (entry.hash == digest{}) {
        return say(entry, "digest is not set");
    }
    return std::nullopt;
}

finding check(const model& entry, const fleet&)
{
    if (entry.expected_tokens == 0) {
        return say(entry, "expected tokens must be at least 1");
    }
    return std::nullopt;
}

finding check_engine(const service& entry, const fleet& all)
{
    if (!entry.path_prefix.empty()) {
        return say(entry, "an engine service has no path prefix");
    }
    if (!all.models.contains(entry.model)) {
        return say(entry, "model `" + entry.model.value() + "` does not exist");
    }
    return std::nullopt;
}

finding check_plain(const service& entry)
{
    if (!entry.model.empty()) {
        return say(entry, "a plain service has no model");
    }
    if (!entry.path_prefix.starts_with('/') || !is_name(entry.path_prefix)) {
        return say(entry, "path prefix must begin with `/` and hold no blanks");
    }
    return std::nullopt;
}

finding check(const service& entry, const fleet& all)
{
    switch (entry.kind) {
    case service_kind::engine:
        return check_engine(entry, all);
    case service_kind::plain:
        return check_plain(entry);
    }
    return say(entry, "kind is unknown");
}

finding check(const target& entry, const fleet& all)
{
    if (!all.services.contains(entry.service)) {
        return say(entry, "service `" + entry.service.value() + "` does not exist");
    }
    if (!looks_like_address(entry.address)) {
        return say(entry, "address `" + entry.address + "` is not a numeric IP address");
    }
    if (entry.port == 0) {
        return say(entry, "port must be above 0");
    }
    if (entry.slots == 0) {
        return say(entry, "slots must be at least 1");
    }
    return std::nullopt;
}

/// First error within one entry or in its references.
template <class Entries>
finding check_each(const Entries& entries, const fleet& all)
{
    for (const auto& [id, entry] : entries) {
        if (!is_name(id.value())) {
            return say(entry, "name must be 1 to 128 printable characters without blanks");
        }
        if (entry.id != id) {
            return say(entry, "is filed under the name `" + id.value() + "`");
        }
        if (finding found = check(entry, all)) {
            return found;
        }
    }
    return std::nullopt;
}

/// First pair of entries for which `attribute` is the same, which would make a look-up ambiguous.
template <class Entries, class Attribute>
finding check_unique(const Entries& entries, Attribute attribute, const char* what)
{
    using value = std::decay_t<decltype(attribute(entries.begin()->second))>;
    std::map<value, const typename Entries::mapped_type*> seen;
    for (const auto& [id, entry] : entries) {
        const auto [place, added] = seen.emplace(attribute(entry), &entry);
        if (!added) {
            return say(entry,
                       std::string("has the same ") + what + " as " + name_of(*place->second));
        }
    }
    return std::nullopt;
}

/// Routes are found by model or by path prefix, so each may belong to one service only.
finding check_routes(const fleet& all)
{
    const auto route = [](const service& entry) {
        return std::pair(entry.model.value(), entry.path_prefix);
    };
    return check_unique(all.services, route, "route");
}

template <class Id, class Entry>
void collect(const std::map<Id, Entry>& entries, std::vector<fleet_entry>& all)
{
    for (const auto& [id, entry] : entries) {
        all.emplace_back(entry);
    }
}

template <class Id, class Entry>
void compare(const std::map<Id, Entry>& from, const std::map<Id, Entry>& to,
             fleet_difference& result)
{
    for (const auto& [id, entry] : to) {
        const auto old = from.find(id);
        if (old == from.end() || old->second != entry) {
            result.upserts.emplace_back(entry);
        }
    }
    for (const auto& [id, entry] : from) {
        if (!to.contains(id)) {
            result.removals.push_back({kind_of<Entry>(), id.value()});
        }
    }
}

struct upsert_visitor {
    fleet& all;

    void operator()(const team& entry) const { all.teams.insert_or_assign(entry.id, entry); }
    void operator()(const api_key& entry) const { all.keys.insert_or_assign(entry.id, entry); }
    void operator()(const model& entry) const { all.models.insert_or_assign(entry.id, entry); }
    void operator()(const service& entry) const { all.services.insert_or_assign(entry.id, entry); }
    void operator()(const target& entry) const { all.targets.insert_or_assign(entry.id, entry); }
};

} // namespace

entry_key key_of(const fleet_entry& entry)
{
    const auto name = [](const auto& value) {
        return entry_key{kind_of<std::decay_t<decltype(value)>>(), value.id.value()};
    };
    return std::visit(name, entry);
}

const char* to_text(entry_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string to_text(const entry_key& key)
{
    return std::string(to_text(key.kind)) + "/" + key.id;
}

void fleet::upsert(const fleet_entry& entry)
{
    std::visit(upsert_visitor{*this}, entry);
}

bool fleet::remove(const entry_key& key)
{
    switch (key.kind) {
    case entry_kind::team:
        return teams.erase(team_id(key.id)) > 0;
    case entry_kind::api_key:
        return keys.erase(key_id(key.id)) > 0;
    case entry_kind::model:
        return models.erase(model_id(key.id)) > 0;
    case entry_kind::service:
        return services.erase(service_id(key.id)) > 0;
    case entry_kind::target:
        return targets.erase(target_id(key.id)) > 0;
    }
    return false;
}

std::vector<fleet_entry> fleet::entries() const
{
    std::vector<fleet_entry> all;
    all.reserve(teams.size() + keys.size() + models.size() + services.size() + targets.size());
    collect(teams, all);
    collect(keys, all);
    collect(models, all);
    collect(services, all);
    collect(targets, all);
    return all;
}

std::optional<std::string> fleet::find_error() const
{
    finding found = check_each(teams, *this);
    found = found ? found : check_each(keys, *this);
    found = found ? found : check_each(models, *this);
    found = found ? found : check_each(services, *this);
    found = found ? found : check_each(targets, *this);
    found = found ? found : check_routes(*this);
    if (found) {
        return found;
    }
    found = check_unique(
        keys, [](const api_key& entry) { return entry.hash; }, "digest");
    if (found) {
        return found;
    }
    const auto place = [](const target& entry) {
        return std::tuple(entry.service, entry.address, entry.port);
    };
    return check_unique(targets, place, "service, address and port");
}

bool fleet::same_entries(const fleet& other) const
{
    return teams == other.teams && keys == other.keys && models == other.models &&
           services == other.services && targets == other.targets;
}

fleet_difference difference(const fleet& from, const fleet& to)
{
    fleet_difference result;
    compare(from.teams, to.teams, result);
    compare(from.keys, to.keys, result);
    compare(from.models, to.models, result);
    compare(from.services, to.services, result);
    compare(from.targets, to.targets, result);
    return result;
}

} // namespace gooseberryfall::core
