#include "serving/spending_window.hpp"

namespace gooseberryfall::serving {

void spending_window::expire(core::time_point now)
{
    while (!sent_.empty() && now - sent_.front().first > window_) {
        sent_.pop_front();
    }
}

void spending_window::record(const core::team_id& team, core::time_point now)
{
    expire(now);
    sent_.emplace_back(now, team);
}

team_sent_requests spending_window::recent(core::time_point now)
{
    expire(now);
    const std::chrono::milliseconds step = spending_step(window_);
    team_sent_requests result;
    for (auto sent = sent_.rbegin(); sent != sent_.rend(); ++sent) {
        const std::chrono::milliseconds age = (now - sent->first) / step * step;
        std::vector<sent_requests>& steps = result[sent->second];
        if (steps.empty() || steps.back().age != age) {
            steps.push_back({age, 0});
        }
        ++steps.back().count;
    }
    return result;
}

} // namespace gooseberryfall::serving
