/// Tests that targets which name a limit in their answers get no more requests than that.

#include "edge/edge_deployment.hpp"
#include "platform/names.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace http = gooseberryfall::http;
namespace names = gooseberryfall::adapter::names;
namespace stand_ins = gooseberryfall::stand_ins;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr double limit = 2.0;
/// Time after which all instances know of a limit.
constexpr seconds settle_time{3};

/// Largest number of runs that an engine began within four seconds, from `begin` on.
std::size_t most_in_window(const stand_ins::model_engine& engine, steady_clock::time_point begin)
{
    std::vector<steady_clock::time_point> times;
    for (const stand_ins::engine_run& run : engine.runs()) {
        if (run.arrived_at >= begin) {
            times.push_back(run.arrived_at);
        }
    }
    std::size_t most = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        const auto end = std::lower_bound(times.begin(), times.end(), times[first] + seconds(4));
        most = std::max(most, static_cast<std::size_t>(end - times.begin()) - first);
    }
    return most;
}

/// Callers that send requests to all instances, each as soon as the one before has ended.
class callers {
public:
    callers(edge_deployment& deployment, std::size_t instances, int count)
    {
        for (int caller = 0; caller < count; ++caller) {
            threads_.emplace_back([this, &deployment, instances, caller] {
                for (int sequence = 0; !stopping_; ++sequence) {
                    const std::string id =
                        "c" + std::to_string(caller) + "-" + std::to_string(sequence);
                    const unsigned status =
                        deployment
                            .stream(static_cast<std::size_t>(caller + sequence) % instances, id)
                            .head.status;
                    served_ += status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(milliseconds(10));
                }
            });
        }
    }
    ~callers()
    {
        stopping_ = true;
        threads_.clear();
    }
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;
    callers(callers&&) = delete;
    callers& operator=(callers&&) = delete;

    int served() const { return served_; }

private:
    std::atomic<bool> stopping_{false};
    std::atomic<int> served_{0};
    std::vector<std::jthread> threads_;
};

} // namespace

// Guards against a target that gets far more requests than it has named: from instances that got no
// answer of it, as items, after a new leader has taken over and without the store.
Test(limited_targets, get_no_more_than_they_name, .timeout = 120)
{
    edge_deployment deployment({.events = 6, .event_interval = milliseconds(20)});
    deployment.wait_until_serving();
    deployment.engines[0]->name_rate_limit(limit);
    deployment.engines[1]->name_rate_limit(limit);
    const callers load(deployment, 3, 9);
    cr_assert_eq(deployment.submit(0, "job", 60), 202U);
    std::this_thread::sleep_for(settle_time);
    const auto begin = steady_clock::now();
    std::this_thread::sleep_for(seconds(5));
    deployment.store.set_all_modes(stand_ins::listener_mode::rejecting);
    std::this_thread::sleep_for(seconds(3));
    const int served_before = load.served();
    std::this_thread::sleep_for(seconds(4));
    for (const auto& engine : deployment.engines) {
        const std::size_t most = most_in_window(*engine, begin);
        cr_expect_leq(most, 1.5 * limit * 4 + 5, "%s got %zu", engine->id().c_str(), most);
    }
    // Both together take 16 in this time; items get what online requests leave.
    cr_expect_geq(load.served() - served_before, 10);
}

// Guards against a limit that is forgotten with the leader that knew it.
Test(limited_targets, stay_limited_when_leaders_are_killed, .timeout = 120)
{
    edge_deployment deployment({.events = 6, .event_interval = milliseconds(20)});
    deployment.wait_until_serving();
    for (const auto& engine : deployment.engines) {
        engine->name_rate_limit(limit);
    }
    const callers load(deployment, 3, 6);
    std::this_thread::sleep_for(settle_time);
    const auto begin = steady_clock::now();
    deployment.store.set_all_modes(stand_ins::listener_mode::rejecting);
    for (const std::size_t killed : {std::size_t{0}, std::size_t{1}}) {
        deployment.kill(killed);
        std::this_thread::sleep_for(seconds(3));
        deployment.store.set_all_modes(stand_ins::listener_mode::normal);
        deployment.restart(killed);
        std::this_thread::sleep_for(seconds(2));
    }
    for (const auto& engine : deployment.engines) {
        const std::size_t most = most_in_window(*engine, begin);
        cr_expect_leq(most, 1.5 * limit * 4 + 5, "%s got %zu", engine->id().c_str(), most);
    }
}

// Guards against a limit that holds on after its target has ceased to name it.
Test(limited_targets, get_their_usual_load_after_the_limit, .timeout = 60)
{
    edge_deployment deployment({.engines = 1, .events = 3});
    deployment.wait_until_idle();
    deployment.engines[0]->name_rate_limit(limit);
    cr_assert_eq(deployment.stream(0, "heard").head.status, 200U);
    deployment.engines[0]->name_rate_limit(std::nullopt);
    const auto served_in_a_second = [&] {
        const auto end = steady_clock::now() + seconds(1);
        int served = 0;
        while (steady_clock::now() < end) {
            served += deployment.stream(1, "after" + std::to_string(served)).head.status == 200;
        }
        return served;
    };
    cr_assert(wait_until([&] { return served_in_a_second() > 10; }));
}

// Guards against a target that is taken away by a limit that it has not named, or that can't be
// read.
Test(limited_targets, foreign_and_malformed_limits_are_ignored, .timeout = 60)
{
    edge_deployment deployment({.instances = 1, .engines = 1, .events = 3});
    deployment.wait_until_idle();
    const auto expect_unlimited = [&](const std::string& prefix) {
        for (int number = 0; number < 20; ++number) {
            const auto response = deployment.stream(0, prefix + std::to_string(number));
            cr_expect_eq(response.head.status, 200U, "%s%d", prefix.c_str(), number);
        }
    };
    deployment.engines[0]->name_rate_limit(0);
    deployment.engines[0]->mismatch_request_ids(true);
    cr_assert_neq(deployment.stream(0, "other", false).head.status, 200U);
    deployment.engines[0]->mismatch_request_ids(false);
    deployment.engines[0]->name_rate_limit(std::nullopt);
    cr_assert(wait_until([&] { return deployment.stream(0, "ready").head.status == 200; }));
    expect_unlimited("foreign");
    for (const char* malformed : {"", "none", "-1", "nan", "inf", "2.8x", "0,5", "1e999"}) {
        deployment.engines[0]->name_rate_limit_as(malformed);
        expect_unlimited(std::string("malformed") + malformed);
    }
}
