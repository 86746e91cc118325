#pragma once

#include "edge/log_follower.hpp"
#include "edge/state_backup.hpp"
#include "edge/store.hpp"
#include "http/http.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::edge {

/// What `state_sync` knows of the fleet at a tick.
struct state_sync_status {
    bool leads = false;
    /// The list of instances has been read, or a leader has announced their number.
    bool members_known = false;
    std::size_t members = 1;
};

/// Callbacks of `state_sync`; invoked on the event loop's thread.
struct state_sync_callbacks {
    /// Takes an encoded desired state and returns its version; unset if it does not come into
    /// force, because it is unreadable or not newer than the one in force. `source`: where it came
    /// from, for logs.
    std::function<std::optional<std::uint64_t>(const std::string& value, const char* source)>
        on_state;
    /// As in `follower_callbacks`.
    std::function<void(const std::optional<store_error>& failure)> on_reachability;
    /// Takes the newest value of each key of the partition, as of the offset.
    std::function<void(std::uint64_t offset, const std::map<std::string, std::string>& records)>
        on_snapshot{};
    /// Takes a record of a page that ends at the offset.
    std::function<void(std::uint64_t offset, const std::string& key, const std::string& value)>
        on_record{};
    /// Offset up to which the records beside the state are known, from the store or from other
    /// instances. Records after it aren't skipped when another instance sends the state. If empty,
    /// there are no such records.
    std::function<std::uint64_t()> known_offset{};
};

/// Keeps this instance's desired state up to date: from the store, and from other instances, which
/// announce the version that they have. Sends the state to other instances. In a large fleet only
/// few instances read a new state from the store. While this instance leads, keeps copies of the
/// state in the store, which an instance without any state reads if it cannot read the state. To be
/// used on the event loop's thread only.
class state_sync {
public:
    /// Path under which other instances ask for the state.
    static constexpr const char* path = "/state";

    /// `partition` and `key`: the record of the store that holds the state. Precondition: the
    /// references outlive the object.
    state_sync(kernel::logger& logger, store& durable_store, http::client& peers,
               topic_partition partition, std::string key, core::instance_id self,
               state_sync_callbacks callbacks);
    ~state_sync();
    state_sync(const state_sync&) = delete;
    state_sync& operator=(const state_sync&) = delete;
    state_sync(state_sync&&) = delete;
    state_sync& operator=(state_sync&&) = delete;

    /// Starts reads and fetches that are due. `interval`: time between two reads of the store. To
    /// be called about every 20 ms.
    void tick(core::time_point now, std::chrono::milliseconds interval,
              const state_sync_status& status);

    /// Another instance has a newer version. `members`: size of the fleet.
    void on_announcement(const core::instance_id& from, std::uint64_t version, std::size_t members);

    /// Encoded state in force; empty if there is none.
    const std::string& encoded_state() const { return encoded_; }

    /// Answers another instance that asks for the state.
    void handle(const http::request& received, const std::shared_ptr<http::responder>& caller);

    /// When the last successful read of the store was sent; unset if none has succeeded.
    std::optional<core::time_point> last_read_sent_at() const
    {
        return follower_.last_read_sent_at();
    }

private:
    bool may_read_store(core::time_point now, const state_sync_status& status);
    void fetch_if_due(core::time_point now);
    void on_fetched(const core::instance_id& from, const http::call_result& result);
    /// Takes the body of a response as a state. Returns the reason on failure.
    tl::expected<void, std::string> take_response(const http::call_result& result);
    /// Whether no record before the offset is needed any more.
    bool may_skip_to(std::uint64_t offset) const;
    void take(const std::string& value, std::optional<std::uint64_t> offset, const char* source);
    /// The state in force, compressed.
    const std::string& compressed_state();
    void send_state(const core::instance_id& to, bool compressed,
                    const std::shared_ptr<http::responder>& caller);

    kernel::logger& logger_;
    http::client& peers_;
    std::string key_;
    core::instance_id self_;
    state_sync_callbacks callbacks_;
    log_follower follower_;
    state_backup backup_;
    serving::state_distributor distributor_;
    serving::state_fetcher fetcher_;
    std::uint64_t version_ = 0;
    std::string encoded_;
    /// `encoded_` for transfers and copies; made when it is first needed.
    std::string compressed_;
    /// Offset after the record of the state in force; unset if unknown.
    std::optional<std::uint64_t> offset_;
    core::time_point started_at_;
    std::optional<core::time_point> first_read_at_;
    /// The store is not read before this time, since another instance sends a newer state.
    core::time_point store_read_allowed_at_{};
    std::chrono::milliseconds interval_{0};
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
