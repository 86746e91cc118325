#pragma once

#include "core/fleet.hpp"
#include "core/limit_owner.hpp"
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
    limit_portioning division;
    /// Lifetime of a grant from the question on.
    duration grant_lifetime = std::chrono::seconds(1);
    /// Time after which an unanswered question is given up.
    duration answer_timeout = std::chrono::milliseconds(100);
    /// Time for which a portion is not asked again after it had no token or no owner.
    duration empty_backoff = std::chrono::milliseconds(20);
    /// Time after which tokens that nobody uses go back.
    duration idle_time = std::chrono::milliseconds(200);
    /// Demand for which tokens are borrowed ahead. Must not be above `idle_time`.
    duration ahead_time = std::chrono::milliseconds(200);
    /// Time for which a spend is kept back from reports, since only an unreported one can be
    /// refunded: a target's refusal comes within it.
    duration refund_time = std::chrono::milliseconds(20);
    /// Time after which spends are reported by a message of their own while tokens are plentiful.
    duration plentiful_report_time = std::chrono::milliseconds(150);
};

/// One token, taken out of a grant.
struct limit_token {
    team_id team;
    std::uint32_t portion = 0;
    std::uint64_t grant = 0;
    /// Unique within the borrower.
    std::uint64_t number = 0;
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

    /// Questions that are due, and reports of grants that are spent, expired or idle. Of
    /// portions that are about as full, those whose shard is in `local` are asked first, as they
    /// cost no message. Every question must be
    /// sent or answered; a lost one is repeated.
    std::vector<limit_question> questions(const std::set<shard_id>& local, time_point now);

    /// An answer came in. Returns whether tokens came with it.
    bool on_grant(const limit_grant& grant, time_point now);

    /// Why the team has no token here.
    limit_shortage shortage(const team_id& team, time_point now) const;

    /// Shards that hold the team's portions.
    std::vector<shard_id> shards_of(const team_id& team) const;

private:
    /// What the owner was told about a grant.
    struct grant_account {
        double spent = 0;
        double returned = 0;
        bool closed = false;

        bool operator==(const grant_account&) const = default;
    };
    struct unreported_spend {
        std::uint64_t token = 0;
        time_point at;
    };
    struct grant_state {
        std::uint32_t portion = 0;
        double tokens = 0;
        grant_account account;
        /// Last report, its message and time, and the report that the owner is known to have.
        grant_account sent;
        grant_account confirmed;
        std::uint64_t sent_with = 0;
        time_point sent_at;
        /// Tokens taken and not yet spent.
        std::set<std::uint64_t> taken;
        /// Spends that no report has counted yet, oldest first.
        std::deque<unreported_spend> unreported;
        /// Latest spend that a report has counted.
        time_point last_spend;
        time_point last_use;
        time_point expires_at;

        double available() const
        {
            return tokens - account.spent - account.returned - static_cast<double>(taken.size());
        }
    };
    struct open_question {
        std::uint64_t grant = 0;
        double wanted = 0;
        double ahead = 0;
        /// The grant's lifetime counts from here, however often the question is repeated.
        time_point first_asked_at;
        time_point asked_at;
    };
    struct portion_state {
        shard_id shard;
        std::optional<open_question> question;
        time_point retry_at;
        /// Tokens are not borrowed ahead before.
        time_point ahead_at;
        /// Until then the owner counts as slow, because it left a question unanswered.
        time_point slow_until;
        bool empty = false;
        bool no_owner = false;
        /// Share of the burst that was left at the owner's last answer; all of it before the first.
        double left = 1;
        time_point left_at;
        /// When a token is expected, if the owner knows.
        std::optional<time_point> next_token_at;
    };
    struct team_state {
        team limits;
        std::vector<portion_state> portions;
        std::map<std::uint64_t, grant_state> grants;
        std::uint32_t waiting = 0;
        /// Portion with which the choice begins; questions go to the portions in turn.
        std::uint32_t first_portion = 0;
        /// Moving average of tokens taken a second.
        double demand = 0;
        time_point demand_at;
        /// When something is due next; nothing before.
        time_point due_at = time_point::max();
    };
    /// Work on one team's questions.
    struct round;

    void touch(team_state& entry, time_point now) const;
    double demand(const team_state& entry, time_point now) const;
    void give_up_question(team_state& entry, std::uint32_t portion) const;
    void check_questions(round& work) const;
    void check_grants(round& work) const;
    void choose_question(round& work);
    std::optional<std::uint32_t> choose_portion(round& work) const;
    void open(round& work, std::uint32_t portion, double wanted, double ahead);
    duration refund_time(const team_state& entry, std::uint32_t portion) const;
    double share_left(const team_state& entry, std::uint32_t portion, time_point now) const;
    void confirm_reports(team_state& entry, const limit_grant& answer) const;
    bool report_due(round& work, const grant_state& grant) const;
    void add_messages(round& work);
    void add_reports(round& work, std::uint32_t portion, limit_request& request) const;

    limit_client_settings settings_;
    std::map<team_id, team_state> teams_;
    /// Teams with grants, questions or waiting requests, so that others cost nothing.
    std::set<team_id> active_;
    std::uint64_t next_grant_ = 1;
    std::uint64_t next_token_ = 1;
};

} // namespace gooseberryfall::core
