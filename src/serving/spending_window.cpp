#include "serving/spending_window.hpp"

namespace gooseberryfall::serving {

void spending_window::expire(core::time_point now)
{
    while (!sent_.empty() && now - sent_.front().first > window_) {
        const auto found = counts_.find(sent_.front().second);
        if (--found->second == 0) {
            counts_.erase(found);
        }
        sent_.pop_front();
    }
}

void spending_window::record(const core::team_id& team, core::time_point now)
{
    expire(now);
    sent_.emplace_back(now, team);
    ++counts_[team];
}

team_request_counts spending_window::counts(core::time_point now)
{
    expire(now);
    return counts_;
}

} // namespace gooseberryfall::serving
