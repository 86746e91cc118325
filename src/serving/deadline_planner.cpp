#include "serving/deadline_planner.hpp"

#include <algorithm>
#include <numeric>
#include <queue>

namespace gooseberryfall::serving {

std::vector<bool> deadline_planner::select_feasible(const std::vector<deadline_task>& work,
                                                    double slots, core::time_point now)
{
    std::vector<std::size_t> order(work.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return work[a].due_at < work[b].due_at; });
    const auto shorter = [&](std::size_t a, std::size_t b) {
        return work[a].remaining < work[b].remaining;
    };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(shorter)> chosen(shorter);
    std::vector<bool> result(work.size(), false);
    // Slot time of what was chosen.
    std::chrono::duration<double> total{0};
    for (const std::size_t index : order) {
        const deadline_task& entry = work[index];
        const auto until_due = std::chrono::duration<double>(entry.due_at - now);
        if (entry.remaining > entry.due_at - now) {
            continue;
        }
        result[index] = true;
        chosen.push(index);
        total += entry.remaining;
        while (total > until_due * slots && !chosen.empty()) {
            result[chosen.top()] = false;
            total -= work[chosen.top()].remaining;
            chosen.pop();
        }
    }
    return result;
}

} // namespace gooseberryfall::serving
