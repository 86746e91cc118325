#include "process/process_deployment.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <set>

// Guards against a break anywhere on the way of online requests and jobs through real processes.
Test(whole_path, serves_online_and_batch)
{
    process_deployment deployment({});
    cr_assert(deployment.start());

    const auto answer = deployment.ask(1, "key-namur", "a caption");
    cr_assert_eq(answer.head.status, 200U, "%s", answer.body.c_str());
    cr_assert_neq(answer.body.find("w0 w1 w2 w3 w4"), std::string::npos);
    const auto unknown = deployment.ask(1, "key-nobody", "a caption");
    cr_assert_eq(unknown.head.status, 401U);
    cr_assert(error_field(unknown.body, "run") == "not_run");

    const auto submitted = deployment.submit(0, "key-namur", "evening", 100);
    cr_assert_eq(submitted.head.status, 200U, "%s", submitted.body.c_str());
    const std::string job = json_field(submitted.body, "id");
    const auto ended = deployment.wait_for_job("key-namur", job, std::chrono::seconds(30));
    cr_assert(ended.has_value());
    cr_assert_str_eq(ended->at("succeeded").c_str(), "100");
    const auto indices = deployment.result_indices(2, "key-namur", job);
    cr_assert_eq(indices.size(), 100U);
    cr_assert_eq(std::set<std::uint32_t>(indices.begin(), indices.end()).size(), 100U);
    const auto foreign = deployment.get(2, "key-leuven", "/v1/batches/" + job);
    cr_assert_eq(foreign.head.status, 404U);

    for (const auto& request : deployment.seen()) {
        for (const std::string& header : request.headers) {
            cr_assert_eq(header.find("Bearer"), std::string::npos, "a target saw a key");
        }
    }
    for (std::uint32_t number = 0; number < 3; ++number) {
        deployment.instance(number).signal(SIGTERM);
    }
    for (std::uint32_t number = 0; number < 3; ++number) {
        const auto status = deployment.instance(number).wait(std::chrono::seconds(40));
        cr_assert(status.has_value() && *status == 0, "instance %u did not leave", number);
    }
}
