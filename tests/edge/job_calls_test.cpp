/// Tests how instances accept batch jobs and start their items.

#include "edge/edge_deployment.hpp"

#include <criterion/criterion.h>

#include <future>
#include <string>
#include <thread>

namespace stand_ins = gooseberryfall::stand_ins;
using std::chrono::milliseconds;

// Guards against a job that runs although its caller was told that it doesn't: its record is queued
// while the store doesn't respond, and the submission comes again.
Test(job_calls, job_with_a_queued_record_is_not_rejected, .timeout = 60)
{
    edge_deployment deployment({.instances = 1});
    deployment.wait_until_serving();
    deployment.store.set_all_modes(stand_ins::listener_mode::unresponsive);
    auto first = std::async(std::launch::async, [&] { return deployment.submit(0, "job", 2); });
    // Longer than an owner accepts jobs without the store.
    std::this_thread::sleep_for(milliseconds(1500));
    const unsigned again = deployment.submit(0, "job", 2);
    const unsigned other = deployment.submit(0, "other", 2);
    deployment.store.set_all_modes(stand_ins::listener_mode::normal);
    cr_assert_eq(again, 504U, "%u", again);
    cr_assert_eq(other, 503U, "%u", other);
    const unsigned status = first.get();
    cr_assert(status == 504 || status == 202, "%u", status);
    cr_assert_eq(result_count(deployment.wait_for_results(0, "job", 2)), 2U);
    cr_assert(deployment.runs_of("other-0").empty());
}

// Guards against accepted items that are left lying beside idle targets, because items of a service
// without targets occupy all places.
Test(job_calls, items_without_targets_do_not_delay_those_of_another_service, .timeout = 60)
{
    edge_deployment deployment({.instances = 1, .has_idle_service = true});
    deployment.wait_until_serving();
    for (int job = 0; job < 8; ++job) {
        cr_assert_eq(deployment.submit(0, "idle-" + std::to_string(job), 10, "/idle/"), 202U);
    }
    cr_assert_eq(deployment.submit(0, "job", 10), 202U);
    cr_assert_eq(result_count(deployment.wait_for_results(0, "job", 10)), 10U);
    cr_assert_eq(result_count(deployment.results(0, "idle-0").body), 0U);
}
