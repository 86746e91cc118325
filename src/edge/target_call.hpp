#pragma once

#include "core/response_completeness.hpp"
#include "edge/edge_context.hpp"
#include "http/http.hpp"

#include <chrono>

namespace gooseberryfall::edge {

// Helpers for the calls to targets of online requests and batch items.

/// Sets the timeouts of a call that has `time_left` until its deadline. Thread-safe.
void set_time_limits(http::client_request& request, const target_timeouts& timeouts,
                     std::chrono::milliseconds time_left);

/// Whether the status is that of a success. Thread-safe.
bool is_success(unsigned status);

/// Whether the target has answered this request. If not, what follows the head is of no use, may
/// have no end, and says nothing about the request, which the target may still be working on: its
/// call has to be cancelled. Thread-safe.
bool is_own_response(const target_response_flags& flags, unsigned status);

/// Makes the check of the body that follows the head of a response. Thread-safe.
core::response_completeness make_completeness_check(const http::response_head& head,
                                                    const target_response_flags& flags);

/// Maps the outcome of a failed call to the outcome that is reported for its target. Precondition:
/// `outcome` is not `completed`. Thread-safe.
serving::slot_outcome to_slot_outcome(http::call_outcome outcome);

} // namespace gooseberryfall::edge
