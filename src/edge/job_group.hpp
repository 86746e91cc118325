#pragma once

#include "core/types.hpp"
#include "edge/store.hpp"
#include "kernel/kernel.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Settings of `job_group`.
struct job_group_settings {
    /// Number of topics of jobs, each with the store's number of partitions. More topics spread the
    /// jobs over more instances.
    std::uint32_t topics = 4;
    /// Time since the last join of an instance after which its partitions are assigned to others.
    /// Four join intervals, so that up to three lost joins have no effect.
    std::chrono::milliseconds membership_lifetime{1200};
    /// Interval between joins, each of which renews the membership.
    std::chrono::milliseconds join_interval{300};
    /// Interval between joins for `settling_time` after a change of the group, while partitions are
    /// reassigned.
    std::chrono::milliseconds unsettled_join_interval{100};
    /// Time after a change of the group for which `unsettled_join_interval` applies.
    std::chrono::milliseconds settling_time{1500};
    /// Time after the first join for which a new member takes no partitions while each join shows
    /// another generation of the group. When all instances start at once, the store deals the
    /// partitions anew with every join, and each take-over reads the whole partition.
    std::chrono::milliseconds formation_time{1200};
    /// Maximum time to wait for the release of partitions before the next join, which gives them up
    /// even if the release isn't complete.
    std::chrono::milliseconds release_timeout{500};
};

/// Membership of this instance in a group of the platform's store. The store assigns the partitions
/// of the batch jobs to the members of the group. A member's name is its address, so that others
/// can remove it once it has exited. To be used on the event loop's thread only.
class job_group {
public:
    /// Called with the assigned partitions after each join. `continuous`: a partition that was
    /// assigned before has certainly had no other owner in between. Returns whether partitions have
    /// to be released; if so, `released` is to be called once they are.
    using assignment_callback = std::function<bool(
        const group_assignment& assignment, bool continuous, std::function<void()> released)>;

    job_group(store& durable_store, kernel::logger& logger, job_group_settings settings,
              core::instance_id self, assignment_callback on_assignment);
    ~job_group();
    job_group(const job_group&) = delete;
    job_group& operator=(const job_group&) = delete;
    job_group(job_group&&) = delete;
    job_group& operator=(job_group&&) = delete;

    /// Starts to join the group.
    void start_joining() { joining_ = true; }

    /// Whether `start_joining` has been called, and `leave` has not completed since.
    bool joining() const { return joining_; }

    /// Joins the group if a join is due. To be called about every 20 ms.
    void tick(core::time_point now);

    /// Removes another member that has exited, so that its partitions are reassigned at once. If it
    /// is still alive, it joins again.
    void remove_member(const core::instance_id& member);

    /// Leaves the group and calls `done`. The group may be joined again afterwards.
    void leave(std::function<void()> done);

    /// When the last successful join was sent; unset if none has succeeded.
    std::optional<core::time_point> last_join_sent_at() const { return last_join_sent_at_; }

    /// Names of the topics of jobs.
    const std::vector<std::string>& topics() const { return topics_; }

private:
    void remove_predecessor();
    void join(core::time_point now);
    void on_joined(const group_assignment& assignment, core::time_point sent_at);
    /// Why another member may have held partitions of this one since the last assignment; null if
    /// none can have.
    const char* find_interruption(std::uint64_t new_generation, core::time_point sent_at) const;
    std::chrono::milliseconds next_join_interval(core::time_point now) const;
    /// Ends the formation of the group once its generation lasts. `changed`: a join has shown
    /// another generation.
    void update_formation(bool changed, core::time_point now);

    store& store_;
    kernel::logger& logger_;
    job_group_settings settings_;
    core::instance_id self_;
    assignment_callback on_assignment_;
    std::vector<std::string> topics_;
    bool joining_ = false;
    bool leaving_ = false;
    /// An earlier process at this address may still be a member until it is removed. The generation
    /// of an assignment is the epoch of the partitions that are taken over with it, and the epochs
    /// of that process must not be reused.
    bool predecessor_removed_ = false;
    bool call_pending_ = false;
    std::uint64_t generation_ = 0;
    /// The response to a join has been lost since the last one that arrived.
    bool missed_assignment_ = false;
    core::time_point group_changed_at_{};
    /// When the first join succeeded.
    std::optional<core::time_point> forming_since_;
    /// Assignments are acted on.
    bool formed_ = false;
    core::time_point last_attempt_at_{};
    /// When the release of partitions started; the next join waits for its end.
    std::optional<core::time_point> releasing_since_;
    std::optional<core::time_point> last_join_sent_at_;
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
