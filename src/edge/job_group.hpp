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
    /// Topics of jobs, each with the store's number of partitions. More topics spread the jobs over
    /// more instances.
    std::uint32_t topics = 4;
    /// Time after which the partitions of an instance that does not join again go to others: four
    /// joins, so that lost ones do no harm.
    std::chrono::milliseconds membership{1200};
    /// Between two joins.
    std::chrono::milliseconds join_interval{300};
    /// Between two joins for `settling` after a change of the group, while partitions change hands.
    std::chrono::milliseconds unsettled_interval{100};
    std::chrono::milliseconds settling{1500};
    /// Time for the release of partitions before the next join gives them up in any case.
    std::chrono::milliseconds release_max{500};
};

/// The instances that share the partitions of the batch jobs, as a group of the platform's store.
/// A member's name is its address, so that others can have it removed once it has ended.
/// For the loop's thread.
class job_group {
public:
    /// Is told the partitions after each join. `continuous`: no earlier answer was missed, so that
    /// a partition that was held before has had no other owner meanwhile. Returns whether
    /// partitions have to be released; then `released` is called when that is done.
    using view_handler = std::function<bool(const group_assignment& view, bool continuous,
                                            std::function<void()> released)>;

    job_group(store& durable, kernel::logger& logger, job_group_settings settings,
              core::instance_id self, view_handler on_view);
    ~job_group();
    job_group(const job_group&) = delete;
    job_group& operator=(const job_group&) = delete;
    job_group(job_group&&) = delete;
    job_group& operator=(job_group&&) = delete;

    /// Takes part from now on.
    void participate() { participates_ = true; }

    /// Joins when it is time to. To be called every 20 ms or so.
    void tick(core::time_point now);

    /// Removes another member that has gone; its partitions go to others at once. If it lives, it
    /// joins again.
    void remove(const core::instance_id& member);

    /// Leaves and calls back.
    void leave(std::function<void()> done);

    /// When the last join was sent that succeeded; unset if none has.
    std::optional<core::time_point> joined_at() const { return joined_at_; }

    const std::vector<std::string>& topics() const { return topics_; }

private:
    void remove_predecessor();
    void join(core::time_point now);
    void on_joined(const group_assignment& view, core::time_point sent);
    std::chrono::milliseconds interval(core::time_point now) const;

    store& store_;
    kernel::logger& logger_;
    job_group_settings settings_;
    core::instance_id self_;
    view_handler on_view_;
    std::vector<std::string> topics_;
    bool participates_ = false;
    bool leaving_ = false;
    /// A process at this address before may still be a member; its epochs must not be used again.
    bool predecessor_removed_ = false;
    bool busy_ = false;
    std::uint64_t generation_ = 0;
    /// The answer to a join was lost since the last one that came.
    bool missed_view_ = false;
    core::time_point changed_at_{};
    core::time_point tried_at_{};
    /// Since when partitions are being released; the next join waits for it.
    std::optional<core::time_point> releasing_since_;
    std::optional<core::time_point> joined_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
