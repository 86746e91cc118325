#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::deadline_planner;
using serving::deadline_task;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};

std::vector<bool> select(const std::vector<deadline_task>& tasks, double slots)
{
    return deadline_planner::select_feasible(tasks, slots, start);
}

std::ptrdiff_t count_selected(const std::vector<deadline_task>& tasks, double slots)
{
    const auto result = select(tasks, slots);
    return std::count(result.begin(), result.end(), true);
}

} // namespace

// Guards against deferring tasks although all of them can meet their due times.
Test(deadline_planner, selects_all_tasks_that_fit)
{
    const std::vector<deadline_task> tasks(20, {seconds(5), start + seconds(10)});
    cr_assert_eq(count_selected(tasks, 10), 20);
}

// Guards against a backlog in which every task is late because all of them share the slots.
Test(deadline_planner, selects_as_many_tasks_as_are_feasible)
{
    const std::vector<deadline_task> tasks(20, {seconds(5), start + seconds(10)});
    cr_assert_eq(count_selected(tasks, 5), 10);
}

// Guards against a large task that displaces several smaller ones.
Test(deadline_planner, drops_largest_task)
{
    std::vector<deadline_task> tasks(4, {seconds(2), start + seconds(8)});
    tasks.push_back({seconds(7), start + seconds(7)});
    const auto result = select(tasks, 1);
    cr_assert_not(result.back());
    cr_assert_eq(std::count(result.begin(), result.end(), true), 4);
}

// Guards against using slots for tasks that are late in any case.
Test(deadline_planner, drops_tasks_that_are_late)
{
    cr_assert_not(select({{seconds(5), start + seconds(4)}}, 10).front());
    cr_assert_not(select({{seconds(1), start - seconds(1)}}, 10).front());
}

// Guards against tasks due later that displace feasible tasks due earlier.
Test(deadline_planner, later_tasks_do_not_displace_earlier_ones)
{
    std::vector<deadline_task> tasks(5, {seconds(4), start + seconds(10)});
    tasks.insert(tasks.end(), 10, {seconds(4), start + seconds(30)});
    const auto result = select(tasks, 2);
    cr_assert(std::all_of(result.begin(), result.begin() + 5, [](bool in) { return in; }));
    cr_assert_eq(std::count(result.begin(), result.end(), true), 15);
}
