#include "core/router.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::service_id captions{"captions"};
const core::target_id one{"engine-1"};
const core::target_id two{"engine-2"};
const core::target_id three{"engine-3"};
const core::time_point start{seconds(1000)};

core::fleet make_fleet(unsigned count, std::uint32_t slots = 10)
{
    core::fleet result;
    for (unsigned number = 1; number <= count; ++number) {
        core::target entry;
        entry.id = core::target_id{"engine-" + std::to_string(number)};
        entry.service = captions;
        entry.address = "127.0.0.1";
        entry.port = static_cast<std::uint16_t>(number);
        entry.slots = slots;
        result.targets.emplace(entry.id, entry);
    }
    return result;
}

core::router make_router(unsigned count, std::uint32_t slots = 10)
{
    core::router result{core::router_settings{}};
    result.set_fleet(make_fleet(count, slots));
    return result;
}

core::route_query query(std::uint64_t request = 1, std::uint64_t prefix = 0)
{
    core::route_query result;
    result.service = captions;
    result.request = request;
    result.prefix = prefix;
    return result;
}

void start_online(core::router& router, const core::target_id& id, int count)
{
    for (int step = 0; step < count; ++step) {
        router.on_online_started(id);
    }
}

} // namespace
// although another target is free.
Test(router, failed_request_does_not_try_suspects)
{
    core::router router = make_router(3);
    router.on_failure(one, start);
    router.on_failure(two, start);
    start_online(router, three, 5);
    const core::time_point later = start + seconds(1);
    cr_assert(router.choose(query(), later) != three, "no request tries the suspects");
    core::route_query retried = query();
    retried.failed_before = true;
    cr_assert(router.choose(retried, later) == three);
    start_online(router, three, 5);
    cr_assert(router.choose(retried, later).has_value(), "a suspect is better than none");
}

// namespace

// Guards against load that ignores slots or other instances, and against batch streams, which
// yield, keeping online requests away.
Test(router, takes_the_least_online_load)
{
    core::router router = make_router(3);
    start_online(router, one, 2);
    start_online(router, two, 1);
    for (int count = 0; count < 9; ++count) {
        router.on_batch_started(three);
    }
    cr_assert(router.choose(query(), start) == three);
    router.on_online_elsewhere(three, 3, start);
    cr_assert(router.choose(query(), start) == two);
    cr_assert_eq(router.free_slots(three, start), 7U);
}

// Guards against instances that all start with the same of many idle targets.
Test(router, spreads_over_equal_targets)
{
    const core::router router = make_router(3);
    std::map<core::target_id, int> counts;
    for (std::uint64_t request = 1; request <= 300; ++request) {
        ++counts[*router.choose(query(request), start)];
    }
    cr_assert_eq(counts.size(), 3U);
    for (const auto& [id, count] : counts) {
        cr_assert_geq(count, 60);
    }
}

// Guards against requests of this instance being counted twice: in flight and by the report, or by
// a late report after they ended.
Test(router, report_does_not_count_own_requests)
{
    core::router router = make_router(2);
    start_online(router, one, 4);
    start_online(router, two, 5);
    router.on_report(one, 4, 0, false, start);
    cr_assert(router.choose(query(), start) == one);
    for (int count = 0; count < 4; ++count) {
        router.on_online_finished(one);
    }
    router.on_report(one, 4, 0, false, start + milliseconds(100));
    start_online(router, one, 4);
    cr_assert(router.choose(query(), start + milliseconds(100)) == one);
}

// Guards against a report that is ignored, or that counts forever when reports stop.
Test(router, report_of_others_counts_and_ages)
{
    core::router router = make_router(2);
    start_online(router, two, 2);
    router.on_report(one, 8, 0, false, start);
    cr_assert(router.choose(query(), start) == two);
    cr_assert(router.choose(query(), start + seconds(2)) == one);
}

// Guards against batch work of other instances, which reports do not tell from online work, driving
// all online requests to the targets of which the governor has spoken.
Test(router, batch_of_others_does_not_bind_online_requests)
{
    core::router router = make_router(2);
    router.on_online_elsewhere(one, 1, start);
    start_online(router, one, 1);
    router.on_report(one, 9, 0, false, start);
    router.on_report(two, 9, 0, false, start);
    cr_assert(router.choose(query(), start) == two);
}

// Guards against affinity that is lost while load is even, or kept while it is not.
Test(router, affinity_holds_within_its_bound)
{
    core::router router = make_router(3);
    const core::target_id home = *router.choose(query(1, 77), start);
    for (std::uint64_t request = 2; request < 20; ++request) {
        cr_assert(router.choose(query(request, 77), start) == home);
    }
    for (const core::target_id& id : {one, two, three}) {
        start_online(router, id, 4);
    }
    cr_assert(router.choose(query(3, 77), start) == home);
    start_online(router, home, 3);
    cr_assert(router.choose(query(3, 77), start) != home);
}

// Guards against requests pushed into full targets, where they wait unseen and unfairly.
Test(router, chooses_nothing_when_all_are_full)
{
    core::router router = make_router(2, 2);
    start_online(router, one, 2);
    start_online(router, two, 1);
    router.on_online_elsewhere(two, 1, start);
    cr_assert(!router.choose(query(1, 5), start).has_value());
    cr_assert(router.has_target(captions, start));
    router.on_online_elsewhere(two, 0, start);
    cr_assert(router.choose(query(1, 5), start) == two);
    core::router lenient{core::router_settings{.overcommit = 1}};
    lenient.set_fleet(make_fleet(1, 2));
    start_online(lenient, one, 2);
    cr_assert(lenient.choose(query(), start).has_value());
    start_online(lenient, one, 1);
    cr_assert(!lenient.choose(query(), start).has_value());
}

// Guards against a dead target that all its requests count as failures in a row, against a flood on
// one that returns, and against a back-off that does not grow.
Test(router, suspect_is_tried_by_one_request_after_a_growing_pause)
{
    core::router router = make_router(1);
    start_online(router, one, 5);
    for (int count = 0; count < 5; ++count) {
        router.on_failure(one, start);
        router.on_online_finished(one);
    }
    cr_assert(!router.choose(query(), start + milliseconds(499)).has_value());
    core::time_point now = start + milliseconds(500);
    cr_assert(router.choose(query(), now).has_value());
    router.on_online_started(one);
    cr_assert(!router.choose(query(), now).has_value());
    cr_assert(!router.usable(one, now));
    router.on_failure(one, now);
    router.on_online_finished(one);
    cr_assert(!router.usable(one, now + milliseconds(999)));
    now += seconds(1);
    cr_assert(router.usable(one, now));
    router.on_batch_started(one);
    cr_assert(!router.usable(one, now));
    router.on_success(one);
    router.on_batch_finished(one);
    start_online(router, one, 2);
    cr_assert(router.usable(one, now));
}

// Guards against long streams from before the failure that keep a target from being tried, and
// against a second trial when one of them ends.
Test(router, older_streams_do_not_stand_in_for_the_trial)
{
    core::router router = make_router(1);
    start_online(router, one, 3);
    router.on_failure(one, start);
    const core::time_point later = start + seconds(1);
    cr_assert(router.usable(one, later));
    router.on_online_started(one);
    cr_assert(!router.usable(one, later));
    router.on_online_finished(one);
    cr_assert(!router.usable(one, later));
}

// Guards against a pause that a target chooses at will, and against a refusal that is ignored.
Test(router, refusal_delays_within_a_limit)
{
    core::router router = make_router(1);
    router.on_refused(one, milliseconds(300), start);
    cr_assert(!router.usable(one, start + milliseconds(299)));
    cr_assert(router.usable(one, start + milliseconds(300)));
    router.on_refused(one, std::chrono::hours(1), start);
    cr_assert(router.usable(one, start + seconds(10)));
}

// Guards against new work for a leaving target, also when an old report contradicts.
Test(router, leaving_targets_get_nothing)
{
    core::router router = make_router(2);
    router.set_leaving({one});
    cr_assert(router.choose(query(), start) == two);
    router.on_leaving(two);
    router.on_report(two, 0, 0, false, start);
    cr_assert(!router.choose(query(), start).has_value());
    cr_assert(!router.has_target(captions, start));
    router.on_report(two, 0, 0, false, start + seconds(2));
    cr_assert(router.choose(query(), start) == two);
    router.set_leaving({two});
    cr_assert(router.choose(query(), start) == one);
    router.on_report(one, 0, 0, true, start);
    cr_assert(!router.choose(query(), start).has_value());
}

// Guards against a suspected request beside others, of this instance or of others.
Test(router, alone_needs_an_idle_target)
{
    core::router router = make_router(3);
    core::route_query alone = query(1, 7);
    alone.alone = true;
    router.on_batch_started(one);
    router.on_report(two, 1, 0, false, start);
    router.on_online_elsewhere(three, 1, start);
    cr_assert(!router.choose(alone, start).has_value());
    router.on_report(two, 0, 0, false, start);
    cr_assert(router.choose(alone, start) == two);
}

// Guards against a retry at the target that failed, and against use of a missing entry.
Test(router, excluded_targets_are_not_chosen)
{
    const core::router router = make_router(2);
    core::route_query retry = query(1, 9);
    retry.exclude = {*router.choose(retry, start)};
    cr_assert(!retry.exclude.contains(*router.choose(retry, start)));
    retry.exclude = {one, two};
    cr_assert(!router.choose(retry, start).has_value());
    retry.service = core::service_id{"unknown"};
    cr_assert(!router.choose(retry, start).has_value());
}

// Guards against counts that go wrong when a target with requests in flight leaves the fleet and
// comes back, at another address.
Test(router, requests_in_flight_survive_fleet_changes)
{
    core::router router = make_router(2);
    start_online(router, two, 2);
    router.on_failure(two, start);
    router.set_fleet(make_fleet(1));
    cr_assert(router.find(two) == nullptr);
    cr_assert(router.choose(query(), start) == one);
    core::fleet moved = make_fleet(2);
    moved.targets.at(two).port = 99;
    router.set_fleet(moved);
    cr_assert_eq(router.online(two), 2U);
    cr_assert(router.usable(two, start));
    router.on_online_finished(two);
    router.set_fleet(make_fleet(1));
    router.on_online_finished(two);
    cr_assert_eq(router.online(two), 0U);
    cr_assert_eq(router.view(start).size(), 1U);
}
