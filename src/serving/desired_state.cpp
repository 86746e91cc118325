#include "serving/desired_state.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

route_table::route_table(desired_state state) : state_(std::move(state))
{
    for (const route& entry : state_.routes) {
        by_host_[entry.host].push_back(&entry);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const customer_team& team : state_.teams) {
        for (const std::string& key : team.keys) {
            by_key_.emplace(key, &team);
        }
    }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto routes = by_host_.find(host);
    if (routes == by_host_.end()) {
        return nullptr;
    }
    const auto found =
        std::find_if(routes->second.begin(), routes->second.end(),
                     [path](const route* entry) { return path.starts_with(entry->path_prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const route* route_table::find_route_by_name(std::string_view name) const
{
    const auto found = std::find_if(state_.routes.begin(), state_.routes.end(),
                                    [name](const route& entry) { return entry.name == name; });
    return found == state_.routes.end() ? nullptr : &*found;
}

bool route_table::has_batch_route(std::string_view host) const
{
    const auto routes = by_host_.find(host);
    return routes != by_host_.end() &&
           std::any_of(routes->second.begin(), routes->second.end(),
                       [](const route* entry) { return entry->kind == request_kind::batch; });
}

const customer_team* route_table::find_team(const std::string& key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

core::service_id choose_service(const route& from, std::uint64_t choice)
{
    std::uint64_t total = 0;
    for (const weighted_service& entry : from.services) {
        total += entry.weight;
    }
    if (total == 0) {
        return from.services.empty() ? core::service_id() : from.services.front().service;
    }
    std::uint64_t rest = choice % total;
    for (const weighted_service& entry : from.services) {
        if (rest < entry.weight) {
            return entry.service;
        }
        rest -= entry.weight;
    }
    return from.services.back().service;
}

} // namespace gooseberryfall::serving
