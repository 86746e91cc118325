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

/// How limits are divided into portions. The same on every instance of a deployment.
struct limit_portioning {
    /// Tokens of burst, and of rate per second, that a portion has at least when there are several.
    /// Smaller portions refuse callers within their limit, because fractions of a token lie in each
    /// and a full one mints nothing while another is empty; larger ones leave more teams with a
    /// single owner, whose death while the log is down refuses them until it is back
    /// (docs/limits.md).
    double least_tokens = 8;
    std::uint32_t most_portions = 4;
};

/// Portions of a team's limit: clamp(min(burst, rate) / 8, 1, 4) by default. Thread-safe.
std::uint32_t portion_count(const team& limits, const limit_portioning& division = {});

/// Rate and burst of one portion.
struct portion_limits {
    double rate = 0;
    double burst = 0;

    bool operator==(const portion_limits&) const = default;
};

/// Limits of a portion; 0 if the team has no such portion. Bursts are split in whole tokens, so
/// that the whole burst can be spent at once. Thread-safe.
portion_limits limits_of(const team& limits, std::uint32_t portion,
                         const limit_portioning& division = {});

/// Limit shard that a portion belongs to. Precondition: `limit_shards` is above 0. Thread-safe.
shard_id portion_shard(const team_id& team, std::uint32_t portion, std::uint32_t limit_shards);

/// Settings of `limit_owner`.
struct limit_owner_settings {
    std::uint32_t limit_shards = 32;
    limit_portioning division;
    /// Lifetime of a grant at the borrower, from its question on.
    duration grant_lifetime = std::chrono::seconds(1);
    /// Added to the lifetime at the owner for differences between clocks.
    duration clock_margin = std::chrono::milliseconds(100);
    /// Time that a request may take longer than another one from its spend to the target's door.
    /// Minting in place of a spend starts this much later, so that the limit also holds by the
    /// target's clock: without it a flood exceeded it there by up to 0.05 requests. At most a tenth
    /// of the time in which a portion fills up.
    duration transit_margin = std::chrono::milliseconds(3);
    /// Delay before a raised portion is used: currency bound and grant lifetime.
    duration raise_delay = std::chrono::milliseconds(3300);
};

/// Token buckets of the portions that this instance owns. Invariant for each portion: level and
/// outstanding grants together never exceed the portion's burst, and tokens are minted at the
/// portion's rate only. Not thread-safe.
class limit_owner {
public:
    explicit limit_owner(limit_owner_settings settings);

    /// The fleet in force. Decreases apply at once. Increases apply at once too, unless the number
    /// of portions changed within the raise delay: the owners of other portions may then still use
    /// their old share. A team that is new starts with its whole burst. Precondition: called for
    /// each fleet applied, before shards are acquired under it.
    void set_fleet(const fleet& state, time_point now);

    /// This instance begins to own a shard. Portions start with the level handed over, or 0.
    void acquire(const shard_id& shard, const std::vector<limit_level>& levels, time_point now);

    /// This instance owns the shard no more.
    void drop(const shard_id& shard);

    /// Levels to hand over with a release.
    std::vector<limit_level> levels(const shard_id& shard, time_point now);

    /// Answers a borrower. `owner` is false if the portion is not owned here. A repeated number
    /// gets the first answer again while the grant is open, and no token after it was closed.
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
        double spent = 0;
        double returned = 0;
        time_point expires_at;

        double rest() const { return tokens - spent - returned; }
    };
    using grant_key = std::pair<incarnation_id, std::uint64_t>;
    /// Time during which nothing was minted because level and grants had reached the burst.
    struct full_interval {
        time_point from;
        time_point until;
        double rate = 0;
    };
    /// Highest number that was lent to a borrower or closed by it; lower ones are late repeats.
    struct last_number {
        std::uint64_t number = 0;
        time_point seen_at;
    };
    struct bucket {
        double rate = 0;
        double burst = 0;
        double level = 0;
        double outstanding = 0;
        time_point refilled_at;
        /// Raised limits that come into force later.
        portion_limits raised;
        std::optional<time_point> raise_at;
        std::map<grant_key, open_grant> grants;
        std::map<incarnation_id, last_number> numbers;
        std::vector<full_interval> full;
        time_point next_expiry = time_point::max();
        /// Time of the last token that a borrower without one was told of.
        time_point announced_until;
    };
    struct known_team {
        team limits;
        /// Portions; 0 once the team was removed.
        std::uint32_t portions = 0;
        /// From here on, every owner has applied the present number of portions.
        time_point settled_at;
        /// When a removed team may start again with its whole burst.
        std::optional<time_point> forget_at;
    };

    bool holds(const portion_key& key) const;
    void add_team(const team& limits, time_point now);
    void change_team(known_team& known, const team& limits, time_point now);
    void remove_team(known_team& known, time_point now);
    void set_limits(bucket& account, const known_team& known, const portion_limits& target,
                    time_point now) const;
    void refill(bucket& account, time_point now) const;
    void expire(bucket& account, time_point now) const;
    void mint(bucket& account, time_point now) const;
    duration transit_margin(const bucket& account) const;
    void record(bucket& account, const grant_key& key, double tokens, time_point now) const;
    void apply_report(bucket& account, const incarnation_id& borrower, const grant_report& report,
                      time_point now) const;
    void mint_late(bucket& account, double spent, time_point since) const;
    duration announce(bucket& account, time_point now) const;

    limit_owner_settings settings_;
    std::map<team_id, known_team> teams_;
    std::set<shard_id> shards_;
    std::map<portion_key, bucket> buckets_;
    /// Before this time, what the other owners use may differ in ways not known here.
    std::optional<time_point> informed_at_;
    double lent_total_ = 0;
};

} // namespace gooseberryfall::core
