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

/// The targets that the store lists: read while this instance leads or finds no leader, and given
/// to the fleet's placement. For the loop's thread.
class target_list {
public:
    /// Told when a read fails, or succeeds again.
    using reachability_callback = std::function<void(const std::optional<store_error>&)>;

    /// `interval`: between two reads.
    target_list(store& durable, kernel::logger& logger, const protocol& translator,
                fleet_service& fleet, std::chrono::milliseconds interval,
                reachability_callback on_reach);
    ~target_list();
    target_list(const target_list&) = delete;
    target_list& operator=(const target_list&) = delete;
    target_list(target_list&&) = delete;
    target_list& operator=(target_list&&) = delete;

    /// Reads the list if this instance has to and it is time to. To be called every 20 ms or so.
    /// `own_read_at`: when this instance has read anything of the store last.
    void tick(core::time_point now, std::optional<core::time_point> own_read_at);

private:
    void follow(core::time_point now);
    std::optional<serving::target_entry> read(const std::string& id,
                                              const std::string& value) const;
    void take(const std::string& id, const std::string& value);
    void take_all(const std::map<std::string, std::string>& all);
    void publish();

    kernel::logger& logger_;
    const protocol& translator_;
    fleet_service& fleet_;
    std::chrono::milliseconds interval_;
    serving::target_directory targets_;
    log_follower follower_;
    bool follows_ = false;
    /// The list was read since this instance follows it.
    bool known_ = false;
    /// Revision of the targets that the fleet was given last.
    std::uint64_t published_ = 0;
};

} // namespace gooseberryfall::edge
