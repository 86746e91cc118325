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
    /// Partitions of a topic.
    std::uint32_t partitions = 8;
    /// An instance whose last join is older cannot be certain that it still owns its partitions.
    std::chrono::milliseconds certainty{800};
    /// An owner that has not reached the store for this long takes no submissions: it could not
    /// write them.
    std::chrono::milliseconds store_silence{900};
    /// Time for the owner's answer, beyond the time that the caller asked it to wait.
    std::chrono::milliseconds forward_wait{3500};
    /// Time for which a call waits for an owner while its partition changes hands. Takeovers after
    /// a process has ended last some 300 ms.
    std::chrono::milliseconds owner_wait{400};
    /// Calls that wait for an owner at once: bounds memory.
    std::size_t waiting_max = 256;
    partition_settings partition;
};

/// Calls about batch jobs: all jobs of a team are in one partition, whose owner answers and runs
/// them; other instances pass calls on to it. For the loop's thread.
///
/// Load pattern: an owner ends while submissions come at full rate and callers try only twice.
/// Calls wait for its successor for a moment rather than use up their tries.
class job_service {
public:
    job_service(edge_context& context, store& durable, http::client& peers, job_settings settings);
    ~job_service();
    job_service(const job_service&) = delete;
    job_service& operator=(const job_service&) = delete;
    job_service(job_service&&) = delete;
    job_service& operator=(job_service&&) = delete;

    /// Takes part in sharing the partitions from now on.
    void participate() { group_.participate(); }

    /// Handles a caller's call. `route` is set if it submits a job.
    void handle(const caller_request& request, const serving::route* route,
                const core::team_id& team, std::shared_ptr<http::responder> caller);

    /// Handles a call that another instance has passed on.
    void handle_forwarded(http::request received, const std::shared_ptr<http::responder>& caller);

    /// Time has passed; to be called every 20 ms.
    void tick(core::time_point now);

    /// Sets the time for which the results of a job can be read; see `partition_settings`.
    void set_results_kept(std::chrono::milliseconds kept);

    /// An instance has gone: its partitions are shared out anew.
    void remove_owner(const core::instance_id& instance) { group_.remove(instance); }

    /// Gives all partitions up and calls back.
    void leave(std::function<void()> done);

    /// Partitions that this instance owns.
    std::vector<serving::owned_partition> owned() const;

    /// When a join of the group was sent that succeeded; unset if none has.
    std::optional<core::time_point> joined_at() const { return group_.joined_at(); }

    /// Items that run here.
    std::size_t running() const;

private:
    /// A call on its way to the partition's owner.
    struct routed_call {
        caller_request request;
        job_call call;
        /// Route of a submission; empty for other calls.
        std::string route;
        core::team_id team;
        std::uint32_t partition = 0;
        std::shared_ptr<http::responder> caller;
        /// Until when it waits for an owner.
        core::time_point until;
        /// An owner that could not be reached: it is not tried again with the same epoch.
        std::optional<serving::partition_owner> unreachable;
        /// It came from another instance and is not passed on again.
        bool forwarded = false;
    };

    std::uint32_t partition_of(const core::team_id& team) const;
    topic_partition place_of(std::uint32_t partition) const;
    std::optional<std::uint32_t> number_of(const topic_partition& place) const;
    bool on_view(const group_assignment& view, bool continuous,
                 const std::function<void()>& released);
    void take_over(std::uint32_t partition, std::uint64_t epoch);
    void drop(std::uint32_t partition, const char* reason);
    bool is_superseded(std::uint32_t number, const job_partition& partition) const;
    void drop_superseded();
    void start_call(const caller_request& request, bool submits, const std::string& route,
                    const core::team_id& team, bool forwarded,
                    std::shared_ptr<http::responder> caller);
    /// Hands a call to its partition's owner; false if there is none for now.
    bool route_call(const std::shared_ptr<routed_call>& call);
    void retry_waiting(core::time_point now);
    void handle_here(job_partition& partition, const routed_call& call);
    void forward(const serving::partition_owner& owner, const std::shared_ptr<routed_call>& call);
    void on_forwarded(const serving::partition_owner& owner,
                      const std::shared_ptr<routed_call>& call, const http::call_result& result);
    bool store_is_silent(core::time_point now) const;
    void refuse(const routed_call& call, const std::string& reason,
                std::chrono::milliseconds retry_after);
    void answer(const std::shared_ptr<http::responder>& caller, const job_answer& answer,
                std::chrono::milliseconds retry_after);

    edge_context& context_;
    store& store_;
    http::client& peers_;
    job_settings settings_;
    job_group group_;
    std::map<std::uint32_t, std::unique_ptr<job_partition>> partitions_;
    std::list<std::shared_ptr<routed_call>> waiting_;
    bool leaving_ = false;
    kernel::gauge& partitions_gauge_;
    kernel::gauge& running_gauge_;
    kernel::counter& forwarded_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
