/// Tests how placement uses connections that are open already, and the prompt prefixes that it
/// remembers.

#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};

constexpr std::size_t instances = 295;
constexpr std::size_t targets = 128;
constexpr std::uint32_t slots = 8;
constexpr milliseconds run_time{650};
/// Time for which an instance uses an idle connection for a request that may not be repeated.
constexpr milliseconds reusable_for{2000};

struct reuse_result {
    std::size_t requests = 0;
    std::size_t on_open_connection = 0;
    std::size_t waited = 0;
};

/// Sends requests at a rate that alternates between two steps, from random instances.
reuse_result replay(double low_per_s, double high_per_s)
{
    struct running {
        core::time_point ends_at;
        std::size_t instance;
        std::uint64_t number;
        core::target_id target;
        bool operator>(const running& other) const { return ends_at > other.ends_at; }
    };
    std::mt19937 random(7);
    serving::slot_scheduler scheduler;
    std::vector<serving::target_entry> entries(targets);
    for (std::size_t number = 0; number < targets; ++number) {
        entries[number].id = core::target_id("t" + std::to_string(number));
        entries[number].service = core::service_id("lm");
        entries[number].data_centre = core::data_centre_id("dc" + std::to_string(number % 5));
        entries[number].slots = slots;
    }
    scheduler.set_targets(entries, start);
    std::priority_queue<running, std::vector<running>, std::greater<>> runs;
    std::map<std::pair<std::size_t, core::target_id>, std::vector<core::time_point>> idle;
    reuse_result result;
    std::uint64_t next_number = 1;
    for (core::time_point now = start; now < start + seconds(20); now += milliseconds(1)) {
        while (!runs.empty() && runs.top().ends_at <= now) {
            const running ended = runs.top();
            runs.pop();
            idle[{ended.instance, ended.target}].push_back(now);
            serving::slot_result released;
            released.key = {core::instance_id("i" + std::to_string(ended.instance)), ended.number};
            released.first_event_delay = milliseconds(45);
            released.duration = run_time;
            scheduler.release_slot(released, now);
        }
        const bool high = (now - start) % seconds(5) > seconds(3);
        std::poisson_distribution<int> arrivals((high ? high_per_s : low_per_s) / 1000);
        for (int count = arrivals(random); count > 0; --count) {
            const std::size_t instance = random() % instances;
            serving::slot_request request;
            request.key = {core::instance_id("i" + std::to_string(instance)), next_number++};
            request.service = core::service_id("lm");
            request.data_centre = core::data_centre_id("dc" + std::to_string(instance % 5));
            request.prefixes = {random() % 80, 1000 + random() % 9600};
            request.tokens = 200;
            request.time_to_objective = milliseconds(300);
            request.time_to_deadline = milliseconds(5000);
            ++result.requests;
            const auto decisions = scheduler.request_slot(request, now);
            const auto* granted =
                decisions.empty() ? nullptr : std::get_if<serving::slot_grant>(&decisions.front());
            if (granted == nullptr) {
                ++result.waited;
                continue;
            }
            auto& open = idle[{instance, granted->target}];
            std::erase_if(open, [now](const auto& since) { return now - since > reusable_for; });
            if (!open.empty()) {
                open.pop_back();
                ++result.on_open_connection;
            }
            runs.push({now + run_time, instance, request.key.number, granted->target});
        }
    }
    return result;
}

} // namespace

// Replays the steps of load of a fleet of 295 instances before 128 targets. Guards against a new
// connection for nearly every request: 24,411 for 27,709 requests were seen.
Test(connection_reuse, half_of_the_requests_use_an_open_connection)
{
    const reuse_result result = replay(230, 1100);
    cr_assert_gt(result.requests, 8000UL);
    cr_assert_geq(result.on_open_connection * 2, result.requests, "%zu of %zu",
                  result.on_open_connection, result.requests);
    cr_assert_eq(result.waited, 0UL, "a request waited although slots were free");
}

// Guards against a connection that is counted although its instance has used or lost it.
Test(connection_reuse, forgets_connections_that_are_used_or_old)
{
    const core::instance_id instance("i");
    const core::target_id target("t");
    serving::idle_connections connections({milliseconds(1000), 2});
    connections.add(instance, target, start);
    cr_assert_eq(connections.targets_of(instance, start + milliseconds(500)).size(), 1UL);
    cr_assert(connections.targets_of(instance, start + milliseconds(1000)).empty());
    connections.take(instance, target);
    cr_assert(connections.targets_of(instance, start).empty());
    for (const char* id : {"a", "b", "c"}) {
        connections.add(instance, core::target_id(id), start);
    }
    const std::vector<core::target_id> latest{core::target_id("b"), core::target_id("c")};
    cr_assert(connections.targets_of(instance, start) == latest);
    connections.remove_instance(instance);
    cr_assert(connections.targets_of(instance, start).empty());
}

// Guards against decisions that differ from those of the list that was searched from end to end.
Test(connection_reuse, prefixes_are_remembered_as_in_a_list)
{
    constexpr std::size_t size_max = 16;
    std::mt19937 random(3);
    serving::recent_prefixes prefixes(size_max);
    std::deque<std::uint64_t> list;
    for (int step = 0; step < 20000; ++step) {
        const std::uint64_t prefix = random() % 40;
        cr_assert_eq(prefixes.contains(prefix),
                     std::find(list.begin(), list.end(), prefix) != list.end());
        prefixes.use(prefix);
        std::erase(list, prefix);
        list.push_back(prefix);
        if (list.size() > size_max) {
            list.pop_front();
        }
    }
}
