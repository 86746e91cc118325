#pragma once

#include "cli/api_client.hpp"
#include "cli/command_settings.hpp"
#include "cli/failure.hpp"

#include "core/actions.hpp"
#include "core/events.hpp"
#include "core/fleet.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::cli {

/// Fleet in force, as read from one instance.
struct fleet_snapshot {
    /// As received.
    std::string body;
    core::fleet state;
    /// State that the instance reported just before.
    core::status_view status_before;
};

/// Reads and changes the fleet in force. Not thread-safe.
class fleet_editor {
public:
    /// Precondition: `client` outlives the editor.
    fleet_editor(api_client& client, const command_settings& settings);

    /// Reads the fleet in force.
    result<fleet_snapshot> read();

    /// Reads the audit trail: the latest changes, oldest first.
    result<std::vector<core::audit_entry>> audit();

    /// Sends one change that is based on `base`. If the response is lost, determines from the audit
    /// trail whether the change was recorded.
    result<core::apply_reply> apply(const fleet_snapshot& base,
                                    const core::fleet_difference& change);

    /// Waits until every member has applied the version, for at most the timeout of the settings.
    result<core::apply_reply> wait_until_applied(core::config_version version);

private:
    /// A change that was sent, with what identifies it in the audit trail.
    struct sent_change {
        core::operator_apply request;
        /// Audit entries below this offset are older than the request.
        core::log_offset offset_min = 0;
        /// Fleet that results from the change.
        core::fleet expected_fleet;

        /// Whether the entry is of this change or of one that competed with it.
        bool shares_base_with(const core::audit_entry& entry) const
        {
            return entry.base == request.base && entry.offset >= offset_min;
        }
    };

    result<core::operator_apply> make_request(const fleet_snapshot& base,
                                              const core::fleet_difference& change) const;
    /// Polls the audit trail for the outcome of a change whose response was lost or could not be
    /// decoded.
    result<core::apply_reply> resolve_outcome(const sent_change& sent,
                                              const failure& response_failure);
    /// Outcome according to the audit trail. Nothing if the trail does not hold the change.
    std::optional<result<core::apply_reply>>
    find_outcome(const sent_change& sent, const std::vector<core::audit_entry>& trail);
    /// Whether a change based on the same version has been accepted, which rules out another one
    /// that was sent.
    static bool is_superseded(const sent_change& sent, const std::vector<core::audit_entry>& trail);
    /// Whether the recorded change has the content of the one sent. Also true if this cannot be
    /// compared, because the fleet cannot be read or has another version by now.
    bool has_same_content(const sent_change& sent, core::config_version version);
    result<core::apply_reply> make_recorded_reply(core::config_version version);
    failure make_rejection(core::config_version base, const core::apply_reply& reply);

    api_client& client_;
    command_settings settings_;
};

/// Counts the members that have applied the version. Thread-safe.
core::apply_reply count_applied(const core::status_view& status, core::config_version version);

} // namespace gooseberryfall::cli
