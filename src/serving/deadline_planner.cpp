#include "serving/deadline_planner.hpp"

#include <algorithm>
#include <numeric>
#include <queue>

namespace gooseberryfall::serving {

std::vector<bool> deadline_planner::select_feasible(const std::vector<deadline_task>& tasks,
                                                    double slots, core::time_point now)
{
    std::vector<std::size_t> order(tasks.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return tasks[a].due_at < tasks[b].due_at; });
    const auto shorter = [&](std::size_t a, std::size_t b) {
        return tasks[a].remaining < tasks[b].remaining;
    };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(shorter)> selected(shorter);
    std::vector<bool> result(tasks.size(), false);
    // Slot time of the selected tasks.
    std::chrono::duration<double> selected_time{0};
    for (const std::size_t index : order) {
        const deadline_task& task = tasks[index];
        const auto until_due = std::chrono::duration<double>(task.due_at - now);
        if (task.remaining > task.due_at - now) {
            continue;
        }
        result[index] = true;
        selected.push(index);
        selected_time += task.remaining;
        while (selected_time > until_due * slots && !selected.empty()) {
            result[selected.top()] = false;
            selected_time -= tasks[selected.top()].remaining;
            selected.pop();
        }
    }
    return result;
}

} // namespace gooseberryfall::serving
