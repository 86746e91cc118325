#pragma once

#include "core/types.hpp"
#include "serving/retry_planner.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace gooseberryfall::serving {

/// A team's allowance of requests.
struct team_limit {
    /// Requests per second; 0 means no limit.
    double rate = 0;
    /// Requests at once.
    double burst = 0;

    bool operator==(const team_limit&) const = default;
};

/// What the users' contract tolerates above a limit when it is counted over several instances.
struct limit_tolerance {
    /// Span in which requests are counted.
    std::chrono::milliseconds window{5000};
    /// Part of what the limit allows in the window, and requests, that are tolerated in addition.
    double overage_fraction = 0;
    double overage_requests = 0;

    bool operator==(const limit_tolerance&) const = default;
};

/// Requests of each team.
using team_request_counts = std::map<core::team_id, std::uint32_t>;

/// What is known of the requests that were sent in the last window.
enum class spending_scope {
    /// Those of some instances only.
    part,
    /// About all of them.
    window,
    /// All since every instance has started again.
    restart,
};

/// Text form for logs. Thread-safe.
const char* to_text(spending_scope scope);

/// Requests that the teams have sent in the last window, as far as known.
struct team_spending {
    team_request_counts requests;
    spending_scope scope = spending_scope::part;
    /// Time since the first of the instances has started again, if all have.
    std::chrono::milliseconds since_restart{0};
    /// Instances that have told.
    std::size_t reporting_instances = 0;
};

/// Counts events in a sliding window, to within a fiftieth of it. Deterministic; not thread-safe.
class sliding_count {
public:
    void add(core::time_point now, std::chrono::milliseconds window);
    /// Takes the newest event back.
    void remove_newest();
    std::uint32_t count(core::time_point now, std::chrono::milliseconds window);

private:
    struct step {
        core::time_point begin;
        std::uint32_t events = 0;
    };

    std::deque<step> steps_;
    std::uint32_t total_ = 0;
};

/// Limits of all teams at the instance that places the requests of the whole fleet.
///
/// Load pattern: the requests of a team come in steps, above its rate for some seconds and below it
/// for some. A token bucket admits what the rate earns and one burst. What the contract's window
/// allows beyond that is admitted as spare: only if it needs no wait and so delays no other team.
/// Refused callers get the moments at which tokens will be there, one each. Deterministic; not
/// thread-safe.
class team_limits {
public:
    /// `share` is the part of each limit that this instance may give out: 1 where it places for the
    /// whole fleet.
    explicit team_limits(double share = 1.0) : share_(share) {}

    /// Sets the limits of all teams. A lowered limit takes effect at once.
    void set(const std::map<core::team_id, team_limit>& limits, core::time_point now);

    /// Sets the part of each limit that this instance may give out.
    void set_share(double share, core::time_point now);

    /// Sets the span in which requests count against a limit. After a change there are no spare
    /// requests until it has passed once.
    void set_window(std::chrono::milliseconds window, core::time_point now);

    /// Starts to give out limits in the place of another instance, which may have just given out
    /// the whole burst: until it is known what was spent, each bucket holds half of what is
    /// tolerated above the limit.
    void begin_term(const limit_tolerance& tolerance, core::time_point now);

    /// Fills the buckets by what was spent in the last window. If only a part is known, no bucket
    /// is filled beyond its level at the start. After a restart of all instances each team may have
    /// spent its limit before; what is tolerated above it and what has been earned since is left.
    void apply_spending(const team_spending& spent, const limit_tolerance& tolerance,
                        core::time_point now);

    /// A team's bucket, for logs.
    struct bucket_state {
        team_limit limit;
        double level = 0;
    };
    std::optional<bucket_state> state_of(const core::team_id& team) const;

    /// Takes one request out of a team's bucket, if there is one. A team without a limit always has
    /// one.
    bool try_acquire(const core::team_id& team, core::time_point now);

    /// Takes a request beyond the bucket, if the window that is counted allows it.
    bool try_acquire_spare(const core::team_id& team, core::time_point now);

    /// When a refused caller that honours delays of up to `patience` shall come back.
    std::chrono::milliseconds plan_retry(const core::team_id& team, core::time_point now,
                                         std::chrono::milliseconds patience);

    /// Puts a request back that certainly did not run.
    void refund(const core::team_id& team, core::time_point now);

private:
    struct bucket {
        team_limit limit;
        double level = 0;
        core::time_point filled_at;
        sliding_count sent;
        retry_planner returns;
    };

    void fill(bucket& from, core::time_point now) const;
    bool window_has_room(bucket& of, core::time_point now) const;

    double share_;
    /// Window of the limits, and since when all requests in it are counted here; unset before the
    /// first restart.
    std::chrono::milliseconds window_{0};
    std::optional<core::time_point> counted_since_;
    std::map<core::team_id, bucket> buckets_;
};

} // namespace gooseberryfall::serving
