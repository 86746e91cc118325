#pragma once

#include "fleet_wire/job_codec.hpp"
#include "http/http.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryfall::edge {

using fleet_wire::keyed_record;

/// Which part of the platform's log is meant. All topics here keep the newest record of each key.
struct topic_partition {
    std::string topic;
    std::uint32_t partition = 0;

    auto operator<=>(const topic_partition&) const = default;
};

/// What a failed call says about its effect.
enum class store_failure {
    /// Nothing was done.
    not_done,
    /// It may have been done, or may be done later.
    unknown,
    /// A newer writer has taken the partition.
    fenced,
    /// The writer's sequence is not the one that the store expects.
    out_of_sequence,
    /// The records asked for are not kept any more.
    expired,
    /// The store does not take such a call.
    rejected,
};

/// Text form. Thread-safe.
const char* to_text(store_failure failure);

struct store_error {
    store_failure failure = store_failure::unknown;
    /// For people.
    std::string reason;
};

template <class T>
using store_result = tl::expected<T, store_error>;

template <class T>
using store_callback = std::function<void(store_result<T>)>;

/// Identifies the writer of a partition. The store takes appends of the highest epoch only, and
/// each sequence once.
struct log_writer {
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// Records found in a partition.
struct log_page {
    std::vector<keyed_record> records;
    /// Offset after the last record of the partition.
    std::uint64_t end_offset = 0;
    /// Key after which the next page begins; unset if this is the last one.
    std::optional<std::string> next_key;
};

/// This instance's place in a group that shares partitions.
struct group_assignment {
    /// Rises with each change of the group.
    std::uint64_t generation = 0;
    std::vector<topic_partition> topic_partitions;
};

/// Where calls go that the store does not take from this instance.
struct store_relay {
    /// `ip:port` of another instance that may reach the store; unset if none does.
    std::function<std::optional<std::string>()> choose_peer;
    /// Path of the other instance's service for such calls.
    std::string path;
    /// The store turns this instance away, or serves it again.
    std::function<void(bool turned_away, const std::string& reason)> on_change;
};

/// The platform's durable store. All methods are for the event loop's thread; callbacks come on it,
/// never within the call.
class store {
public:
    store() = default;
    virtual ~store() = default;
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    store(store&&) = delete;
    store& operator=(store&&) = delete;

    /// Appends records, all or none. Without records and with a writer it only sets the epoch.
    virtual void append(const topic_partition& place, const std::vector<keyed_record>& records,
                        const std::optional<log_writer>& writer,
                        store_callback<std::uint64_t> done) = 0;

    /// Reads the records from an offset on.
    virtual void read(const topic_partition& place, std::uint64_t from,
                      store_callback<log_page> done) = 0;

    /// Reads the newest record of each key, a page at a time, after the given key.
    virtual void read_latest(const topic_partition& place, const std::optional<std::string>& after,
                             store_callback<log_page> done) = 0;

    /// Joins a group or stays in it. `generation` is the last one seen, 0 at first.
    virtual void join(const std::string& group, const std::string& member,
                      const std::vector<std::string>& topics, std::chrono::milliseconds lifetime,
                      std::uint64_t generation, store_callback<group_assignment> done) = 0;

    /// Leaves a group; its partitions go to others at once.
    virtual void leave(const std::string& group, const std::string& member,
                       store_callback<bool> done) = 0;

    /// From now on calls that fail go by way of other instances: the store may turn some away while
    /// it serves the others. All calls may be repeated.
    virtual void use_relay(store_relay relay) = 0;

    /// Passes on a call of another instance.
    virtual void handle_relayed(http::request call, std::shared_ptr<http::responder> caller) = 0;
};

} // namespace gooseberryfall::edge
