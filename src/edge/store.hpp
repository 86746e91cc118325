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

/// Identifies a partition of the platform's log. All topics are compacted: they keep the newest
/// record of each key.
struct topic_partition {
    std::string topic;
    std::uint32_t partition = 0;

    auto operator<=>(const topic_partition&) const = default;
};

/// Kind of a failed store call, by what is known of its effect.
enum class store_failure {
    /// The call had no effect.
    not_done,
    /// The call may have taken effect, or may still do so.
    unknown,
    /// A writer with a higher epoch has taken over the partition.
    fenced,
    /// The writer's sequence number is not the one that the store expects.
    out_of_sequence,
    /// The requested records are no longer kept.
    expired,
    /// The store does not accept such a call.
    rejected,
};

/// Text form for logs. Thread-safe.
const char* to_text(store_failure failure);

/// Error of a store call.
struct store_error {
    store_failure failure = store_failure::unknown;
    /// Human-readable; not for decisions.
    std::string reason;
};

template <class T>
using store_result = tl::expected<T, store_error>;

template <class T>
using store_callback = std::function<void(store_result<T>)>;

/// Identifies the writer of a partition. The store accepts appends only of the highest epoch, and
/// each sequence number once.
struct log_writer {
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// Records read from a partition.
struct log_page {
    std::vector<keyed_record> records;
    /// Offset after the last record of the partition.
    std::uint64_t end_offset = 0;
    /// Key after which the next page begins; unset on the last page.
    std::optional<std::string> next_key;
};

/// Partitions assigned to this instance in a group that shares them.
struct group_assignment {
    /// Increases with each change of the group.
    std::uint64_t generation = 0;
    std::vector<topic_partition> topic_partitions;
};

/// Relaying of store calls by way of other instances.
struct store_relay {
    /// Returns the `ip:port` of another instance that may reach the store; unset if there is none.
    std::function<std::optional<std::string>()> choose_peer;
    /// Path under which other instances accept relayed calls.
    std::string path;
    /// The store has begun to reject calls of this instance, or accepts them again.
    std::function<void(bool rejecting, const std::string& reason)> on_change;
};

/// The platform's durable store. To be used on the event loop's thread only. Callbacks are invoked
/// on it, never within the call.
class store {
public:
    store() = default;
    virtual ~store() = default;
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    store(store&&) = delete;
    store& operator=(store&&) = delete;

    /// Appends all records or none. With a writer and without records, only raises the epoch of the
    /// partition.
    virtual void append(const topic_partition& log_partition,
                        const std::vector<keyed_record>& records,
                        const std::optional<log_writer>& writer,
                        store_callback<std::uint64_t> done) = 0;

    /// Reads records from an offset on. Fails if no byte arrives for `timeout`.
    virtual void read(const topic_partition& log_partition, std::uint64_t offset,
                      std::chrono::milliseconds timeout, store_callback<log_page> done) = 0;

    /// Reads a page with the newest record of each key, starting after the given key. Fails if no
    /// byte arrives for `timeout`.
    virtual void read_latest(const topic_partition& log_partition,
                             const std::optional<std::string>& after_key,
                             std::chrono::milliseconds timeout, store_callback<log_page> done) = 0;

    /// Joins a group or renews the membership, which lasts for `lifetime`. `generation` is the last
    /// one seen, 0 at first.
    virtual void join(const std::string& group, const std::string& member,
                      const std::vector<std::string>& topics, std::chrono::milliseconds lifetime,
                      std::uint64_t generation, store_callback<group_assignment> done) = 0;

    /// Leaves a group; the partitions of the member are reassigned at once.
    virtual void leave(const std::string& group, const std::string& member,
                       store_callback<bool> done) = 0;

    /// Makes failed calls be retried by way of other instances, because the store may reject some
    /// instances while it serves others. Safe because all calls may be repeated.
    virtual void use_relay(store_relay relay) = 0;

    /// Relays a store call of another instance to the store and sends the response to
    /// `caller`.
    virtual void handle_relayed(http::request call, std::shared_ptr<http::responder> caller) = 0;
};

} // namespace gooseberryfall::edge
