/// Tests which instances own job partitions.

#include "serving/serving.hpp"

#include <criterion/criterion.h>

namespace serving = gooseberryfall::serving;

namespace {

constexpr double share_min = 0.5;
constexpr double small = 0.12;
constexpr double large = 0.5;

} // namespace

// Guards against small instances that own jobs because they have heard of other small ones only: 23
// of 341 take-overs were theirs in a fleet of 60 large and 235 small instances.
Test(job_owners, a_small_instance_knows_the_leader_is_larger)
{
    serving::known_capacities known;
    cr_assert_not(serving::may_own_jobs(small, known, share_min), "nothing is known yet");
    known.ready = small;
    cr_assert_not(serving::may_own_jobs(small, known, share_min), "no leader and no list");
    known.leader = large;
    cr_assert_not(serving::may_own_jobs(small, known, share_min));
    cr_assert(serving::may_own_jobs(large, known, share_min));
}

// Guards against a fleet of small instances in which nobody owns jobs.
Test(job_owners, equal_instances_own_jobs)
{
    serving::known_capacities known;
    known.leader = small;
    cr_assert(serving::may_own_jobs(small, known, share_min));
    known.ready = large;
    cr_assert_not(serving::may_own_jobs(small, known, share_min));
    known = {};
    known.listed = 2 * small;
    cr_assert(serving::may_own_jobs(small, known, share_min));
    known.listed = large;
    cr_assert_not(serving::may_own_jobs(small, known, share_min));
}
