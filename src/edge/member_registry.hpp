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

/// The instances' own entries in the platform's store, by which they find each other. For the
/// loop's thread.
class member_registry {
public:
    member_registry(store& durable, kernel::logger& logger, serving::fleet_member self,
                    std::function<void(const std::vector<serving::fleet_member>&)> on_members);
    ~member_registry();
    member_registry(const member_registry&) = delete;
    member_registry& operator=(const member_registry&) = delete;
    member_registry(member_registry&&) = delete;
    member_registry& operator=(member_registry&&) = delete;

    /// Enters this instance and reads the others, at the interval given.
    void tick(core::time_point now, std::chrono::milliseconds interval);

    /// Removes this instance's entry.
    void remove_self();

    /// Removes the entry of an instance that is gone.
    void remove(const serving::fleet_member& member);

    /// Whether the others have been read.
    bool known() const { return follower_.read_at().has_value(); }

private:
    void enter();
    void take(const std::string& key, const std::string& value);
    void tell();

    store& store_;
    kernel::logger& logger_;
    serving::fleet_member self_;
    std::function<void(const std::vector<serving::fleet_member>&)> on_members_;
    std::map<std::string, serving::fleet_member> members_;
    log_follower follower_;
    bool entered_ = false;
    bool entering_ = false;
    bool removed_ = false;
    core::time_point tried_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gooseberryfall::edge
