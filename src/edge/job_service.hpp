#pragma once

#include "edge/edge_context.hpp"
#include "edge/job_group.hpp"
#include "edge/job_partition.hpp"
#include "edge/store.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Settings of `job_service`.
struct job_settings {
    job_group_settings group;
    /// Partitions of each topic.
    std::uint32_t partitions = 8;
    /// An instance whose last successful join is older can't be certain that it still owns its
    /// partitions.
    std::chrono::milliseconds ownership_validity{800};
    /// An owner that hasn't reached the store for this long rejects submissions, since it couldn't
    /// write them.
    std::chrono::milliseconds store_silence_max{900};
    /// Time for the owner's response, in addition to the time that the caller asked it to wait.
    std::chrono::milliseconds forward_timeout{3500};
    /// Time for which a call waits while its partition has no owner. A takeover after a process has
    /// exited takes about 300 ms.
    std::chrono::milliseconds owner_wait{400};
    /// Maximum number of calls that wait for an owner at the same time; bounds memory.
    std::size_t waiting_calls_max = 256;
    partition_settings partition;
};

/// Serves calls about batch jobs. All jobs of a team are in one partition, whose owner serves the
/// calls and runs the jobs; other instances forward calls to it. To be used on the event loop's
/// thread only.
///
/// When an owner exits under full load, submissions keep arriving, and callers try only twice.
/// Calls therefore wait up to `job_settings::owner_wait` for the next owner instead of failing at
/// once.
class job_service {
public:
    job_service(edge_context& context, store& durable_store, http::client& peers,
                job_settings settings);
    ~job_service();
    job_service(const job_service&) = delete;
    job_service& operator=(const job_service&) = delete;
    job_service(job_service&&) = delete;
    job_service& operator=(job_service&&) = delete;

    /// Starts to take part in the assignment of partitions.
    void start_joining() { group_.start_joining(); }

    /// Releases all partitions and leaves the group until `start_joining` is called again.
    void stop_joining();

    /// Whether this instance takes part in the assignment of partitions.
    bool joining() const { return group_.joining() && !leaving_; }

    /// Handles a caller's call. `route` is set if the call submits a job, else null.
    void handle(const caller_request& request, const serving::route* route,
                const core::team_id& team, std::shared_ptr<http::responder> caller);

    /// Handles a call that another instance has forwarded.
    void handle_forwarded(http::request received, const std::shared_ptr<http::responder>& caller);

    /// Processes timeouts and starts items. To be called about every 20 ms.
    void tick(core::time_point now);

    /// Sets `partition_settings::results_retention` for all partitions.
    void set_results_retention(std::chrono::milliseconds retention);

    /// Another desired state is in force.
    void on_state_changed();

    /// Removes an instance that has exited, so that its partitions are reassigned.
    void remove_instance(const core::instance_id& instance) { group_.remove_member(instance); }

    /// This instance exits at `exit_at`. Calls that are forwarded get their response before that.
    void set_exit_time(core::time_point exit_at) { exit_at_ = exit_at; }

    /// Releases all partitions, leaves the group and calls `done`.
    void leave(std::function<void()> done);

    /// Partitions that this instance owns and has loaded.
    std::vector<serving::owned_partition> owned_partitions() const;

    /// When the last successful join of the group was sent; unset if none has succeeded.
    std::optional<core::time_point> last_join_sent_at() const { return group_.last_join_sent_at(); }

    /// Number of items that run or wait for a slot on this instance.
    std::size_t running() const;

private:
    /// A call that is being routed to its partition's owner.
    struct routed_call {
        caller_request request;
        job_call call;
        /// Route of a submission; empty for other calls.
        std::string route;
        core::team_id team;
        std::uint32_t partition = 0;
        std::shared_ptr<http::responder> caller;
        /// When the call stops waiting for an owner.
        core::time_point owner_wait_until;
        /// Owner that couldn't be reached; it isn't tried again with the same epoch.
        std::optional<serving::partition_owner> unreachable;
        /// Forwarded by another instance; it isn't forwarded again.
        bool forwarded = false;
        /// A submission that an owner may have accepted although no response says so. It isn't
        /// rejected as not run any more.
        bool may_have_run = false;
    };

    std::uint32_t partition_of(const core::team_id& team) const;
    topic_partition log_partition_of(std::uint32_t partition) const;
    std::optional<std::uint32_t> partition_number(const topic_partition& log_partition) const;
    bool on_assignment(const group_assignment& assignment, bool continuous,
                       const std::function<void()>& released);
    /// `fenced_sequence`: as in `job_partition::start`.
    void take_over(std::uint32_t partition, std::uint64_t epoch,
                   std::optional<std::uint64_t> fenced_sequence = {});
    void on_partition_lost(std::uint32_t partition, std::uint64_t first_epoch);
    /// `event` is the name of the log event.
    void remove_partition(std::uint32_t partition, const char* event);
    bool is_superseded(std::uint32_t number, const job_partition& partition) const;
    void remove_superseded();
    void start_call(const caller_request& request, bool is_submission, const std::string& route,
                    const core::team_id& team, bool forwarded,
                    std::shared_ptr<http::responder> caller);
    /// Passes a call to its partition's owner; false if there is no usable owner at present.
    bool route_call(const std::shared_ptr<routed_call>& call);
    void retry_waiting_calls(core::time_point now);
    void handle_locally(job_partition& partition, const routed_call& call);
    void forward(const serving::partition_owner& owner, const std::shared_ptr<routed_call>& call);
    void on_forwarded(const serving::partition_owner& owner,
                      const std::shared_ptr<routed_call>& call, const http::call_result& result);
    bool store_unreachable(core::time_point now) const;
    /// Whether this instance has certainly been in the group a moment ago.
    bool is_membership_confirmed(core::time_point now) const;
    /// Time limit of a forwarded call.
    std::chrono::milliseconds owner_response_timeout() const;
    /// Answers that the call can't be served and had no effect, unless it may have run.
    void reject(const routed_call& call, const std::string& reason,
                std::chrono::milliseconds retry_after);
    void answer_uncertain(const routed_call& call, const std::string& reason);
    void respond(const std::shared_ptr<http::responder>& caller, const job_response& response,
                 std::chrono::milliseconds retry_after);

    edge_context& context_;
    store& store_;
    http::client& peers_;
    job_settings settings_;
    job_group group_;
    std::map<std::uint32_t, std::unique_ptr<job_partition>> partitions_;
    std::list<std::shared_ptr<routed_call>> waiting_calls_;
    bool leaving_ = false;
    std::optional<core::time_point> exit_at_;
    kernel::gauge& partitions_gauge_;
    kernel::gauge& running_gauge_;
    kernel::counter& forwarded_;
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
