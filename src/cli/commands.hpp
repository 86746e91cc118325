#pragma once

#include "cli/api_client.hpp"
#include "cli/command_line.hpp"
#include "cli/failure.hpp"
#include "cli/fleet_editor.hpp"

#include <iosfwd>
#include <string>

namespace gooseberryfall::cli {

/// Carries out the commands that talk to an instance. Not thread-safe.
class commands {
public:
    /// Precondition: the command is a remote one; the streams outlive this.
    commands(const invocation& call, std::ostream& out, std::ostream& notes);

    /// Carries out the command.
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

    bool json() const { return call_.settings.output == output_format::json; }
    /// Argument of the command, with a check that it is fit for a path.
    result<std::string> job_path() const;
    result<core::job_status> read_job(const std::string& path, std::string& body);
    /// Finds out whether a job whose cancelling got no answer is cancelled.
    result<void> confirm_cancel(const std::string& path, const failure& loss);
    result<void> confirm_drain(const failure& loss);
    void print_job(const core::job_status& job, const std::string& body);
    /// Applies what `edit` makes of the fleet in force; tries again after another's change.
    template <class Edit>
    result<core::apply_reply> apply_edit(Edit edit);
    /// Version that removed a key earlier, or why there is none.
    result<core::config_version> earlier_removal(const core::fleet& state, const std::string& name);
    void print_key(const std::string& key, const core::apply_reply& reply);

    const invocation& call_;
    std::ostream& out_;
    std::ostream& notes_;
    api_client client_;
    fleet_editor editor_;
};

} // namespace gooseberryfall::cli
