#include "soak/history.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>

namespace soak = gooseberryfall::soak;

namespace {

soak::observed_request served_request(const std::string& id, bool repeatable = false)
{
    return {id, repeatable, 200, true, "body", "s-" + id};
}

std::vector<std::string> check(const soak::history& observed,
                               const std::vector<soak::observed_run>& runs)
{
    return observed.check(runs, "body");
}

} // namespace

// Each check must detect its kind of violation. Otherwise a soak test without violations proves
// nothing.

Test(history, reports_nothing_for_a_valid_history)
{
    soak::history observed("t");
    observed.add_request(served_request("a"));
    observed.add_request({"b", false, 503, true, "", ""});
    observed.add_submission("j", 1, 202);
    observed.add_results("j", 0, {{"j-0", "x"}});
    cr_assert(
        check(observed, {{"a", "t", false}, {"j-0", "t", false}, {"j-0", "t", false}}).empty());
}

Test(history, reports_a_second_run)
{
    soak::history observed("t");
    observed.add_request(served_request("a"));
    cr_assert_eq(check(observed, {{"a", "t", false}, {"a", "t", false}}).size(), 1U);
}

Test(history, reports_a_run_after_a_not_run_status)
{
    soak::history observed("t");
    observed.add_request({"a", false, 503, true, "", ""});
    cr_assert_eq(check(observed, {{"a", "t", false}}).size(), 1U);
}

Test(history, reports_a_changed_body_and_a_wrong_signature)
{
    soak::history observed("t");
    observed.add_request({"a", false, 200, true, "other", "s-b"});
    cr_assert_eq(check(observed, {}).size(), 2U);
}

Test(history, reports_a_complete_item_with_a_part_of_its_output)
{
    soak::history observed("t");
    observed.add_submission("j", 1, 202);
    observed.add_results("j", 0, {{"j-0", "x", true}});
    observed.add_results("j", 0, {{"j-0", "x", true}});
    cr_assert_eq(check(observed, {}).size(), 1U);
}

Test(history, reports_a_key_and_a_wrong_team_at_an_engine)
{
    const soak::history observed("t");
    cr_assert_eq(check(observed, {{"a", "u", true}}).size(), 2U);
}

Test(history, reports_a_position_that_changes)
{
    soak::history observed("t");
    observed.add_submission("j", 2, 202);
    observed.add_results("j", 0, {{"j-0", "x"}, {"j-1", "y"}});
    observed.add_results("j", 0, {{"j-1", "y"}});
    cr_assert_geq(check(observed, {}).size(), 1U);
}

Test(history, reports_a_lost_item_and_a_rejected_job_that_ran)
{
    soak::history observed("t");
    observed.add_submission("j", 2, 202);
    observed.add_results("j", 0, {{"j-0", "x"}});
    observed.add_submission("k", 1, 503);
    cr_assert_eq(check(observed, {{"k-0", "t", false}}).size(), 2U);
}

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const steady_clock::time_point start{std::chrono::hours(1)};

/// A request to instance 0 that is answered at once.
soak::observed_request request_at(const std::string& id, milliseconds at)
{
    soak::observed_request observed = served_request(id);
    observed.sent_at = start + at;
    observed.answered_at = start + at;
    return observed;
}

/// A run at engine `e` of a request with this id.
soak::observed_run run_at(const std::string& id, milliseconds at, bool said_leaving,
                          std::int64_t process = 1)
{
    return {id, "t", false, "e", process, start + at, said_leaving, false};
}

const milliseconds after_grace = 2 * soak::leaving_grace;

/// Violations if an engine tells instance 0 that it leaves and runs a request of it later.
std::size_t leaving_violations(milliseconds second_sent_at, std::int64_t second_process,
                               soak::history& observed)
{
    observed.add_request(request_at("a", milliseconds(0)));
    observed.add_request(request_at("b", second_sent_at));
    return check(observed, {run_at("a", milliseconds(0), true),
                            run_at("b", second_sent_at, true, second_process)})
        .size();
}

/// Violations of a time in which a part crashes engines this often, with a sound request a second.
std::vector<std::string> crash_violations(int crashes, milliseconds interval, int served_of_ten)
{
    soak::history observed("t");
    std::vector<soak::observed_run> runs;
    for (int crash = 0; crash < crashes; ++crash) {
        soak::observed_run run = run_at("c" + std::to_string(crash), crash * interval, false);
        run.crashed = true;
        runs.push_back(run);
    }
    for (int second = 0; second < 30; ++second) {
        soak::observed_request sound =
            request_at("s" + std::to_string(second), std::chrono::seconds(second));
        sound.status = second % 10 < served_of_ten ? 200 : 503;
        observed.add_request(sound);
    }
    return observed.check_crashing_part(runs, start, start + std::chrono::seconds(30));
}

} // namespace

Test(history, reports_a_request_at_an_engine_that_had_said_it_leaves)
{
    soak::history observed("t");
    cr_assert_eq(leaving_violations(after_grace, 1, observed), 1U);
}

Test(history, allows_requests_soon_after_and_at_the_next_process)
{
    soak::history soon("t");
    cr_assert_eq(leaving_violations(soak::leaving_grace / 2, 1, soon), 0U);
    soak::history replaced("t");
    cr_assert_eq(leaving_violations(after_grace, 2, replaced), 0U);
}

Test(history, excuses_an_instance_that_was_interrupted_since)
{
    soak::history restarted("t");
    restarted.add_interruption(0, start + after_grace / 2);
    cr_assert_eq(leaving_violations(after_grace, 1, restarted), 0U);
    soak::history other_instance("t");
    other_instance.add_interruption(1, start + after_grace / 2);
    cr_assert_eq(leaving_violations(after_grace, 1, other_instance), 1U);
}

Test(history, reports_crashes_after_recognition)
{
    cr_assert(crash_violations(5, milliseconds(100), 10).empty());
    cr_assert_eq(crash_violations(20, std::chrono::seconds(1), 10).size(), 1U);
    cr_assert_eq(crash_violations(0, milliseconds(0), 10).size(), 1U);
}

Test(history, reports_sound_requests_that_are_not_served)
{
    cr_assert_eq(crash_violations(5, milliseconds(100), 4).size(), 1U);
}

namespace {

/// Violations if instance 0 sent a run at engine `e` that ends this long after it went on at
/// another engine.
std::size_t overlap_violations(soak::history& observed, milliseconds overlap,
                               const std::string& second_engine = "f",
                               std::optional<std::size_t> sender = 0)
{
    const milliseconds second_at(1000);
    soak::observed_run first = run_at("j-0", milliseconds(0), false);
    first.ended_at = start + second_at + overlap;
    first.instance = sender;
    soak::observed_run second = run_at("j-0", second_at, false);
    second.engine = second_engine;
    second.ended_at = start + second_at;
    second.instance = 1;
    return check(observed, {second, first}).size();
}

/// The same for an overlap that breaks the check, beside a disturbance that lasts from `begin` to
/// `end`.
std::size_t disturbed_overlap_violations(const soak::disturbed_part& part, milliseconds begin,
                                         milliseconds end)
{
    soak::history observed("t");
    observed.end_disturbance(observed.begin_disturbance(part, start + begin), start + end);
    return overlap_violations(observed, 2 * soak::overlap_max);
}

} // namespace

Test(history, reports_a_run_that_goes_on_while_the_engine_before_works_on_it)
{
    soak::history broken("t");
    cr_assert_eq(overlap_violations(broken, soak::overlap_max + milliseconds(1)), 1U);
    soak::history kept("t");
    cr_assert_eq(overlap_violations(kept, soak::overlap_max), 0U);
    soak::history same_engine("t");
    cr_assert_eq(overlap_violations(same_engine, 2 * soak::overlap_max, "e"), 0U);
}

Test(history, excuses_the_overlap_of_an_instance_that_was_out_of_touch)
{
    // The overlap breaks the check 1400 ms after the start.
    const milliseconds due_at = milliseconds(1000) + soak::overlap_max;
    const milliseconds last_excused = due_at - soak::out_of_touch_time;
    const milliseconds before = last_excused - milliseconds(1);
    for (const soak::disturbed_part& part :
         {soak::disturbed_part{}, soak::disturbed_part{0, ""}, soak::disturbed_part{{}, "e"}}) {
        cr_assert_eq(disturbed_overlap_violations(part, before, last_excused), 0U);
        cr_assert_eq(disturbed_overlap_violations(part, before, before), 1U);
        cr_assert_eq(disturbed_overlap_violations(part, due_at, due_at), 0U);
        cr_assert_eq(
            disturbed_overlap_violations(part, due_at + milliseconds(1), due_at + milliseconds(2)),
            1U);
    }
    cr_assert_eq(disturbed_overlap_violations({1, ""}, milliseconds(0), due_at), 1U);
    cr_assert_eq(disturbed_overlap_violations({{}, "f"}, milliseconds(0), due_at), 1U);
    soak::history interrupted("t");
    interrupted.add_interruption(0, start + last_excused);
    cr_assert_eq(overlap_violations(interrupted, 2 * soak::overlap_max), 0U);
    soak::history interrupted_before("t");
    interrupted_before.add_interruption(0, start + before);
    cr_assert_eq(overlap_violations(interrupted_before, 2 * soak::overlap_max), 1U);
}

Test(history, excuses_the_overlap_of_an_unknown_sender_if_a_process_has_ended)
{
    soak::history interrupted("t");
    interrupted.add_interruption(2, start);
    cr_assert_eq(overlap_violations(interrupted, 2 * soak::overlap_max, "f", std::nullopt), 0U);
    cr_assert_eq(overlap_violations(interrupted, 2 * soak::overlap_max, "f", 0), 1U);
    soak::history undisturbed("t");
    cr_assert_eq(overlap_violations(undisturbed, 2 * soak::overlap_max, "f", std::nullopt), 1U);
}

Test(history, reports_an_accepted_job_that_is_unknown)
{
    soak::history observed("t");
    observed.add_submission("j", 1, 202, start);
    observed.add_results("j", 0, {{"j-0", "x"}});
    const auto read_at = [&](std::chrono::milliseconds time) {
        observed.add_job_read({"j", 1, 404, 0, start + time, start + time});
        return check(observed, {{"j-0", "t", false}}).size();
    };
    cr_assert_eq(read_at(std::chrono::milliseconds(900)), 0U, "the others may not know it yet");
    observed.add_interruption(1, start + std::chrono::seconds(2));
    cr_assert_eq(read_at(std::chrono::milliseconds(4900)), 0U, "the instance is out of touch");
    cr_assert_eq(read_at(std::chrono::milliseconds(5100)), 1U);
}

Test(history, reports_results_that_are_gone)
{
    soak::history observed("t");
    observed.add_submission("j", 1, 202, start);
    observed.add_results("j", 0, {{"j-0", "x"}});
    const auto read_at = [&](std::chrono::milliseconds time, std::size_t results) {
        observed.add_job_read({"j", 1, 200, results, start + time, start + time});
        return check(observed, {{"j-0", "t", false}}).size();
    };
    cr_assert_eq(read_at(std::chrono::milliseconds(5000), 1), 0U);
    cr_assert_eq(read_at(std::chrono::milliseconds(5900), 0), 0U, "not known everywhere yet");
    cr_assert_eq(read_at(std::chrono::milliseconds(6100), 0), 1U);
}
