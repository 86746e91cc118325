#include "soak/history.hpp"

#include <criterion/criterion.h>

#include <string>

namespace soak = gooseberryfall::soak;

namespace {

soak::request_seen served(const std::string& id, bool repeatable = false)
{
    return {id, repeatable, 200, true, "body", "s-" + id};
}

std::vector<std::string> check(const soak::history& seen, const std::vector<soak::run_seen>& runs)
{
    return seen.check(runs, "body");
}

} // namespace

// Each check has to find its mistake, or a soak without findings says nothing.

Test(history, finds_nothing_in_a_sound_history)
{
    soak::history seen("t");
    seen.add_request(served("a"));
    seen.add_request({"b", false, 503, true, "", ""});
    seen.add_submission("j", 1, 202);
    seen.add_results("j", 0, {{"j-0", "x"}});
    cr_assert(check(seen, {{"a", "t", false}, {"j-0", "t", false}, {"j-0", "t", false}}).empty());
}

Test(history, finds_a_second_run)
{
    soak::history seen("t");
    seen.add_request(served("a"));
    cr_assert_eq(check(seen, {{"a", "t", false}, {"a", "t", false}}).size(), 1U);
}

Test(history, finds_a_false_promise)
{
    soak::history seen("t");
    seen.add_request({"a", false, 503, true, "", ""});
    cr_assert_eq(check(seen, {{"a", "t", false}}).size(), 1U);
}

Test(history, finds_a_changed_body_and_a_foreign_signature)
{
    soak::history seen("t");
    seen.add_request({"a", false, 200, true, "other", "s-b"});
    cr_assert_eq(check(seen, {}).size(), 2U);
}

Test(history, finds_a_key_and_another_team_at_an_engine)
{
    const soak::history seen("t");
    cr_assert_eq(check(seen, {{"a", "u", true}}).size(), 2U);
}

Test(history, finds_a_position_that_changes)
{
    soak::history seen("t");
    seen.add_submission("j", 2, 202);
    seen.add_results("j", 0, {{"j-0", "x"}, {"j-1", "y"}});
    seen.add_results("j", 0, {{"j-1", "y"}});
    cr_assert_geq(check(seen, {}).size(), 1U);
}

Test(history, finds_a_lost_item_and_a_refused_job_that_ran)
{
    soak::history seen("t");
    seen.add_submission("j", 2, 202);
    seen.add_results("j", 0, {{"j-0", "x"}});
    seen.add_submission("k", 1, 503);
    cr_assert_eq(check(seen, {{"k-0", "t", false}}).size(), 2U);
}
