#pragma once

#include "http/http.hpp"

namespace gooseberryfall::edge {

/// What the result of a call between instances says about the call.
enum class call_verdict {
    /// The response holds for the whole call and can be passed on.
    answered,
    /// The call may have taken effect, and no response says whether it has.
    may_have_run,
    /// The call has had no effect and can be sent to another instance.
    not_run,
};

/// Status with which an instance answers a forwarded call whose partition it doesn't own.
constexpr unsigned status_misdirected = 421;

/// Whether callers read the status as a promise that the request hasn't run and never will.
/// Thread-safe.
bool promises_not_run(unsigned status);

/// Evaluates the result of a forwarded submission. `may_have_run`: an earlier attempt may have been
/// accepted. A response that promises that the submission hasn't run speaks only for the attempt
/// that it answers, so that it isn't passed on if an attempt before it was lost. Thread-safe.
call_verdict evaluate_submission(const http::call_result& result, bool may_have_run);

} // namespace gooseberryfall::edge
