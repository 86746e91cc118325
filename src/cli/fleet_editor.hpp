#pragma once

#include "cli/api_client.hpp"
#include "cli/failure.hpp"
#include "cli/options.hpp"

#include "core/actions.hpp"
#include "core/events.hpp"
#include "core/fleet.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Fleet in force, as one instance knew it.
struct fleet_reading {
    /// As received.
    std::string body;
    core::fleet state;
    /// State of the instance just before.
    core::status_view seen;
};

/// Reads and changes the fleet in force. Not thread-safe.
class fleet_editor {
public:
    /// Precondition: `client` outlives the editor.
    fleet_editor(api_client& client, const options& settings);

    /// Reads the fleet in force.
    result<fleet_reading> read();

    /// Reads the last changes, oldest first.
    result<std::vector<core::audit_entry>> audit();

    /// Sends one change that is based on `base`. If the answer is lost, finds out from the audit
    /// trail whether the change was recorded.
    result<core::apply_reply> apply(const fleet_reading& base,
                                    const core::fleet_difference& change);

    /// Waits until every member has applied the version, at most the time limit of the settings.
    result<core::apply_reply> wait_everywhere(core::config_version version);

private:
    /// A change that was sent, and what it is recognised by in the audit trail.
    struct sent_change {
        core::operator_apply request;
        /// Records below this offset were there before.
        core::log_offset sent_after = 0;
        /// Fleet with the change.
        core::fleet expected;
    };

    result<core::operator_apply> make_request(const fleet_reading& base,
                                              const core::fleet_difference& change) const;
    result<core::apply_reply> find_in_audit(const sent_change& sent, const failure& loss);
    /// What the audit trail says; nothing if neither the change nor one that excludes it is there.
    std::optional<result<core::apply_reply>>
    judge_audit(const sent_change& sent, const std::vector<core::audit_entry>& trail);
    /// Whether the recorded change has the content of the one sent.
    bool same_content(const sent_change& sent, core::config_version version);
    result<core::apply_reply> recorded(core::config_version version);
    failure refused(core::config_version base, const core::apply_reply& reply);

    api_client& client_;
    options settings_;
};

/// How many members have applied the version. Thread-safe.
core::apply_reply count_applied(const core::status_view& status, core::config_version version);

} // namespace gooseberryfall::cli
