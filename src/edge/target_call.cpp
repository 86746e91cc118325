#include "edge/target_call.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::edge {

void set_time_limits(http::client_request& request, const target_timeouts& timeouts,
                     std::chrono::milliseconds time_left)
{
    request.timeouts.connect = std::min(timeouts.connect, time_left);
    request.timeouts.write = timeouts.write;
    request.timeouts.first_byte = time_left;
    request.timeouts.between_bytes = time_left;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

bool is_own_response(const target_response_flags& flags, unsigned status)
{
    return flags.matches_request && (!is_success(status) || flags.signed_by_target);
}

core::response_completeness make_completeness_check(const http::response_head& head,
                                                    const target_response_flags& flags)
{
    return core::response_completeness({.status = head.status,
                                        .is_event_stream = flags.is_event_stream,
                                        .ends_with_connection = head.ends_with_connection});
}

serving::slot_outcome to_slot_outcome(http::call_outcome outcome)
{
    assert(outcome != http::call_outcome::completed);
    switch (outcome) {
    case http::call_outcome::not_sent:
        return serving::slot_outcome::unreachable;
    case http::call_outcome::timed_out:
        return serving::slot_outcome::silent;
    default:
        return serving::slot_outcome::broken;
    }
}

} // namespace gooseberryfall::edge
