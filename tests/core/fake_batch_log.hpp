#pragma once

#include "core/batch_partition.hpp"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberryfall::fake {

/// A batch stream in memory, and the writers that are not holders.
class batch_log {
public:
    /// Appends a group and numbers its records.
    core::log_offset append(std::vector<core::batch_record> records)
    {
        for (core::batch_record& record : records) {
            record.sequence = ++sequences_[record.writer];
        }
        return append_numbered(std::move(records));
    }

    /// Appends a group as it is, for groups that are appended twice.
    core::log_offset append_numbered(std::vector<core::batch_record> records)
    {
        const core::log_offset offset = groups.size();
        groups.push_back({offset, now, std::move(records)});
        return offset;
    }

    /// Appends a whole submission with `per_chunk` items in each group.
    void submit(const core::job_id& job, const std::string& team,
                const std::vector<std::string>& items, core::job_options options = {},
                std::size_t per_chunk = 3)
    {
        const std::string upload = "upload-" + std::to_string(++uploads_);
        core::upload_chunk chunk{upload, 0, {}};
        for (std::uint32_t index = 0; index < items.size(); ++index) {
            chunk.items.push_back(items[index]);
            if (chunk.items.size() == per_chunk || index + 1 == items.size()) {
                append({{accepting, 0, chunk}});
                chunk = {upload, index + 1, {}};
            }
        }
        core::job_open open;
        open.job = job;
        open.team = core::team_id(team);
        open.service = core::service_id("captions");
        open.upload = upload;
        open.item_count = static_cast<std::uint32_t>(items.size());
        open.content[0] = static_cast<std::uint8_t>(items.size());
        open.options = options;
        append({{accepting, 0, std::move(open)}});
    }

    void cancel(const core::job_id& job) { append({{accepting, 0, core::job_cancel{job}}}); }

    /// What a reader gets that has applied everything below `from`.
    core::batch_read read(core::log_offset from) const
    {
        core::batch_read result;
        result.head = groups.size();
        result.earliest = earliest;
        const core::log_offset first = std::max(from, earliest);
        result.groups.assign(groups.begin() + static_cast<std::ptrdiff_t>(first), groups.end());
        return result;
    }

    /// Drops what is older than the retention.
    void truncate(std::chrono::milliseconds retention)
    {
        while (earliest < groups.size() && groups[earliest].appended_at + retention < now) {
            ++earliest;
        }
    }

    /// Body at a position, which must still be in the log.
    std::string body(const core::body_position& position) const
    {
        const auto& body =
            groups.at(position.position.offset).records.at(position.position.record).body;
        if (const auto* chunk = std::get_if<core::upload_chunk>(&body)) {
            return chunk->items.at(position.index);
        }
        if (const auto* items = std::get_if<core::carried_items>(&body)) {
            return items->items.at(position.index).body;
        }
        if (const auto* results = std::get_if<core::carried_results>(&body)) {
            return results->items.at(position.index).body;
        }
        return std::get<core::item_result>(body).body;
    }

    core::wall_time now = core::wall_time(std::chrono::hours(24));
    core::log_offset earliest = 0;
    std::vector<core::batch_group> groups;
    core::incarnation_id accepting{core::instance_id("accepting"), 1};

private:
    std::map<core::incarnation_id, std::uint64_t> sequences_;
    std::uint64_t uploads_ = 0;
};

/// Settings with short times, so that tests need few records.
inline core::batch_settings short_settings(const std::string& name = "holder")
{
    core::batch_settings settings;
    settings.self = {core::instance_id(name), 1};
    settings.result_retention = std::chrono::hours(8);
    settings.log_retention = std::chrono::hours(40);
    return settings;
}

inline bool any(const core::runnable_item&)
{
    return true;
}

/// Reads all that is new.
inline void sync(core::batch_partition& partition, const batch_log& log)
{
    partition.apply(log.read(partition.next_offset()));
}

/// Appends and reads back all that the partition wants written, and carries data forward.
inline void settle(core::batch_partition& partition, batch_log& log)
{
    bool busy = true;
    while (busy) {
        sync(partition, log);
        for (const core::body_position& position : partition.plan_carry(log.now)) {
            partition.provide_body(position, log.body(position));
        }
        auto records = partition.take_records(log.now);
        busy = !records.empty();
        if (busy) {
            log.append(std::move(records));
            partition.append_acknowledged();
        }
    }
}

/// A partition that holds the stream under an epoch.
inline core::batch_partition make_holder(batch_log& log, core::lease_epoch epoch,
                                         const core::batch_settings& settings = short_settings())
{
    core::batch_partition partition(settings);
    sync(partition, log);
    partition.begin(epoch);
    settle(partition, log);
    return partition;
}

/// Replay of what a reader gets that starts at an offset, truncated or not.
inline core::batch_partition replay_from(const batch_log& log, core::log_offset from)
{
    core::batch_partition partition(short_settings());
    core::batch_read read;
    read.head = log.groups.size();
    read.earliest = from;
    read.groups.assign(log.groups.begin() + static_cast<std::ptrdiff_t>(from), log.groups.end());
    partition.apply(read);
    return partition;
}

} // namespace gooseberryfall::fake
