#pragma once

#include "core/types.hpp"

#include <optional>
#include <string>

namespace gooseberryfall::core {

/// Whether a request has run on a target, as far as the instance knows.
enum class run_verdict {
    /// No byte of the request was sent to a target, or the target reported that it did not run it.
    not_run,
    /// The request was sent and it is unknown whether a target ran it.
    may_have_run,
    /// A target answered the request.
    ran,
};

/// Why a request is rejected or abandoned. The text form of each code is part of the callers' API.
enum class refusal_code {
    bad_request,
    body_too_large,
    unknown_route,
    key_missing,
    key_unknown,
    key_withdrawn,
    rate_exceeded,
    limit_unavailable,
    queue_full,
    queue_timeout,
    not_current,
    leaving,
    no_target,
    retry_budget_empty,
    target_failed,
    target_timeout,
    target_refused,
    answer_mismatch,
    crashes_targets,
    overloaded,
    idempotency_conflict,
    job_unknown,
    job_cancelled,
    holder_unavailable,
    log_unavailable,
    internal,
};

/// Final response to a request for which no target's response is returned.
struct refusal {
    refusal_code code = refusal_code::internal;
    /// Human-readable explanation.
    std::string text;
    run_verdict verdict = run_verdict::not_run;
    /// Set if a later retry may succeed.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Text form of a code, for example `rate_exceeded`. Thread-safe.
const char* to_text(refusal_code code);

/// Text form of a verdict: `not_run`, `may_have_run` or `ran`. Thread-safe.
const char* to_text(run_verdict verdict);

/// HTTP status of the response for a code. Thread-safe.
unsigned http_status(refusal_code code);

} // namespace gooseberryfall::core
