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
/// newest record of each key, writers with epochs, and groups that share partitions. Not
/// thread-safe.
class log_store_state {
public:
    using clock = std::chrono::steady_clock;
    using place = std::pair<std::string, std::uint32_t>;

    /// Answer to an append.
    struct append_result {
        unsigned status = 200;
        std::uint64_t offset = 0;
        std::uint64_t end = 0;
        /// Of a conflict: `fenced` or `seq`.
        std::string why;
    };

    /// A record of a read.
    struct record {
        std::string content;
    };

    /// A record of the newest of all keys.
    struct newest_record {
        std::string key;
        std::string value;
        std::uint64_t offset = 0;
    };

    explicit log_store_state(std::uint32_t partitions) : partitions_(partitions) {}

    /// Appends records, each a key's length, the key and a value.
    append_result append(const place& where, const std::vector<std::string>& contents,
                         const std::string& writer, std::uint64_t epoch, std::uint64_t sequence);

    /// Records from an offset on; nothing if they are not kept any more.
    std::optional<std::vector<record>> read(const place& where, std::uint64_t from) const;

    std::vector<newest_record> newest(const place& where, const std::string& after,
                                      std::size_t limit) const;

    std::uint64_t end(const place& where) const;

    /// Keys in all partitions of the topics whose names contain a text.
    std::size_t key_count(const std::string& topics) const;

    /// Names of the writers that have set an epoch anywhere.
    std::set<std::string> writer_names() const;

    /// Drops the history of all partitions; the newest record of each key stays.
    void forget_history();

    /// Joins a group. Returns the member's partitions and the generation.
    std::pair<std::uint64_t, std::vector<place>> join(const std::string& group,
                                                      const std::string& member,
                                                      const std::vector<std::string>& topics,
                                                      std::chrono::milliseconds lifetime,
                                                      clock::time_point now);

    void leave(const std::string& group, const std::string& member);

private:
    struct writer_state {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        append_result last;
    };
    struct partition {
        std::uint64_t first = 0;
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        std::map<std::string, writer_state> writers;
    };
    struct member_state {
        clock::time_point until;
    };
    struct group_state {
        std::uint64_t generation = 0;
        std::set<std::string> topics;
        std::map<std::string, member_state> members;
    };

    void expire(group_state& group, clock::time_point now) const;

    std::uint32_t partitions_;
    std::map<place, partition> places_;
    std::map<std::string, group_state> groups_;
};

} // namespace gooseberryfall::stand_ins
