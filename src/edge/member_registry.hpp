#pragma once

#include "edge/log_follower.hpp"
#include "edge/store.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::edge {

/// Registers this instance in the platform's store and reads the entries of the others, by which
/// instances discover each other. To be used on the event loop's thread only.
class member_registry {
public:
    member_registry(store& durable_store, kernel::logger& logger, serving::fleet_member self,
                    std::function<void(const std::vector<serving::fleet_member>&)> on_members);
    ~member_registry();
    member_registry(const member_registry&) = delete;
    member_registry& operator=(const member_registry&) = delete;
    member_registry(member_registry&&) = delete;
    member_registry& operator=(member_registry&&) = delete;

    /// Registers this instance unless that has succeeded, and reads the entries at the interval,
    /// for the first time after the delay that its size requires.
    void tick(core::time_point now, std::chrono::milliseconds interval);

    /// Removes this instance's entry and does not register again.
    void remove_self();

    /// Removes the entry of an instance that has left or failed.
    void remove(const serving::fleet_member& member);

    /// Whether the entries have been read.
    bool loaded() const { return last_read_sent_at().has_value(); }

    /// When the last successful read was sent; unset if none has succeeded.
    std::optional<core::time_point> last_read_sent_at() const
    {
        return follower_.last_read_sent_at();
    }

private:
    void register_self();
    void apply_entry(const std::string& key, const std::string& value);
    void notify();

    store& store_;
    kernel::logger& logger_;
    serving::fleet_member self_;
    std::function<void(const std::vector<serving::fleet_member>&)> on_members_;
    std::map<std::string, serving::fleet_member> members_;
    log_follower follower_;
    bool registered_ = false;
    bool registering_ = false;
    bool self_removed_ = false;
    /// The entries are not read before this time.
    core::time_point first_read_at_;
    core::time_point attempted_at_{};
    /// Set to false by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
