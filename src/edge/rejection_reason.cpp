#include "edge/protocol.hpp"
#include "edge/store.hpp"

namespace gooseberryfall::edge {

const char* to_text(rejection_reason reason)
{
    switch (reason) {
    case rejection_reason::no_state:
        return "no_state";
    case rejection_reason::leaving:
        return "leaving";
    case rejection_reason::unknown_route:
        return "unknown_route";
    case rejection_reason::unknown_key:
        return "unknown_key";
    case rejection_reason::over_limit:
        return "over_limit";
    case rejection_reason::overloaded:
        return "overloaded";
    case rejection_reason::no_target:
        return "no_target";
    case rejection_reason::crashes_targets:
        return "crashes_targets";
    case rejection_reason::target_failed:
        return "target_failed";
    case rejection_reason::timed_out:
        return "timed_out";
    case rejection_reason::invalid:
        return "invalid";
    }
    return "unknown";
}

bool guarantees_not_run(rejection_reason reason)
{
    return reason != rejection_reason::target_failed && reason != rejection_reason::timed_out;
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
