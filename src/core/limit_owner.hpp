#pragma once

#include "core/fleet.hpp"
#include "core/messages.hpp"
#include "core/records.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberryfall::core {

/// Portions of a team's limit: clamp(burst / 8, 1, 4). Thread-safe.
std::uint32_t portion_count(const team& limits);

/// Limit shard that a portion belongs to. Precondition: `limit_shards` is above 0. Thread-safe.
shard_id portion_shard(const team_id& team, std::uint32_t portion, std::uint32_t limit_shards);

/// Settings of `limit_owner`.
struct limit_owner_settings {
    std::uint32_t limit_shards = 32;
    /// Lifetime of a grant at the borrower, from its question on.
    duration grant_lifetime = std::chrono::seconds(1);
    /// Added to the lifetime at the owner for differences between clocks.
    duration clock_margin = std::chrono::milliseconds(100);
    /// Delay before a raised portion is used: currency bound and grant lifetime.
    duration raise_delay = std::chrono::milliseconds(3300);
};

/// Token buckets of the portions that this instance owns. Invariant for each portion: level and
/// outstanding grants together never exceed the portion's burst, and tokens are minted at the
/// portion's rate only. Not thread-safe.
class limit_owner {
public:
    explicit limit_owner(limit_owner_settings settings);

    /// The fleet in force. Decreases apply at once, increases after the raise delay.
    void set_fleet(const fleet& state, time_point now);

    /// This instance begins to own a shard. Portions start with the level handed over, or 0.
    void acquire(const shard_id& shard, const std::vector<limit_level>& levels, time_point now);

    /// This instance owns the shard no more.
    void drop(const shard_id& shard);

    /// Levels to hand over with a release.
    std::vector<limit_level> levels(const shard_id& shard, time_point now);

    /// Answers a borrower. `owner` is false if the portion is not owned here.
    limit_grant lend(const incarnation_id& borrower, const limit_request& request, time_point now);

    /// Tokens lent in all, for metrics and tests.
    double lent_total() const { return lent_total_; }

private:
    struct portion_key {
        team_id team;
        std::uint32_t portion = 0;

        auto operator<=>(const portion_key&) const = default;
    };
    struct open_grant {
        double tokens = 0;
        time_point expires_at;
    };
    struct bucket {
        double rate = 0;
        double burst = 0;
        double level = 0;
        double outstanding = 0;
        time_point refilled_at;
        /// Raised limits that come into force later.
        double raised_rate = 0;
        double raised_burst = 0;
        std::optional<time_point> raise_at;
        std::map<std::pair<incarnation_id, std::uint64_t>, open_grant> grants;
    };

    void refill(bucket& account, time_point now);

    limit_owner_settings settings_;
    std::map<team_id, team> teams_;
    std::set<shard_id> shards_;
    std::map<portion_key, bucket> buckets_;
    double lent_total_ = 0;
};

} // namespace gooseberryfall::core
