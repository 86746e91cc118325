#pragma once

#include "edge/edge_context.hpp"
#include "http/http.hpp"

#include <chrono>

namespace gooseberryfall::edge {

// What requests and batch items have in common in their calls to targets.

/// Sets the time limits of a call that may last for `left`. Thread-safe.
void set_time_limits(http::client_request& request, const target_timeouts& timeouts,
                     std::chrono::milliseconds left);

/// What a call that has not completed shows of its target. Precondition: it has not completed.
/// Thread-safe.
serving::slot_outcome failure_of(http::call_outcome outcome);

} // namespace gooseberryfall::edge
