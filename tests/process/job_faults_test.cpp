#include "process/job_history.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::uint32_t instances = 3;
constexpr std::chrono::seconds job_limit{90};
/// Tokens of an item that runs long enough for a fault to meet it in flight.
constexpr std::uint32_t long_item = 40;

/// The job ends with all items succeeded, and every instance that runs lists each result once and
/// the same.
void check_job(process_deployment& deployment, const std::string& name, const std::string& job,
               std::uint32_t items)
{
    const auto ended = deployment.wait_for_job(job_team_key, job, job_limit);
    cr_assert(ended.has_value(), "the job did not end");
    cr_assert(ended->at("succeeded") == std::to_string(items) && ended->at("failed") == "0",
              "of %u items %s succeeded and %s failed", items, ended->at("succeeded").c_str(),
              ended->at("failed").c_str());
    std::string first;
    for (std::uint32_t number = 0; number < instances; ++number) {
        if (!deployment.instance(number).running()) {
            continue;
        }
        const std::string results = results_text(deployment, number, job);
        const std::string wrong = check_results(results, items);
        cr_assert(wrong.empty(), "instance %u: %s", number, wrong.c_str());
        first = first.empty() ? results : first;
        cr_assert(results == first, "instance %u lists other results", number);
    }
    std::uint32_t requests = 0;
    for (const auto& [item, times] : times_seen(deployment.seen(), name)) {
        requests += times;
    }
    std::fprintf(stderr, "%s: %u items, %u requests seen by the engines that run\n", name.c_str(),
                 items, requests);
}

/// Waits until an instance other than `before` holds the job's partition, as `asked` knows it.
bool wait_for_takeover(const process_deployment& deployment, std::uint32_t asked,
                       const std::string& job, std::uint32_t before)
{
    const auto end = clock_type::now() + std::chrono::seconds(60);
    while (clock_type::now() < end) {
        const auto holder = holder_of(deployment, asked, job);
        if (holder && *holder != before) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

std::string accepted(const process_deployment& deployment, std::uint32_t instance,
                     const std::string& name, std::uint32_t items, std::uint32_t tokens,
                     bool repeatable = true)
{
    const auto answer =
        submit_lines(deployment, instance, name, job_lines(name, items, tokens), repeatable);
    cr_assert_eq(answer.head.status, 200U, "%s", answer.body.c_str());
    return json_field(answer.body, "id");
}

} // namespace

// Guards against a job that is acknowledged from memory and lost with the instance.
Test(job_faults, acknowledging_instance_killed)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "ack", 200, long_item);
    deployment.instance(0).kill();
    check_job(deployment, "ack", job, 200);
    cr_assert(deployment.start_instance(0));
    cr_assert(deployment.wait_until_serving(std::chrono::seconds(60)));
    check_job(deployment, "ack", job, 200);
}

// Guards against items that are lost, or get two results, when the holder dies with them in
// flight.
Test(job_faults, holder_killed)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "holder", 300, long_item);
    cr_assert(wait_until_seen(deployment, "holder", 40));
    const auto holder = holder_of(deployment, 0, job);
    cr_assert(holder.has_value());
    deployment.instance(*holder).kill();
    check_job(deployment, "holder", job, 300);
    cr_assert(deployment.start_instance(*holder));
    cr_assert(deployment.wait_until_serving(std::chrono::seconds(60)));
    check_job(deployment, "holder", job, 300);
}

// Guards against items that fail or are lost because their engine died.
Test(job_faults, engine_killed)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "engine", 300, long_item);
    cr_assert(wait_until_seen(deployment, "engine", 40));
    deployment.engine(0).kill();
    const std::size_t before = times_seen(deployment.seen(), "engine").size();
    cr_assert(wait_until_seen(deployment, "engine", before + 20), "the other engine stands still");
    cr_assert(deployment.restart_engine(0));
    check_job(deployment, "engine", job, 300);
}

// Guards against a holder that wakes up after its takeover and records results or runs items
// besides its successor.
Test(job_faults, holder_stopped_past_takeover)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "stopped", 400, long_item);
    cr_assert(wait_until_seen(deployment, "stopped", 40));
    const auto holder = holder_of(deployment, 0, job);
    cr_assert(holder.has_value());
    deployment.instance(*holder).signal(SIGSTOP);
    const bool taken = wait_for_takeover(deployment, (*holder + 1) % instances, job, *holder);
    deployment.instance(*holder).signal(SIGCONT);
    cr_assert(taken, "nobody took the partition over");
    check_job(deployment, "stopped", job, 400);
    const std::size_t seen = deployment.seen().size();
    cr_assert(deployment.wait_until_serving(std::chrono::seconds(60)));
    check_job(deployment, "stopped", job, 400);
    std::fprintf(stderr, "requests seen at the end: %zu\n", seen);
}

// Guards against an append that is repeated with effect, or given up, because its answer was
// lost.
Test(job_faults, append_answers_lost)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    deployment.control_platform("/control/drop_answers?count=5");
    const std::string job =
        submit_until_accepted(deployment, instances, "lost", job_lines("lost", 200, long_item));
    cr_assert(!job.empty(), "the job was not accepted");
    cr_assert(wait_until_seen(deployment, "lost", 20));
    deployment.control_platform("/control/drop_answers?count=10");
    check_job(deployment, "lost", job, 200);
    const std::string wrong = check_seen_once(deployment, "lost", 200);
    cr_assert(wrong.empty(), "%s", wrong.c_str());
}

// Guards against results that are dropped, or items that run again, while the log is down or
// slow.
Test(job_faults, log_down_and_slow)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "log", 400, long_item);
    cr_assert(wait_until_seen(deployment, "log", 40));
    deployment.control_platform("/control/outage?on=true&scope=all&mode=refuse");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    deployment.control_platform("/control/append_delay?ms=700");
    deployment.control_platform("/control/outage?on=false");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    deployment.control_platform("/control/outage?on=true&scope=all&mode=silent");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    deployment.control_platform("/control/outage?on=false");
    deployment.control_platform("/control/append_delay?ms=0");
    check_job(deployment, "log", job, 400);
    const std::string wrong = check_seen_once(deployment, "log", 400);
    cr_assert(wrong.empty(), "%s", wrong.c_str());
}

// Guards against a job that runs twice because the client sent it again, and against other
// content that replaces it.
Test(job_faults, whole_job_sent_again)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "again", 200, long_item);
    cr_assert(accepted(deployment, 1, "again", 200, long_item) == job);
    const auto other = submit_lines(deployment, 2, "again", job_lines("other", 200, long_item));
    cr_assert_eq(other.head.status, 409U, "%u %s", other.head.status, other.body.c_str());
    cr_assert(error_field(other.body, "run") == "not_run", "%s", other.body.c_str());
    check_job(deployment, "again", job, 200);
    cr_assert(accepted(deployment, 2, "again", 200, long_item) == job);
    const auto late = submit_lines(deployment, 1, "again", job_lines("again", 199, long_item));
    cr_assert_eq(late.head.status, 409U, "%u %s", late.head.status, late.body.c_str());
    check_job(deployment, "again", job, 200);
    const std::string wrong = check_seen_once(deployment, "again", 200);
    cr_assert(wrong.empty(), "%s", wrong.c_str());
    cr_assert(times_seen(deployment.seen(), "other").empty(), "the refused job ran");
}

// Guards against state that only lives in the instances and disappears as they are replaced.
Test(job_faults, all_instances_replaced)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "replaced", 300, long_item);
    cr_assert(wait_until_seen(deployment, "replaced", 20));
    for (std::uint32_t number = 0; number < instances; ++number) {
        if (number % 2 == 0) {
            deployment.instance(number).kill();
        }
        else {
            deployment.instance(number).signal(SIGTERM);
            const auto status = deployment.instance(number).wait(std::chrono::seconds(60));
            cr_assert(status.has_value() && *status == 0, "the instance did not leave");
        }
        cr_assert(deployment.start_instance(number));
        cr_assert(deployment.wait_until_serving(std::chrono::seconds(60)));
    }
    check_job(deployment, "replaced", job, 300);
}

// Guards against items that are sent to an engine after the caller was told that the job stopped,
// also by a successor of the holder.
Test(job_faults, cancelled_job_stops)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "cancelled", 1000, long_item);
    cr_assert(wait_until_seen(deployment, "cancelled", 40));
    const auto holder = holder_of(deployment, 0, job);
    cr_assert(holder.has_value());
    const std::uint32_t other = (*holder + 1) % instances;
    const auto answer = deployment.post(other, job_team_key, "/v1/batches/" + job + "/cancel");
    const auto acknowledged =
        std::chrono::duration_cast<std::chrono::microseconds>(clock_type::now().time_since_epoch())
            .count();
    cr_assert_eq(answer.head.status, 200U, "%s", answer.body.c_str());
    deployment.instance(*holder).kill();
    cr_assert(wait_for_takeover(deployment, other, job, *holder));
    const auto ended = deployment.wait_for_job(job_team_key, job, job_limit);
    cr_assert(ended.has_value() && ended->at("cancelled") == "true");
    cr_assert(deployment.start_instance(*holder));
    cr_assert(deployment.wait_until_serving(std::chrono::seconds(60)));
    std::uint32_t late = 0;
    std::uint32_t running = 0;
    for (const auto& request : deployment.seen()) {
        const bool item = request.body.find("<cancelled item ") != std::string::npos;
        late += item && request.at_us > acknowledged ? 1 : 0;
        running += item && request.end == "running" ? 1 : 0;
    }
    cr_assert_eq(late, 0U, "%u items were sent after the acknowledgement", late);
    cr_assert_eq(running, 0U, "%u items run on", running);
}

// Guards against a second run of items that must not be repeated, after their holder or their
// engine died.
Test(job_faults, unrepeatable_items_run_once)
{
    deployment_options options;
    options.engines_through_proxy = true;
    process_deployment deployment(options);
    cr_assert(deployment.start());
    const std::string job = accepted(deployment, 0, "once", 200, long_item, false);
    cr_assert(wait_until_seen(deployment, "once", 20));
    // The route is cut first, so that nothing reaches the engine between reading its records and
    // its end.
    deployment.fault("engine-0", "mode=cut");
    std::vector<process_deployment::seen_request> all;
    for (auto& request : deployment.seen()) {
        if (request.engine == 0) {
            all.push_back(std::move(request));
        }
    }
    deployment.engine(0).kill();
    const auto holder = holder_of(deployment, 0, job);
    cr_assert(holder.has_value());
    deployment.instance(*holder).kill();
    cr_assert(deployment.restart_engine(0));
    deployment.fault("engine-0", "mode=pass");
    const auto ended = deployment.wait_for_job(job_team_key, job, job_limit);
    cr_assert(ended.has_value(), "the job did not end");
    for (auto& request : deployment.seen()) {
        all.push_back(std::move(request));
    }
    for (const auto& [item, times] : times_seen(all, "once")) {
        cr_assert_eq(times, 1U, "item %u was seen %u times", item, times);
    }
    const unsigned long total =
        std::stoul(ended->at("succeeded")) + std::stoul(ended->at("failed"));
    cr_assert_eq(total, 200U);
    std::fprintf(stderr, "once: %s succeeded, %s failed\n", ended->at("succeeded").c_str(),
                 ended->at("failed").c_str());
    const std::string wrong = check_results(results_text(deployment, (*holder + 1) % 3, job), 200);
    cr_assert(wrong.empty(), "%s", wrong.c_str());
}

// Guards against items that cannot be done and keep their job from ending, or take good items
// with them.
Test(job_faults, impossible_items_fail)
{
    deployment_options options;
    options.engines = 3;
    process_deployment deployment(options);
    cr_assert(deployment.start());
    for (std::uint32_t number = 0; number < options.engines; ++number) {
        deployment.control_engine(number, "crash_text=item%2040%3E");
    }
    std::string lines = job_lines("poison", 80, 5);
    for (std::uint32_t index = 0; index < 5; ++index) {
        lines += "{\"model\":\"m\",\"input\":\"no messages " + std::to_string(index) + "\"}\n";
    }
    const auto answer = submit_lines(deployment, 0, "poison", lines);
    cr_assert_eq(answer.head.status, 200U, "%s", answer.body.c_str());
    const std::string job = json_field(answer.body, "id");
    std::optional<std::map<std::string, std::string>> ended;
    std::uint32_t crashes = 0;
    const auto end = clock_type::now() + job_limit;
    while (!ended && clock_type::now() < end) {
        ended = deployment.wait_for_job(job_team_key, job, std::chrono::seconds(1));
        for (std::uint32_t number = 0; number < options.engines; ++number) {
            if (!deployment.engine(number).running()) {
                ++crashes;
                cr_assert(deployment.restart_engine(number));
                deployment.control_engine(number, "crash_text=item%2040%3E");
            }
        }
    }
    std::fprintf(stderr, "poison: %u crashes\n", crashes);
    cr_assert(ended.has_value(), "the job did not end after %u crashes", crashes);
    cr_assert_str_eq(ended->at("failed").c_str(), "6");
    cr_assert_str_eq(ended->at("succeeded").c_str(), "79");
    const std::string wrong = check_results(results_text(deployment, 1, job), 85);
    cr_assert(wrong.empty(), "%s", wrong.c_str());
}
