#include "serving/spend_window.hpp"

namespace gooseberryfall::serving {

void spend_window::expire(core::time_point now)
{
    while (!sent_.empty() && now - sent_.front().first > window_) {
        const auto found = counts_.find(sent_.front().second);
        if (--found->second == 0) {
            counts_.erase(found);
        }
        sent_.pop_front();
    }
}

void spend_window::record(const core::team_id& team, core::time_point now)
{
    expire(now);
    sent_.emplace_back(now, team);
    ++counts_[team];
}

team_counts spend_window::counts(core::time_point now)
{
    expire(now);
    return counts_;
}

} // namespace gooseberryfall::serving
