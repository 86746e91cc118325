#pragma once

#include "config/problem.hpp"

#include "core/actions.hpp"

#include <boost/json/fwd.hpp>

#include <vector>

namespace gooseberryfall::config {

// JSON encoding of the status, job and audit views that operators request.

/// Status of one job. Thread-safe.
boost::json::value to_json(const core::job_status& job);

/// One entry of the audit log; `at_ms` counts milliseconds since 1970 (Unix time). Thread-safe.
boost::json::value to_json(const core::audit_entry& entry);

/// Status of an instance, with the members and targets that it knows. Thread-safe.
boost::json::value to_json(const core::status_view& status);

/// `{"jobs": [...]}`. Thread-safe.
boost::json::value to_json(const std::vector<core::job_status>& jobs);

/// `{"audit": [...]}`. Thread-safe.
boost::json::value to_json(const std::vector<core::audit_entry>& audit);

/// Decode the documents above. Thread-safe.
checked<core::job_status> job_from_json(const boost::json::value& value);
checked<core::audit_entry> audit_entry_from_json(const boost::json::value& value);
checked<core::status_view> status_from_json(const boost::json::value& value);
checked<std::vector<core::job_status>> jobs_from_json(const boost::json::value& value);
checked<std::vector<core::audit_entry>> audit_from_json(const boost::json::value& value);

} // namespace gooseberryfall::config
