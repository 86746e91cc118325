#include "serving/state_distribution.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace gooseberryfall::serving {

namespace {

/// Position of an instance among all, from 0 to below 1.
double position_of(const core::instance_id& self, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 10000;
    return static_cast<double>(core::stable_hash(self.value(), seed) % steps) / steps;
}

} // namespace

void state_distributor::set_version(std::uint64_t version)
{
    if (version != version_) {
        version_ = version;
        holders_.clear();
    }
}

state_answer state_distributor::on_request(const core::instance_id& from)
{
    // It has lost the state, or the transfer was incomplete.
    holders_.erase(from);
    if (transfers_ < settings_.transfers_max) {
        ++transfers_;
        return state_transfer{};
    }
    const auto least =
        std::min_element(holders_.begin(), holders_.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    if (least == holders_.end() || least->second >= settings_.redirects_per_holder) {
        return state_deferral{settings_.retry_after};
    }
    ++least->second;
    return state_redirect{least->first};
}

void state_distributor::on_transfer_ended(const core::instance_id& to, std::uint64_t version,
                                          bool complete)
{
    --transfers_;
    if (complete && version == version_) {
        holders_.try_emplace(to, 0);
    }
}

state_fetcher::state_fetcher(core::instance_id self, state_fetch_settings settings)
    : self_(std::move(self)), settings_(settings),
      backoff_(settings.backoff, core::stable_hash(self_.value()))
{
}

void state_fetcher::on_announcement(const core::instance_id& from, std::uint64_t version,
                                    std::size_t members, core::time_point now)
{
    if (version <= version_ || version < announced_version_) {
        return;
    }
    const bool searching = is_behind();
    origin_ = from;
    if (version == announced_version_ && searching) {
        return;
    }
    announced_version_ = version;
    if (searching && in_progress_) {
        // The state that arrives may already be the newer one.
        return;
    }
    source_ = from;
    redirects_ = 0;
    const auto spread = settings_.spread_per_member * static_cast<std::int64_t>(members);
    due_at_ =
        now + std::chrono::duration_cast<core::duration>(spread * position_of(self_, version));
}

std::optional<core::instance_id> state_fetcher::take_due_fetch(core::time_point now)
{
    if (!is_behind() || in_progress_ || now < due_at_) {
        return std::nullopt;
    }
    in_progress_ = true;
    return source_;
}

void state_fetcher::on_fetched(core::time_point now)
{
    in_progress_ = false;
    if (!is_behind()) {
        backoff_.reset();
        return;
    }
    // The sender did not have the newest version yet.
    source_ = origin_;
    redirects_ = 0;
    due_at_ = now + backoff_.next_delay();
}

void state_fetcher::on_redirect(const core::instance_id& holder, core::time_point now)
{
    in_progress_ = false;
    ++redirects_;
    if (redirects_ > settings_.redirects_max || holder == self_) {
        on_failure(now);
        return;
    }
    source_ = holder;
    due_at_ = now;
}

void state_fetcher::on_deferral(std::chrono::milliseconds retry_after, core::time_point now)
{
    in_progress_ = false;
    source_ = origin_;
    redirects_ = 0;
    const double factor = 0.5 + position_of(self_, static_cast<std::uint64_t>(retry_after.count()));
    due_at_ = now + std::chrono::duration_cast<core::duration>(retry_after * factor);
}

void state_fetcher::on_failure(core::time_point now)
{
    in_progress_ = false;
    source_ = origin_;
    redirects_ = 0;
    due_at_ = now + backoff_.next_delay();
}

std::chrono::milliseconds first_read_delay(const core::instance_id& self, std::size_t members,
                                           const first_read_settings& settings)
{
    if (members <= settings.members_free) {
        return std::chrono::milliseconds(0);
    }
    const auto spread =
        settings.interval * static_cast<std::int64_t>(members - settings.members_free);
    return std::chrono::duration_cast<std::chrono::milliseconds>(spread * position_of(self, 0));
}

std::chrono::milliseconds members_read_delay(const core::instance_id& self, double capacity,
                                             const members_read_settings& settings)
{
    if (capacity >= settings.small_capacity) {
        return std::chrono::milliseconds(0);
    }
    return settings.election_wait + std::chrono::duration_cast<std::chrono::milliseconds>(
                                        settings.spread * position_of(self, 0));
}

} // namespace gooseberryfall::serving
