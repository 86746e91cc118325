#pragma once

#include "http/http.hpp"

#include <string>

namespace gooseberryfall::targets {

/// A caller's request as it goes to a target: without credentials, headers of the connection and
/// the caller's key, wherever in headers or query it stands. Address, timeouts and request id are
/// not set. Thread-safe.
http::client_request forwarded_request(const http::request& received);

/// Headers of a target's answer as they go to the caller, with `Run-Verdict` and `Request-Id`.
/// Thread-safe.
http::header_fields forwarded_headers(const http::response_head& head,
                                      const std::string& request_id);

} // namespace gooseberryfall::targets
