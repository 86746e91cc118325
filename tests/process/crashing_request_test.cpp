#include "process/caller_traffic.hpp"

#include <criterion/criterion.h>

#include <cstdio>

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a request that crashes its engines taking down more than three of them when its
// caller sends it again to other instances, and against it taking innocent requests along.
Test(answer_faults, crashing_request_is_stopped)
{
    deployment_options options;
    options.engines = 6;
    options.teams = {{"namur", 1000, 1000}, {"leuven", 1000, 1000}};
    process_deployment deployment(options);
    cr_assert(deployment.start());
    for (std::uint32_t engine = 0; engine < options.engines; ++engine) {
        deployment.control_engine(engine, "crash_text=boom");
    }
    caller_traffic traffic;
    for (std::uint32_t thread = 0; thread < 6; ++thread) {
        traffic.every(milliseconds(50), [&, thread] {
            caller_request request;
            request.team = "leuven";
            request.text = traffic.next_text();
            request.tokens = 20;
            traffic.add(send_request(deployment, thread % 3, request));
        });
    }
    std::this_thread::sleep_for(seconds(1));
    caller_request boom;
    boom.text = "boom";
    std::vector<std::string> codes;
    for (int round = 0; round < 4; ++round) {
        for (std::uint32_t instance = 0; instance < 3; ++instance) {
            codes.push_back(send_request(deployment, instance, boom).code);
        }
    }
    std::this_thread::sleep_for(seconds(1));
    traffic.stop();
    std::size_t dead = 0;
    for (std::uint32_t engine = 0; engine < options.engines; ++engine) {
        dead += deployment.engine(engine).running() ? 0 : 1;
    }
    std::size_t refused = 0;
    for (const caller_answer& answer : traffic.answers()) {
        refused += answer.succeeded() ? 0 : 1;
        cr_expect(answer.succeeded() && answer.is_own(), "%u %s", answer.status,
                  answer.body.c_str());
    }
    std::printf("crash: %zu engines ended, %zu of %zu innocent requests lost, first code %s\n",
                dead, refused, traffic.answers().size(), codes.front().c_str());
    std::fflush(stdout);
    cr_expect(dead >= 1 && dead <= 3, "%zu engines ended", dead);
    for (std::size_t index = codes.size() - 3; index < codes.size(); ++index) {
        cr_expect_str_eq(codes[index].c_str(), "crashes_targets");
    }
}
