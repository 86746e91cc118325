#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::stand_ins {

/// Contents of the platform's log, as its protocol describes them: partitions with offsets, the
/// latest record of each key, writers with epochs, and groups whose members share the partitions.
/// Not thread-safe.
class log_store_state {
public:
    using clock = std::chrono::steady_clock;
    /// A topic and the number of one of its partitions.
    using topic_partition = std::pair<std::string, std::uint32_t>;

    /// Result of an append.
    struct append_result {
        /// HTTP status.
        unsigned status = 200;
        /// Offset of the first record.
        std::uint64_t offset = 0;
        /// Offset after the last record.
        std::uint64_t end_offset = 0;
        /// Reason of a 409: `fenced` for an epoch that is too old, `seq` for a sequence number that
        /// is not the next one.
        std::string conflict_reason;
    };

    /// A record of `read`.
    struct record {
        std::string content;
    };

    /// The latest record of a key.
    struct latest_record {
        std::string key;
        std::string value;
        std::uint64_t offset = 0;
    };

    /// Gives each topic this number of partitions.
    explicit log_store_state(std::uint32_t partition_count) : partition_count_(partition_count) {}

    /// Appends records, each made of the key's length in one byte, the key and the value; an empty
    /// value deletes the key. With a writer, rejects an older epoch and a gap in the sequence, and
    /// returns the earlier result for a repeated sequence number. Without a writer, appends
    /// unconditionally.
    append_result append(const topic_partition& log_partition,
                         const std::vector<std::string>& new_records, const std::string& writer,
                         std::uint64_t epoch, std::uint64_t sequence);

    /// Records from an offset on; nullopt if the log no longer keeps that offset.
    std::optional<std::vector<record>> read(const topic_partition& log_partition,
                                            std::uint64_t from_offset) const;

    /// Up to `limit` latest records whose keys come after `after_key`, in the order of the keys.
    /// Values beyond `bytes_max` bytes are left out, except for that of the first record.
    std::vector<latest_record> read_latest(const topic_partition& log_partition,
                                           const std::string& after_key, std::size_t limit,
                                           std::size_t bytes_max) const;

    /// Offset of the next record.
    std::uint64_t end_offset(const topic_partition& log_partition) const;

    /// Number of keys in all partitions of the topics whose names contain this text.
    std::size_t key_count(const std::string& topic_substring) const;

    /// Names of the writers that have set an epoch anywhere.
    std::set<std::string> writer_names() const;

    /// Drops the history of all partitions; the latest record of each key stays.
    void compact();

    /// Joins a group or renews the membership. Returns the generation and the partitions assigned
    /// to the member.
    std::pair<std::uint64_t, std::vector<topic_partition>>
    join(const std::string& group, const std::string& member,
         const std::vector<std::string>& topics, std::chrono::milliseconds lifetime,
         clock::time_point now);

    /// Removes a member from a group.
    void leave(const std::string& group, const std::string& member);

private:
    struct writer_state {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        append_result last_result;
    };
    struct partition_log {
        std::uint64_t first_offset = 0;
        std::vector<std::string> records;
        /// Value and offset of the latest record by key.
        std::map<std::string, std::pair<std::string, std::uint64_t>> latest_by_key;
        std::map<std::string, writer_state> writers;
    };
    struct member_state {
        clock::time_point expires_at;
    };
    struct group_state {
        std::uint64_t generation = 0;
        std::set<std::string> topics;
        std::map<std::string, member_state> members;
    };

    void expire_members(group_state& group, clock::time_point now) const;

    std::uint32_t partition_count_;
    std::map<topic_partition, partition_log> partition_logs_;
    std::map<std::string, group_state> groups_;
};

} // namespace gooseberryfall::stand_ins
