#include "process/caller_traffic.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <cstdio>
#include <future>

namespace http = gooseberryfall::http;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

/// Sends requests at the same time, each with its own number of tokens, and waits for all.
std::vector<caller_answer> ask_together(const process_deployment& deployment,
                                        caller_traffic& traffic, std::uint32_t count, bool stream)
{
    std::vector<std::future<caller_answer>> asked;
    for (std::uint32_t index = 0; index < count; ++index) {
        caller_request request;
        request.text = traffic.next_text();
        request.tokens = 5 + index;
        request.stream = stream;
        asked.push_back(std::async(std::launch::async, [&deployment, request, index] {
            return send_request(deployment, index % 3, request);
        }));
    }
    std::vector<caller_answer> answers;
    answers.reserve(asked.size());
    for (auto& one : asked) {
        answers.push_back(one.get());
    }
    return answers;
}

/// Checks that every answer is whole and its own or a refusal, and returns how many are answers.
std::size_t check_own(const std::vector<caller_answer>& answers, const char* fault)
{
    std::size_t succeeded = 0;
    for (const caller_answer& answer : answers) {
        const bool done = answer.body.find("[DONE]") != std::string::npos;
        if (answer.succeeded()) {
            ++succeeded;
            cr_expect(answer.is_own(), "%s: another request's answer: %s", fault,
                      answer.body.c_str());
            continue;
        }
        cr_expect(!done, "%s: [DONE] in an answer that is not whole: %s", fault,
                  answer.body.c_str());
        cr_expect(!(answer.status == 200 && answer.whole),
                  "%s: a part of an answer ended as whole: %s", fault, answer.body.c_str());
    }
    std::printf("%s: %zu of %zu answered\n", fault, succeeded, answers.size());
    std::fflush(stdout);
    return succeeded;
}

/// Waits until a target saw the text and returns its number; -1 at the limit.
int engine_that_runs(const process_deployment& deployment, const std::string& text)
{
    const auto end = steady_clock::now() + seconds(10);
    while (steady_clock::now() < end) {
        for (const auto& request : deployment.seen()) {
            if (request.body.find(text) != std::string::npos) {
                return static_cast<int>(request.engine);
            }
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return -1;
}

const std::string short_timeouts =
    "[timeouts]\nfirst_byte = \"1500 ms\"\nbetween_bytes = \"1500 ms\"\n";

} // namespace

// Guards against callers getting another request's answer or a part of one as a whole, when answers
// are crossed, cut short, late, or lost with their engine; and against requests that may be
// repeated failing although another engine is well.
Test(answer_faults, answers_are_whole_and_own)
{
    deployment_options options;
    options.engines = 3;
    options.engines_through_proxy = true;
    options.teams = {{"namur", 1000, 1000}};
    options.settings = short_timeouts;
    process_deployment deployment(options);
    cr_assert(deployment.start());
    caller_traffic traffic;

    deployment.control_engine(0, "mismatch_next=2");
    const std::size_t crossed =
        check_own(ask_together(deployment, traffic, 12, false), "crossed answers");
    cr_expect_eq(crossed, 12U);
    deployment.control_engine(0, "mismatch_next=0");

    deployment.control_engine(1, "truncate_next=2");
    const std::size_t cut = check_own(ask_together(deployment, traffic, 12, false), "truncated");
    cr_expect_eq(cut, 12U);
    deployment.control_engine(1, "truncate_next=0");
    for (std::uint32_t engine = 0; engine < 3; ++engine) {
        deployment.control_engine(engine, "truncate_next=2");
    }
    check_own(ask_together(deployment, traffic, 12, true), "truncated streams");
    for (std::uint32_t engine = 0; engine < 3; ++engine) {
        deployment.control_engine(engine, "truncate_next=0");
    }

    deployment.fault("engine-2", "delay_ms=1200");
    check_own(ask_together(deployment, traffic, 12, false), "delayed answers");
    check_own(ask_together(deployment, traffic, 12, true), "delayed streams");
    deployment.fault("engine-2", "delay_ms=0");

    for (const bool stream : {false, true}) {
        auto asked = std::async(std::launch::async,
                                [&] { return ask_together(deployment, traffic, 18, stream); });
        std::this_thread::sleep_for(milliseconds(30));
        deployment.fault("engine-0", "mode=black_hole");
        std::this_thread::sleep_for(milliseconds(2500));
        // What was held back is delivered now.
        deployment.fault("engine-0", "mode=pass");
        check_own(asked.get(), "answers after the timeout");
        check_own(ask_together(deployment, traffic, 12, stream), "requests after that");
    }

    for (const bool stream : {false, true}) {
        for (std::uint32_t engine = 0; engine < 3; ++engine) {
            deployment.control_engine(engine, "token_ms=40");
        }
        auto asked = std::async(std::launch::async,
                                [&] { return ask_together(deployment, traffic, 12, stream); });
        std::this_thread::sleep_for(milliseconds(250));
        deployment.engine(0).signal(SIGKILL);
        const std::size_t survived = check_own(asked.get(), "engine killed");
        cr_expect(stream || survived == 12U, "%zu of 12 non-streamed answers", survived);
        cr_assert(deployment.restart_engine(0));
    }
}

// Guards against hanging on connections that went silent while new ones work.
Test(answer_faults, silent_connections_do_not_hang)
{
    deployment_options options;
    options.engines = 2;
    options.engines_through_proxy = true;
    options.teams = {{"namur", 1000, 1000}};
    options.settings = short_timeouts;
    process_deployment deployment(options);
    cr_assert(deployment.start());
    caller_traffic traffic;
    ask_together(deployment, traffic, 12, false);
    for (const std::string routes : {"engine", "log", "peer", "all"}) {
        for (std::uint32_t number = 0; number < 3; ++number) {
            for (const std::string kind : {"engine", "log", "peer"}) {
                const bool exists = kind != "engine" || number < options.engines;
                if (exists && (routes == kind || routes == "all")) {
                    deployment.fault(kind + "-" + std::to_string(number), "silence=1");
                }
            }
        }
        std::size_t succeeded = 0;
        std::size_t asked = 0;
        // Longer than the silence after which a peer is suspect and the age of current state.
        const auto end = steady_clock::now() + seconds(5);
        while (steady_clock::now() < end) {
            for (const caller_answer& answer : ask_together(deployment, traffic, 6, false)) {
                ++asked;
                succeeded += answer.succeeded() ? 1 : 0;
                // Three tries of connect, write and first byte, and the queue's wait.
                cr_expect(answer.took < seconds(18), "an answer took %lld ms",
                          static_cast<long long>(answer.took.count()));
            }
        }
        cr_expect(deployment.wait_until_serving(seconds(10)), "%s", routes.c_str());
        std::printf("silent %s: %zu of %zu answered\n", routes.c_str(), succeeded, asked);
        std::fflush(stdout);
        cr_expect(succeeded * 10 >= asked * 9, "%zu of %zu", succeeded, asked);
    }
}

// Guards against a request that must not be repeated reaching targets twice, and against refusals
// that say not_run for a request that a target saw.
Test(answer_faults, unrepeatable_requests_run_once)
{
    deployment_options options;
    options.engines = 3;
    options.plain_service = true;
    options.engines_through_proxy = true;
    options.teams = {{"namur", 1000, 1000}};
    options.settings = short_timeouts;
    process_deployment deployment(options);
    cr_assert(deployment.start());
    caller_traffic traffic;
    target_history history(deployment);
    const auto make = [&](bool plain) {
        caller_request request;
        request.text = traffic.next_text();
        request.repeatable = plain;
        request.plain_path = plain ? "/studio/mix" : "";
        return request;
    };
    const auto delay_all = [&](const char* delay) {
        for (std::uint32_t engine = 0; engine < 4; ++engine) {
            deployment.control_engine(engine, std::string("delay_ms=") + delay);
        }
    };
    const auto fault_all = [&](const char* change) {
        for (std::uint32_t engine = 0; engine < 4; ++engine) {
            deployment.fault("engine-" + std::to_string(engine), change);
        }
    };
    const auto ask_both = [&](int count) {
        std::vector<std::future<caller_answer>> asked;
        asked.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            asked.push_back(std::async(std::launch::async, [&, index] {
                return send_request(deployment, static_cast<std::uint32_t>(index % 3),
                                    make(index % 2 == 0));
            }));
        }
        return asked;
    };
    const auto collect = [&](std::vector<std::future<caller_answer>>& asked) {
        for (auto& one : asked) {
            traffic.add(one.get());
        }
    };
    for (const bool plain : {false, true}) {
        delay_all("800");
        const caller_request request = make(plain);
        auto asked =
            std::async(std::launch::async, [&] { return send_request(deployment, 0, request); });
        const int engine = engine_that_runs(deployment, request.text);
        cr_assert(engine >= 0);
        history.read();
        deployment.engine(static_cast<std::uint32_t>(engine)).kill();
        traffic.add(asked.get());
        delay_all("0");
        cr_assert(deployment.restart_engine(static_cast<std::uint32_t>(engine)));
        history.read();
    }
    for (const char* change : {"close=1", "mode=cut", "mode=drop_answers", "silence=1"}) {
        fault_all("mode=pass");
        cr_assert(deployment.wait_until_serving(seconds(20)));
        delay_all("300");
        auto asked = ask_both(12);
        std::this_thread::sleep_for(milliseconds(150));
        fault_all(change);
        auto more = ask_both(6);
        collect(asked);
        collect(more);
        fault_all("mode=pass");
        delay_all("0");
    }
    // Pooled connections whose engine was restarted.
    for (int round = 0; round < 2; ++round) {
        auto before = ask_both(12);
        collect(before);
        history.read();
        for (std::uint32_t engine = 0; engine < 4; ++engine) {
            deployment.engine(engine).kill();
            cr_assert(deployment.restart_engine(engine));
        }
        auto after = ask_both(12);
        collect(after);
    }
    history.read();
    std::size_t succeeded = 0;
    std::size_t not_run = 0;
    for (const caller_answer& answer : traffic.answers()) {
        const std::size_t seen = history.count(answer.request.text);
        cr_expect(seen <= 1, "%s ran %zu times", answer.request.text.c_str(), seen);
        succeeded += answer.succeeded() ? 1 : 0;
        not_run += answer.run == "not_run" ? 1 : 0;
        cr_expect(answer.run != "not_run" || seen == 0, "%s was refused as not run",
                  answer.request.text.c_str());
        cr_expect(!answer.succeeded() || answer.is_own());
    }
    std::printf("once: %zu requests, %zu answered, %zu refused as not run\n",
                traffic.answers().size(), succeeded, not_run);
    std::fflush(stdout);
}

// Guards against requests running for teams whose key did not come with them, and against keys that
// reach a target in a header or in the query.
Test(answer_faults, keys_decide_and_stay_here)
{
    deployment_options options;
    options.plain_service = true;
    process_deployment deployment(options);
    cr_assert(deployment.start());
    const auto call = [&](const std::string& path, const http::header_fields& headers,
                          const std::string& text) {
        return http::call(deployment.callers(0), "POST", path, headers, text);
    };
    for (const std::string key : {"", "Bearer ", "Bearer key-nobody", "key-namur",
                                  "Basic key-namur", "Bearer key-namur key-leuven"}) {
        http::header_fields headers;
        if (!key.empty()) {
            headers.set("Authorization", key);
        }
        const auto refused = call("/studio/mix", headers, "forbidden");
        cr_expect_eq(refused.head.status, 401U, "key '%s': %u", key.c_str(), refused.head.status);
        const std::string run = error_field(refused.body, "run");
        cr_expect_str_eq(run.c_str(), "not_run");
    }
    const auto in_query = call("/studio/mix?key=key-namur", {}, "forbidden");
    cr_expect_eq(in_query.head.status, 401U);
    const auto open = call("/open/hours", {}, "open");
    cr_expect_eq(open.head.status, 200U, "%s", open.body.c_str());
    for (const std::string path : {"/studio/mix", "/studio/mix?a=1&key=key-namur&b=2",
                                   "/open/hours?key-namur", "/studio/mix?k=key%2Dnamur"}) {
        const auto answer = call(path,
                                 {{"authorization", "Bearer key-namur"},
                                  {"X-Api-Key", "key-namur"},
                                  {"X-Forwarded-Authorization", "Bearer key-namur"},
                                  {"Cookie", "key=key-namur"}},
                                 "allowed");
        cr_expect_eq(answer.head.status, 200U, "%s: %s", path.c_str(), answer.body.c_str());
    }
    std::size_t allowed = 0;
    for (const auto& request : deployment.seen()) {
        cr_expect_neq(request.body.c_str(), std::string("forbidden"));
        allowed += request.body == "allowed" ? 1 : 0;
        const bool in_path = request.path.find("key-namur") != std::string::npos ||
                             request.path.find("key%2Dnamur") != std::string::npos;
        cr_expect(!in_path, "a key in %s", request.path.c_str());
        for (const std::string& header : request.headers) {
            cr_expect_eq(header.find("key-namur"), std::string::npos, "a key in %s",
                         header.c_str());
        }
    }
    cr_expect_eq(allowed, 4U);
}
