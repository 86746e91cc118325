/// Tests when a member of the job group acts on the partitions that the store assigns to it.

#include "edge/scripted_store.hpp"

#include "edge/job_group.hpp"

#include <criterion/criterion.h>

#include <sstream>

namespace core = gooseberryfall::core;
namespace edge = gooseberryfall::edge;
namespace kernel = gooseberryfall::kernel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};

/// A member of a group, with the generations whose assignments it has acted on.
struct member_run {
    std::ostringstream log;
    kernel::logger_settings log_settings{.out = &log};
    kernel::logger logger{log_settings};
    scripted_store store;
    std::vector<std::uint64_t> taken;
    /// Whether the last assignment was continuous.
    bool continuous = false;
    edge::job_group group{
        store, logger, edge::job_group_settings{}, core::instance_id("127.0.0.1:1"),
        [this](const edge::group_assignment& assignment, bool is_continuous, const auto&) {
            taken.push_back(assignment.generation);
            continuous = is_continuous;
            return false;
        }};
    core::time_point now = start;

    /// Ticks until the member joins, and answers with this result; returns the time of it.
    core::time_point answer_join(const edge::store_result<edge::group_assignment>& result)
    {
        for (int count = 0; count < 100 && store.joins.empty(); ++count) {
            now += milliseconds(20);
            group.tick(now);
        }
        cr_assert_not(store.joins.empty(), "the member does not join");
        const auto done = std::move(store.joins.front());
        store.joins.pop_front();
        done(result);
        return now;
    }

    core::time_point join(std::uint64_t generation)
    {
        return answer_join(edge::group_assignment{generation, {}});
    }

    /// Joins until the assignments of this generation are acted on.
    void settle(std::uint64_t generation)
    {
        group.start_joining();
        join(generation);
        join(generation);
        cr_assert(continuous);
    }
};

} // namespace

// Guards against partitions that are read several times while a fleet starts: the store deals them
// anew with every member that joins.
Test(job_group, takes_nothing_while_the_group_forms)
{
    member_run run;
    run.group.start_joining();
    for (const std::uint64_t generation : {1, 2, 3}) {
        run.join(generation);
        cr_assert(run.taken.empty(), "generation %lu will not last", generation);
    }
    run.join(3);
    cr_assert_eq(run.taken, std::vector<std::uint64_t>{3});
    run.join(4);
    cr_assert_eq(run.taken.back(), 4UL, "a member that owns partitions must release them at once");
}

// Guards against partitions without an owner in a group that never stops changing.
Test(job_group, takes_partitions_after_a_while_in_any_case)
{
    member_run run;
    run.group.start_joining();
    std::uint64_t generation = 1;
    while (run.taken.empty() && run.now < start + seconds(5)) {
        run.join(generation++);
    }
    cr_assert_not(run.taken.empty());
    cr_assert_leq((run.now - start).count(), std::chrono::nanoseconds(milliseconds(1500)).count());
}

// Guards against a member that takes its partitions for its own although others may have held them:
// it was frozen, or its joins were refused, for longer than its membership lasts.
Test(job_group, assignment_after_an_expired_membership_is_not_continuous)
{
    member_run frozen;
    frozen.settle(3);
    frozen.now += seconds(4);
    frozen.join(4);
    cr_assert_not(frozen.continuous);
    frozen.join(5);
    cr_assert(frozen.continuous);

    member_run refused;
    refused.settle(3);
    const core::time_point joined_at = refused.now;
    while (refused.now - joined_at < seconds(2)) {
        refused.answer_join(tl::unexpected(edge::store_error{edge::store_failure::not_done, {}}));
    }
    refused.join(4);
    cr_assert_not(refused.continuous);
}

// Guards against the same where no join is missed: another instance, which can't reach this one,
// has removed it from the group, and it is back at its next join.
Test(job_group, assignment_after_several_changes_is_not_continuous)
{
    member_run run;
    run.settle(3);
    run.join(4);
    cr_assert(run.continuous, "a partition can't have been handed over and back");
    run.join(6);
    cr_assert_not(run.continuous);
    run.join(6);
    cr_assert(run.continuous, "nothing has changed");
}

// Guards against a member that goes on with an assignment whose predecessor got lost on its way.
Test(job_group, assignment_after_an_unanswered_join_is_not_continuous)
{
    member_run run;
    run.settle(3);
    run.answer_join(tl::unexpected(edge::store_error{edge::store_failure::unknown, {}}));
    run.join(4);
    cr_assert_not(run.continuous);
}

// Guards against a former member that can't join again, or acts on what it was assigned before.
Test(job_group, joins_again_after_it_has_left)
{
    member_run run;
    run.settle(3);
    run.group.leave([] {});
    cr_assert_not(run.group.joining());
    run.taken.clear();
    run.settle(7);
    cr_assert_eq(run.taken.back(), 7UL);
}
