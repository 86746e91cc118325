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

serving::target_entry target(const std::string& name, std::uint32_t slots = 1)
{
    serving::target_entry entry;
    entry.id = core::target_id(name);
    entry.service = service;
    entry.address = "10.0.0.1:" + name;
    entry.slots = slots;
    return entry;
}

serving::run_key key(std::uint64_t number)
{
    return {core::instance_id("a"), number};
}

serving::slot_request online(std::uint64_t number)
{
    serving::slot_request question;
    question.key = key(number);
    question.service = service;
    question.kind = work_kind::online;
    question.tokens = 200;
    question.time_to_objective = milliseconds(300);
    question.time_to_deadline = seconds(5);
    return question;
}

serving::slot_request batch(std::uint64_t number, milliseconds until_due)
{
    serving::slot_request question = online(number);
    question.kind = work_kind::batch;
    question.tokens = 1000;
    question.time_to_deadline = until_due;
    return question;
}

template <class Decision>
std::vector<Decision> all(const serving::slot_decisions& decisions)
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
    return all<serving::slot_grant>(decisions);
}

std::vector<serving::slot_rejection> refusals(const serving::slot_decisions& decisions)
{
    return all<serving::slot_rejection>(decisions);
}

std::vector<serving::slot_preemption> yields(const serving::slot_decisions& decisions)
{
    return all<serving::slot_preemption>(decisions);
}

serving::slot_result ended(std::uint64_t number,
                           serving::slot_outcome outcome = serving::slot_outcome::completed)
{
    return {key(number), outcome, milliseconds(50), milliseconds(850)};
}

} // namespace

// Guards against two slots for one call when the answer was lost and the call is repeated.
Test(slot_scheduler, repeats_the_grant_of_a_repeated_question)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1"), target("2")});
    const auto first = grants(scheduler.request_slot(online(1), start));
    const auto again = grants(scheduler.request_slot(online(1), start + milliseconds(40)));
    cr_assert_eq(first.size(), 1U);
    cr_assert_eq(again.size(), 1U);
    cr_assert(first.front().target == again.front().target);
    cr_assert_eq(scheduler.stats().online_running, 1U);
}

// Guards against online requests that wait behind batch items, and against items that take turns
// until all of them are late.
Test(slot_scheduler, online_takes_the_slot_of_the_batch_run_with_the_most_left)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1"), target("2")});
    serving::slot_request nearly_done = batch(1, seconds(18));
    nearly_done.tokens = 100;
    scheduler.request_slot(nearly_done, start);
    scheduler.request_slot(batch(2, seconds(9)), start);
    const auto decisions = scheduler.request_slot(online(3), start);
    cr_assert_eq(yields(decisions).size(), 1U);
    cr_assert_eq(yields(decisions).front().key.number, 2U);
    cr_assert_eq(grants(decisions).size(), 1U);
    cr_assert_eq(grants(decisions).front().key.number, 3U);
}

// Guards against items that yield again and again until they miss their due time.
Test(slot_scheduler, batch_near_its_due_time_keeps_its_slot)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1")});
    // About 4 s of work and 5 s to go.
    scheduler.request_slot(batch(1, seconds(5)), start);
    const auto decisions = scheduler.request_slot(online(2), start);
    cr_assert(yields(decisions).empty());
    cr_assert(grants(decisions).empty());
}

// Guards against items that wait behind a steady stream of online requests until they are late.
Test(slot_scheduler, urgent_batch_goes_before_waiting_online)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1")});
    scheduler.request_slot(online(1), start);
    // About 4 s of work: half a second of slack when the slot becomes free.
    cr_assert(grants(scheduler.request_slot(batch(2, milliseconds(5500)), start)).empty());
    // Its slot is expected to be free in time, so the request waits.
    const core::time_point later = start + milliseconds(700);
    cr_assert(refusals(scheduler.request_slot(online(3), later)).empty());
    const auto decisions = scheduler.release_slot(ended(1), start + milliseconds(850));
    cr_assert_eq(grants(decisions).size(), 1U);
    cr_assert_eq(grants(decisions).front().key.number, 2U);
}

// Guards against callers that are held although their answer cannot be on time any more.
Test(slot_scheduler, refuses_at_arrival_what_cannot_be_on_time)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1")});
    scheduler.request_slot(online(1), start);
    const auto refused = refusals(scheduler.request_slot(online(2), start));
    cr_assert_eq(refused.size(), 1U);
    cr_assert(refused.front().reason == serving::slot_rejection_reason::overloaded);
    cr_assert(refused.front().retry_after > milliseconds(0));
    cr_assert(refused.front().retry_after <= seconds(5) / 3);
}

// Guards against a second refusal of a caller that will not come again.
Test(slot_scheduler, a_returning_request_goes_before_newcomers)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1")});
    scheduler.request_slot(online(1), start);
    const core::time_point later = start + milliseconds(700);
    cr_assert(refusals(scheduler.request_slot(online(2), later)).empty());
    serving::slot_request returning = online(3);
    returning.is_retry = true;
    cr_assert(refusals(scheduler.request_slot(returning, later)).empty());
    const auto decisions = scheduler.release_slot(ended(1), later + milliseconds(50));
    cr_assert_eq(grants(decisions).size(), 1U);
    cr_assert_eq(grants(decisions).front().key.number, 3U);
}

// Guards against slots that stay taken when the message of their end was lost.
Test(slot_scheduler, frees_slots_that_are_not_reported)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1")});
    scheduler.request_slot(online(1), start);
    const core::time_point soon = start + milliseconds(100);
    scheduler.reconcile(core::instance_id("a"), {}, soon);
    cr_assert(scheduler.has_run(key(1)), "a grant may still be on its way");
    scheduler.reconcile(core::instance_id("a"), {}, start + milliseconds(500));
    cr_assert_not(scheduler.has_run(key(1)));
    cr_assert_eq(grants(scheduler.request_slot(online(2), start + milliseconds(500))).size(), 1U);
}

// Guards against a new leader that fills targets which are full of its predecessor's requests.
Test(slot_scheduler, learns_runs_from_reports)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1")});
    scheduler.reconcile(core::instance_id("b"),
                        {{7, core::target_id("1"), work_kind::online, false}}, start);
    cr_assert(grants(scheduler.request_slot(online(1), start)).empty());
}

// Guards against requests that are sent to a target which has just refused a connection.
Test(slot_scheduler, leaves_a_target_alone_that_cannot_be_reached)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1", 4), target("2", 4)});
    const auto first = grants(scheduler.request_slot(online(1), start));
    scheduler.release_slot(ended(1, serving::slot_outcome::unreachable), start);
    for (std::uint64_t number = 2; number < 6; ++number) {
        const auto next = grants(scheduler.request_slot(online(number), start));
        cr_assert_eq(next.size(), 1U);
        cr_assert(next.front().target != first.front().target);
    }
}

// Guards against a false alarm for all targets that empties the fleet.
Test(slot_scheduler, sets_aside_only_a_part_of_the_targets_for_failures)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1", 8), target("2", 8), target("3", 8)});
    core::time_point now = start;
    for (std::uint64_t number = 1; number < 60; ++number) {
        now += milliseconds(50);
        if (!grants(scheduler.request_slot(online(number), now)).empty()) {
            scheduler.release_slot(ended(number, serving::slot_outcome::failed), now);
        }
    }
    cr_assert_eq(grants(scheduler.request_slot(online(100), now)).size(), 1U);
}

// Guards against a restarted target that is judged by what its predecessor did.
Test(slot_scheduler, a_restarted_target_starts_anew)
{
    slot_scheduler scheduler;
    scheduler.set_targets({target("1")});
    scheduler.request_slot(online(1), start);
    scheduler.release_slot(ended(1, serving::slot_outcome::silent), start);
    cr_assert(grants(scheduler.request_slot(online(2), start)).empty());
    serving::target_entry restarted = target("1");
    restarted.started_at = 5;
    scheduler.set_targets({restarted});
    cr_assert_eq(grants(scheduler.request_slot(online(3), start)).size(), 1U);
}
