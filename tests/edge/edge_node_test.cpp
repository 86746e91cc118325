#include "edge/edge_deployment.hpp"
#include "platform/names.hpp"

// Included before Criterion, whose macros break Boost's headers.
#include <boost/json.hpp>

#include <criterion/criterion.h>

#include <fstream>
#include <future>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <thread>

namespace http = gooseberryfall::http;
namespace edge = gooseberryfall::edge;
namespace names = gooseberryfall::adapter::names;
namespace stand_ins = gooseberryfall::stand_ins;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::size_t result_count(const std::string& body)
{
    return body.empty() ? 0 : json::parse(body).at("results").as_array().size();
}

/// Items in the order of their positions.
std::vector<std::string> items_of(const std::string& body)
{
    std::vector<std::string> items;
    const json::value page = json::parse(body);
    for (const json::value& entry : page.at("results").as_array()) {
        items.emplace_back(entry.at("id").as_string());
    }
    return items;
}

/// Ends an instance and returns how often it has begun to lead.
int kill_and_count_leads(edge_deployment& deployment, std::size_t instance)
{
    deployment.kill(instance);
    const std::string log = deployment.log_of(instance);
    int leads = 0;
    for (std::size_t at = log.find("leadership_begun"); at != std::string::npos;
         at = log.find("leadership_begun", at + 1)) {
        ++leads;
    }
    return leads;
}

} // namespace

// Guards against answers that are changed on their way, and against keys that reach an engine.
Test(edge_node, passes_an_answer_on_unchanged, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    const auto answer = deployment.stream(0, "r1", false);
    cr_assert_eq(answer.head.status, 200U);
    cr_assert(answer.body == stand_ins::model_engine::whole_stream("/fixed/x", 10));
    cr_assert(answer.head.headers.get(names::signature) == "s-r1");
    const auto runs = deployment.runs_of("r1");
    cr_assert_eq(runs.size(), 1U);
    cr_assert(runs.front().team == "studio");
    cr_assert_not(runs.front().had_key);
}

// Guards against refusals with another status than callers know.
Test(edge_node, refuses_unknown_routes_and_keys, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    cr_assert_eq(deployment.stream(0, "r1", true, "other").head.status, 401U);
    const auto unknown =
        deployment.call(0, "POST", "/nowhere/x", {{"Authorization", "Bearer key-a"}}, "prompt");
    cr_assert_eq(unknown.head.status, 404U);
    cr_assert(deployment.runs_of("r1").empty());
}

// Guards against callers that are turned away although they keep to the operator's limits, and
// against requests beyond them that take memory.
Test(edge_node, applies_the_limits_of_the_desired_state, .timeout = 60)
{
    constexpr std::size_t header_bytes = 100000;
    constexpr std::size_t body_bytes = 20000000;
    edge_deployment deployment(
        {.instances = 1, .header_bytes = header_bytes, .body_bytes = body_bytes});
    deployment.wait_until_serving();
    const auto check = [&](std::size_t header, std::size_t body, unsigned expected) {
        constexpr std::size_t field_bytes = 1000;
        http::header_fields headers{{"Authorization", "Bearer key-a"}};
        for (std::size_t sent = 0; sent < header; sent += field_bytes) {
            headers.add("Note-" + std::to_string(sent), std::string(field_bytes, 'a'));
        }
        const unsigned got =
            deployment.call(0, "POST", "/fixed/x", headers, std::string(body, 'b')).head.status;
        cr_assert_eq(got, expected, "%u for %zu and %zu bytes", got, header, body);
    };
    check(header_bytes * 9 / 10, 10, 200);
    check(10, body_bytes, 200);
    check(2 * header_bytes, 10, 431);
    check(10, body_bytes + 1, 413);
}

// Guards against requests beyond a team's rate that reach engines through several instances.
Test(edge_node, keeps_a_rate_over_all_instances, .timeout = 60)
{
    edge_deployment deployment({.rate = 1, .burst = 10});
    cr_assert(eventually([&] { return deployment.stream(2, "warm").head.status == 200; }));
    std::this_thread::sleep_for(seconds(1));
    int served = 0;
    int refused = 0;
    for (int number = 0; number < 40; ++number) {
        const auto answer =
            deployment.stream(static_cast<std::size_t>(number % 3), "r" + std::to_string(number));
        served += answer.head.status == 200 ? 1 : 0;
        const bool told = !answer.head.headers.get(names::retry_after).empty();
        refused += answer.head.status == 429 && told ? 1 : 0;
    }
    cr_assert_eq(served + refused, 40);
    cr_assert_leq(served, 10 + 6);
}

// Guards against a request that is lost because the first engine refused it unrun.
Test(edge_node, goes_on_to_another_engine_after_not_run, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.engines[0]->refuse(true);
    for (int number = 0; number < 6; ++number) {
        const std::string id = "r" + std::to_string(number);
        cr_assert_eq(deployment.stream(0, id, false).head.status, 200U);
        cr_assert_eq(deployment.runs_of(id).size(), 1U);
    }
}

// Guards against events that are lost or doubled when a stream goes on at another engine.
Test(edge_node, resumes_a_stream_at_another_engine, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.engines[0]->cut_after(3);
    int resumed = 0;
    for (int number = 0; number < 6; ++number) {
        const std::string id = "r" + std::to_string(number);
        const auto answer = deployment.stream(0, id);
        cr_assert(answer.body == stand_ins::model_engine::whole_stream("/resumable/x", 10));
        const auto runs = deployment.runs_of(id);
        resumed += runs.size() == 2 && (runs[0].after || runs[1].after) ? 1 : 0;
    }
    cr_assert_gt(resumed, 0);
}

// Guards against a cut stream that looks whole, and against a second run of what may run once.
Test(edge_node, a_cut_stream_that_may_not_be_repeated_stays_cut, .timeout = 60)
{
    edge_deployment deployment({.engines = 1});
    deployment.wait_until_serving();
    deployment.engines[0]->cut_after(3);
    const auto answer = deployment.stream(0, "r1", false);
    cr_assert(answer.outcome == http::call_outcome::connection_lost);
    cr_assert_eq(deployment.runs_of("r1").size(), 1U);
}

// Guards against an answer that belongs to another request, and against a false promise.
Test(edge_node, a_foreign_answer_is_not_passed_on, .timeout = 60)
{
    edge_deployment deployment({.engines = 1});
    deployment.wait_until_serving();
    deployment.engines[0]->answer_for_others(true);
    const auto answer = deployment.stream(0, "r1", false);
    cr_assert_eq(answer.head.status, 502U);
    cr_assert(answer.head.headers.get(names::signature).empty());
}

// Guards against a 503 of an engine, which may have run the request, that reaches the caller as the
// promise that it has not.
Test(edge_node, an_unsure_503_is_no_promise, .timeout = 60)
{
    edge_deployment deployment({.engines = 1});
    deployment.wait_until_serving();
    deployment.engines[0]->answer_with(503);
    const auto answer = deployment.stream(0, "r1", false);
    cr_assert_eq(answer.head.status, 502U);
    cr_assert(answer.head.headers.get(names::signature).empty());
}

// Guards against work at an engine for a caller that has left.
Test(edge_node, a_caller_that_leaves_ends_the_run, .timeout = 60)
{
    edge_deployment deployment({.events = 400, .event_gap = milliseconds(20)});
    deployment.wait_until_serving();
    http::event_loop loop("caller");
    http::client client(loop);
    http::client_request request;
    request.address = deployment.callers_address(0);
    request.method = "POST";
    request.target = "/fixed/x";
    request.headers = {
        {"Host", "proofs.example"}, {names::request_id, "r1"}, {"Authorization", "Bearer key-a"}};
    const auto call = client.start(request, {});
    cr_assert(eventually([&] { return deployment.runs_of("r1").size() == 1; }));
    call->cancel();
    cr_assert(eventually([&] { return deployment.runs_of("r1").front().caller_left; },
                         milliseconds(500)));
}

// Guards against jobs that are accepted twice, items that run twice, and results that differ
// between instances.
Test(edge_node, a_job_runs_once_and_is_read_anywhere, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    cr_assert_eq(deployment.submit(0, "job", 6), 202U);
    cr_assert_eq(deployment.submit(1, "job", 6), 202U);
    const std::string first = deployment.all_results(2, "job", 6);
    cr_assert_eq(result_count(first), 6U);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        cr_assert(deployment.results(instance, "job").body == first);
    }
    const json::value page = json::parse(first);
    for (const json::value& entry : page.at("results").as_array()) {
        const std::string item(entry.at("id").as_string());
        const std::string path = "/notes/job/" + item.substr(item.rfind('-') + 1);
        cr_assert(std::string(entry.at("output").as_string()) ==
                  stand_ins::model_engine::whole_text(path, 10));
        cr_assert_eq(deployment.runs_of(item).size(), 1U);
    }
    cr_assert_eq(deployment.results(0, "none").head.status, 404U);
}

// Guards against jobs and results that are lost with the instance that has them.
Test(edge_node, jobs_outlive_every_instance, .timeout = 90)
{
    edge_deployment deployment({.event_gap = milliseconds(30)});
    deployment.wait_until_serving();
    cr_assert_eq(deployment.submit(0, "job", 8), 202U);
    cr_assert(eventually([&] { return result_count(deployment.results(0, "job").body) >= 1; }));
    const auto before = items_of(deployment.results(0, "job").body);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        deployment.kill(instance);
    }
    for (std::size_t instance = 0; instance < 3; ++instance) {
        deployment.restart(instance);
    }
    const auto after = items_of(deployment.all_results(1, "job", 8, seconds(25)));
    cr_assert_eq(after.size(), 8U);
    for (std::size_t position = 0; position < before.size(); ++position) {
        cr_assert(after[position] == before[position]);
    }
    cr_assert_eq(std::set<std::string>(after.begin(), after.end()).size(), 8U);
}

// Guards against results that are missing at an instance which asks an owner that has been replaced
// unnoticed, because the store turns it away.
Test(edge_node, an_owner_without_the_store_is_replaced, .timeout = 90)
{
    // Items last longer than the takeover, so that the results come from the new owner alone.
    edge_deployment deployment({.event_gap = milliseconds(250)});
    deployment.wait_until_serving();
    for (std::size_t shut_out = 0; shut_out < 3; ++shut_out) {
        const std::string job = "job-" + std::to_string(shut_out);
        const std::size_t other = (shut_out + 1) % 3;
        cr_assert(eventually([&] { return deployment.submit(other, job, 3) == 202; }));
        deployment.store.set_mode(shut_out, stand_ins::door_mode::busy);
        const std::string body = deployment.all_results(other, job, 3);
        cr_assert_eq(result_count(body), 3U, "shut out %zu: %zu results", shut_out,
                     result_count(body));
        // What one instance has shown, no other may lack a second later.
        std::this_thread::sleep_for(seconds(1));
        for (std::size_t instance = 0; instance < 3; ++instance) {
            const auto answer = deployment.results(instance, job);
            const bool unsure = answer.head.status == 503;
            cr_assert(unsure || result_count(answer.body) == 3, "instance %zu: %u", instance,
                      answer.head.status);
        }
        deployment.store.set_mode(shut_out, stand_ins::door_mode::open);
    }
}

// Guards against jobs that wait for another owner, and states that come late, because the store
// turns a few instances away: the others pass their calls on.
Test(edge_node, an_instance_that_the_store_turns_away_serves_on, .timeout = 90)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    std::uint64_t version = 1;
    for (const auto mode : {stand_ins::door_mode::busy, stand_ins::door_mode::silent}) {
        for (std::size_t shut_out = 0; shut_out < 3; ++shut_out) {
            deployment.store.set_mode(shut_out, mode);
            // Shorter than a takeover by another instance: that some calls fail, or take their
            // time limit, is enough.
            std::this_thread::sleep_for(mode == stand_ins::door_mode::busy ? milliseconds(700)
                                                                           : milliseconds(1000));
            const std::string job = "job-" + std::to_string(version);
            cr_assert_eq(deployment.submit(shut_out, job, 2), 202U, "shut out %zu", shut_out);
            cr_assert_eq(result_count(deployment.all_results(shut_out, job, 2)), 2U);
            const std::string key = "key-" + std::to_string(++version);
            deployment.put_state(version, {"key-a", key});
            cr_assert(eventually(
                [&] { return deployment.stream(shut_out, "r", true, key).head.status == 200; },
                milliseconds(2500)));
            deployment.store.set_mode(shut_out, stand_ins::door_mode::open);
        }
    }
}

// Guards against an owner that goes on writing after it was replaced: the store compares the epochs
// of one writer name only, so all owners have to write under the same.
Test(edge_node, all_owners_write_under_one_name, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    for (std::size_t dead = 0; dead < 2; ++dead) {
        deployment.kill(dead);
        const std::string job = "job-" + std::to_string(dead);
        cr_assert(eventually([&] { return deployment.submit(2, job, 1) == 202; }));
    }
    cr_assert_eq(deployment.store.writer_names().size(), 1U);
}

// Guards against a withdrawn key that goes on working at an instance which the store turns away.
Test(edge_node, a_desired_state_reaches_instances_without_the_store, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.store.set_mode(1, stand_ins::door_mode::silent);
    deployment.put_state(2, {"key-b"});
    for (std::size_t instance = 0; instance < 3; ++instance) {
        cr_assert(eventually(
            [&] { return deployment.stream(instance, "r", true, "key-a").head.status == 401; },
            milliseconds(2500)));
    }
    cr_assert_eq(deployment.stream(1, "r", true, "key-b").head.status, 200U);
}

// Guards against a state that goes back, and against one that cannot be read taking effect.
Test(edge_node, an_older_or_broken_state_changes_nothing, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.put_state(5, {"key-b"});
    cr_assert(
        eventually([&] { return deployment.stream(0, "r", true, "key-b").head.status == 200; }));
    deployment.put_state(4, {"key-a"});
    deployment.store.put(names::state_topic, names::state_key, "{broken");
    std::this_thread::sleep_for(seconds(2));
    cr_assert_eq(deployment.stream(0, "r", true, "key-a").head.status, 401U);
    cr_assert_eq(deployment.stream(0, "r", true, "key-b").head.status, 200U);
}

// Guards against jobs that are accepted twice or answered falsely when the store's answers are
// lost.
Test(edge_node, lost_answers_of_the_store_do_no_harm, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.store.set_mode_of_all(stand_ins::door_mode::lossy);
    auto first = std::async(std::launch::async, [&] { return deployment.submit(0, "job", 4); });
    std::this_thread::sleep_for(milliseconds(1500));
    deployment.store.set_mode_of_all(stand_ins::door_mode::open);
    const unsigned status = first.get();
    cr_assert(status == 202 || status == 504 || status == 503, "status %u", status);
    cr_assert(eventually([&] { return deployment.submit(1, "job", 4) == 202; }));
    const auto items = items_of(deployment.all_results(2, "job", 4));
    cr_assert_eq(std::set<std::string>(items.begin(), items.end()).size(), 4U);
}

// Guards against a fleet that loses its configuration or jobs with the store's history.
Test(edge_node, serves_on_when_the_store_forgets_its_history, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.store.forget_history();
    deployment.put_state(3, {"key-a", "key-c"});
    cr_assert(
        eventually([&] { return deployment.stream(0, "r", true, "key-c").head.status == 200; },
                   milliseconds(2500)));
    cr_assert_eq(deployment.submit(0, "job", 2), 202U);
    cr_assert_eq(result_count(deployment.all_results(1, "job", 2)), 2U);
}

// Guards against requests that wait for a leader that is gone.
Test(edge_node, serves_on_when_any_instance_dies, .timeout = 90)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    for (std::size_t dead = 0; dead < 3; ++dead) {
        deployment.kill(dead);
        for (int number = 0; number < 10; ++number) {
            const std::string id = "r" + std::to_string(dead) + "-" + std::to_string(number);
            const auto begun = std::chrono::steady_clock::now();
            cr_assert_eq(deployment.stream((dead + 1) % 3, id).head.status, 200U);
            cr_assert_lt((std::chrono::steady_clock::now() - begun).count(),
                         std::chrono::nanoseconds(seconds(1)).count());
        }
        deployment.restart(dead);
        cr_assert(eventually([&] { return deployment.stream(dead, "back").head.status == 200; }));
    }
}

// Guards against a lead that changes hands again and again while no instance can read the store:
// each time requests wait, and limits start anew.
Test(edge_node, the_leader_stays_while_the_store_is_away_for_all, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.store.set_mode_of_all(stand_ins::door_mode::busy);
    std::this_thread::sleep_for(seconds(5));
    cr_assert_eq(deployment.stream(0, "r1").head.status, 200U);
    int leaders = 0;
    for (std::size_t instance = 0; instance < 3; ++instance) {
        leaders += kill_and_count_leads(deployment, instance);
    }
    cr_assert_eq(leaders, 1);
}

// Guards against a new leader that resigns at once for instances that it has not heard from.
Test(edge_node, a_dead_leader_is_replaced_once_while_the_store_is_away, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    deployment.store.set_mode_of_all(stand_ins::door_mode::busy);
    std::this_thread::sleep_for(seconds(3));
    // All are equally large, and the first one is the oldest.
    const int before = kill_and_count_leads(deployment, 0);
    cr_assert_eq(before, 1, "the first instance does not lead");
    std::this_thread::sleep_for(seconds(5));
    cr_assert_eq(deployment.stream(1, "r1").head.status, 200U);
    cr_assert_eq(kill_and_count_leads(deployment, 1) + kill_and_count_leads(deployment, 2), 1);
}

// Guards against a stream that is cut because its instance leaves, and against callers that are
// still sent there.
Test(edge_node, leaves_without_cutting_a_stream, .timeout = 60)
{
    edge_deployment deployment({.events = 60, .event_gap = milliseconds(20)});
    deployment.wait_until_serving();
    auto answer = std::async(std::launch::async, [&] { return deployment.stream(0, "r1", false); });
    cr_assert(eventually([&] { return deployment.runs_of("r1").size() == 1; }));
    deployment.nodes[0]->begin_leaving();
    cr_assert(eventually([&] {
        return http::call(deployment.readiness_address(0), "GET", names::readiness_path)
                   .head.status == 503;
    }));
    cr_assert(answer.get().body == stand_ins::model_engine::whole_stream("/fixed/x", 60));
    cr_assert(eventually([&] { return deployment.nodes[0]->has_left(); }));
    const auto directory = http::call(deployment.directory_address(1), "GET",
                                      std::string(names::directory_path) + "?name=x&zone=a");
    cr_assert_eq(directory.head.status, 200U);
    cr_assert_eq(directory.body.find(deployment.callers_address(0)), std::string::npos);
}

// Guards against metrics that on-call engineers look for in vain: each one that an instance exposes
// is in docs/OPERATIONS.md, and what requests and jobs do shows in them.
Test(edge_node, metrics_show_the_work_and_are_documented, .timeout = 60)
{
    edge_deployment deployment({.instances = 1});
    deployment.wait_until_serving();
    cr_assert_eq(deployment.stream(0, "r1").head.status, 200U);
    cr_assert(eventually([&] { return deployment.submit(0, "job", 2) == 202; }));
    cr_assert_eq(result_count(deployment.all_results(0, "job", 2)), 2U);
    const std::string text = http::call(deployment.internal_address(0), "GET", "/metrics").body;
    for (const char* series :
         {"online_runs{outcome=\"completed\"}", "batch_runs{outcome=\"completed\"}",
          "store_calls{outcome=\"done\"}", "online_slot_wait_count", "process_memory_bytes"}) {
        cr_assert_neq(text.find(series), std::string::npos, "%s is missing", series);
    }
    std::ifstream page(SOURCE_ROOT "/docs/OPERATIONS.md");
    const std::string documented(std::istreambuf_iterator<char>(page), {});
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("# TYPE ")) {
            const std::string name = line.substr(7, line.find(' ', 7) - 7);
            cr_assert(documented.find("`" + name + "`") != std::string::npos ||
                          documented.find("`" + name + "{") != std::string::npos,
                      "%s is not in docs/OPERATIONS.md", name.c_str());
        }
    }
}

// Guards against bounds that stay as they were when the settings file changes, and against a file
// with faults that puts some of its content in force.
Test(edge_node, changed_bounds_take_effect, .timeout = 60)
{
    edge_deployment deployment({.instances = 1});
    deployment.wait_until_serving();
    const auto lifetime_is = [&](const std::string& expected) {
        const auto directory = http::call(deployment.directory_address(0), "GET",
                                          std::string(names::directory_path) + "?name=x&zone=a");
        return directory.body.ends_with(":" + expected + "}");
    };
    cr_assert(lifetime_is("1"));
    edge::dynamic_edge_settings dynamic;
    dynamic.directory_ttl = std::chrono::seconds(4);
    deployment.nodes[0]->reload(edge::reloaded_settings{dynamic, {"listen.callers"}});
    cr_assert(eventually([&] { return lifetime_is("4"); }));
    deployment.nodes[0]->reload(tl::unexpected(std::string("edge.toml:4: is missing")));
    cr_assert(deployment.stream(0, "r1").head.status == 200);
    cr_assert(lifetime_is("4"));
    deployment.kill(0);
    const std::string log = deployment.log_of(0);
    cr_assert_neq(log.find("outcome=\"applied\" needs_restart=\"listen.callers\""),
                  std::string::npos);
    cr_assert_neq(log.find("outcome=\"refused\" faults=\"edge.toml:4: is missing\""),
                  std::string::npos);
}

// Guards against a request that a leaving instance takes so late that its end cuts it off. Callers
// that come then connect elsewhere, or hear at once that the request has not run.
Test(edge_node, a_leaving_instance_takes_nothing_that_it_could_not_finish, .timeout = 60)
{
    edge_deployment deployment({.events = 100, .event_gap = milliseconds(20)});
    deployment.wait_until_serving();
    auto answer = std::async(std::launch::async, [&] { return deployment.stream(0, "r1", false); });
    cr_assert(eventually([&] { return deployment.runs_of("r1").size() == 1; }));
    deployment.nodes[0]->begin_leaving();
    // The deployment's instances take requests for half a second then.
    std::this_thread::sleep_for(milliseconds(800));
    const auto late = deployment.stream(0, "late", false);
    cr_assert(late.outcome == http::call_outcome::not_sent || late.head.status == 503U);
    cr_assert(deployment.runs_of("late").empty());
    cr_assert(answer.get().body == stand_ins::model_engine::whole_stream("/fixed/x", 100));
    cr_assert(eventually([&] { return deployment.nodes[0]->has_left(); }));
}

// Guards against work on a job that its caller has ended.
Test(edge_node, an_ended_job_stops, .timeout = 60)
{
    edge_deployment deployment({.events = 400, .event_gap = milliseconds(20)});
    deployment.wait_until_serving();
    cr_assert_eq(deployment.submit(0, "job", 3), 202U);
    cr_assert(eventually([&] { return deployment.runs_of("job-0").size() == 1; }));
    cr_assert_eq(deployment.end_job(1, "job"), 200U);
    cr_assert_eq(deployment.end_job(2, "job"), 200U);
    cr_assert(eventually([&] { return deployment.runs_of("job-0").front().caller_left; }));
}

// Guards against an item that occupies engines for ever because it can never be done.
Test(edge_node, an_item_that_always_fails_is_given_up, .timeout = 60)
{
    edge_deployment deployment({});
    deployment.wait_until_serving();
    for (const auto& engine : deployment.engines) {
        engine->answer_with(500);
    }
    cr_assert_eq(deployment.submit(0, "job", 1), 202U);
    const std::string body = deployment.all_results(0, "job", 1);
    cr_assert_eq(result_count(body), 1U);
    cr_assert_neq(body.find("dead_letter"), std::string::npos);
    cr_assert_eq(deployment.runs_of("job-0").size(), 3U);
}

// Guards against a store and instances that fill up with jobs nobody may read any more, and against
// jobs that go too early or run again.
Test(edge_node, deletes_jobs_whose_results_need_not_be_kept, .timeout = 60)
{
    edge_deployment deployment({.results_retention = milliseconds(4000)});
    deployment.wait_until_serving();
    cr_assert(eventually([&] { return deployment.store.key_count("jobs") == 0; }),
              "the calls that wait for the instances leave nothing behind");
    const auto submitted_at = std::chrono::steady_clock::now();
    cr_assert(eventually([&] { return deployment.submit(0, "job", 3) == 202; }));
    cr_assert(eventually([&] { return deployment.submit(1, "ended", 3) == 202; }));
    cr_assert_eq(deployment.end_job(2, "ended"), 200U);
    cr_assert_eq(result_count(deployment.all_results(1, "job", 3)), 3U);
    cr_assert_gt(deployment.store.key_count("jobs"), 0U);
    while (std::chrono::steady_clock::now() < submitted_at + milliseconds(3500)) {
        cr_assert_eq(result_count(deployment.results(2, "job").body), 3U);
        std::this_thread::sleep_for(milliseconds(100));
    }
    cr_assert(eventually([&] { return deployment.store.key_count("jobs") == 0; }),
              "%zu keys are left", deployment.store.key_count("jobs"));
    cr_assert(eventually([&] { return deployment.results(0, "job").head.status == 404; }));
    deployment.kill(0);
    deployment.restart(0);
    cr_assert(eventually([&] { return deployment.results(0, "job").head.status == 404; }));
    for (int item = 0; item < 3; ++item) {
        cr_assert_eq(deployment.runs_of("job-" + std::to_string(item)).size(), 1U);
    }
}

// Guards against an end that is acknowledged before its record is written, because it was asked for
// twice: the next owner of the partition went on with the job (owners-in-turn, seed 832639057953).
Test(edge_node, a_repeated_end_is_acknowledged_once_written, .timeout = 60)
{
    edge_deployment deployment({.instances = 1, .events = 400, .event_gap = milliseconds(20)});
    deployment.wait_until_serving();
    cr_assert(eventually([&] { return deployment.submit(0, "job", 2) == 202; }));
    deployment.store.set_mode_of_all(stand_ins::door_mode::busy);
    cr_assert_neq(deployment.end_job(0, "job"), 200U);
    cr_assert_neq(deployment.end_job(0, "job"), 200U, "the record is not written yet");
    deployment.store.set_mode_of_all(stand_ins::door_mode::open);
    cr_assert(eventually([&] { return deployment.end_job(0, "job") == 200; }));
    deployment.kill(0);
    deployment.restart(0);
    const auto runs = [&] {
        return deployment.runs_of("job-0").size() + deployment.runs_of("job-1").size();
    };
    const std::size_t before = runs();
    cr_assert(eventually([&] { return deployment.results(0, "job").head.status == 200; }));
    std::this_thread::sleep_for(seconds(2));
    cr_assert_eq(runs(), before);
}
