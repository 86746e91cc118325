#include "cli/log_explanation.hpp"

#include <criterion/criterion.h>

#include <sstream>
#include <string>

namespace cli = gooseberryfall::cli;

namespace {

/// Log lines of several instances, with one line that is not a log entry.
const std::string recorded_log =
    R"(edge-1 time=2026-09-28T12:20:10.000000Z level=info event=leadership_begun members="9" targets="12"
edge-1 time=2026-09-28T12:20:30.100000Z level=info event=call_denied call="17" instance="10.2.0.1:7340" reason="overloaded" slots="96" online_running="90" batch_running="6" online_waiting="3" retry_after_ms="410"
edge-2 time=2026-09-28T12:20:30.101000Z level=info event=request_refused id="aa" reason="overloaded" team="huti" call="17" target="" state_version="4" retry_after_ms="410" after_ms="2"
edge-2 time=2026-09-28T12:20:31.000000Z level=info event=request_placed id="bb" target="i-1" basis="leader" call="18" waited_ms="1"
edge-1 time=2026-09-28T12:20:31.500000Z level=info event=target_removed target="i-1"
edge-1 time=2026-09-28T12:20:31.600000Z level=info event=target_removed target="i-2"
edge-2 time=2026-09-28T12:20:31.700000Z level=info event=request_refused id="bb" reason="target_failed" team="huti" call="0" target="i-1" state_version="4" retry_after_ms="none" after_ms="700"
not a log line
edge-2 time=2026-09-28T12:20:31.800000Z level=info event=target_failed id="dd" target="i-1" reason="no first byte" may_have_run="yes" events_passed="none"
edge-2 time=2026-09-28T12:20:31.900000Z level=info event=request_placed id="dd" target="i-4" basis="leader" call="19" waited_ms="520"
edge-2 time=2026-09-28T12:20:31.950000Z level=info event=request_ended id="dd" team="huti" target="i-4" status="200" whole="yes" first_byte_ms="570" total_ms="900"
edge-3 time=2026-09-28T12:20:32.000000Z level=info event=item_sent id="cc" job="j" target="i-3" after_event="none"
edge-3 time=2026-09-28T12:20:33.000000Z level=info event=item_run_ended id="cc" job="j" target="i-3" reason="yielded" last_event="40"
edge-3 time=2026-09-28T12:20:39.000000Z level=info event=item_finished id="cc" job="j" state="complete" position="0" bytes="100"
)";

cli::log_explanation explain_recorded(const std::string& id)
{
    std::istringstream in(recorded_log);
    return cli::explain_id(cli::read_log(in), id);
}

} // namespace

/// Guards against a rejection without its reason, which only the leader's log holds.
Test(log_explanation, a_rejection_includes_the_leaders_entry)
{
    const cli::log_explanation explanation = explain_recorded("aa");
    cr_assert_eq(explanation.entries.size(), 2U);
    cr_assert(explanation.entries.front().event == "call_denied");
    cr_assert(explanation.entries.front().source == "edge-1 ");
    cr_assert(explanation.cause ==
                  "refused: no slot would have been free in time; 90 online and 6 batch "
                  "runs held 96 slots, 3 requests waited",
              "%s", explanation.cause.c_str());
}

/// Guards against a failed request without the removal of its target.
Test(log_explanation, a_failure_includes_events_of_its_target)
{
    const cli::log_explanation explanation = explain_recorded("bb");
    cr_assert_eq(explanation.entries.size(), 3U);
    cr_assert(explanation.entries[1].event == "target_removed");
    cr_assert(explanation.cause.find("failed at target i-1") == 0, "%s", explanation.cause.c_str());
}

/// Guards against a slow response without its queueing time and failed targets.
Test(log_explanation, a_slow_response_shows_wait_and_failed_targets)
{
    const cli::log_explanation explanation = explain_recorded("dd");
    cr_assert(explanation.cause ==
                  "answered with status 200, first byte after 570 ms, of which 520 ms "
                  "passed before it had its slot at target i-4; 1 target(s) failed "
                  "before",
              "%s", explanation.cause.c_str());
}

/// Guards against an item whose interrupted runs are missing.
Test(log_explanation, an_item_lists_its_runs)
{
    const cli::log_explanation explanation = explain_recorded("cc");
    cr_assert_eq(explanation.entries.size(), 3U);
    cr_assert(explanation.cause == "the item ended as complete; runs: 1 yielded", "%s",
              explanation.cause.c_str());
    cr_assert_eq(explain_recorded("j").entries.size(), 3U);
}

/// Guards against unrelated entries for an id that no line names.
Test(log_explanation, an_unknown_id_has_no_entries)
{
    cr_assert(explain_recorded("zz").entries.empty());
}
