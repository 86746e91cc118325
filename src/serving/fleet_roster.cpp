#include "serving/fleet_roster.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::serving {

void fleet_roster::set_registered(const std::vector<fleet_member>& members, core::time_point now)
{
    for (auto& [id, state] : members_) {
        state.registered = false;
    }
    for (const fleet_member& member : members) {
        const auto [it, added] = members_.try_emplace(member.id);
        member_state& state = it->second;
        if (added) {
            state.last_active_at = now;
        }
        state.registered = true;
        state.member = member;
    }
    std::erase_if(members_, [](const auto& entry) {
        return !entry.second.registered && !entry.second.alive;
    });
}

void fleet_roster::set_targets(const target_entries& targets)
{
    view_.set_targets(targets);
    ++revision_;
}

void fleet_roster::apply_view(const fleet_view& view, core::time_point now)
{
    for (auto& [id, state] : members_) {
        state.alive = false;
        state.ready = false;
        state.partitions.clear();
    }
    owners_.clear();
    for (const fleet_member& member : view.members()) {
        member_state& state = members_[member.id];
        state.member = member;
        state.ready = true;
        state.leaving = false;
        state.alive = true;
        state.last_active_at = now;
    }
    for (const partition_owner& owner : view.owners()) {
        members_[owner.instance].partitions.push_back({owner.partition, owner.epoch});
        owners_[owner.partition] = owner;
    }
}

void fleet_roster::start_leading(core::time_point now)
{
    for (auto& [id, state] : members_) {
        state.last_active_at = now;
        state.reported_at.reset();
        state.acknowledged_blocks.clear();
        state.sent_blocks.clear();
    }
    rebuild_view();
}

void fleet_roster::apply_report(const core::instance_id& from, const instance_report& report,
                                core::time_point now)
{
    member_state& state = members_[from];
    const bool changed = !state.alive || state.ready != report.ready ||
                         state.leaving != report.leaving || !(state.member == report.self) ||
                         state.partitions != report.partitions;
    state.member = report.self;
    state.ready = report.ready;
    state.leaving = report.leaving;
    state.alive = true;
    state.exited = false;
    state.declared_unresponsive = false;
    state.last_active_at = now;
    state.reported_at = now;
    state.store_read_at = now - report.store_age;
    state.recent_requests = report.recent_requests;
    state.uptime = report.uptime;
    state.partitions = report.partitions;
    state.acknowledged_blocks = report.held_blocks;
    if (changed) {
        rebuild_view();
    }
}

void fleet_roster::rebuild_view()
{
    owners_.clear();
    for (const auto& [id, state] : members_) {
        for (const owned_partition& owned : state.partitions) {
            if (!state.alive) {
                continue;
            }
            const auto [it, added] =
                owners_.try_emplace(owned.number, partition_owner{owned.number, owned.epoch, id});
            if (!added && owned.epoch > it->second.epoch) {
                it->second = {owned.number, owned.epoch, id};
            }
        }
    }
    partition_owners owners;
    for (const auto& [number, owner] : owners_) {
        owners.push_back(owner);
    }
    view_.set_owners(std::move(owners));
    view_.set_members(ready());
    ++revision_;
}

fleet_roster::departures fleet_roster::expire_members(std::chrono::milliseconds interval,
                                                      core::time_point now)
{
    departures result;
    bool changed = false;
    for (auto& [id, state] : members_) {
        const auto inactive_for = now - state.last_active_at;
        if (!state.exited && inactive_for <= interval * settings_.missed_reports_max) {
            continue;
        }
        // An instance that was killed together with the last leader is alive by that leader's view,
        // and has never been declared unresponsive by this one.
        changed = changed || state.alive;
        state.alive = false;
        if (!state.declared_unresponsive) {
            state.declared_unresponsive = true;
            result.unresponsive.push_back({state.member, !state.partitions.empty()});
            state.partitions.clear();
        }
        if (inactive_for > settings_.member_lifetime) {
            result.removed.push_back(state.member);
        }
    }
    for (const fleet_member& member : result.removed) {
        members_.erase(member.id);
    }
    if (changed || !result.unresponsive.empty() || !result.removed.empty()) {
        rebuild_view();
    }
    return result;
}

void fleet_roster::mark_exited(const core::instance_id& instance)
{
    const auto found = members_.find(instance);
    if (found != members_.end() && instance != self_) {
        found->second.exited = true;
    }
}

std::vector<const fleet_block*> fleet_roster::take_blocks_to_send(const core::instance_id& receiver,
                                                                  core::time_point now)
{
    const auto found = members_.find(receiver);
    if (found == members_.end()) {
        return {};
    }
    member_state& state = found->second;
    std::vector<const fleet_block*> result =
        view_.stale_blocks(receiver, state.acknowledged_blocks);
    std::erase_if(result, [&](const fleet_block* block) {
        const std::pair current_send(block->version(), now);
        const auto [last_send, never_sent] = state.sent_blocks.try_emplace(block->id, current_send);
        const bool in_flight = !never_sent && last_send->second.first == current_send.first &&
                               now - last_send->second.second < settings_.block_resend_delay;
        if (!in_flight) {
            last_send->second = current_send;
        }
        return in_flight;
    });
    return result;
}

bool fleet_roster::has_reported(const core::instance_id& peer) const
{
    const auto found = members_.find(peer);
    return found != members_.end() && found->second.reported_at.has_value();
}

double fleet_roster::alive_share() const
{
    return static_cast<double>(alive_count()) / static_cast<double>(size());
}

team_spending fleet_roster::fleet_spending(const team_sent_requests& own,
                                           std::chrono::milliseconds uptime,
                                           std::chrono::milliseconds window,
                                           core::time_point now) const
{
    using std::chrono::milliseconds;
    team_spending result;
    // Counts by the step of the window in which the requests were sent.
    std::map<core::team_id, std::map<std::int64_t, double>> sums;
    const milliseconds step = spending_step(window);
    // Fractions of the window that are covered and not covered by known counts, summed over the
    // instances.
    double known = 0;
    double unknown = 0;
    milliseconds uptime_max{0};
    const auto add = [&](const team_sent_requests& requests, milliseconds member_uptime,
                         core::duration since_report) {
        ++result.reporting_instances;
        uptime_max = std::max(uptime_max, member_uptime);
        const double covered = std::min(1.0, std::chrono::duration<double>(member_uptime) / window);
        known += covered;
        unknown += 1.0 - covered;
        for (const auto& [team, steps] : requests) {
            for (const sent_requests& sent : steps) {
                sums[team][(sent.age + since_report) / step] += sent.count;
            }
        }
    };
    add(own, uptime, core::duration::zero());
    for (const auto& [id, state] : members_) {
        if (id == self_) {
            continue;
        }
        if (state.reported_at) {
            add(state.recent_requests, state.uptime, now - *state.reported_at);
        }
        else {
            unknown += 1.0;
        }
    }
    if (uptime_max < window) {
        // All instances have restarted within the window. `since_restart` says which part of it the
        // counts cover, so nothing is extrapolated.
        result.scope = spending_scope::restart;
        result.since_restart = uptime_max;
        unknown = 0;
    }
    else if (majority_reported()) {
        result.scope = spending_scope::window;
    }
    // Processes that have ended are assumed to have sent as many requests as the others in the same
    // time.
    const double extrapolation = known > 0 ? 1.0 + unknown / known : 1.0;
    for (const auto& [team, steps] : sums) {
        std::vector<sent_requests>& requests = result.requests[team];
        // Sums are rounded, so that no request is lost or added by rounding each step.
        double sum = 0;
        long counted = 0;
        for (const auto& [index, count] : steps) {
            sum += count * extrapolation;
            const long more = std::lround(sum) - counted;
            counted += more;
            requests.push_back({index * step, static_cast<std::uint32_t>(more)});
        }
    }
    return result;
}

bool fleet_roster::majority_reported() const
{
    std::size_t reported = 1;
    std::size_t total = 1;
    for (const auto& [id, state] : members_) {
        if (id != self_) {
            ++total;
            reported += state.reported_at ? 1 : 0;
        }
    }
    return reported * 2 > total;
}

std::optional<core::time_point> fleet_roster::latest_peer_store_read() const
{
    std::optional<core::time_point> latest;
    for (const auto& [id, state] : members_) {
        if (id != self_ && state.alive && state.reported_at) {
            latest = std::max(latest.value_or(state.store_read_at), state.store_read_at);
        }
    }
    return latest;
}

bool fleet_roster::lags_behind_store(const member_state& state) const
{
    if (!state.reported_at || state.uptime < settings_.store_lag_max) {
        return false;
    }
    return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
        const member_state& other = entry.second;
        return other.alive && other.reported_at &&
               other.store_read_at > state.store_read_at + settings_.store_lag_max;
    });
}

double fleet_roster::largest_owner_capacity(std::chrono::milliseconds interval,
                                            core::time_point now) const
{
    const std::chrono::milliseconds time_to_report =
        majority_reported() ? interval * settings_.missed_reports_max : settings_.isolation_hold;
    double largest = 0;
    for (const auto& [id, state] : members_) {
        const bool expected =
            state.registered && !state.exited && now - state.last_active_at <= time_to_report;
        if ((state.alive || expected) && !state.leaving && state.member.capacity > largest &&
            !lags_behind_store(state)) {
            largest = state.member.capacity;
        }
    }
    return largest;
}

std::vector<core::instance_id> fleet_roster::peers() const
{
    std::vector<core::instance_id> result;
    result.reserve(members_.size());
    for (const auto& [id, state] : members_) {
        if (id != self_) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<core::instance_id> fleet_roster::unreported_peers() const
{
    std::vector<core::instance_id> result;
    for (const auto& [id, state] : members_) {
        if (id != self_ && !state.reported_at) {
            result.push_back(id);
        }
    }
    return result;
}

std::size_t fleet_roster::alive_count() const
{
    const auto alive = std::count_if(members_.begin(), members_.end(), [this](const auto& entry) {
        return entry.first != self_ && entry.second.alive;
    });
    return static_cast<std::size_t>(alive) + 1;
}

ready_members fleet_roster::ready() const
{
    ready_members result;
    for (const auto& [id, state] : members_) {
        if (state.alive && state.ready && !state.leaving) {
            result.push_back(state.member);
        }
    }
    return result;
}

const partition_owner* fleet_roster::owner_of(std::uint32_t partition) const
{
    const auto found = owners_.find(partition);
    return found == owners_.end() ? nullptr : &found->second;
}

} // namespace gooseberryfall::serving
