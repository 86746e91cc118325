#include "serving/leadership.hpp"

#include <algorithm>
#include <tuple>

namespace gooseberryfall::serving {

bool ranks_before(const fleet_member& a, const fleet_member& b)
{
    return std::tuple(-a.capacity, a.started_at, a.id) <
           std::tuple(-b.capacity, b.started_at, b.id);
}

leadership::leadership(fleet_member self, leadership_settings settings, core::time_point now)
    : self_(std::move(self)), settings_(settings), heard_at_(now), ticked_at_(now)
{
}

void leadership::set_members(const std::vector<fleet_member>& members)
{
    members_ = members;
}

std::size_t leadership::position() const
{
    const auto before =
        std::count_if(members_.begin(), members_.end(), [this](const fleet_member& other) {
            return other.id != self_.id && ranks_before(other, self_);
        });
    return std::min(static_cast<std::size_t>(before), settings_.steps_max);
}

void leadership::on_digest(const fleet_member& from, bool resigning, core::time_point now)
{
    if (from.id == self_.id) {
        return;
    }
    const bool is_leader = leader_ && leader_->id == from.id;
    if (resigning) {
        if (is_leader) {
            leader_.reset();
            heard_at_ = now - settings_.silence;
        }
        return;
    }
    if (leads_) {
        if (ranks_before(from, self_)) {
            leads_ = false;
            leader_ = from;
            heard_at_ = now;
        }
        return;
    }
    const bool heard_lately = leader_ && now - heard_at_ < settings_.silence / 2;
    if (is_leader || !heard_lately || ranks_before(from, *leader_)) {
        leader_ = from;
        heard_at_ = now;
    }
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
            heard_at_ = now;
        }
        return;
    }
    if (paused) {
        // What was sent meanwhile has yet to be read.
        heard_at_ = std::max(heard_at_, now - settings_.silence / 2);
        return;
    }
    auto wait = settings_.silence + settings_.step * static_cast<int>(position());
    if (!fit) {
        wait += settings_.unfit_delay;
    }
    if (now - heard_at_ >= wait) {
        leads_ = true;
        leader_.reset();
    }
}

void leadership::leave()
{
    left_ = true;
    leads_ = false;
}

std::optional<core::instance_id> leadership::leader(core::time_point now) const
{
    if (leads_ || !leader_ || now - heard_at_ > settings_.silence) {
        return std::nullopt;
    }
    return leader_->id;
}

} // namespace gooseberryfall::serving
