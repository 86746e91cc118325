#include "edge/call_verdict.hpp"

#include <criterion/criterion.h>

namespace edge = gooseberryfall::edge;
namespace http = gooseberryfall::http;
using edge::call_verdict;
using edge::evaluate_submission;

namespace {

http::call_result response(unsigned status, bool repeated)
{
    http::call_result result;
    result.outcome = http::call_outcome::completed;
    result.sent = true;
    result.repeated = repeated;
    result.head.status = status;
    return result;
}

http::call_result failure(http::call_outcome outcome, bool sent)
{
    http::call_result result;
    result.outcome = outcome;
    result.sent = sent;
    return result;
}

} // namespace

// Guards against a job that runs although its caller was told that it doesn't: its owner accepted
// it, the connection was lost, and the owner rejected the same submission on the next connection.
Test(call_verdict, rejection_after_a_lost_connection_promises_nothing)
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        cr_assert(evaluate_submission(response(status, true), false) == call_verdict::may_have_run,
                  "status %u on a second connection", status);
        cr_assert(evaluate_submission(response(status, false), true) == call_verdict::may_have_run,
                  "status %u after an owner that didn't answer", status);
    }
    cr_assert(evaluate_submission(failure(http::call_outcome::not_sent, false), true) ==
              call_verdict::may_have_run);
    cr_assert(evaluate_submission(failure(http::call_outcome::connection_lost, true), false) ==
              call_verdict::may_have_run);
}

// Guards against callers that are left in doubt although the owner's response is certain.
Test(call_verdict, certain_responses_are_passed_on)
{
    for (const unsigned status : {202U, 400U, 504U}) {
        cr_assert(evaluate_submission(response(status, true), false) == call_verdict::answered);
        cr_assert(evaluate_submission(response(status, false), true) == call_verdict::answered);
    }
    cr_assert(evaluate_submission(response(503, false), false) == call_verdict::answered);
    cr_assert(evaluate_submission(response(429, false), false) == call_verdict::answered);
    cr_assert(evaluate_submission(response(edge::status_misdirected, false), false) ==
              call_verdict::not_run);
    cr_assert(evaluate_submission(failure(http::call_outcome::not_sent, false), false) ==
              call_verdict::not_run);
}
