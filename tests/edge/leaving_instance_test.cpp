/// Tests how an instance ends its service when it is stopped.

#include "edge/edge_deployment.hpp"
#include "platform/names.hpp"

#include <criterion/criterion.h>

#include <future>
#include <string>
#include <thread>

namespace http = gooseberryfall::http;
namespace names = gooseberryfall::adapter::names;
namespace stand_ins = gooseberryfall::stand_ins;
using std::chrono::milliseconds;

namespace {

/// Sends a request whose caller waits for at most `time_limit`.
http::call_result send(edge_deployment& deployment, const std::string& id, milliseconds time_limit)
{
    return deployment.call(0, "POST", "/fixed/x",
                           {{names::request_id, id},
                            {names::time_limit, std::to_string(time_limit.count())},
                            {"Authorization", "Bearer key-a"}},
                           "prompt");
}

/// Stops an instance and ends it once it has left, as its process does.
class stopping_instance {
public:
    explicit stopping_instance(edge_deployment& deployment)
    {
        deployment.nodes[0]->begin_leaving();
        process_ = std::async(std::launch::async, [&deployment] {
            const bool left = wait_until([&] { return deployment.nodes[0]->has_left(); });
            deployment.kill(0);
            return left;
        });
    }

    /// Waits for its end; returns false if it has not left in time.
    bool wait() { return process_.get(); }

private:
    std::future<bool> process_;
};

} // namespace

// Guards against a request that a leaving instance takes late and cuts when it exits: its time
// limit ends after the exit.
Test(leaving_instance, rejects_requests_that_might_not_end_before_it_exits, .timeout = 60)
{
    // Streams take two thirds of the time limit of five seconds.
    edge_deployment deployment(
        {.events = 66, .event_interval = milliseconds(50), .leave_timeout = milliseconds(3000)});
    deployment.wait_until_serving();
    stopping_instance instance(deployment);
    const auto late = send(deployment, "late", milliseconds(5000));
    cr_assert_eq(late.head.status, 503U, "%u %s", late.head.status, late.reason.c_str());
    cr_assert_not(late.head.headers.get(names::retry_after).empty());
    cr_assert(deployment.runs_of("late").empty());
    cr_assert(instance.wait());
}

// Guards against rejected requests of callers that have cached the address of a leaving instance,
// although their responses are complete before it exits.
Test(leaving_instance, serves_requests_that_end_before_it_exits, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    stopping_instance instance(deployment);
    const auto response = send(deployment, "r1", milliseconds(5000));
    cr_assert_eq(response.head.status, 200U);
    cr_assert(response.body == stand_ins::model_engine::complete_stream("/fixed/x", 10));
    cr_assert(instance.wait());
}

// Guards against a job call that is cut when its instance exits before the owner has answered.
Test(leaving_instance, answers_job_calls_before_it_exits, .timeout = 60)
{
    edge_deployment deployment({.leave_timeout = milliseconds(2000)});
    deployment.wait_until_serving();
    stopping_instance instance(deployment);
    // From here on the owner is another instance. It accepts the job and can't write it.
    cr_assert(wait_until([&] { return deployment.submit(0, "handed-over", 1) == 202; },
                         milliseconds(450)));
    deployment.store.set_all_modes(stand_ins::listener_mode::unresponsive);
    const unsigned status = deployment.submit(0, "job", 1);
    deployment.store.set_all_modes(stand_ins::listener_mode::normal);
    cr_assert_eq(status, 504U, "%u", status);
    cr_assert(instance.wait());
}
