#include "edge/call_verdict.hpp"

namespace gooseberryfall::edge {

bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

call_verdict evaluate_submission(const http::call_result& result, bool may_have_run)
{
    const bool attempt_lost = may_have_run || result.repeated;
    if (result.outcome != http::call_outcome::completed) {
        return result.sent || attempt_lost ? call_verdict::may_have_run : call_verdict::not_run;
    }
    if (!promises_not_run(result.head.status)) {
        return call_verdict::answered;
    }
    if (attempt_lost) {
        return call_verdict::may_have_run;
    }
    return result.head.status == status_misdirected ? call_verdict::not_run
                                                    : call_verdict::answered;
}

} // namespace gooseberryfall::edge
