#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
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

serving::job_submission make_job(const std::string& id, int items, std::uint64_t tokens = 100)
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

/// The batch route of the jobs, with one service.
struct notes_route {
    /// Items that are ready to run, at most `limit`.
    std::vector<serving::runnable_item> runnable(const job_ledger& ledger, std::size_t limit,
                                                 core::time_point now) const
    {
        serving::route notes;
        notes.name = "notes";
        notes.services = {{lm, 1}};
        notes.batch.result_objective = seconds(18);
        return ledger.runnable({{notes.name, &notes}}, {{lm, limit}}, now);
    }

    core::service_id lm{"lm"};
};

/// Accepts a job and confirms its record as written. Returns the record.
serving::job_record accept_job(job_ledger& ledger, const serving::job_submission& submission)
{
    std::optional<serving::job_record> record;
    cr_assert(ledger.accept(submission, noon, 0, record) == accept_result::newly_accepted);
    ledger.confirm_accepted(submission.id);
    return *record;
}

} // namespace

// Guards against a job that runs twice because its caller submitted it again.
Test(job_ledger, resubmitted_job_is_accepted_once)
{
    job_ledger ledger;
    std::optional<serving::job_record> record;
    cr_assert(ledger.accept(make_job("j", 2), noon, 0, record) == accept_result::newly_accepted);
    cr_assert_not(ledger.has("j"), "the job must not be confirmed before its record is written");
    std::optional<serving::job_record> again;
    cr_assert(ledger.accept(make_job("j", 2), noon, 0, again) == accept_result::write_pending);
    ledger.confirm_accepted("j");
    cr_assert(ledger.accept(make_job("j", 2), noon, 0, again) == accept_result::duplicate);
    cr_assert_not(again.has_value());
}

// Guards against items that run although the job's record was never written.
Test(job_ledger, no_item_runs_before_the_job_is_written)
{
    job_ledger ledger;
    std::optional<serving::job_record> record;
    ledger.accept(make_job("j", 2), noon, 0, record);
    const notes_route notes;
    cr_assert(notes.runnable(ledger, 10, start).empty());
    ledger.confirm_accepted("j");
    cr_assert_eq(notes.runnable(ledger, 10, start).size(), 2U);
}

// Guards against more pending tokens of a team than its route allows.
Test(job_ledger, pending_tokens_are_limited)
{
    job_ledger ledger;
    std::optional<serving::job_record> record;
    cr_assert(ledger.accept(make_job("a", 5), noon, 1000, record) == accept_result::newly_accepted);
    cr_assert(ledger.accept(make_job("b", 6), noon, 1000, record) == accept_result::over_limit);
    ledger.confirm_accepted("a");
    ledger.finish({"a", 0}, result_state::complete, "x");
    cr_assert(ledger.accept(make_job("c", 6), noon, 1000, record) == accept_result::newly_accepted);
}

// Guards against two results for an item, and against results that are readable before they are
// written.
Test(job_ledger, result_is_final_and_readable_once_written)
{
    job_ledger ledger;
    accept_job(ledger, make_job("j", 2));
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

// Guards against result positions that change when another instance takes over the partition.
Test(job_ledger, new_owner_has_the_same_result_positions)
{
    job_ledger old_owner;
    std::vector<serving::job_record> records{accept_job(old_owner, make_job("j", 3))};
    records.push_back(*old_owner.finish({"j", 2}, result_state::complete, "two"));
    records.push_back(*old_owner.finish({"j", 0}, result_state::dead_letter, ""));
    job_ledger new_owner;
    // The store returns the latest record of each key in any order.
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        new_owner.load(*record);
    }
    new_owner.finish_loading();
    const auto results = new_owner.results("j", 0, 1000);
    cr_assert_eq(results.size(), 2U);
    cr_assert_eq(results[0].item, 2U);
    cr_assert_eq(results[1].item, 0U);
    cr_assert(results[1].state == result_state::dead_letter);
    const notes_route notes;
    const auto runnable = notes.runnable(new_owner, 10, start);
    cr_assert_eq(runnable.size(), 1U);
    cr_assert_eq(runnable.front().key.item, 1U);
}

// Guards against items that start over although much of their output was written.
Test(job_ledger, new_owner_resumes_from_written_progress)
{
    job_ledger old_owner;
    const serving::job_record accepted_record = accept_job(old_owner, make_job("j", 1));
    old_owner.advance({"j", 0}, {41, "a\nb"});
    const auto records = old_owner.progress_records(2);
    cr_assert_eq(records.size(), 1U);
    cr_assert(old_owner.progress_records(2).empty(), "there is no new progress");
    job_ledger new_owner;
    new_owner.load(accepted_record);
    new_owner.load(records.front());
    new_owner.finish_loading();
    cr_assert_eq(new_owner.progress({"j", 0}).last_event.value(), 41U);
    cr_assert(new_owner.progress({"j", 0}).text == "a\nb");
}

// Guards against running items of a job that its caller has closed.
Test(job_ledger, closed_job_runs_no_items)
{
    job_ledger ledger;
    accept_job(ledger, make_job("j", 2));
    cr_assert(ledger.close("j").has_value());
    cr_assert(ledger.close("j").has_value(), "the record is returned again until it is written");
    ledger.confirm_closed("j");
    cr_assert_not(ledger.close("j").has_value(), "closing is idempotent");
    const notes_route notes;
    cr_assert(notes.runnable(ledger, 10, start).empty());
    cr_assert_eq(ledger.pending_tokens(core::team_id("studio"), "notes"), 0U);
}

// Guards against an item that occupies targets without a retry delay while each run fails.
Test(job_ledger, failed_item_is_retried_after_a_delay)
{
    job_ledger ledger;
    accept_job(ledger, make_job("j", 1));
    const notes_route notes;
    cr_assert_eq(ledger.record_failure({"j", 0}, true, start), 1U);
    cr_assert(notes.runnable(ledger, 10, start).empty());
    cr_assert_eq(notes.runnable(ledger, 10, start + milliseconds(200)).size(), 1U);
    cr_assert_eq(ledger.record_failure({"j", 0}, true, start), 2U);
    cr_assert(notes.runnable(ledger, 10, start + milliseconds(200)).empty());
}

// Guards against an item that fails at each run and is run again by each owner of its partition.
Test(job_ledger, new_owner_counts_earlier_failures)
{
    job_ledger old_owner;
    const serving::job_record accepted_record = accept_job(old_owner, make_job("j", 2));
    job_ledger new_owner;
    // The records come in the order of their keys.
    new_owner.load(serving::item_failed{"j", 1, 2});
    new_owner.load(accepted_record);
    new_owner.finish_loading();
    cr_assert_eq(new_owner.record_failure({"j", 1}, true, start), 3U);
    cr_assert_eq(new_owner.record_failure({"j", 0}, true, start), 1U);
}

// Guards against removing jobs that still run or are within their retention time, and against
// keeping ended jobs forever.
Test(job_ledger, only_old_ended_jobs_expire)
{
    job_ledger ledger;
    accept_job(ledger, make_job("open", 1));
    accept_job(ledger, make_job("ended", 1));
    accept_job(ledger, make_job("done", 1));
    cr_assert(ledger.close("ended").has_value());
    cr_assert(ledger.finish({"done", 0}, result_state::complete, "x").has_value());
    const core::wall_time later = noon + milliseconds(1);
    cr_assert(ledger.deletable_jobs(noon).empty());
    cr_assert(ledger.deletable_jobs(later) == std::vector<std::string>{"ended"},
              "the result of the other job is not written");
    ledger.confirm_finished("done", 0);
    cr_assert(ledger.deletable_jobs(later) == std::vector<std::string>({"done", "ended"}));
    ledger.remove("done");
    cr_assert_not(ledger.has("done"));
    cr_assert(ledger.deletable_jobs(later) == std::vector<std::string>{"ended"});
}

// Guards against items that wait for a service without targets and keep those of another service
// from running, by their earlier deadlines.
Test(job_ledger, each_service_has_its_own_places)
{
    job_ledger ledger;
    serving::route blocked;
    blocked.name = "notes";
    blocked.services = {{core::service_id("blocked"), 1}};
    serving::route other;
    other.name = "covers";
    other.services = {{core::service_id("other"), 1}};
    other.batch.result_objective = seconds(10);
    accept_job(ledger, make_job("early", 100));
    serving::job_submission late = make_job("late", 3);
    late.route = other.name;
    accept_job(ledger, late);
    const std::map<std::string, const serving::route*> routes{{blocked.name, &blocked},
                                                              {other.name, &other}};
    const auto count_of = [&](const char* service, std::size_t blocked_places) {
        const auto items = ledger.runnable(
            routes,
            {{core::service_id("blocked"), blocked_places}, {core::service_id("other"), 64}},
            start);
        return std::count_if(items.begin(), items.end(), [&](const serving::runnable_item& item) {
            return item.service == core::service_id(service);
        });
    };
    cr_assert_eq(count_of("blocked", 64), 64);
    cr_assert_eq(count_of("other", 64), 3);
    cr_assert_eq(count_of("blocked", 0), 0);
    cr_assert_eq(count_of("other", 0), 3);
}
