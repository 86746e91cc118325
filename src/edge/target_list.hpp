#pragma once

#include "edge/fleet_service.hpp"
#include "edge/log_follower.hpp"
#include "edge/protocol.hpp"
#include "edge/store.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberryfall::edge {

/// Follows the list of targets in the store while this instance leads or knows no leader, and
/// passes the usable ones to `fleet_service`. To be used on the event loop's thread only.
class target_list {
public:
    /// Invoked when reads begin to fail or succeed again; unset on success.
    using reachability_callback = std::function<void(const std::optional<store_error>&)>;

    /// `interval`: time between two reads.
    target_list(store& durable_store, kernel::logger& logger, const protocol& translator,
                fleet_service& fleet, std::chrono::milliseconds interval,
                reachability_callback on_reachability);
    ~target_list();
    target_list(const target_list&) = delete;
    target_list& operator=(const target_list&) = delete;
    target_list(target_list&&) = delete;
    target_list& operator=(target_list&&) = delete;

    /// Reads the list if this instance has to and a read is due, and removes expired targets. To be
    /// called about every 20 ms. `local_read_at`: when this instance last read anything from the
    /// store.
    void tick(core::time_point now, std::optional<core::time_point> local_read_at);

private:
    void update_follower(core::time_point now);
    std::optional<serving::target_entry> decode_entry(const std::string& id,
                                                      const std::string& value) const;
    void apply_entry(const std::string& id, const std::string& value);
    void apply_snapshot(const std::map<std::string, std::string>& snapshot);
    void publish();

    kernel::logger& logger_;
    const protocol& translator_;
    fleet_service& fleet_;
    std::chrono::milliseconds interval_;
    serving::target_directory targets_;
    log_follower follower_;
    bool following_ = false;
    /// Whether the list has been read since this instance began to follow it.
    bool loaded_ = false;
    /// Revision of the targets last passed to `fleet_service`.
    std::uint64_t published_revision_ = 0;
};

} // namespace gooseberryfall::edge
