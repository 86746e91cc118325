#include "serving/desired_state.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

route_table::route_table(desired_state state) : state_(std::move(state))
{
    for (const route& entry : state_.routes) {
        routes_by_host_[entry.host].push_back(&entry);
    }
    for (auto& [host, routes] : routes_by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const customer_team& team : state_.teams) {
        for (const std::string& api_key : team.keys) {
            teams_by_api_key_.emplace(api_key, &team);
        }
    }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto routes = routes_by_host_.find(host);
    if (routes == routes_by_host_.end()) {
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

const route* route_table::find_batch_route(std::string_view name) const
{
    const route* found = find_route_by_name(name);
    return found != nullptr && found->kind == request_kind::batch ? found : nullptr;
}

const customer_team* route_table::find_team(const std::string& api_key) const
{
    const auto found = teams_by_api_key_.find(api_key);
    return found == teams_by_api_key_.end() ? nullptr : found->second;
}

core::service_id choose_service(const route& requested_route, std::uint64_t request_hash)
{
    std::uint64_t total_weight = 0;
    for (const weighted_service& entry : requested_route.services) {
        total_weight += entry.weight;
    }
    if (total_weight == 0) {
        return requested_route.services.empty() ? core::service_id()
                                                : requested_route.services.front().service;
    }
    std::uint64_t remaining_weight = request_hash % total_weight;
    for (const weighted_service& entry : requested_route.services) {
        if (remaining_weight < entry.weight) {
            return entry.service;
        }
        remaining_weight -= entry.weight;
    }
    return requested_route.services.back().service;
}

bool sends_to(const route& requested_route, const core::service_id& service)
{
    const auto& services = requested_route.services;
    const bool weighted = std::any_of(services.begin(), services.end(),
                                      [](const weighted_service& each) { return each.weight > 0; });
    if (!weighted) {
        return !services.empty() && services.front().service == service;
    }
    return std::any_of(services.begin(), services.end(), [&](const weighted_service& each) {
        return each.weight > 0 && each.service == service;
    });
}

} // namespace gooseberryfall::serving
