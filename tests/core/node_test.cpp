#include "core/batch_partition.hpp"
#include "core/fake_deployment.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

core::team make_team(const std::string& name, double rate, double burst)
{
    core::team team;
    team.id = core::team_id(name);
    team.rate = rate;
    team.burst = burst;
    return team;
}

std::vector<std::string> make_items(std::size_t count)
{
    std::vector<std::string> items;
    for (std::size_t number = 0; number < count; ++number) {
        items.push_back("{\"item\":" + std::to_string(number) + "}");
    }
    return items;
}

core::job_id job_of(const std::string& team, const std::string& key)
{
    return core::job_id_of(core::team_id(team), key);
}

/// Largest number by which the online dispatches of a team exceed burst + rate * window, over all
/// windows that begin with a dispatch.
double excess(const std::vector<fake_deployment::door_entry>& doors, const core::team& team)
{
    std::vector<core::time_point> times;
    for (const auto& entry : doors) {
        if (entry.online && entry.team == team.id.value()) {
            times.push_back(entry.at);
        }
    }
    double worst = -1e9;
    // Largest value of (i + 1) - rate * t_i less the smallest of j - rate * t_j over j <= i.
    double lowest = 1e9;
    for (std::size_t number = 0; number < times.size(); ++number) {
        const double at = std::chrono::duration<double>(times[number] - times.front()).count();
        lowest = std::min(lowest, static_cast<double>(number) - team.rate * at);
        const double used = static_cast<double>(number + 1) - team.rate * at - lowest;
        worst = std::max(worst, used - team.burst);
    }
    return worst;
}

/// Number of results that the job has and whether each index is there once.
bool complete_once(const fake_deployment::call_result& result, std::size_t items)
{
    std::set<std::uint32_t> indices;
    for (const auto& reference : result.results) {
        indices.insert(reference.index);
    }
    return result.status.ended && result.results.size() == items && indices.size() == items;
}

} // namespace

// Guards against a break anywhere on the way of a request from arrival to answer.
Test(node, answers_an_online_request)
{
    fake_deployment deployment(1);
    const auto fleet = fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 4);
    cr_assert(deployment.start(fleet));
    const auto call = deployment.call_online(1, "key-a");
    deployment.run_for(seconds(2));
    cr_assert(deployment.result(call).completed, "%s", deployment.result(call).reason.text.c_str());
    const auto unknown = deployment.call_online(1, "key-b");
    deployment.run_for(seconds(1));
    cr_assert(deployment.result(unknown).reason.code == core::refusal_code::key_unknown);
}

// Guards against lost or doubled items when the holder dies after it acknowledged the job, and when
// the log's answers are lost.
Test(node, completes_each_item_once_over_a_holder_kill)
{
    for (const std::uint64_t seed : {11, 12, 13}) {
        std::printf("seed %lu\n", static_cast<unsigned long>(seed));
        fake_deployment deployment(seed);
        const auto fleet = fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 8);
        cr_assert(deployment.start(fleet));
        deployment.set_lost_append_answers(0.2);
        const auto job = job_of("a", "job-1");
        const auto call = deployment.submit(0, "key-a", "job-1", make_items(500));
        cr_assert(deployment.run_until([&] { return deployment.result(call).ended; }, seconds(30)));
        cr_assert(deployment.result(call).completed, "%s",
                  deployment.result(call).reason.text.c_str());
        deployment.run_for(milliseconds(300));
        const std::uint32_t partition = core::partition_of(job, 4);
        const auto& leases = deployment.node_of(0).state().leases();
        const auto holder = leases.at({core::shard_kind::batch, partition}).holder.instance.value();
        const auto killed = static_cast<std::uint32_t>(std::stoul(holder.substr(2)));
        deployment.kill(killed);
        const std::uint32_t asked = (killed + 1) % deployment.size();
        deployment.run_for(seconds(30));
        const auto read = deployment.ask_job(asked, "key-a", core::job_call::results, job);
        deployment.run_for(seconds(2));
        cr_assert(complete_once(deployment.result(read), 500), "results %zu of 500",
                  deployment.result(read).results.size());
    }
}

// Guards against items that run again because their partition moves to an instance that joined,
// while they run or their results are on the way to the log (process test log_down_and_slow).
Test(node, moves_partitions_for_balance_without_running_items_again)
{
    fake_deployment deployment(14, 3);
    deployment.service_time = seconds(1);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 4, 8)));
    // The partition that moves to instance 1 when it joins again.
    const auto holder = [&](std::uint32_t partition) {
        return deployment.node_of(0)
            .state()
            .leases()
            .at({core::shard_kind::batch, partition})
            .holder;
    };
    deployment.run_for(seconds(10));
    std::uint32_t moving = 0;
    while (holder(moving).instance.value() != "i-1") {
        cr_assert_lt(++moving, 4U, "instance 1 holds no partition");
    }
    deployment.kill(1);
    deployment.run_for(seconds(10));
    std::string name = "job";
    while (core::partition_of(job_of("a", name), 4) != moving) {
        name += '+';
    }
    constexpr std::size_t items = 500;
    deployment.submit(0, "key-a", name, make_items(items));
    deployment.run_for(seconds(2));
    const core::incarnation_id before = holder(moving);
    deployment.restart(1);
    deployment.run_for(seconds(70));
    cr_assert(holder(moving) != before, "the partition did not move");
    std::map<std::uint32_t, int> runs;
    for (const auto& entry : deployment.doors()) {
        ++runs[entry.index];
    }
    cr_assert_eq(runs.size(), items);
    const auto again =
        std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.second != 1; });
    cr_assert_eq(again, 0, "%ld items ran again", static_cast<long>(again));
}

// Guards against tokens made by kills, takeovers and floods at all instances at once.
Test(node, keeps_teams_within_rate_and_burst)
{
    for (const std::uint64_t seed : {21, 22}) {
        std::printf("seed %lu\n", static_cast<unsigned long>(seed));
        fake_deployment deployment(seed);
        const core::team flooding = make_team("a", 20, 20);
        const core::team small = make_team("b", 2, 4);
        const auto fleet = fake_deployment::make_fleet({flooding, small}, 4, 16);
        cr_assert(deployment.start(fleet));
        std::vector<std::uint64_t> small_calls;
        for (int step = 0; step < 400; ++step) {
            for (int copy = 0; copy < 5; ++copy) {
                const auto instance = static_cast<std::uint32_t>(deployment.random()() % 5);
                if (deployment.running(instance)) {
                    deployment.call_online(instance, "key-a");
                }
            }
            if (step % 15 == 0 && deployment.running(static_cast<std::uint32_t>(step % 4 + 1))) {
                small_calls.push_back(
                    deployment.call_online(static_cast<std::uint32_t>(step % 4 + 1), "key-b"));
            }
            if (step == 150) {
                deployment.kill(0);
            }
            if (step == 250) {
                deployment.restart(0);
            }
            deployment.run_for(milliseconds(50));
        }
        deployment.run_for(seconds(2));
        cr_assert(excess(deployment.doors(), flooding) <= 1e-6, "flooding team over by %f",
                  excess(deployment.doors(), flooding));
        cr_assert(excess(deployment.doors(), small) <= 1e-6, "small team over by %f",
                  excess(deployment.doors(), small));
        const auto completed =
            std::count_if(small_calls.begin(), small_calls.end(),
                          [&](auto call) { return deployment.result(call).completed; });
        std::printf("small team: %ld of %zu completed\n", static_cast<long>(completed),
                    small_calls.size());
        // One owner of the small team's only portion may die once: some seconds of refusals.
        cr_assert(completed + 10 >= static_cast<long>(small_calls.size()));
    }
}

// Guards against a stop of online work while the log is down for everybody.
Test(node, serves_online_through_a_log_outage)
{
    fake_deployment deployment(31);
    const core::team team = make_team("a", 20, 20);
    cr_assert(deployment.start(fake_deployment::make_fleet({team}, 2, 8)));
    deployment.set_log_outage(true);
    deployment.run_for(seconds(10));
    std::vector<std::uint64_t> calls;
    for (int step = 0; step < 600; ++step) {
        calls.push_back(deployment.call_online(static_cast<std::uint32_t>(step % 5), "key-a"));
        deployment.run_for(milliseconds(100));
    }
    deployment.run_for(seconds(2));
    const auto completed = std::count_if(
        calls.begin(), calls.end(), [&](auto call) { return deployment.result(call).completed; });
    cr_assert_eq(completed, static_cast<long>(calls.size()));
    cr_assert(excess(deployment.doors(), team) <= 1e-6);
}

// Guards against service from stale state: an instance cut from the log and from its peers must
// refuse, truthfully as not run, and serve again afterwards.
Test(node, refuses_while_cut_from_log_and_peers)
{
    fake_deployment deployment(41);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 8)));
    deployment.cut_from_log(2, true);
    deployment.run_for(seconds(5));
    const auto relayed = deployment.call_online(2, "key-a");
    deployment.run_for(seconds(2));
    cr_assert(deployment.result(relayed).completed, "an instance with peers only must serve");
    deployment.cut_from_peers(2, true);
    deployment.run_for(seconds(5));
    const auto refused = deployment.call_online(2, "key-a");
    deployment.run_for(milliseconds(500));
    cr_assert(deployment.result(refused).ended);
    cr_assert(deployment.result(refused).reason.code == core::refusal_code::not_current);
    cr_assert(deployment.result(refused).reason.verdict == core::run_verdict::not_run);
    deployment.cut_from_peers(2, false);
    deployment.cut_from_log(2, false);
    deployment.run_for(seconds(3));
    const auto again = deployment.call_online(2, "key-a");
    deployment.run_for(seconds(2));
    cr_assert(deployment.result(again).completed);
}

// Guards against a withdrawn key that goes on working: at an instance that is cut from the log, and
// for a request that runs already.
Test(node, withdraws_a_key_everywhere)
{
    fake_deployment deployment(51);
    const auto fleet = fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 8);
    cr_assert(deployment.start(fleet));
    deployment.cut_from_log(3, true);
    deployment.service_time = seconds(60);
    const auto open = deployment.call_online(3, "key-a");
    deployment.run_for(seconds(1));
    core::fleet_difference change;
    change.removals.push_back({core::entry_kind::api_key, "key-a"});
    const auto version = deployment.node_of(0).state().current().version;
    const auto applied = deployment.apply(0, version, change);
    deployment.run_for(seconds(4));
    cr_assert(deployment.result(applied).completed, "%s",
              deployment.result(applied).applied.refused.c_str());
    cr_assert(deployment.result(open).ended);
    cr_assert(deployment.result(open).reason.code == core::refusal_code::key_withdrawn);
    for (std::uint32_t instance = 0; instance < 5; ++instance) {
        const auto call = deployment.call_online(instance, "key-a");
        deployment.run_for(milliseconds(100));
        cr_assert(deployment.result(call).reason.code == core::refusal_code::key_unknown);
    }
    const auto conflict = deployment.apply(1, version, change);
    deployment.run_for(seconds(2));
    cr_assert_not(deployment.result(conflict).applied.refused.empty());
}

// Guards against a refusal that an operator is told of before the audit trail of every instance
// shows it: a refusal changes no version, so that nobody waits for the instances to agree on it.
Test(node, refusal_of_a_change_is_in_every_audit_trail)
{
    fake_deployment deployment(52);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 8)));
    core::fleet_difference change;
    change.removals.push_back({core::entry_kind::api_key, "key-a"});
    const auto version = deployment.node_of(0).state().current().version;
    const auto accepted = deployment.apply(0, version, change);
    deployment.run_for(seconds(4));
    cr_assert(deployment.result(accepted).completed);
    deployment.cut_from_log(3, true);
    deployment.cut_from_peers(3, true);
    const auto refused = deployment.apply(1, version, change);
    deployment.run_for(milliseconds(1500));
    cr_assert_not(deployment.result(refused).ended, "instance 3 cannot know of the refusal");
    deployment.cut_from_log(3, false);
    deployment.cut_from_peers(3, false);
    cr_assert(deployment.run_until([&] { return deployment.result(refused).ended; }, seconds(6)));
    cr_assert_not(deployment.result(refused).applied.refused.empty());
    for (std::uint32_t instance = 0; instance < deployment.size(); ++instance) {
        const auto& trail = deployment.node_of(instance).state().audit();
        cr_assert(!trail.empty() &&
                      trail.back().refused == deployment.result(refused).applied.refused,
                  "instance %u", instance);
    }
}

// Guards against dispatches after a cancel has been acknowledged.
Test(node, dispatches_nothing_after_a_cancel)
{
    fake_deployment deployment(61);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 4)));
    const auto submitted = deployment.submit(0, "key-a", "job", make_items(2000));
    cr_assert(
        deployment.run_until([&] { return deployment.result(submitted).ended; }, seconds(20)));
    deployment.run_for(seconds(1));
    const auto cancel = deployment.ask_job(1, "key-a", core::job_call::cancel, job_of("a", "job"));
    cr_assert(deployment.run_until([&] { return deployment.result(cancel).ended; }, seconds(20)));
    cr_assert(deployment.result(cancel).completed);
    const std::size_t before = deployment.doors().size();
    cr_assert_gt(before, 0U);
    deployment.run_for(seconds(10));
    cr_assert_eq(deployment.doors().size(), before);
}

// Guards against a second job for a resend, and against silence about other content.
Test(node, answers_a_resend_with_the_same_job)
{
    fake_deployment deployment(71);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 4)));
    const auto first = deployment.submit(0, "key-a", "job", make_items(50));
    cr_assert(deployment.run_until([&] { return deployment.result(first).ended; }, seconds(20)));
    const auto resend = deployment.submit(3, "key-a", "job", make_items(50));
    const auto other = deployment.submit(2, "key-a", "job", make_items(51));
    deployment.run_for(seconds(10));
    cr_assert(deployment.result(resend).completed);
    cr_assert(deployment.result(resend).status.job == deployment.result(first).status.job);
    cr_assert(deployment.result(other).reason.code == core::refusal_code::idempotency_conflict);
    std::map<std::uint32_t, int> runs;
    for (const auto& entry : deployment.doors()) {
        ++runs[entry.index];
    }
    cr_assert_eq(runs.size(), 50U);
    cr_assert(
        std::all_of(runs.begin(), runs.end(), [](const auto& run) { return run.second == 1; }));
}

// Guards against a request that ends target after target, also when it is sent again elsewhere, and
// against refusal of an innocent request beside it.
Test(node, stops_a_request_that_ends_its_targets)
{
    fake_deployment deployment(81);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 100, 100)}, 6, 8)));
    deployment.set_crashing(fake_deployment::fake_digest("poison"));
    std::vector<std::uint64_t> innocent;
    std::vector<std::uint64_t> poison;
    for (int step = 0; step < 100; ++step) {
        innocent.push_back(deployment.call_online(static_cast<std::uint32_t>(step % 5), "key-a"));
        if (step % 10 == 5) {
            poison.push_back(deployment.call_online(static_cast<std::uint32_t>((step / 10) % 5),
                                                    "key-a", "poison"));
        }
        deployment.run_for(milliseconds(100));
    }
    deployment.run_for(seconds(5));
    const auto sent = std::count_if(poison.begin(), poison.end(), [&](auto call) {
        return deployment.result(call).reason.code == core::refusal_code::crashes_targets;
    });
    cr_assert_geq(sent, 9);
    const auto done = std::count_if(innocent.begin(), innocent.end(),
                                    [&](auto call) { return deployment.result(call).completed; });
    cr_assert_eq(done, 100);
}

// Guards against an innocent request that is refused as crashing, because two instances sent marked
// requests to one idle target: whichever ended it, both counted a death alone
// (process test crashing_request_is_stopped).
Test(node, refuses_no_innocent_request_beside_one_that_ends_its_targets)
{
    constexpr std::uint32_t instances = 3;
    constexpr std::uint32_t targets = 6;
    fake_deployment deployment(91, instances);
    deployment.service_time = milliseconds(100);
    cr_assert(
        deployment.start(fake_deployment::make_fleet({make_team("a", 1000, 1000)}, targets, 8)));
    std::size_t refused = 0;
    std::size_t stopped = 0;
    constexpr std::size_t rounds = 60;
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::string poison_body = "poison " + std::to_string(round);
        deployment.set_crashing(fake_deployment::fake_digest(poison_body));
        // One request on each target; the crashing one stands beside one of them, and both wait
        // until the others end and leave their targets idle.
        std::vector<std::uint64_t> innocent;
        for (std::uint32_t number = 0; number < targets; ++number) {
            innocent.push_back(deployment.call_online(number % instances, "key-a",
                                                      "innocent " + std::to_string(round) + ' ' +
                                                          std::to_string(number)));
        }
        deployment.run_for(milliseconds(60));
        const std::uint64_t poison = deployment.call_online(0, "key-a", poison_body);
        deployment.run_for(seconds(6));
        stopped += deployment.result(poison).reason.code == core::refusal_code::crashes_targets;
        refused += static_cast<std::size_t>(
            std::count_if(innocent.begin(), innocent.end(), [&](std::uint64_t call) {
                return deployment.result(call).reason.code == core::refusal_code::crashes_targets;
            }));
    }
    cr_assert_eq(stopped, rounds);
    cr_assert_eq(refused, 0U, "%zu innocent requests were refused", refused);
}

// Guards against a shutdown that cuts off requests or loses leases.
Test(node, leaves_without_cutting_off_requests)
{
    fake_deployment deployment(91);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 8)));
    deployment.service_time = seconds(20);
    const auto open = deployment.call_online(2, "key-a");
    deployment.run_for(seconds(1));
    deployment.request_leave(2);
    deployment.run_for(seconds(2));
    const auto cached = deployment.call_online(2, "key-a");
    deployment.run_for(seconds(6));
    const auto late = deployment.call_online(2, "key-a");
    deployment.run_for(milliseconds(100));
    cr_assert(deployment.result(late).reason.code == core::refusal_code::leaving);
    cr_assert(deployment.run_until([&] { return deployment.stopped(2); }, seconds(40)));
    cr_assert(deployment.result(open).completed);
    cr_assert(deployment.result(cached).completed);
    cr_assert_eq(deployment.node_of(0).state().members().size(), 4U);
}

// Guards against an instance that cannot start, or serves old state, while the log is down.
Test(node, starts_from_its_peers_while_the_log_is_down)
{
    fake_deployment deployment(101);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 8)));
    deployment.set_log_outage(true);
    deployment.run_for(seconds(5));
    deployment.kill(4);
    deployment.run_for(seconds(1));
    deployment.restart(4);
    deployment.run_for(seconds(6));
    const auto call = deployment.call_online(4, "key-a");
    deployment.run_for(seconds(2));
    cr_assert(deployment.result(call).completed, "%s", deployment.result(call).reason.text.c_str());
}

// Guards against a deployment that cannot come back after all instances were lost at once,
// restarted or replaced by others, and against results that are lost with them.
Test(node, comes_back_after_all_instances_are_lost)
{
    for (const bool replaced : {false, true}) {
        fake_deployment deployment(121);
        cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 2, 8)));
        const auto submitted = deployment.submit(0, "key-a", "job", make_items(300));
        cr_assert(
            deployment.run_until([&] { return deployment.result(submitted).ended; }, seconds(20)));
        for (std::uint32_t instance = 0; instance < deployment.size(); ++instance) {
            deployment.kill(instance);
        }
        deployment.run_for(seconds(1));
        for (std::uint32_t instance = 0; instance < deployment.size(); ++instance) {
            if (replaced) {
                deployment.replace(instance);
            }
            else {
                deployment.restart(instance);
            }
        }
        // Replaced members count as ended 30 s after they are missing from the list.
        deployment.run_for(seconds(60));
        const auto call = deployment.call_online(1, "key-a");
        const auto read =
            deployment.ask_job(2, "key-a", core::job_call::results, job_of("a", "job"));
        deployment.run_for(seconds(5));
        cr_assert(deployment.result(call).completed, "replaced %d: %s", replaced,
                  deployment.result(call).reason.text.c_str());
        cr_assert(complete_once(deployment.result(read), 300), "replaced %d", replaced);
        cr_assert_eq(deployment.node_of(0).state().members().size(), 5U);
    }
}

// Guards against online arrivals that wait for the interval of capacity reports while batch work of
// other instances holds the slots.
Test(node, frees_slots_for_online_arrivals_at_once)
{
    fake_deployment deployment(121, 5, 1);
    cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 50, 50)}, 1, 8)));
    deployment.service_time = milliseconds(500);
    const auto submitted = deployment.submit(0, "key-a", "job", make_items(500));
    cr_assert(
        deployment.run_until([&] { return deployment.result(submitted).ended; }, seconds(20)));
    deployment.run_for(seconds(5));
    for (std::uint32_t instance = 0; instance < 5; ++instance) {
        std::vector<std::pair<std::uint64_t, core::time_point>> calls;
        for (int step = 0; step < 5; ++step) {
            calls.emplace_back(deployment.call_online(instance, "key-a"), deployment.now());
            deployment.run_for(milliseconds(8));
        }
        deployment.run_for(seconds(5));
        for (const auto& [call, at] : calls) {
            cr_assert(deployment.result(call).completed);
            cr_assert_lt((deployment.result(call).at - at).count(),
                         core::duration(milliseconds(530)).count());
        }
    }
}

// Guards against a node whose decisions depend on anything but its events.
Test(node, is_deterministic)
{
    const auto run = [] {
        fake_deployment deployment(111);
        cr_assert(deployment.start(fake_deployment::make_fleet({make_team("a", 20, 20)}, 3, 4)));
        for (int step = 0; step < 100; ++step) {
            deployment.call_online(static_cast<std::uint32_t>(step % 5), "key-a");
            deployment.run_for(milliseconds(20));
        }
        std::string trace;
        for (const auto& entry : deployment.doors()) {
            trace += std::to_string(entry.at.time_since_epoch().count()) + entry.target;
        }
        return trace + std::to_string(deployment.node_of(0).state().state_hash());
    };
    cr_assert(run() == run());
}
