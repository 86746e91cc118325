/// Tests which instances own job partitions when others are lost, and what a former owner answers.

#include "edge/edge_deployment.hpp"

#include "core/types.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <thread>

namespace core = gooseberryfall::core;
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

// Guards against accepted jobs that are answered 404 by an owner that was frozen: others have owned
// its partition meanwhile, have accepted a job, and were lost before it woke up.
Test(job_ownership, frozen_owner_finds_what_others_have_written, .timeout = 60)
{
    // The stand-in assigns partition 0 to the first of two instances. An owner that leads isn't
    // told by a leader that it has been replaced.
    const std::size_t owner = core::stable_hash("studio") % 2;
    const std::size_t other = 1 - owner;
    edge_deployment deployment(
        {.instances = 2, .capacities = owner == 0 ? std::vector{1.0, 0.9} : std::vector{0.9, 1.0}});
    deployment.wait_until_idle();
    cr_assert(wait_until([&] { return deployment.metric(owner, "fleet_leads") == 1.0; }));
    cr_assert(wait_until(
        [&] { return owns_partitions(deployment, 0) && owns_partitions(deployment, 1); }));
    deployment.freeze(owner, seconds(4));
    // A call that is forwarded to the frozen owner takes too long.
    cr_assert(wait_until([&] { return deployment.metric(other, "job_partitions") == 2.0; },
                         milliseconds(2500)));
    cr_assert(wait_until([&] { return deployment.submit(other, "job", 2) == 202; }, seconds(1)));
    cr_assert_eq(result_count(deployment.wait_for_results(other, "job", 2, seconds(1))), 2U);
    deployment.kill(other);
    std::size_t found = 0;
    for (const auto end = std::chrono::steady_clock::now() + seconds(7);
         std::chrono::steady_clock::now() < end;) {
        const auto page = deployment.results(owner, "job");
        cr_assert_neq(page.head.status, 404U);
        if (page.head.status == 200) {
            found = result_count(page.body);
            cr_assert_eq(found, 2U);
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    cr_assert_eq(found, 2U, "the job is never found again");
}
