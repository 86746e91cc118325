#pragma once

#include "core/fleet.hpp"
#include "core/messages.hpp"
#include "core/types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberryfall::core {

/// Settings of `limit_client`.
struct limit_client_settings {
    incarnation_id self;
    std::uint32_t limit_shards = 32;
    /// Lifetime of a grant from the question on.
    duration grant_lifetime = std::chrono::seconds(1);
    /// Time after which an unanswered question is given up.
    duration answer_timeout = std::chrono::milliseconds(100);
    /// Time for which a portion is not asked again after it had no token or no owner.
    duration empty_backoff = std::chrono::milliseconds(20);
};

/// One token, taken out of a grant.
struct limit_token {
    team_id team;
    std::uint32_t portion = 0;
    std::uint64_t grant = 0;
    /// The token is worthless from here on.
    time_point expires_at;
};

/// A question to the owner of a portion.
struct limit_question {
    shard_id shard;
    limit_request request;
};

/// Why there is no token.
struct limit_shortage {
    /// Whether a question is open or can be asked, so that waiting may help.
    bool pending = false;
    /// Whether every owner said that it has none; otherwise owners are missing.
    bool exhausted = false;
    /// When a token is expected, as a delay; 0 if unknown.
    duration next_token{};
};

/// Borrows tokens from the owners of a team's portions and spends them locally. Keeps the grant
/// size near the recent demand, so that one portion's tokens do not rest at an instance without
/// callers. Not thread-safe.
class limit_client {
public:
    explicit limit_client(limit_client_settings settings);

    /// The fleet in force. Grants of removed teams are dropped.
    void set_fleet(const fleet& state);

    /// Takes a token if one is here and not expired.
    std::optional<limit_token> take(const team_id& team, time_point now);

    /// Gives an unused token back, for a request that certainly did not run.
    void give_back(const limit_token& token, time_point now);

    /// The token was used: the request is sent to a target. Returns false, and uses nothing, if it
    /// has expired.
    bool spend(const limit_token& token, time_point now);

    /// Says that `waiting` requests of the team lack a token.
    void want(const team_id& team, std::uint32_t waiting, time_point now);

    /// Questions that are due, and reports of grants that are spent, expired or idle. Portions
    /// whose shard is in `local` are asked first, as they cost no message.
    std::vector<limit_question> questions(const std::set<shard_id>& local, time_point now);

    /// An answer came in. Returns whether tokens came with it.
    bool on_grant(const limit_grant& grant, time_point now);

    /// Why the team has no token here.
    limit_shortage shortage(const team_id& team, time_point now) const;

    /// Shards that hold the team's portions.
    std::vector<shard_id> shards_of(const team_id& team) const;

private:
    struct grant_state {
        std::uint32_t portion = 0;
        double tokens = 0;
        double taken = 0;
        double spent = 0;
        double reported = 0;
        time_point expires_at;
    };
    struct portion_state {
        std::optional<std::uint64_t> open_question;
        time_point asked_at;
        time_point retry_at;
        bool empty = false;
        bool no_owner = false;
        duration next_token{};
    };
    struct team_state {
        team limits;
        std::vector<portion_state> portions;
        std::map<std::uint64_t, grant_state> grants;
        std::uint32_t waiting = 0;
        /// Moving average of tokens taken a second.
        double demand = 0;
        time_point demand_at;
    };

    limit_client_settings settings_;
    std::map<team_id, team_state> teams_;
    std::uint64_t next_grant_ = 1;
};

} // namespace gooseberryfall::core
