#include "edge/directory_service.hpp"

#include "core/types.hpp"

#include <algorithm>

namespace gooseberryfall::edge {

std::vector<std::string>
directory_service::choose(const std::vector<serving::fleet_member>& members)
{
    double largest = 0;
    for (const serving::fleet_member& member : members) {
        largest = std::max(largest, member.capacity);
    }
    // A caller picks one of the addresses at random, so that an instance gets callers by how often
    // it is named: in proportion to its capacity.
    ++turn_;
    std::vector<std::string> addresses;
    for (const serving::fleet_member& member : members) {
        const std::uint64_t draw = core::stable_hash(member.id.value(), turn_);
        const double chance = largest > 0 ? member.capacity / largest : 1.0;
        if (static_cast<double>(draw % 1000) < chance * 1000) {
            addresses.push_back(member.callers_address);
        }
    }
    if (addresses.size() > addresses_max_) {
        std::sort(addresses.begin(), addresses.end(), [this](const auto& a, const auto& b) {
            return core::stable_hash(a, turn_) < core::stable_hash(b, turn_);
        });
        addresses.resize(addresses_max_);
    }
    return addresses;
}

void directory_service::handle(const http::request& received,
                               const std::shared_ptr<http::responder>& caller,
                               const std::vector<serving::fleet_member>& members,
                               const std::string& self)
{
    if (!translator_.is_directory_request(received)) {
        caller->send({404, {}, {}});
        return;
    }
    std::vector<std::string> addresses = choose(members);
    if (addresses.empty() && !self.empty()) {
        addresses.push_back(self);
    }
    if (addresses.empty()) {
        caller->send({503, {}, {}});
        return;
    }
    caller->send(translator_.encode_directory(addresses, lifetime_));
}

} // namespace gooseberryfall::edge
