#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <deque>
#include <set>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
const core::team_id team{"studio"};

int taken(serving::team_limits& limits, core::time_point from, seconds length, int per_second)
{
    int count = 0;
    const milliseconds step(1000 / per_second);
    for (core::time_point now = from; now < from + length; now += step) {
        count += limits.try_acquire(team, now) ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against a team above its rate and burst.
Test(team_limits, a_window_has_at_most_the_burst_and_the_rate)
{
    serving::team_limits limits;
    limits.set({{team, {10, 20}}}, start);
    const int count = taken(limits, start, seconds(5), 200);
    cr_assert_geq(count, 69);
    cr_assert_leq(count, 70);
}

// Guards against a second burst when another instance takes the leader's place.
Test(team_limits, a_new_leader_starts_without_the_burst)
{
    serving::team_limits limits;
    limits.set({{team, {10, 20}}}, start);
    limits.begin_term({}, start);
    const int count = taken(limits, start, seconds(5), 200);
    cr_assert_leq(count, 50);
}

// Guards against teams within their rate that are refused because the leader has just changed.
Test(team_limits, a_new_leader_learns_what_was_spent)
{
    const serving::limit_tolerance tolerance{seconds(5), 0.1, 20};
    serving::team_limits limits;
    const core::team_id flooding("flood");
    limits.set({{team, {40, 40}}, {flooding, {40, 40}}}, start);
    limits.begin_term(tolerance, start);
    // Half of 0.1 * 240 + 20, without knowing anything.
    cr_assert_eq(taken(limits, start, seconds(1), 1000), 22 + 39);
    limits.begin_term(tolerance, start);
    serving::team_spending spent;
    spent.requests = {{team, 125}, {flooding, 240}};
    spent.scope = serving::spending_scope::window;
    limits.apply_spending(spent, tolerance, start);
    cr_assert_eq(taken(limits, start, seconds(1), 1000), 40 + 39);
    int flood = 0;
    for (core::time_point now = start; now < start + seconds(1); now += milliseconds(1)) {
        flood += limits.try_acquire(flooding, now) ? 1 : 0;
    }
    cr_assert_leq(flood, 40, "it has spent its burst");
}

// Guards against a whole burst on top of one that nobody knows of any more.
Test(team_limits, what_is_known_in_part_fills_no_bucket)
{
    const serving::limit_tolerance tolerance{seconds(5), 0.1, 20};
    serving::team_limits limits;
    limits.set({{team, {40, 40}}}, start);
    limits.begin_term(tolerance, start);
    limits.apply_spending({}, tolerance, start);
    cr_assert_eq(taken(limits, start, seconds(1), 1000), 22 + 39);
}

// Replays the return of all callers after all processes have ended: each team may have sent its
// limit before, and comes with all that it could not send meanwhile. Guards against refusals of
// what the contract tolerates, and against more than that in any window.
Test(team_limits, a_restart_of_all_leaves_what_is_tolerated)
{
    const serving::limit_tolerance tolerance{seconds(5), 0.1, 20};
    const double allowed = 40 + 40 * 5.0;
    const double most = allowed * 1.1 + 20;
    serving::team_limits limits;
    limits.set({{team, {40, 40}}}, start);
    const int before = taken(limits, start, seconds(5), 1000);
    cr_assert_geq(before, 238);
    // Down for 0.6 s; the first process is back 0.1 s before the new leader learns.
    const core::time_point back = start + milliseconds(5600);
    serving::team_limits restarted;
    restarted.set({{team, {40, 40}}}, back);
    restarted.begin_term(tolerance, back);
    serving::team_spending spent;
    spent.scope = serving::spending_scope::restart;
    spent.since_restart = milliseconds(100);
    spent.requests = {{team, 3}};
    restarted.apply_spending(spent, tolerance, back);
    int first = 0;
    while (restarted.try_acquire(team, back)) {
        ++first;
    }
    cr_assert_geq(first, 40);
    // What falls out of the window while it goes on is 40 a second, as before the restart.
    cr_assert_leq(3 + first + 40 * 4.4 + 40, most);
}

// Guards against requests that count longer than the window.
Test(spending_window, counts_the_last_window)
{
    serving::spending_window window(seconds(5));
    window.record(team, start);
    window.record(team, start + seconds(3));
    cr_assert_eq(window.counts(start + seconds(4)).at(team), 2U);
    cr_assert_eq(window.counts(start + seconds(6)).at(team), 1U);
    cr_assert(window.counts(start + seconds(9)).empty());
}

// Guards against limits that two halves of a divided fleet give out in full.
Test(team_limits, a_share_scales_rate_and_burst)
{
    serving::team_limits limits(0.25);
    limits.set({{team, {40, 40}}}, start);
    const int count = taken(limits, start, seconds(4), 500);
    cr_assert_leq(count, 51);
    cr_assert_geq(count, 48);
}

// Guards against a lowered limit that takes effect only when the bucket has run dry.
Test(team_limits, a_lowered_limit_holds_at_once)
{
    serving::team_limits limits;
    limits.set({{team, {100, 100}}}, start);
    limits.set({{team, {1, 2}}}, start);
    cr_assert_leq(taken(limits, start, seconds(2), 100), 4);
}

// Guards against a charge for a request that was refused and has not run.
Test(team_limits, what_is_given_back_can_be_taken_again)
{
    serving::team_limits limits;
    limits.set({{team, {1, 1}}}, start);
    cr_assert(limits.try_acquire(team, start));
    cr_assert_not(limits.try_acquire(team, start));
    const auto wait = limits.plan_retry(team, start, milliseconds(1000));
    cr_assert_leq(wait.count(), 1000);
    limits.refund(team, start);
    cr_assert(limits.try_acquire(team, start));
}

// Guards against refusals of teams without a limit.
Test(team_limits, a_rate_of_zero_is_no_limit)
{
    serving::team_limits limits;
    limits.set({{team, {0, 0}}}, start);
    cr_assert_eq(taken(limits, start, seconds(1), 100), 100);
}

// Replays a team in steps: three seconds below its rate, two above it. Guards against refusals of
// what the contract's window allows while slots are free, and against more than that.
Test(team_limits, what_the_window_allows_is_spare)
{
    const serving::limit_tolerance tolerance{seconds(5), 0.1, 20};
    serving::team_limits limits;
    limits.set({{team, {16, 16}}}, start);
    limits.begin_term(tolerance, start);
    std::deque<core::time_point> sent;
    int refused = 0;
    for (milliseconds at{0}; at < seconds(30); at += milliseconds(10)) {
        const core::time_point now = start + at;
        const bool high = at.count() % 5200 >= 3000;
        if (at.count() % (high ? 30 : 200) != 0) {
            continue;
        }
        if (limits.try_acquire(team, now) || limits.try_acquire_spare(team, now)) {
            sent.push_back(now);
        }
        else if (at > seconds(6)) {
            ++refused;
        }
        while (now - sent.front() > seconds(5)) {
            sent.pop_front();
        }
        cr_assert_leq(sent.size(), 16U * 5 + 16U);
    }
    cr_assert_eq(refused, 0, "%d refused", refused);
}

// Guards against spare requests in a window that has grown with the settings, while older requests
// are not counted any more.
Test(team_limits, a_longer_window_holds_after_its_change)
{
    serving::team_limits limits;
    limits.set({{team, {10, 10}}}, start);
    limits.begin_term({seconds(1), 0.1, 20}, start);
    const core::time_point changed_at = start + seconds(4);
    std::deque<core::time_point> sent;
    for (milliseconds at{0}; at < seconds(20); at += milliseconds(10)) {
        const core::time_point now = start + at;
        if (now == changed_at) {
            limits.set_window(seconds(5), now);
            sent.clear();
        }
        if (limits.try_acquire(team, now) || limits.try_acquire_spare(team, now)) {
            sent.push_back(now);
        }
        while (!sent.empty() && now - sent.front() > seconds(5)) {
            sent.pop_front();
        }
        cr_assert(now < changed_at || sent.size() <= 10U * 5 + 10U, "%zu sent", sent.size());
    }
}

// Guards against a bucket that goes on after the spare requests have used the window up: a flood of
// some seconds after a quiet time had 122 requests in a window that allows 90.
Test(team_limits, the_window_holds_in_a_flood)
{
    const serving::limit_tolerance tolerance{seconds(5), 0.1, 20};
    serving::team_limits limits;
    limits.set({{team, {15, 15}}}, start);
    limits.begin_term(tolerance, start);
    std::deque<core::time_point> sent;
    std::size_t most = 0;
    for (milliseconds at = seconds(6); at < seconds(20); at += milliseconds(10)) {
        const core::time_point now = start + at;
        if (limits.try_acquire(team, now) || limits.try_acquire_spare(team, now)) {
            sent.push_back(now);
        }
        while (now - sent.front() > seconds(5)) {
            sent.pop_front();
        }
        most = std::max(most, sent.size());
    }
    cr_assert_leq(most, 90U, "%zu in a window", most);
}

// Guards against spare requests of a new leader, which does not know the window before it.
Test(team_limits, a_new_leader_has_nothing_to_spare)
{
    serving::team_limits limits;
    limits.set({{team, {16, 16}}}, start);
    limits.begin_term({seconds(5), 0.1, 20}, start);
    cr_assert_not(limits.try_acquire_spare(team, start + seconds(4)));
    cr_assert(limits.try_acquire_spare(team, start + seconds(5)));
}

// Guards against refused callers of one team that all come back for the same token.
Test(team_limits, returns_are_spread)
{
    serving::team_limits limits;
    limits.set({{team, {16, 16}}}, start);
    std::set<milliseconds> delays;
    for (int caller = 0; caller < 12; ++caller) {
        delays.insert(limits.plan_retry(team, start, milliseconds(1600)));
    }
    cr_assert_eq(delays.size(), 12U);
    cr_assert_geq((*delays.rbegin()).count(), 1000);
}
