#include "process/caller_traffic.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <random>

namespace http = gooseberryfall::http;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr double rate = 64;
constexpr double burst = 64;
constexpr std::uint32_t fault_count = 9;
constexpr std::uint32_t rounds = 4;

/// One fault of a schedule. `begin` and `end` are called with some seconds between them.
struct fault_action {
    std::string name;
    std::function<void()> begin;
    std::function<void()> end;
};

fault_action make_fault(process_deployment& deployment, target_history& history, std::uint32_t kind,
                        std::uint32_t which)
{
    const std::uint32_t number = which % 3;
    const std::string n = std::to_string(number);
    const auto route = [&](const std::string& name, const std::string& mode) {
        return fault_action{
            name + " " + mode, [&deployment, name, mode] { deployment.fault(name, mode); },
            [&deployment, name] { deployment.fault(name, "mode=pass&delay_ms=0"); }};
    };
    switch (kind) {
    case 0:
        return {"kill instance " + n, [&deployment, number] { deployment.instance(number).kill(); },
                [&deployment, number] { cr_assert(deployment.start_instance(number)); }};
    case 1:
        return {"freeze instance " + n,
                [&deployment, number] { deployment.instance(number).signal(SIGSTOP); },
                [&deployment, number] { deployment.instance(number).signal(SIGCONT); }};
    case 2:
        return {"kill engine " + n,
                [&deployment, &history, number] {
                    history.read();
                    deployment.engine(number).kill();
                },
                [&deployment, number] { cr_assert(deployment.restart_engine(number)); }};
    case 3:
        return route("engine-" + n, "mode=black_hole");
    case 4:
        return route("engine-" + n, "mode=drop_answers");
    case 5:
        return route("engine-" + n, "silence=1");
    case 6:
        return route("log-" + n, "mode=cut");
    case 7:
        return route("peer-" + n, "mode=black_hole");
    default:
        return {"log outage",
                [&deployment] {
                    deployment.control_platform("/control/outage?on=true&scope=all&mode=silent");
                },
                [&deployment] { deployment.control_platform("/control/outage?on=false"); }};
    }
}

/// Judges the history of a run: limits, own answers, true refusals, single runs.
void check_history(const std::vector<caller_answer>& answers, const target_history& history)
{
    std::map<std::string, std::size_t> ends;
    for (const caller_answer& answer : answers) {
        const std::size_t seen = history.count(answer.request.text);
        ++ends[answer.succeeded() ? "answered" : answer.code + " " + answer.run];
        cr_expect(!answer.succeeded() || answer.is_own(), "another request's answer for %s",
                  answer.request.text.c_str());
        cr_expect(answer.succeeded() || answer.body.find("[DONE]") == std::string::npos,
                  "a part of an answer with its end for %s", answer.request.text.c_str());
        cr_expect(answer.run != "not_run" || seen == 0, "%s was refused as not run and seen",
                  answer.request.text.c_str());
        cr_expect(answer.request.repeatable || seen <= 1, "%s ran %zu times",
                  answer.request.text.c_str(), seen);
    }
    for (const auto& [end, count] : ends) {
        std::printf("  %s: %zu\n", end.c_str(), count);
    }
    const double excess = worst_excess(history.arrivals("namur"), rate, burst);
    std::printf("  worst excess over the limit %.2f\n", excess);
    std::fflush(stdout);
    cr_expect(excess <= 0, "excess %.2f", excess);
}

void run_schedule(std::uint32_t seed)
{
    deployment_options options;
    options.engines = 3;
    options.engines_through_proxy = true;
    options.teams = {{"namur", rate, burst}, {"leuven", 100, 100}};
    options.settings = "[timeouts]\nfirst_byte = \"1500 ms\"\nbetween_bytes = \"1500 ms\"\n";
    process_deployment deployment(options);
    cr_assert(deployment.start());
    target_history history(deployment);
    caller_traffic traffic;
    for (std::uint32_t thread = 0; thread < 12; ++thread) {
        traffic.every(milliseconds(60), [&, thread] {
            caller_request request;
            request.team = thread < 9 ? "namur" : "leuven";
            request.text = traffic.next_text();
            request.tokens = 5 + thread;
            request.stream = thread % 3 == 0;
            request.repeatable = thread % 2 == 0;
            request.limit = seconds(5);
            traffic.add(send_request(deployment, thread % 3, request));
        });
    }
    std::mt19937 random(seed);
    std::printf("seed %u (replay: GOOSEBERRYFALL_SEED=%u process_mixed_faults_test --filter "
                "'mixed_faults/*two*')\n",
                seed, seed);
    for (std::uint32_t round = 0; round < rounds; ++round) {
        const auto first = static_cast<std::uint32_t>(random() % fault_count);
        const auto second =
            static_cast<std::uint32_t>((first + 1 + random() % (fault_count - 1)) % fault_count);
        const auto which = static_cast<std::uint32_t>(random());
        // Different numbers, so that the two faults are never of the same process.
        const fault_action a = make_fault(deployment, history, first, which % 3);
        const fault_action b = make_fault(deployment, history, second, which % 3 + 1);
        std::printf("  round %u: %s, %s\n", round, a.name.c_str(), b.name.c_str());
        std::fflush(stdout);
        a.begin();
        std::this_thread::sleep_for(milliseconds(random() % 1000));
        b.begin();
        std::this_thread::sleep_for(milliseconds(2000 + random() % 2000));
        a.end();
        std::this_thread::sleep_for(milliseconds(random() % 500));
        b.end();
        std::this_thread::sleep_for(milliseconds(1000));
    }
    traffic.stop();
    history.read();
    check_history(traffic.answers(), history);
    cr_expect(deployment.wait_until_serving(seconds(30)), "seed %u: not well after the faults",
              seed);
}

double p95(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.at(values.size() * 95 / 100);
}

/// Times to the end of short online requests, in milliseconds; fails the test if one is refused.
std::vector<double> time_online(const process_deployment& deployment, std::uint32_t count)
{
    std::vector<double> times;
    for (std::uint32_t number = 0; number < count; ++number) {
        caller_request request;
        request.text = "online " + std::to_string(number);
        request.tokens = 1;
        request.stream = true;
        const auto begin = steady_clock::now();
        const caller_answer answer = send_request(deployment, number % 3, request);
        const std::chrono::duration<double, std::milli> took = steady_clock::now() - begin;
        cr_expect(answer.succeeded(), "%u %s", answer.status, answer.body.c_str());
        times.push_back(took.count());
    }
    return times;
}

} // namespace

// Guards against any promise to callers breaking under two faults at a time.
Test(mixed_faults, two_at_a_time_1)
{
    const char* chosen = std::getenv("GOOSEBERRYFALL_SEED");
    run_schedule(chosen == nullptr ? 1 : static_cast<std::uint32_t>(std::atoi(chosen)));
}

// The same with other pairs.
Test(mixed_faults, two_at_a_time_2)
{
    if (std::getenv("GOOSEBERRYFALL_SEED") == nullptr) {
        run_schedule(2);
    }
}

// Guards against online requests waiting behind batch items.
Test(mixed_faults, online_does_not_wait_behind_batch)
{
    deployment_options options;
    options.teams = {{"namur", 1000, 1000}, {"leuven", 100, 100}};
    options.engine_flags = {"--prefill_ms=100", "--prefill_cached_ms=100"};
    process_deployment deployment(options);
    cr_assert(deployment.start());
    const double without = p95(time_online(deployment, 60));
    const auto submitted = deployment.submit(0, "key-leuven", "night", 2000, true, 200);
    cr_assert_eq(submitted.head.status, 200U, "%s", submitted.body.c_str());
    const auto running = [&] {
        std::uint64_t sum = 0;
        for (std::uint32_t engine = 0; engine < 2; ++engine) {
            const auto load = http::call(deployment.engine_address(engine), "GET", "/v1/load");
            sum += std::stoull(json_field(load.body, "running"));
        }
        return sum;
    };
    const auto end = steady_clock::now() + seconds(20);
    std::uint64_t most = 0;
    // 16 slots less the headroom of one per engine.
    while (most < 14 && steady_clock::now() < end) {
        most = std::max(most, running());
        std::this_thread::sleep_for(milliseconds(20));
    }
    const double with = p95(time_online(deployment, 60));
    std::printf("p95 of a short online request: %.1f ms without batch, %.1f ms beside %llu items\n",
                without, with, static_cast<unsigned long long>(most));
    std::fflush(stdout);
    cr_expect_geq(most, 14U);
    cr_expect(with <= 2 * without, "%.1f ms, %.1f ms", with, without);
}
