#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <string>
#include <variant>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::slot_scheduler;
using serving::work_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
const core::service_id service{"captions"};

serving::target_entry make_target(const std::string& name, std::uint32_t slots = 1)
{
    serving::target_entry entry;
    entry.id = core::target_id(name);
    entry.service = service;
    entry.address = "10.0.0.1:" + name;
    entry.slots = slots;
    return entry;
}

serving::run_key make_key(std::uint64_t number)
{
    return {core::instance_id("a"), number};
}

serving::slot_request online_request(std::uint64_t number)
{
    serving::slot_request request;
    request.key = make_key(number);
    request.service = service;
    request.kind = work_kind::online;
    request.tokens = 200;
    request.time_to_objective = milliseconds(300);
    request.time_to_deadline = seconds(5);
    return request;
}

serving::slot_request batch_request(std::uint64_t number, milliseconds until_due)
{
    serving::slot_request request = online_request(number);
    request.kind = work_kind::batch;
    request.tokens = 1000;
    request.time_to_deadline = until_due;
    return request;
}

template <class Decision>
std::vector<Decision> filter_decisions(const serving::slot_decisions& decisions)
{
    std::vector<Decision> result;
    for (const serving::slot_decision& decision : decisions) {
        if (const auto* found = std::get_if<Decision>(&decision)) {
            result.push_back(*found);
        }
    }
    return result;
}

std::vector<serving::slot_grant> grants(const serving::slot_decisions& decisions)
{
    return filter_decisions<serving::slot_grant>(decisions);
}

std::vector<serving::slot_rejection> rejections(const serving::slot_decisions& decisions)
{
    return filter_decisions<serving::slot_rejection>(decisions);
}

std::vector<serving::slot_preemption> preemptions(const serving::slot_decisions& decisions)
{
    return filter_decisions<serving::slot_preemption>(decisions);
}

serving::slot_result make_result(std::uint64_t number,
                                 serving::slot_outcome outcome = serving::slot_outcome::completed)
{
    return {make_key(number), outcome, milliseconds(50), milliseconds(850)};
}

} // namespace

// Guards against two slots for one request that is repeated because the reply was lost.
Test(slot_scheduler, repeated_request_gets_same_grant)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1"), make_target("2")}, start);
    const auto first = grants(scheduler.request_slot(online_request(1), start));
    const auto repeated =
        grants(scheduler.request_slot(online_request(1), start + milliseconds(40)));
    cr_assert_eq(first.size(), 1U);
    cr_assert_eq(repeated.size(), 1U);
    cr_assert(first.front().target == repeated.front().target);
    cr_assert_eq(scheduler.stats().online_running, 1U);
}

// Guards against online requests that wait behind batch items, and against batch items that run in
// turns until all of them are late.
Test(slot_scheduler, online_request_preempts_batch_run_with_most_remaining_work)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1"), make_target("2")}, start);
    serving::slot_request short_batch = batch_request(1, seconds(18));
    short_batch.tokens = 100;
    scheduler.request_slot(short_batch, start);
    scheduler.request_slot(batch_request(2, seconds(9)), start);
    const auto decisions = scheduler.request_slot(online_request(3), start);
    cr_assert_eq(preemptions(decisions).size(), 1U);
    cr_assert_eq(preemptions(decisions).front().key.number, 2U);
    cr_assert_eq(grants(decisions).size(), 1U);
    cr_assert_eq(grants(decisions).front().key.number, 3U);
}

// Guards against batch items that are preempted repeatedly until they miss their due time.
Test(slot_scheduler, batch_run_near_due_time_is_not_preempted)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1")}, start);
    // About 4 s of work, due in 5 s.
    scheduler.request_slot(batch_request(1, seconds(5)), start);
    const auto decisions = scheduler.request_slot(online_request(2), start);
    cr_assert(preemptions(decisions).empty());
    cr_assert(grants(decisions).empty());
}

// Guards against batch items that wait behind continuous online requests until they are late.
Test(slot_scheduler, urgent_batch_item_precedes_queued_online_request)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1")}, start);
    scheduler.request_slot(online_request(1), start);
    // About 4 s of work: half a second of slack when the slot becomes free.
    cr_assert(grants(scheduler.request_slot(batch_request(2, milliseconds(5500)), start)).empty());
    // The slot is expected to become free in time, so the request is queued.
    const core::time_point later = start + milliseconds(700);
    cr_assert(rejections(scheduler.request_slot(online_request(3), later)).empty());
    const auto decisions = scheduler.release_slot(make_result(1), start + milliseconds(850));
    cr_assert_eq(grants(decisions).size(), 1U);
    cr_assert_eq(grants(decisions).front().key.number, 2U);
}

// Guards against queueing requests whose response can no longer be on time.
Test(slot_scheduler, rejects_on_arrival_requests_that_cannot_be_on_time)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1")}, start);
    scheduler.request_slot(online_request(1), start);
    const auto rejected = rejections(scheduler.request_slot(online_request(2), start));
    cr_assert_eq(rejected.size(), 1U);
    cr_assert(rejected.front().reason == serving::slot_rejection_reason::overloaded);
    cr_assert(rejected.front().retry_after > milliseconds(0));
    cr_assert(rejected.front().retry_after <= seconds(5) / 3);
}

// Guards against rejecting a retry, whose caller does not retry again.
Test(slot_scheduler, retry_precedes_new_requests)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1")}, start);
    scheduler.request_slot(online_request(1), start);
    const core::time_point later = start + milliseconds(700);
    cr_assert(rejections(scheduler.request_slot(online_request(2), later)).empty());
    serving::slot_request retry = online_request(3);
    retry.is_retry = true;
    cr_assert(rejections(scheduler.request_slot(retry, later)).empty());
    const auto decisions = scheduler.release_slot(make_result(1), later + milliseconds(50));
    cr_assert_eq(grants(decisions).size(), 1U);
    cr_assert_eq(grants(decisions).front().key.number, 3U);
}

// Guards against slots that stay occupied because the message of their release was lost.
Test(slot_scheduler, releases_slots_of_unreported_runs)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1")}, start);
    scheduler.request_slot(online_request(1), start);
    const core::time_point soon = start + milliseconds(100);
    scheduler.reconcile(core::instance_id("a"), {}, soon);
    cr_assert(scheduler.has_run(make_key(1)), "the grant may still be in transit");
    scheduler.reconcile(core::instance_id("a"), {}, start + milliseconds(500));
    cr_assert_not(scheduler.has_run(make_key(1)));
    cr_assert_eq(
        grants(scheduler.request_slot(online_request(2), start + milliseconds(500))).size(), 1U);
}

// Guards against a new leader that overloads targets which still run its predecessor's requests.
Test(slot_scheduler, adds_unknown_runs_from_reports)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1")}, start);
    scheduler.reconcile(core::instance_id("b"),
                        {{7, core::target_id("1"), work_kind::online, false}}, start);
    cr_assert(grants(scheduler.request_slot(online_request(1), start)).empty());
}

// Guards against sending requests to a target that has just refused a connection.
Test(slot_scheduler, pauses_unreachable_target)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1", 4), make_target("2", 4)}, start);
    const auto first = grants(scheduler.request_slot(online_request(1), start));
    scheduler.release_slot(make_result(1, serving::slot_outcome::unreachable), start);
    for (std::uint64_t number = 2; number < 6; ++number) {
        const auto next = grants(scheduler.request_slot(online_request(number), start));
        cr_assert_eq(next.size(), 1U);
        cr_assert(next.front().target != first.front().target);
    }
}

// Replays a moment at which all connections to all targets are reset, as by a restarted switch.
// Guards against rejecting requests for seconds because each cut run counts as one more failure of
// its target, up to the longest pause.
Test(slot_scheduler, runs_cut_at_once_count_as_one_failure)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1", 8), make_target("2", 8)}, start);
    for (std::uint64_t number = 1; number <= 16; ++number) {
        cr_assert_eq(grants(scheduler.request_slot(online_request(number), start)).size(), 1U);
    }
    const core::time_point cut_at = start + milliseconds(300);
    for (std::uint64_t number = 1; number <= 16; ++number) {
        scheduler.release_slot({make_key(number), serving::slot_outcome::broken, {}, {}}, cut_at);
    }
    // A target that has crashed would refuse the next request, too, so each gets one to begin with.
    const core::time_point tried_at = cut_at + milliseconds(500);
    for (std::uint64_t number = 17; number <= 18; ++number) {
        cr_assert_eq(grants(scheduler.request_slot(online_request(number), tried_at)).size(), 1U);
    }
    for (std::uint64_t number = 17; number <= 18; ++number) {
        scheduler.release_slot(make_result(number, serving::slot_outcome::completed), tried_at);
    }
    for (std::uint64_t number = 19; number <= 34; ++number) {
        cr_assert_eq(grants(scheduler.request_slot(online_request(number), tried_at)).size(), 1U,
                     "request %d", static_cast<int>(number));
    }
}

// Guards against a target that breaks all responses and is never paused, because its runs overlap.
Test(slot_scheduler, pauses_a_target_that_breaks_runs_again_and_again)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1", 2)}, start);
    core::time_point now = start;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        scheduler.request_slot(online_request(number), now);
        now += milliseconds(50);
        if (number > 1) {
            scheduler.release_slot({make_key(number - 1), serving::slot_outcome::broken, {}, {}},
                                   now);
        }
    }
    cr_assert_eq(grants(scheduler.request_slot(online_request(5), now)).size(), 0U);
}

// Guards against pausing all targets at once for a high failure rate, which may be a false alarm.
Test(slot_scheduler, pauses_only_a_fraction_of_targets_for_failure_rate)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1", 8), make_target("2", 8), make_target("3", 8)}, start);
    core::time_point now = start;
    for (std::uint64_t number = 1; number < 60; ++number) {
        now += milliseconds(50);
        if (!grants(scheduler.request_slot(online_request(number), now)).empty()) {
            scheduler.release_slot(make_result(number, serving::slot_outcome::failed), now);
        }
    }
    cr_assert_eq(grants(scheduler.request_slot(online_request(100), now)).size(), 1U);
}

// Guards against applying the health of a previous process to a restarted target.
Test(slot_scheduler, restarted_target_has_fresh_health)
{
    slot_scheduler scheduler;
    scheduler.set_targets({make_target("1")}, start);
    scheduler.request_slot(online_request(1), start);
    scheduler.release_slot(make_result(1, serving::slot_outcome::silent), start);
    cr_assert(grants(scheduler.request_slot(online_request(2), start)).empty());
    serving::target_entry restarted = make_target("1");
    restarted.started_at = 5;
    scheduler.set_targets({restarted}, start);
    cr_assert_eq(grants(scheduler.request_slot(online_request(3), start)).size(), 1U);
}
