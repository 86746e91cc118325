#pragma once

#include "core/actions.hpp"
#include "core/messages.hpp"
#include "core/records.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::cli {

// Text output of the commands. Unless noted, each function returns complete lines. All are
// thread-safe.

/// State of an instance, with tables of the members and targets that it knows.
std::string format_status(const core::status_view& status);

/// Table of the changes in the audit trail.
std::string format_audit(const std::vector<core::audit_entry>& trail);

/// One change on a single line, without a line end.
std::string format_audit_line(const core::audit_entry& entry);

/// Table of jobs.
std::string format_jobs(const std::vector<core::job_status>& jobs);

/// One job, with one line per field.
std::string format_job(const core::job_status& job);

/// Sentence about the number of instances on which a version is in force.
std::string format_applied(const core::apply_reply& reply);

} // namespace gooseberryfall::cli
