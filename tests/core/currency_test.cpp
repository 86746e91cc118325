#include "core/currency.hpp"

#include <criterion/criterion.h>

namespace {

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;

const core::time_point start = core::time_point(std::chrono::hours(1));

core::incarnation_id run_of(const std::string& name, std::uint64_t number = 1)
{
    return {core::instance_id(name), number};
}

std::map<core::instance_id, core::member> members_of(const std::vector<core::incarnation_id>& all)
{
    std::map<core::instance_id, core::member> result;
    for (const core::incarnation_id& incarnation : all) {
        result[incarnation.instance].incarnation = incarnation;
    }
    return result;
}

core::currency make(const std::string& self)
{
    core::currency result({run_of(self), std::chrono::seconds(2)});
    result.set_members(members_of({run_of("a"), run_of("b"), run_of("c")}));
    result.set_applied(10);
    return result;
}

} // namespace

// Guards against counting from the arrival of an answer, which may be long after the state that it
// tells of.
Test(currency, counts_from_question)
{
    core::currency freshness = make("a");
    freshness.log_answered(start, 10);
    cr_assert(freshness.is_current(start + milliseconds(2000)));
    cr_assert_not(freshness.is_current(start + milliseconds(2001)));
}

// Guards against acting on a state that the log or a member has said to be old.
Test(currency, missing_records_do_not_count_until_applied)
{
    core::currency freshness = make("a");
    freshness.log_answered(start, 12);
    freshness.member_answered(core::instance_id("b"), start, 12);
    cr_assert_not(freshness.is_current(start));
    cr_assert_eq(freshness.highest_known(), 12U);
    freshness.set_applied(11);
    cr_assert_not(freshness.is_current(start));
    freshness.set_applied(12);
    cr_assert(freshness.basis(start) == core::currency_basis::log);
    cr_assert(freshness.majority_answered(start));
    cr_assert_not(freshness.is_current(start + milliseconds(2001)));
}

// Guards against a non-member, or a restarted instance that has not joined again, counting itself:
// it may lack what its earlier run confirmed.
Test(currency, only_members_count_themselves)
{
    for (const core::incarnation_id& self : {run_of("d"), run_of("a", 2)}) {
        core::currency freshness({self, std::chrono::seconds(2)});
        freshness.set_members(members_of({run_of("a"), run_of("b"), run_of("c")}));
        freshness.set_applied(10);
        freshness.member_answered(core::instance_id("b"), start, 10);
        cr_assert_not(freshness.is_current(start));
        freshness.member_answered(core::instance_id("c"), start, 10);
        cr_assert(freshness.basis(start) == core::currency_basis::majority);
    }
}

// Guards against counting for a restarted member what its earlier run had applied.
Test(currency, answers_of_an_earlier_run_are_forgotten)
{
    core::currency freshness = make("a");
    freshness.member_answered(core::instance_id("b"), start, 10);
    cr_assert(freshness.majority_applied(9));
    freshness.set_members(members_of({run_of("a"), run_of("b", 2), run_of("c")}));
    cr_assert_not(freshness.majority_applied(9));
    cr_assert_not(freshness.is_current(start));
}

// Guards against a fleet that stands still because members that have ended are awaited, and against
// counting them for currency.
Test(currency, ended_members_count_as_informed_only)
{
    core::currency freshness = make("a");
    cr_assert_not(freshness.members_settled(10));
    freshness.set_ended({run_of("b")});
    cr_assert(freshness.members_settled(10));
    cr_assert_not(freshness.is_current(start));
    freshness.set_ended({run_of("b", 2)});
    cr_assert_not(freshness.members_settled(10));
}

// Guards against an instance confirming what it has not been told itself.
Test(currency, vouches_only_after_being_current_through_others)
{
    core::currency freshness = make("a");
    freshness.member_answered(core::instance_id("b"), start, 10);
    cr_assert(freshness.is_current(start));
    cr_assert_not(freshness.vouches());
    freshness.member_answered(core::instance_id("c"), start, 10);
    cr_assert(freshness.vouches());
}
