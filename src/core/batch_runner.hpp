#pragma once

#include "core/batch_partition.hpp"
#include "core/events.hpp"
#include "core/node_parts.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::core {

/// Runs the items of the batch partitions that this instance holds, within the permits of the
/// targets' governors, and answers queries about their jobs. Not thread-safe.
class batch_runner {
public:
    explicit batch_runner(node_parts& parts);

    /// This instance holds the partition; its stream is read from the start.
    void acquire(std::uint32_t partition, lease_epoch epoch);

    /// This instance must stop work on the partition.
    void drop(std::uint32_t partition);

    /// Groups of a batch stream were read.
    void on_read(const batch_read& read, time_point now);

    /// Whether the append belongs to a partition's records, which are then acknowledged.
    bool on_append(std::uint64_t append);

    /// Whether the dispatch belongs to an item.
    bool owns(dispatch_id id) const { return running_.contains(id); }

    /// A dispatch of an item ended.
    void on_finished(const dispatch_finished& finished, time_point now);

    /// A governor's permit.
    void on_permit(const instance_id& from, const capacity_permit& permit, time_point now);

    /// An instance reports its use of a target that may be governed here.
    void on_report(const instance_id& from, const capacity_report& report, time_point now);

    /// An online request is about to use the target: cancels one stream if no slot is free.
    void make_room(const target_id& id, time_point now);

    /// Asks about a job, from another instance or this one.
    void on_query(const instance_id& from, const job_query& query, time_point now);

    /// Sends reports and permits, starts items, appends records, answers queries.
    void pump(time_point now);

    /// A body that carry-forward needs was read.
    void provide_body(std::uint32_t partition, const body_position& position, std::string body);

    /// Items running.
    std::size_t running() const { return running_.size(); }

    /// Whether the shard is a held partition with items that run, or with results that have not
    /// been read back from the log.
    bool is_busy(const shard_id& shard) const;

    /// Partitions held, for status.
    std::vector<job_status> list_jobs() const;

    /// Called with an answer for this instance itself.
    std::function<void(const job_answer&)> on_local_answer;

private:
    struct held_partition {
        explicit held_partition(const batch_settings& settings) : replay(settings) {}

        batch_partition replay;
        lease_epoch epoch = 0;
        bool begun = false;
        std::optional<std::uint64_t> open_append;
        std::optional<time_point> carry_checked_at;
    };
    struct running_item {
        std::uint32_t partition = 0;
        job_id job;
        std::uint32_t index = 0;
        digest fingerprint{};
        target_id target;
        bool marked = false;
        bool alone = false;
        bool repeatable = true;
        bool cancelling = false;
        time_point started_at;
    };
    /// How an item is started.
    struct item_start {
        bool marked = false;
        bool alone = false;
        time_point at;
    };
    struct permit_state {
        std::uint32_t slots = 0;
        time_point expires_at;
        instance_id governor;
        time_point governor_since;
    };
    struct sent_report {
        capacity_report report;
        instance_id governor;
        std::optional<time_point> at;
    };
    struct waiting_query {
        instance_id from;
        job_query query;
        time_point expires_at;
    };

    std::uint32_t permitted(const target_id& id, time_point now) const;
    void update_governed(time_point now);
    void send_reports(time_point now);
    void send_permits(time_point now);
    void start_items(time_point now);
    bool start_item(const target_id& id, time_point now);
    /// Whether a usable target of the service outside `avoided` runs nothing of this instance, or
    /// did so a short while ago.
    bool lately_idle(const service_id& service, const std::set<target_id>& avoided, time_point now);
    void dispatch_item(std::uint32_t partition, const runnable_item& item, const target& info,
                       const item_start& how);
    void cancel_excess(time_point now);
    void cancel_jobs_stopped();
    void plan_carry(time_point now);
    void append_records();
    void answer_queries(time_point now);
    bool try_answer(const waiting_query& waiting, time_point now);
    void answer(const instance_id& to, const job_answer& reply);
    bool job_running(const job_id& job) const;
    std::uint32_t pending(const service_id& service) const;
    void cancel(dispatch_id id);

    node_parts& parts_;
    std::map<std::uint32_t, std::unique_ptr<held_partition>> partitions_;
    std::map<dispatch_id, running_item> running_;
    std::map<target_id, permit_state> permits_;
    std::map<target_id, sent_report> reports_;
    std::vector<waiting_query> queries_;
    std::uint32_t next_partition_ = 0;
    std::optional<time_point> governed_checked_at_;
    std::set<target_id> governed_;
    /// When a target of the service was last seen idle, or first looked at.
    std::map<service_id, time_point> idle_seen_at_;
};

} // namespace gooseberryfall::core
