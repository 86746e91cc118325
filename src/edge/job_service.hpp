#pragma once

#include "edge/edge_context.hpp"
#include "edge/job_partition.hpp"
#include "edge/store.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Settings of `job_service`.
struct job_settings {
    /// Topics of jobs, each with the store's number of partitions. More topics spread the jobs over
    /// more instances.
    std::uint32_t topics = 4;
    /// Partitions of a topic.
    std::uint32_t partitions = 8;
    /// Time after which the partitions of an instance that does not join again go to others.
    std::chrono::milliseconds membership{1800};
    /// Between two joins.
    std::chrono::milliseconds join_interval{500};
    /// An instance whose last join is older cannot be certain that it still owns its partitions.
    std::chrono::milliseconds certainty{800};
    /// Time for the owner's answer, beyond the time that the caller asked it to wait.
    std::chrono::milliseconds forward_wait{3500};
    partition_settings partition;
};

/// Calls about batch jobs: all jobs of a team are in one partition, whose owner answers and runs
/// them; other instances pass calls on to it. For the loop's thread.
class job_service {
public:
    job_service(edge_context& context, store& durable, http::client& peers, job_settings settings,
                std::string member_name);
    ~job_service();
    job_service(const job_service&) = delete;
    job_service& operator=(const job_service&) = delete;
    job_service(job_service&&) = delete;
    job_service& operator=(job_service&&) = delete;

    /// Takes part in sharing the partitions from now on.
    void participate();

    /// Handles a caller's call. `route` is set if it submits a job.
    void handle(const caller_request& request, const serving::route* route,
                const core::team_id& team, std::shared_ptr<http::responder> caller);

    /// Handles a call that another instance has passed on.
    void handle_forwarded(http::request received, const std::shared_ptr<http::responder>& caller);

    /// Time has passed; to be called every 20 ms.
    void tick(core::time_point now);

    /// Gives all partitions up and calls back.
    void leave(std::function<void()> done);

    /// Partitions that this instance owns.
    std::vector<serving::owned_partition> owned() const;

    /// Items that run here.
    std::size_t running() const;

private:
    std::uint32_t partition_of(const core::team_id& team) const;
    log_place place_of(std::uint32_t partition) const;
    std::uint32_t number_of(const log_place& place) const;
    void join();
    void on_view(const group_view& view);
    bool is_superseded(std::uint32_t number, const job_partition& partition) const;
    void drop_superseded();
    void handle_here(std::uint32_t partition, const core::team_id& team, const job_call& call,
                     const std::shared_ptr<http::responder>& caller);
    void forward(const core::instance_id& owner, const caller_request& request,
                 const serving::route* route, const core::team_id& team,
                 std::shared_ptr<http::responder> caller);
    void answer(const std::shared_ptr<http::responder>& caller, const job_answer& answer,
                std::chrono::milliseconds retry_after);

    edge_context& context_;
    store& store_;
    http::client& peers_;
    job_settings settings_;
    std::string member_name_;
    std::vector<std::string> topics_;
    std::map<std::uint32_t, std::unique_ptr<job_partition>> partitions_;
    std::uint64_t generation_ = 0;
    bool participates_ = false;
    bool leaving_ = false;
    bool joining_ = false;
    core::time_point join_sent_at_{};
    core::time_point joined_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    kernel::gauge& partitions_gauge_;
    kernel::gauge& running_gauge_;
    kernel::counter& forwarded_;
};

} // namespace gooseberryfall::edge
