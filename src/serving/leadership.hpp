#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryfall::serving {

/// An instance of the fleet. Its id is the `ip:port` at which other instances reach it.
struct fleet_member {
    core::instance_id id;
    /// Name for people.
    std::string name;
    core::data_centre_id data_centre;
    /// `ip:port` for callers.
    std::string callers_address;
    /// Processor cores that the instance may use.
    double capacity = 1.0;
    /// Wall-clock milliseconds of its start.
    std::int64_t started_at = 0;

    bool operator==(const fleet_member&) const = default;
};

/// Whether `a` is to lead rather than `b`: the larger one, then the older one. Thread-safe.
bool ranks_before(const fleet_member& a, const fleet_member& b);

/// Settings of `leadership`.
struct leadership_settings {
    /// Time without a word from the leader after which another instance takes its place.
    std::chrono::milliseconds silence{700};
    /// Added for each instance that ranks before this one, so that one of them comes first.
    std::chrono::milliseconds step{60};
    /// Instances that count for the step; most of those further down may be long gone.
    std::size_t steps_max = 10;
    /// A leader that was not running for this long has probably been replaced.
    std::chrono::milliseconds pause_max{450};
    /// An instance that cannot read the platform's store gives the others this much longer to take
    /// the leader's place.
    std::chrono::milliseconds unfit_delay{800};
};

/// Which instance places the requests of the whole fleet.
///
/// The leader is only a convenience: whoever places gives out slots, and two leaders for a moment
/// put some requests into a target's own queue. No promise depends on there being one, so no
/// agreement is needed; each instance follows whom it hears. Deterministic; not thread-safe.
class leadership {
public:
    leadership(fleet_member self, leadership_settings settings, core::time_point now);

    /// All instances that are registered.
    void set_members(const std::vector<fleet_member>& members);

    /// Another instance leads. `resigning`: it has just stopped to.
    void on_digest(const fleet_member& from, bool resigning, core::time_point now);

    /// Time has passed; to be called every 20 ms or so. `fit`: this instance can read the store.
    /// `others_know_more`: another instance has read it later. A leader that cannot read the store
    /// steps down for such an instance.
    void tick(core::time_point now, bool fit, bool others_know_more);

    /// Stops to lead, and does not begin again.
    void leave();

    bool leads() const { return leads_; }

    /// Whom to ask for slots: the leader, if it was heard of lately and is not this instance.
    std::optional<core::instance_id> leader(core::time_point now) const;

    const fleet_member& self() const { return self_; }

private:
    std::size_t position() const;

    fleet_member self_;
    leadership_settings settings_;
    std::vector<fleet_member> members_;
    std::optional<fleet_member> leader_;
    core::time_point heard_at_;
    core::time_point ticked_at_;
    bool leads_ = false;
    bool left_ = false;
};

} // namespace gooseberryfall::serving
