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

std::vector<bool> choose(const std::vector<deadline_task>& work, double slots)
{
    return deadline_planner::select_feasible(work, slots, start);
}

std::ptrdiff_t chosen(const std::vector<deadline_task>& work, double slots)
{
    const auto result = choose(work, slots);
    return std::count(result.begin(), result.end(), true);
}

} // namespace

// Guards against work that is put off although all of it can be done.
Test(deadline_planner, chooses_all_that_fits)
{
    const std::vector<deadline_task> work(20, {seconds(5), start + seconds(10)});
    cr_assert_eq(chosen(work, 10), 20);
}

// Guards against a backlog of which nothing is in time because all of it shares the slots.
Test(deadline_planner, chooses_as_many_as_can_be_done)
{
    const std::vector<deadline_task> work(20, {seconds(5), start + seconds(10)});
    cr_assert_eq(chosen(work, 5), 10);
}

// Guards against large work that takes the place of several smaller ones.
Test(deadline_planner, leaves_out_the_largest)
{
    std::vector<deadline_task> work(4, {seconds(2), start + seconds(8)});
    work.push_back({seconds(7), start + seconds(7)});
    const auto result = choose(work, 1);
    cr_assert_not(result.back());
    cr_assert_eq(std::count(result.begin(), result.end(), true), 4);
}

// Guards against slots for work that is late whatever is done.
Test(deadline_planner, leaves_out_what_is_too_late)
{
    cr_assert_not(choose({{seconds(5), start + seconds(4)}}, 10).front());
    cr_assert_not(choose({{seconds(1), start - seconds(1)}}, 10).front());
}

// Guards against later work that displaces earlier work which can be done.
Test(deadline_planner, later_work_does_not_displace_earlier)
{
    std::vector<deadline_task> work(5, {seconds(4), start + seconds(10)});
    work.insert(work.end(), 10, {seconds(4), start + seconds(30)});
    const auto result = choose(work, 2);
    cr_assert(std::all_of(result.begin(), result.begin() + 5, [](bool in) { return in; }));
    cr_assert_eq(std::count(result.begin(), result.end(), true), 15);
}
