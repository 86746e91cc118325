/// Tests that a target stays in use after runs that ended at their own time limit.

#include "edge/edge_deployment.hpp"
#include "edge/raw_target.hpp"
#include "platform/names.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

namespace http = gooseberryfall::http;
namespace names = gooseberryfall::adapter::names;
using std::chrono::milliseconds;

namespace {

/// Time limit of the callers whose requests are served at once.
constexpr milliseconds ample_time(4000);

milliseconds time_limit_of(const std::string& request_head)
{
    const std::string name = std::string(names::time_limit) + ": ";
    const std::size_t begin = request_head.find(name) + name.size();
    return milliseconds(std::stoll(request_head.substr(begin)));
}

/// Works on requests with little time until their time limit, and then closes the connection.
std::string respond_if_time_is_ample(const std::string& request_head)
{
    const milliseconds time_limit = time_limit_of(request_head);
    if (time_limit < ample_time) {
        std::this_thread::sleep_for(time_limit);
        return {};
    }
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n" +
           raw_target::response_headers(request_head) + "\r\nok";
}

/// A deployment with one target, which ends its work at the time limits.
struct fixture {
    edge_deployment deployment{
        {.instances = 1, .engines = 1, .item_lifetime = std::chrono::seconds(1)}};
    raw_target target{respond_if_time_is_ample};

    fixture()
    {
        deployment.wait_until_idle();
        deployment.store.put(names::target_topic, "engine-0",
                             deployment.engines[0]->target_entry(true));
        cr_assert(deployment.wait_for_targets(0));
        deployment.store.put(names::target_topic, "target", target.entry());
        cr_assert(deployment.wait_for_targets(1));
    }

    void expect_target_in_use()
    {
        const http::call_result result = deployment.stream(0, "sound", false);
        cr_assert_eq(result.head.status, 200U, "status %u", result.head.status);
    }
};

} // namespace

// Guards against a target that is set aside since online requests ended at their own deadline.
Test(run_limits, target_is_used_after_requests_with_little_time, .timeout = 60)
{
    fixture test;
    for (int number = 0; number < 5; ++number) {
        test.deployment.call(0, "POST", "/fixed/x",
                             {{names::request_id, "short-" + std::to_string(number)},
                              {names::time_limit, "150"},
                              {names::token_usage, "100,50"},
                              {"Authorization", "Bearer key-a"}},
                             "prompt");
    }
    test.expect_target_in_use();
    cr_assert_eq(test.target.request_count(), 6U, "%zu requests", test.target.request_count());
}

// Guards against a target that is set aside since batch items reached the end of their lifetime.
Test(run_limits, target_is_used_after_items_have_expired, .timeout = 60)
{
    fixture test;
    constexpr int items = 8;
    cr_assert_eq(test.deployment.submit(0, "job", items), 202U);
    cr_assert_eq(result_count(test.deployment.wait_for_results(0, "job", items)),
                 static_cast<std::size_t>(items));
    test.expect_target_in_use();
    cr_assert_geq(test.target.request_count(), static_cast<std::size_t>(items + 1));
}
