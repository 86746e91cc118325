#include "serving/cold_limits.hpp"

#include "serving/target_conditions.hpp"

#include <algorithm>
#include <cstdint>

namespace gooseberryfall::serving {

namespace {

/// Part of the bound that the leader uses in any second.
constexpr double leader_part = 0.6;
/// Part of the bound that all instances without a leader use together. What remains, 0.15, is for
/// requests that reach a target later than others: 0.3 s at the leader's rate.
constexpr double local_part = 0.25;
/// Part of the leader's requests in a second that may be sent at once after a pause.
constexpr double leader_burst_part = 0.2;
/// In any second a holder sends its burst and what its rate allows, which are equal.
constexpr double holder_requests_min = 2.0;
/// Rounding errors of the number of holders.
constexpr double tolerance_of_count = 1e-9;

/// Spreads all bits of a value over all bits of the result (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

void cold_limits::set_services(const std::vector<target_service>& services)
{
    rates_.clear();
    cold_starts_.clear();
    for (const target_service& each : services) {
        if (each.cold_rate > 0) {
            rates_[each.id] = each.cold_rate;
            cold_starts_[each.id] = each.cold_start;
        }
    }
}

std::set<core::service_id> cold_limits::services() const
{
    std::set<core::service_id> result;
    for (const auto& [service, rate] : rates_) {
        result.insert(service);
    }
    return result;
}

std::optional<std::chrono::milliseconds>
cold_limits::cold_start(const core::service_id& service) const
{
    const auto found = cold_starts_.find(service);
    return found == cold_starts_.end() ? std::nullopt : std::optional(found->second);
}

std::map<core::service_id, cold_rate> cold_limits::leader_rates() const
{
    std::map<core::service_id, cold_rate> result;
    for (const auto& [service, rate] : rates_) {
        const double total = bound(rate) * leader_part;
        const double burst = std::max(1.0, total * leader_burst_part);
        result[service] = {std::clamp(total - burst, 0.0, rate), burst};
    }
    return result;
}

std::size_t cold_limits::holder_count(double rate, std::size_t members) const
{
    const double holders_max = bound(rate) * local_part / holder_requests_min;
    return std::min(members, static_cast<std::size_t>(holders_max + tolerance_of_count));
}

std::map<core::service_id, cold_rate> cold_limits::holder_rates(std::size_t members) const
{
    std::map<core::service_id, cold_rate> result;
    for (const auto& [service, rate] : rates_) {
        const auto holders =
            static_cast<double>(std::max<std::size_t>(1, holder_count(rate, members)));
        const double each = bound(rate) * local_part / holders / holder_requests_min;
        result[service] = {each, std::max(1.0, each)};
    }
    return result;
}

std::vector<target_entry> cold_limits::select_local_targets(
    std::vector<target_entry> entries, const target_conditions& conditions,
    const core::instance_id& self, const std::vector<core::instance_id>& known, std::size_t members,
    core::time_point now) const
{
    if (rates_.empty()) {
        return entries;
    }
    const std::size_t others =
        known.size() - static_cast<std::size_t>(std::count(known.begin(), known.end(), self));
    const std::size_t all = std::max(members, others + 1);
    // Hashed once, since the ranks are compared for each cold target.
    std::vector<std::uint64_t> hashes;
    hashes.reserve(known.size());
    for (const core::instance_id& other : known) {
        if (other != self) {
            hashes.push_back(core::stable_hash(other.value()));
        }
    }
    const std::uint64_t own_hash = core::stable_hash(self.value());
    const auto is_holder = [&](const target_entry& entry) {
        const std::uint64_t target_hash = core::stable_hash(entry.id.value());
        const std::uint64_t own_weight = mix(own_hash ^ target_hash);
        const auto ahead = static_cast<std::size_t>(
            std::count_if(hashes.begin(), hashes.end(), [&](std::uint64_t hash) {
                return mix(hash ^ target_hash) > own_weight;
            }));
        // Instances that aren't known may rank ahead: the known ones have their part of the places.
        const std::size_t places = holder_count(rates_.at(entry.service), all) * (others + 1) / all;
        return ahead < places;
    };
    std::erase_if(entries, [&](target_entry& entry) {
        entry.cold = conditions.is_cold_by_own_answers(entry, now);
        return entry.cold && rates_.contains(entry.service) && !is_holder(entry);
    });
    return entries;
}

} // namespace gooseberryfall::serving
