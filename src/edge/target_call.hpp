#pragma once

#include "edge/edge_context.hpp"
#include "http/http.hpp"

#include <chrono>

namespace gooseberryfall::edge {

// Helpers for the calls to targets of online requests and batch items.

/// Sets the timeouts of a call that has `time_left` until its deadline. Thread-safe.
void set_time_limits(http::client_request& request, const target_timeouts& timeouts,
                     std::chrono::milliseconds time_left);

/// Maps the outcome of a failed call to the outcome that is reported for its target. Precondition:
/// `outcome` is not `completed`. Thread-safe.
serving::slot_outcome to_slot_outcome(http::call_outcome outcome);

} // namespace gooseberryfall::edge
