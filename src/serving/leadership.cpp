#include "serving/leadership.hpp"

#include <algorithm>
#include <tuple>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

/// A leader whose last heartbeat is older than this many intervals may have failed and is not named
/// to other instances.
constexpr double recent_intervals = 1.5;

milliseconds scale(milliseconds period, double factor)
{
    return std::chrono::duration_cast<milliseconds>(period * factor);
}

} // namespace

bool ranks_before(const fleet_member& a, const fleet_member& b)
{
    return std::tuple(-a.capacity, a.started_at, a.id) <
           std::tuple(-b.capacity, b.started_at, b.id);
}

leadership::leadership(fleet_member self, leadership_settings settings, core::time_point now)
    : self_(std::move(self)), settings_(settings), leader_interval_(settings.heartbeat_interval),
      last_heartbeat_at_(now), last_tick_at_(now), election_start_(now)
{
}

void leadership::set_members(const std::vector<fleet_member>& members)
{
    members_ = members;
    std::sort(members_.begin(), members_.end(), ranks_before);
    peers_known_ = true;
    members_known_ = true;
}

milliseconds leadership::heartbeat_interval() const
{
    const auto members = static_cast<std::int64_t>(members_.size());
    return std::max(settings_.heartbeat_interval,
                    settings_.heartbeat_interval_per_member * members);
}

milliseconds leadership::heartbeat_timeout() const
{
    return scale(leader_interval_, settings_.heartbeat_timeout_intervals);
}

std::size_t leadership::capped_rank() const
{
    if (!members_known_) {
        return settings_.resignation_ranks_max;
    }
    const auto before =
        std::count_if(members_.begin(), members_.end(), [this](const fleet_member& other) {
            return other.id != self_.id && other.id != resigned_leader_ &&
                   ranks_before(other, self_);
        });
    return std::min(static_cast<std::size_t>(before), settings_.resignation_ranks_max);
}

void leadership::start_election(core::time_point now)
{
    leader_.reset();
    election_start_ = now;
    resigned_leader_.reset();
    last_hint_at_.reset();
}

void leadership::on_heartbeat(const fleet_member& from, bool resigning, milliseconds interval,
                              core::time_point now)
{
    if (from.id == self_.id) {
        return;
    }
    candidates_.erase(from.id);
    peers_known_ = true;
    const bool is_leader = leader_ && leader_->id == from.id;
    if (resigning) {
        if (is_leader) {
            start_election(now);
            // All instances receive this heartbeat, so that nobody has to be queried.
            resigned_leader_ = from.id;
        }
        return;
    }
    if (leads_ && !ranks_before(from, self_)) {
        return;
    }
    const bool leader_is_recent = leader_ && now - last_heartbeat_at_ < leader_interval_ * 2;
    if (leads_ || is_leader || !leader_is_recent || ranks_before(from, *leader_)) {
        leads_ = false;
        leader_ = from;
        leader_interval_ = std::max(interval, settings_.heartbeat_interval);
        last_heartbeat_at_ = now;
        election_start_.reset();
    }
}

void leadership::on_candidate(const fleet_member& from, bool store_readable, core::time_point now)
{
    if (from.id != self_.id) {
        candidates_[from.id] = {from, store_readable, now};
    }
}

bool leadership::has_better_candidate(bool store_readable, core::time_point now) const
{
    return std::any_of(candidates_.begin(), candidates_.end(), [&](const auto& entry) {
        const candidate& other = entry.second;
        const bool is_current = now - other.seen_at < settings_.candidate_lifetime;
        return is_current &&
               (other.store_readable != store_readable ? other.store_readable
                                                       : ranks_before(other.member, self_));
    });
}

bool leadership::should_lead(bool store_readable, core::time_point now) const
{
    const auto elapsed = now - *election_start_;
    if (!peers_known_ && (!store_readable || elapsed < settings_.member_list_timeout)) {
        return false;
    }
    if (elapsed >= settings_.election_timeout) {
        return true;
    }
    const bool leader_hinted = last_hint_at_ && now - *last_hint_at_ < heartbeat_timeout();
    if (leader_hinted || has_better_candidate(store_readable, now)) {
        return false;
    }
    auto delay = resigned_leader_
                     ? settings_.resignation_delay_per_rank * static_cast<int>(capped_rank())
                     : settings_.election_delay +
                           (capped_rank() > 0 ? settings_.lower_rank_delay : milliseconds(0));
    // Once there are other candidates, has_better_candidate() prefers those that can read the
    // store.
    if (!store_readable && candidates_.empty()) {
        delay += settings_.unreadable_store_delay;
    }
    return elapsed >= delay;
}

void leadership::tick(core::time_point now, bool store_readable, bool peer_is_newer)
{
    const bool stalled = has_stalled(now);
    last_tick_at_ = now;
    if (withdrawn_) {
        return;
    }
    if (leads_) {
        if (stalled || peer_is_newer) {
            leads_ = false;
            start_election(now);
        }
        return;
    }
    if (stalled) {
        // Heartbeats that arrived during the stall have not been read yet.
        last_heartbeat_at_ = now;
        if (election_start_) {
            election_start_ = now;
        }
        return;
    }
    if (leader_ && now - last_heartbeat_at_ > heartbeat_timeout()) {
        start_election(now);
    }
    if (election_start_ && should_lead(store_readable, now)) {
        leads_ = true;
        leader_.reset();
        election_start_.reset();
        candidates_.clear();
    }
}

std::vector<core::instance_id> leadership::take_queries(core::time_point now)
{
    std::vector<core::instance_id> result;
    const bool due = now - last_queries_at_ >= settings_.query_interval;
    if (!election_start_ || withdrawn_ || members_.empty() || !due) {
        return result;
    }
    last_queries_at_ = now;
    const std::size_t first_count = std::min(settings_.queries_by_rank, members_.size());
    for (std::size_t index = 0; index < first_count; ++index) {
        result.push_back(members_[index].id);
    }
    const std::size_t rest_count = members_.size() - first_count;
    for (std::size_t step = 0; step < std::min(settings_.queries_round_robin, rest_count); ++step) {
        result.push_back(members_[first_count + round_robin_position_ % rest_count].id);
        ++round_robin_position_;
    }
    std::erase(result, self_.id);
    return result;
}

void leadership::resign()
{
    withdrawn_ = true;
    leads_ = false;
    election_start_.reset();
}

std::optional<core::instance_id> leadership::leader(core::time_point now) const
{
    if (leads_ || !leader_ || now - last_heartbeat_at_ > heartbeat_timeout()) {
        return std::nullopt;
    }
    return leader_->id;
}

std::optional<fleet_member> leadership::recent_leader(core::time_point now) const
{
    if (leads_) {
        return self_;
    }
    if (!leader_ || now - last_heartbeat_at_ > scale(leader_interval_, recent_intervals)) {
        return std::nullopt;
    }
    return leader_;
}

core::duration leadership::leaderless_for(core::time_point now) const
{
    return election_start_ && !leads_ ? now - *election_start_ : core::duration::zero();
}

} // namespace gooseberryfall::serving
