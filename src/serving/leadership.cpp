#include "serving/leadership.hpp"

#include <algorithm>
#include <tuple>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

/// A leader whose last heartbeat is this many intervals old may be dead: others are not told of it.
constexpr double tell_intervals = 1.5;

milliseconds scale(milliseconds value, double factor)
{
    return std::chrono::duration_cast<milliseconds>(value * factor);
}

} // namespace

bool ranks_before(const fleet_member& a, const fleet_member& b)
{
    return std::tuple(-a.capacity, a.started_at, a.id) <
           std::tuple(-b.capacity, b.started_at, b.id);
}

leadership::leadership(fleet_member self, leadership_settings settings, core::time_point now)
    : self_(std::move(self)), settings_(settings), leader_interval_(settings.interval),
      heard_at_(now), ticked_at_(now), searching_since_(now)
{
}

void leadership::set_members(const std::vector<fleet_member>& members)
{
    members_ = members;
    std::sort(members_.begin(), members_.end(), ranks_before);
    others_known_ = true;
}

milliseconds leadership::interval() const
{
    const auto members = static_cast<std::int64_t>(members_.size());
    return std::max(settings_.interval, settings_.interval_per_member * members);
}

milliseconds leadership::silence() const
{
    return scale(leader_interval_, settings_.silence_intervals);
}

std::size_t leadership::position() const
{
    const auto before =
        std::count_if(members_.begin(), members_.end(), [this](const fleet_member& other) {
            return other.id != self_.id && ranks_before(other, self_);
        });
    return std::min(static_cast<std::size_t>(before), settings_.steps_max);
}

void leadership::search(core::time_point now)
{
    leader_.reset();
    searching_since_ = now;
    resigned_ = false;
    hint_at_.reset();
}

void leadership::on_digest(const fleet_member& from, bool resigning, milliseconds interval,
                           core::time_point now)
{
    if (from.id == self_.id) {
        return;
    }
    candidates_.erase(from.id);
    others_known_ = true;
    const bool is_leader = leader_ && leader_->id == from.id;
    if (resigning) {
        if (is_leader) {
            search(now);
            // All others hear of it now, too: nobody has to be asked.
            resigned_ = true;
        }
        return;
    }
    if (leads_ && !ranks_before(from, self_)) {
        return;
    }
    const bool heard_lately = leader_ && now - heard_at_ < leader_interval_ * 2;
    if (leads_ || is_leader || !heard_lately || ranks_before(from, *leader_)) {
        leads_ = false;
        leader_ = from;
        leader_interval_ = std::max(interval, settings_.interval);
        heard_at_ = now;
        searching_since_.reset();
    }
}

void leadership::on_candidate(const fleet_member& from, bool fit, core::time_point now)
{
    if (from.id != self_.id) {
        candidates_[from.id] = {from, fit, now};
    }
}

bool leadership::better_candidate(bool fit, core::time_point now) const
{
    return std::any_of(candidates_.begin(), candidates_.end(), [&](const auto& entry) {
        const candidate& other = entry.second;
        const bool counts = now - other.heard_at < settings_.candidate_lifetime;
        return counts && (other.fit != fit ? other.fit : ranks_before(other.member, self_));
    });
}

bool leadership::is_time_to_lead(bool fit, core::time_point now) const
{
    const auto searched = now - *searching_since_;
    if (searched >= settings_.search_max) {
        return true;
    }
    if (!others_known_ && searched < settings_.lone_wait) {
        return false;
    }
    const bool hinted = hint_at_ && now - *hint_at_ < silence();
    if (hinted || better_candidate(fit, now)) {
        return false;
    }
    auto wait = resigned_
                    ? settings_.step * static_cast<int>(position())
                    : settings_.search + (position() > 0 ? settings_.search_step : milliseconds(0));
    // Once others are known, a fit one among them is a better candidate.
    if (!fit && candidates_.empty()) {
        wait += settings_.unfit_delay;
    }
    return searched >= wait;
}

void leadership::tick(core::time_point now, bool fit, bool others_know_more)
{
    const bool paused = now - ticked_at_ > settings_.pause_max;
    ticked_at_ = now;
    if (left_) {
        return;
    }
    if (leads_) {
        if (paused || others_know_more) {
            leads_ = false;
            search(now);
        }
        return;
    }
    if (paused) {
        // What was sent meanwhile has yet to be read.
        heard_at_ = now;
        if (searching_since_) {
            searching_since_ = now;
        }
        return;
    }
    if (leader_ && now - heard_at_ > silence()) {
        search(now);
    }
    if (searching_since_ && is_time_to_lead(fit, now)) {
        leads_ = true;
        leader_.reset();
        searching_since_.reset();
        candidates_.clear();
    }
}

std::vector<core::instance_id> leadership::take_questions(core::time_point now)
{
    std::vector<core::instance_id> result;
    const bool due = now - asked_at_ >= settings_.question_interval;
    if (!searching_since_ || left_ || members_.empty() || !due) {
        return result;
    }
    asked_at_ = now;
    const std::size_t first = std::min(settings_.questions_first, members_.size());
    for (std::size_t index = 0; index < first; ++index) {
        result.push_back(members_[index].id);
    }
    const std::size_t others = members_.size() - first;
    for (std::size_t step = 0; step < std::min(settings_.questions_in_turn, others); ++step) {
        result.push_back(members_[first + next_in_turn_ % others].id);
        ++next_in_turn_;
    }
    std::erase(result, self_.id);
    return result;
}

void leadership::leave()
{
    left_ = true;
    leads_ = false;
    searching_since_.reset();
}

std::optional<core::instance_id> leadership::leader(core::time_point now) const
{
    if (leads_ || !leader_ || now - heard_at_ > silence()) {
        return std::nullopt;
    }
    return leader_->id;
}

std::optional<fleet_member> leadership::leader_to_tell(core::time_point now) const
{
    if (leads_) {
        return self_;
    }
    if (!leader_ || now - heard_at_ > scale(leader_interval_, tell_intervals)) {
        return std::nullopt;
    }
    return leader_;
}

core::duration leadership::leaderless_for(core::time_point now) const
{
    return searching_since_ && !leads_ ? now - *searching_since_ : core::duration::zero();
}

} // namespace gooseberryfall::serving
