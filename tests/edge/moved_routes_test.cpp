/// Tests what happens to work that waits while its route moves to another service or is removed.

#include "edge/edge_deployment.hpp"

#include "platform/names.hpp"

#include <criterion/criterion.h>

#include <future>
#include <string>
#include <thread>

namespace names = gooseberryfall::adapter::names;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t old_engine = 0;
constexpr std::size_t new_engine = 1;

/// One instance with a slow engine of the service `lm`, and an engine of the service `next` that no
/// route uses.
struct two_services {
    two_services()
        : deployment({.instances = 1,
                      .engines = 2,
                      .slots = 2,
                      .event_interval = milliseconds(80),
                      .state_poll_interval = milliseconds(200)})
    {
        deployment.list_engine(new_engine, "next");
        deployment.wait_until_idle();
    }

    /// Moves routes, and waits until the instance has the new state.
    void put_state(const edge_deployment::route_changes& changes)
    {
        ++version;
        deployment.put_state(version, {"key-a"}, changes);
        cr_assert(wait_until(
            [&] { return deployment.metric(0, "state_version") == static_cast<double>(version); }));
    }

    std::size_t runs_at(std::size_t engine, const std::string& prefix) const
    {
        std::size_t count = 0;
        for (const auto& run : deployment.engines[engine]->runs()) {
            count += run.run_id.starts_with(prefix) ? 1 : 0;
        }
        return count;
    }

    edge_deployment deployment;
    std::uint64_t version = 1;
};

} // namespace

// Guards against accepted items that wait without end for the service from which their route has
// moved, and against items that reach it later.
Test(moved_routes, waiting_items_follow_their_route, .timeout = 60)
{
    two_services fleet;
    cr_assert_eq(fleet.deployment.submit(0, "job", 16), 202U);
    cr_assert(wait_until([&] { return fleet.runs_at(old_engine, "job-") > 0; }));
    fleet.put_state({{"notes", {.service = "next"}}});
    const std::size_t at_old = fleet.runs_at(old_engine, "job-");
    fleet.deployment.remove_engine(old_engine);
    cr_assert_eq(result_count(fleet.deployment.wait_for_results(0, "job", 16)), 16U);
    // An item that had its slot before the new state is sent to it.
    cr_assert_leq(fleet.runs_at(old_engine, "job-"), at_old + 2);
    cr_assert_gt(fleet.runs_at(new_engine, "job-"), 0U);
}

// Guards against items that reach an engine although their route has been removed.
Test(moved_routes, items_do_not_start_on_a_removed_route, .timeout = 60)
{
    two_services fleet;
    cr_assert_eq(fleet.deployment.submit(0, "job", 16), 202U);
    cr_assert(wait_until([&] { return fleet.runs_at(old_engine, "job-") > 0; }));
    fleet.put_state({{"notes", {.removed = true}}});
    const std::size_t before = fleet.runs_at(old_engine, "job-");
    std::this_thread::sleep_for(seconds(4));
    cr_assert_leq(fleet.runs_at(old_engine, "job-"), before + 2);
}

// Guards against online requests that are refused for want of the service from which their route
// has moved while they waited, though that of the new one is idle.
Test(moved_routes, waiting_requests_follow_their_route, .timeout = 60)
{
    two_services fleet;
    const auto start_stream = [&fleet](const std::string& id) {
        return std::async(std::launch::async, [&fleet, id] {
            return fleet.deployment.stream(0, id, false).head.status;
        });
    };
    auto first = start_stream("running-0");
    auto second = start_stream("running-1");
    cr_assert(wait_until([&] { return fleet.runs_at(old_engine, "running-") == 2; }));
    // The engine's slots are taken for 0.8 s. The request arrives before the instance reads the
    // state, and waits for as long as a caller's last attempt may.
    ++fleet.version;
    fleet.deployment.put_state(fleet.version, {"key-a"}, {{"fixed", {.service = "next"}}});
    const unsigned status = fleet.deployment
                                .call(0, "POST", "/fixed/x",
                                      {{names::request_id, "waiting"},
                                       {names::time_limit, "4000"},
                                       {names::token_usage, "100,50"},
                                       {"Authorization", "Bearer key-a"}},
                                      "prompt")
                                .head.status;
    cr_assert_eq(status, 200U, "%u", status);
    cr_assert_eq(fleet.runs_at(new_engine, "waiting"), 1U);
    cr_assert_eq(fleet.runs_at(old_engine, "waiting"), 0U);
    cr_assert_eq(first.get(), 200U, "a request that runs ends where it is");
    cr_assert_eq(second.get(), 200U);
}

// Guards against a stream that is resumed at the service from which its route has moved.
Test(moved_routes, resumed_stream_follows_its_route, .timeout = 60)
{
    two_services fleet;
    auto stream = std::async(std::launch::async,
                             [&] { return fleet.deployment.stream(0, "stream").head.status; });
    cr_assert(wait_until([&] { return fleet.runs_at(old_engine, "stream") == 1; }));
    fleet.put_state({{"resumable", {.service = "next"}}});
    fleet.deployment.engines[old_engine]->truncate_after(1);
    cr_assert_eq(stream.get(), 200U);
    cr_assert_eq(fleet.runs_at(old_engine, "stream"), 1U);
    cr_assert_eq(fleet.runs_at(new_engine, "stream"), 1U);
}

// Guards against results that nobody can read, and jobs that nobody can end, because their route
// has been removed.
Test(moved_routes, jobs_of_a_removed_route_stay_readable, .timeout = 60)
{
    edge_deployment deployment({.instances = 2});
    deployment.wait_until_idle();
    cr_assert_eq(deployment.submit(0, "done", 4), 202U);
    const std::string complete = deployment.wait_for_results(0, "done", 4);
    deployment.put_state(2, {"key-a", "key-b"}, {{"notes", {.removed = true}}});
    for (const std::size_t instance : {0U, 1U}) {
        cr_assert(wait_until([&] { return deployment.metric(instance, "state_version") == 2.0; }));
        const auto page = deployment.results(instance, "done");
        cr_assert_eq(page.head.status, 200U, "instance %zu: %u", instance, page.head.status);
        cr_assert(page.body == complete);
        cr_assert_eq(deployment.submit(instance, "new", 1), 404U, "the route is gone");
        cr_assert_eq(deployment.results(instance, "unknown").head.status, 404U);
        cr_assert_eq(deployment.cancel_job(instance, "done"), 200U);
        const std::string target = std::string(names::job_path_prefix) + "done?after=0";
        const auto with_key = [&](const std::string& key) {
            return deployment.call(instance, "GET", target, {{"Authorization", "Bearer " + key}})
                .head.status;
        };
        cr_assert_eq(with_key("key-b"), 200U, "another key of the team");
        cr_assert_eq(with_key("other"), 401U);
    }
}

// Guards against items that are neither run nor given up, because a route with the name of theirs
// takes online requests now.
Test(moved_routes, items_are_given_up_once_their_route_takes_no_jobs, .timeout = 60)
{
    two_services fleet;
    cr_assert_eq(fleet.deployment.submit(0, "job", 16), 202U);
    cr_assert(wait_until([&] { return fleet.runs_at(old_engine, "job-") > 0; }));
    fleet.put_state({{"notes", {.kind = "streaming"}}});
    cr_assert_eq(result_count(fleet.deployment.wait_for_results(0, "job", 16)), 16U);
    cr_assert_leq(fleet.runs_at(old_engine, "job-"), 6U);
}
