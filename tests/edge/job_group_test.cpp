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
    edge::job_group group{store, logger, edge::job_group_settings{},
                          core::instance_id("127.0.0.1:1"),
                          [this](const edge::group_assignment& assignment, bool, const auto&) {
                              taken.push_back(assignment.generation);
                              return false;
                          }};
    core::time_point now = start;

    /// Ticks until the member joins, and answers with this generation; returns the time of it.
    core::time_point join(std::uint64_t generation)
    {
        for (int count = 0; count < 100 && store.joins.empty(); ++count) {
            now += milliseconds(20);
            group.tick(now);
        }
        cr_assert_not(store.joins.empty(), "the member does not join");
        const auto done = std::move(store.joins.front());
        store.joins.pop_front();
        done(edge::group_assignment{generation, {}});
        return now;
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
