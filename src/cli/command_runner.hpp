#pragma once

#include "cli/api_client.hpp"
#include "cli/command_line.hpp"
#include "cli/failure.hpp"
#include "cli/fleet_editor.hpp"

#include <iosfwd>
#include <string>

namespace gooseberryfall::cli {

/// Runs a command that calls an instance. Not thread-safe.
class command_runner {
public:
    /// Preconditions: the command is remote; `command_line` and the streams outlive this object.
    /// Results go to `out`, remarks for the operator to `notes`.
    command_runner(const invocation& command_line, std::ostream& out, std::ostream& notes);

    /// Runs the command.
    result<void> run();

private:
    result<void> diff();
    result<void> apply();
    result<void> fleet();
    result<void> status();
    result<void> audit();
    result<void> job_list();
    result<void> job_show();
    result<void> job_cancel();
    result<void> key_issue();
    result<void> key_withdraw();
    result<void> drain();

    /// The fleet in force, and what the fleet file of the argument changes in it.
    struct file_comparison {
        fleet_snapshot snapshot;
        core::fleet_difference change;
    };
    result<file_comparison> compare_with_file();

    bool json_output() const { return command_line_.settings.output == output_format::json; }
    /// Path of the job that the argument names; fails if the argument is not a valid job id.
    result<std::string> job_path() const;
    result<core::job_status> read_job(const std::string& path, std::string& body);
    /// Polls until the job is cancelled or has ended, after the response to the cancellation was
    /// lost or could not be decoded.
    result<void> confirm_cancel(const std::string& path, const failure& response_failure);
    /// Checks whether the instance is leaving, after the response to the drain request was lost.
    result<void> confirm_drain(const failure& response_failure);
    void print_job(const core::job_status& job, const std::string& body);
    /// Applies the difference that `edit` returns for the fleet in force. Retries after a
    /// conflicting change by somebody else.
    template <class Edit>
    result<core::apply_reply> apply_edit(Edit edit);
    /// Latest version that removed the key; fails if the audit trail has no such removal.
    result<core::config_version> find_earlier_removal(const core::fleet& state,
                                                      const std::string& name);
    void print_key(const std::string& key, const core::apply_reply& reply);

    const invocation& command_line_;
    std::ostream& out_;
    std::ostream& notes_;
    api_client client_;
    fleet_editor editor_;
};

} // namespace gooseberryfall::cli
