#include "core/retry_budget.hpp"

#include <criterion/criterion.h>

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};

unsigned take_all(core::retry_budget& budget, core::time_point now)
{
    unsigned taken = 0;
    while (taken < 100000 && budget.try_retry(0, now)) {
        ++taken;
    }
    return taken;
}

} // namespace

// Guards against retries that multiply the load of an outage, and against none at low load.
Test(retry_budget, allows_a_tenth_and_a_minimum)
{
    core::retry_budget quiet{core::retry_settings{}};
    cr_assert_eq(take_all(quiet, start), 30U);
    core::retry_budget busy{core::retry_settings{}};
    for (int count = 0; count < 1000; ++count) {
        busy.on_request(start + milliseconds(count));
    }
    cr_assert_eq(take_all(busy, start + seconds(1)), 100U);
}

// Guards against a window in which more than the budget is spent, and against one never refilled.
Test(retry_budget, window_slides)
{
    core::retry_budget budget{core::retry_settings{}};
    cr_assert_eq(take_all(budget, start + milliseconds(900)), 30U);
    cr_assert_eq(take_all(budget, start + milliseconds(10800)), 0U);
    cr_assert_eq(take_all(budget, start + seconds(11)), 30U);
}

// Guards against old requests that allow retries in a later outage.
Test(retry_budget, old_requests_do_not_count)
{
    core::retry_budget budget{core::retry_settings{}};
    for (int count = 0; count < 10000; ++count) {
        budget.on_request(start);
    }
    cr_assert_eq(take_all(budget, start + seconds(10)), 30U);
}

// Guards against one request that uses up the budget.
Test(retry_budget, bounds_each_request)
{
    core::retry_budget budget{core::retry_settings{}};
    cr_assert(budget.try_retry(1, start));
    cr_assert(!budget.try_retry(2, start));
    cr_assert_eq(take_all(budget, start), 29U);
}
