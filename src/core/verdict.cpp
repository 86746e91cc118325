#include "core/verdict.hpp"

#include <array>
#include <cstddef>

namespace gooseberryfall::core {

namespace {

struct code_entry {
    const char* text;
    unsigned status;
};

/// Indexed by `refusal_code`, in declaration order.
constexpr std::array<code_entry, 26> code_table{{
    {"bad_request", 400},     {"body_too_large", 413},     {"unknown_route", 404},
    {"key_missing", 401},     {"key_unknown", 401},        {"key_withdrawn", 401},
    {"rate_exceeded", 429},   {"limit_unavailable", 503},  {"queue_full", 503},
    {"queue_timeout", 503},   {"not_current", 503},        {"leaving", 503},
    {"no_target", 503},       {"retry_budget_empty", 502}, {"target_failed", 502},
    {"target_timeout", 504},  {"target_refused", 503},     {"answer_mismatch", 502},
    {"crashes_targets", 422}, {"overloaded", 503},         {"idempotency_conflict", 409},
    {"job_unknown", 404},     {"job_cancelled", 409},      {"holder_unavailable", 503},
    {"log_unavailable", 503}, {"internal", 500},
}};

static_assert(code_table.size() == static_cast<std::size_t>(refusal_code::internal) + 1);

} // namespace

const char* to_text(refusal_code code)
{
    return code_table.at(static_cast<std::size_t>(code)).text;
}

const char* to_text(run_verdict verdict)
{
    switch (verdict) {
    case run_verdict::not_run:
        return "not_run";
    case run_verdict::may_have_run:
        return "may_have_run";
    case run_verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

unsigned http_status(refusal_code code)
{
    return code_table.at(static_cast<std::size_t>(code)).status;
}

} // namespace gooseberryfall::core
