#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <string>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::accept_result;
using serving::job_ledger;
using serving::result_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
const core::wall_time noon{milliseconds(1'000'000'000)};

serving::job_submission job(const std::string& id, int items, std::uint64_t tokens = 100)
{
    serving::job_submission result;
    result.id = id;
    result.team = core::team_id("studio");
    result.route = "notes";
    for (int index = 0; index < items; ++index) {
        serving::job_item item;
        item.id = id + "-" + std::to_string(index);
        item.tokens = tokens;
        result.items.push_back(item);
    }
    return result;
}

/// Accepts a job as if its record had been written.
serving::job_record open(job_ledger& ledger, const serving::job_submission& submitted)
{
    std::optional<serving::job_record> record;
    cr_assert(ledger.accept(submitted, noon, 0, record) == accept_result::newly_accepted);
    ledger.confirm_accepted(submitted.id);
    return *record;
}

} // namespace

// Guards against a job that runs twice because its caller sent it again.
Test(job_ledger, a_job_is_accepted_once)
{
    job_ledger ledger;
    std::optional<serving::job_record> record;
    cr_assert(ledger.accept(job("j", 2), noon, 0, record) == accept_result::newly_accepted);
    cr_assert_not(ledger.has("j"), "it must not be told before it is written");
    std::optional<serving::job_record> again;
    cr_assert(ledger.accept(job("j", 2), noon, 0, again) == accept_result::write_pending);
    ledger.confirm_accepted("j");
    cr_assert(ledger.accept(job("j", 2), noon, 0, again) == accept_result::duplicate);
    cr_assert_not(again.has_value());
}

// Guards against items that run although the job was never written.
Test(job_ledger, nothing_runs_before_the_job_is_written)
{
    job_ledger ledger;
    std::optional<serving::job_record> record;
    ledger.accept(job("j", 2), noon, 0, record);
    const std::map<std::string, milliseconds> objectives{{"notes", seconds(18)}};
    cr_assert(ledger.runnable(objectives, 10, start).empty());
    ledger.confirm_accepted("j");
    cr_assert_eq(ledger.runnable(objectives, 10, start).size(), 2U);
}

// Guards against more waiting tokens of a team than its route allows.
Test(job_ledger, keeps_the_limit_of_waiting_tokens)
{
    job_ledger ledger;
    std::optional<serving::job_record> record;
    cr_assert(ledger.accept(job("a", 5), noon, 1000, record) == accept_result::newly_accepted);
    cr_assert(ledger.accept(job("b", 6), noon, 1000, record) == accept_result::over_limit);
    ledger.confirm_accepted("a");
    ledger.finish({"a", 0}, result_state::complete, "x");
    cr_assert(ledger.accept(job("c", 6), noon, 1000, record) == accept_result::newly_accepted);
}

// Guards against two results of an item, and results that are shown before they are written.
Test(job_ledger, a_result_stands_once_and_is_shown_when_written)
{
    job_ledger ledger;
    open(ledger, job("j", 2));
    const auto first = ledger.finish({"j", 1}, result_state::complete, "one");
    cr_assert(first.has_value());
    cr_assert_not(ledger.finish({"j", 1}, result_state::complete, "two").has_value());
    cr_assert(ledger.results("j", 0, 1000).empty());
    ledger.confirm_finished("j", 0);
    const auto results = ledger.results("j", 0, 1000);
    cr_assert_eq(results.size(), 1U);
    cr_assert_eq(results.front().item, 1U);
    cr_assert(results.front().output == "one");
}

// Guards against positions that change when another instance takes the partition over.
Test(job_ledger, a_new_owner_has_the_same_positions)
{
    job_ledger before;
    std::vector<serving::job_record> records{open(before, job("j", 3))};
    records.push_back(*before.finish({"j", 2}, result_state::complete, "two"));
    records.push_back(*before.finish({"j", 0}, result_state::dead_letter, ""));
    job_ledger after;
    // The newest records of all keys come in any order.
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        after.load(*record);
    }
    after.finish_loading();
    const auto results = after.results("j", 0, 1000);
    cr_assert_eq(results.size(), 2U);
    cr_assert_eq(results[0].item, 2U);
    cr_assert_eq(results[1].item, 0U);
    cr_assert(results[1].state == result_state::dead_letter);
    const std::map<std::string, milliseconds> objectives{{"notes", seconds(18)}};
    const auto runnable = after.runnable(objectives, 10, start);
    cr_assert_eq(runnable.size(), 1U);
    cr_assert_eq(runnable.front().key.item, 1U);
}

// Guards against items that start anew although much of their text was written.
Test(job_ledger, a_new_owner_goes_on_from_written_progress)
{
    job_ledger before;
    const serving::job_record opened = open(before, job("j", 1));
    before.advance({"j", 0}, {41, "a\nb"});
    const auto records = before.progress_records(2);
    cr_assert_eq(records.size(), 1U);
    cr_assert(before.progress_records(2).empty(), "nothing new");
    job_ledger after;
    after.load(opened);
    after.load(records.front());
    after.finish_loading();
    cr_assert_eq(after.progress({"j", 0}).last_event.value(), 41U);
    cr_assert(after.progress({"j", 0}).text == "a\nb");
}

// Guards against work for a job that its caller has ended.
Test(job_ledger, a_closed_job_runs_nothing)
{
    job_ledger ledger;
    open(ledger, job("j", 2));
    cr_assert(ledger.close("j").has_value());
    cr_assert(ledger.close("j").has_value(), "an end that is not written is not known to last");
    ledger.confirm_closed("j");
    cr_assert_not(ledger.close("j").has_value(), "ending is idempotent");
    const std::map<std::string, milliseconds> objectives{{"notes", seconds(18)}};
    cr_assert(ledger.runnable(objectives, 10, start).empty());
    cr_assert_eq(ledger.pending_tokens(core::team_id("studio"), "notes"), 0U);
}

// Guards against an item that occupies targets without a pause while each run fails.
Test(job_ledger, a_failed_item_pauses)
{
    job_ledger ledger;
    open(ledger, job("j", 1));
    const std::map<std::string, milliseconds> objectives{{"notes", seconds(18)}};
    cr_assert_eq(ledger.record_failure({"j", 0}, true, start), 1U);
    cr_assert(ledger.runnable(objectives, 10, start).empty());
    cr_assert_eq(ledger.runnable(objectives, 10, start + milliseconds(200)).size(), 1U);
    cr_assert_eq(ledger.record_failure({"j", 0}, true, start), 2U);
    cr_assert(ledger.runnable(objectives, 10, start + milliseconds(200)).empty());
}

// Guards against jobs that are deleted while they run or are too young, and against ended ones that
// are kept for good.
Test(job_ledger, only_old_jobs_that_have_ended_expire)
{
    job_ledger ledger;
    open(ledger, job("open", 1));
    open(ledger, job("ended", 1));
    open(ledger, job("done", 1));
    cr_assert(ledger.close("ended").has_value());
    cr_assert(ledger.finish({"done", 0}, result_state::complete, "x").has_value());
    const core::wall_time later = noon + milliseconds(1);
    cr_assert(ledger.expired(noon).empty());
    cr_assert(ledger.expired(later) == std::vector<std::string>{"ended"},
              "the result of the other is not written");
    ledger.confirm_finished("done", 0);
    cr_assert(ledger.expired(later) == std::vector<std::string>({"done", "ended"}));
    ledger.remove("done");
    cr_assert_not(ledger.has("done"));
    cr_assert(ledger.expired(later) == std::vector<std::string>{"ended"});
}
