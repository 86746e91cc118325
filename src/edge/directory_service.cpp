#include "edge/directory_service.hpp"

#include "core/types.hpp"

#include <algorithm>

namespace gooseberryfall::edge {

std::vector<std::string>
directory_service::choose_addresses(const std::vector<serving::fleet_member>& members)
{
    double largest_capacity = 0;
    for (const serving::fleet_member& member : members) {
        largest_capacity = std::max(largest_capacity, member.capacity);
    }
    // Callers pick one of the addresses at random. Each instance is listed with a probability in
    // proportion to its capacity, and so gets a proportional share of the callers.
    ++response_count_;
    std::vector<std::string> addresses;
    for (const serving::fleet_member& member : members) {
        const std::uint64_t hash = core::stable_hash(member.id.value(), response_count_);
        const double probability = largest_capacity > 0 ? member.capacity / largest_capacity : 1.0;
        if (static_cast<double>(hash % 1000) < probability * 1000) {
            addresses.push_back(member.callers_address);
        }
    }
    if (addresses.size() > addresses_max_) {
        std::sort(addresses.begin(), addresses.end(), [this](const auto& a, const auto& b) {
            return core::stable_hash(a, response_count_) < core::stable_hash(b, response_count_);
        });
        addresses.resize(addresses_max_);
    }
    return addresses;
}

void directory_service::handle(const http::request& received,
                               const std::shared_ptr<http::responder>& caller,
                               const std::vector<serving::fleet_member>& members,
                               const std::string& own_address)
{
    if (!translator_.is_directory_request(received)) {
        caller->send({404, {}, {}});
        return;
    }
    std::vector<std::string> addresses = choose_addresses(members);
    if (addresses.empty() && !own_address.empty()) {
        addresses.push_back(own_address);
    }
    if (addresses.empty()) {
        caller->send({503, {}, {}});
        return;
    }
    caller->send(translator_.encode_directory(addresses, ttl_));
}

} // namespace gooseberryfall::edge
