#pragma once

#include "core/actions.hpp"
#include "core/messages.hpp"
#include "core/records.hpp"

#include <string>
#include <vector>

namespace gooseberryfall::cli {

// Text output of the commands. Every function returns whole lines and is thread-safe.

/// State of an instance with tables of its members and targets.
std::string status_text(const core::status_view& status);

/// Table of changes.
std::string audit_text(const std::vector<core::audit_entry>& trail);

/// One change in a sentence, without a line end.
std::string audit_line(const core::audit_entry& entry);

/// Table of jobs.
std::string jobs_text(const std::vector<core::job_status>& jobs);

/// One job, one line for each field.
std::string job_text(const core::job_status& job);

/// On how many instances a version is in force.
std::string applied_text(const core::apply_reply& reply);

} // namespace gooseberryfall::cli
