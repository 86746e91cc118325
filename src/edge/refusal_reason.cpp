#include "edge/protocol.hpp"
#include "edge/store.hpp"

namespace gooseberryfall::edge {

const char* to_text(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_state:
        return "no_state";
    case refusal_reason::leaving:
        return "leaving";
    case refusal_reason::unknown_route:
        return "unknown_route";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::over_limit:
        return "over_limit";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::crashes_targets:
        return "crashes_targets";
    case refusal_reason::target_failed:
        return "target_failed";
    case refusal_reason::timed_out:
        return "timed_out";
    case refusal_reason::invalid:
        return "invalid";
    }
    return "unknown";
}

bool is_not_run(refusal_reason reason)
{
    return reason != refusal_reason::target_failed && reason != refusal_reason::timed_out;
}

const char* to_text(store_failure failure)
{
    switch (failure) {
    case store_failure::not_done:
        return "not_done";
    case store_failure::unknown:
        return "unknown";
    case store_failure::fenced:
        return "fenced";
    case store_failure::out_of_sequence:
        return "out_of_sequence";
    case store_failure::expired:
        return "expired";
    case store_failure::rejected:
        return "rejected";
    }
    return "unknown";
}

} // namespace gooseberryfall::edge
