/// Tests which instances own job partitions when others are lost.

#include "edge/edge_deployment.hpp"

#include <criterion/criterion.h>

#include <chrono>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double large = 0.5;
constexpr double small = 0.12;

bool owns_partitions(const edge_deployment& deployment, std::size_t instance)
{
    return deployment.metric(instance, "job_partitions").value_or(0) > 0;
}

} // namespace

// Guards against job partitions that nobody owns: the instances that stay compare their capacity
// with that of the one that is lost for good.
Test(job_ownership, smaller_instances_own_jobs_once_the_largest_is_lost, .timeout = 60)
{
    edge_deployment deployment(
        {.event_interval = milliseconds(50), .capacities = {large, small, small}});
    deployment.wait_until_idle();
    cr_assert(wait_until([&] { return owns_partitions(deployment, 0); }));
    cr_assert_not(owns_partitions(deployment, 1) || owns_partitions(deployment, 2));
    cr_assert_eq(deployment.submit(1, "job", 24), 202U);
    deployment.kill(0);
    // Two seconds to notice the loss and to take the partitions over, and time for the items.
    cr_assert_eq(result_count(deployment.wait_for_results(1, "job", 24, seconds(6))), 24U);
    cr_assert_eq(deployment.submit(2, "next", 2), 202U);
}

// Guards against small instances that own jobs for good after a restart of the large one.
Test(job_ownership, largest_instance_owns_all_jobs_again_after_a_restart, .timeout = 60)
{
    edge_deployment deployment({.instances = 2, .capacities = {large, small}});
    deployment.wait_until_idle();
    cr_assert_eq(deployment.submit(1, "job", 2), 202U);
    cr_assert_eq(result_count(deployment.wait_for_results(1, "job", 2)), 2U);
    deployment.kill(0);
    cr_assert(wait_until([&] { return owns_partitions(deployment, 1); }));
    deployment.restart(0);
    cr_assert(wait_until(
        [&] { return owns_partitions(deployment, 0) && !owns_partitions(deployment, 1); },
        seconds(20)));
    cr_assert_eq(result_count(deployment.wait_for_results(1, "job", 2)), 2U);
    // Later losses are served like the first one.
    deployment.kill(0);
    cr_assert(wait_until([&] { return owns_partitions(deployment, 1); }));
}
