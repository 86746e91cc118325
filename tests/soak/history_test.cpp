#include "soak/history.hpp"

#include <criterion/criterion.h>

#include <string>

namespace soak = gooseberryfall::soak;

namespace {

soak::observed_request served_request(const std::string& id, bool repeatable = false)
{
    return {id, repeatable, 200, true, "body", "s-" + id};
}

std::vector<std::string> check(const soak::history& observed,
                               const std::vector<soak::observed_run>& runs)
{
    return observed.check(runs, "body");
}

} // namespace

// Each check must detect its kind of violation. Otherwise a soak test without violations proves
// nothing.

Test(history, reports_nothing_for_a_valid_history)
{
    soak::history observed("t");
    observed.add_request(served_request("a"));
    observed.add_request({"b", false, 503, true, "", ""});
    observed.add_submission("j", 1, 202);
    observed.add_results("j", 0, {{"j-0", "x"}});
    cr_assert(
        check(observed, {{"a", "t", false}, {"j-0", "t", false}, {"j-0", "t", false}}).empty());
}

Test(history, reports_a_second_run)
{
    soak::history observed("t");
    observed.add_request(served_request("a"));
    cr_assert_eq(check(observed, {{"a", "t", false}, {"a", "t", false}}).size(), 1U);
}

Test(history, reports_a_run_after_a_not_run_status)
{
    soak::history observed("t");
    observed.add_request({"a", false, 503, true, "", ""});
    cr_assert_eq(check(observed, {{"a", "t", false}}).size(), 1U);
}

Test(history, reports_a_changed_body_and_a_wrong_signature)
{
    soak::history observed("t");
    observed.add_request({"a", false, 200, true, "other", "s-b"});
    cr_assert_eq(check(observed, {}).size(), 2U);
}

Test(history, reports_a_key_and_a_wrong_team_at_an_engine)
{
    const soak::history observed("t");
    cr_assert_eq(check(observed, {{"a", "u", true}}).size(), 2U);
}

Test(history, reports_a_position_that_changes)
{
    soak::history observed("t");
    observed.add_submission("j", 2, 202);
    observed.add_results("j", 0, {{"j-0", "x"}, {"j-1", "y"}});
    observed.add_results("j", 0, {{"j-1", "y"}});
    cr_assert_geq(check(observed, {}).size(), 1U);
}

Test(history, reports_a_lost_item_and_a_rejected_job_that_ran)
{
    soak::history observed("t");
    observed.add_submission("j", 2, 202);
    observed.add_results("j", 0, {{"j-0", "x"}});
    observed.add_submission("k", 1, 503);
    cr_assert_eq(check(observed, {{"k-0", "t", false}}).size(), 2U);
}
