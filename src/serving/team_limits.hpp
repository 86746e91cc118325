#pragma once

#include "core/types.hpp"
#include "serving/retry_planner.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace gooseberryfall::serving {

/// Rate limit of a team.
struct team_limit {
    /// Requests per second; 0 means no limit.
    double rate = 0;
    /// Requests that may be sent at once.
    double burst = 0;

    bool operator==(const team_limit&) const = default;
};

/// Excess over a limit that the users' contract tolerates, since limits are enforced over several
/// instances.
struct limit_tolerance {
    /// Time window in which requests are counted.
    std::chrono::milliseconds window{5000};
    /// Tolerated excess: a fraction of what the limit allows in the window, plus a number of
    /// requests.
    double overage_fraction = 0;
    double overage_requests = 0;

    bool operator==(const limit_tolerance&) const = default;
};

/// Requests of a team that were sent at about the same time.
struct sent_requests {
    /// Least time since they were sent. They were sent at most `spending_step` before.
    std::chrono::milliseconds age{0};
    std::uint32_t count = 0;

    bool operator==(const sent_requests&) const = default;
};

/// Requests that each team has sent in the last window, the newest first.
using team_sent_requests = std::map<core::team_id, std::vector<sent_requests>>;

/// Resolution of the ages of sent requests in a window. Thread-safe.
constexpr std::chrono::milliseconds spending_step(std::chrono::milliseconds window)
{
    return window / 10;
}

/// Coverage of the counts of requests that were sent in the last window.
enum class spending_scope {
    /// Only the requests of some instances.
    part,
    /// About all requests in the window.
    window,
    /// All requests since the restart of all instances.
    restart,
};

/// Name of a scope for logs. Thread-safe.
const char* to_text(spending_scope scope);

/// Requests that each team has sent in the last window, as far as known.
struct team_spending {
    team_sent_requests requests;
    spending_scope scope = spending_scope::part;
    /// Time since the first instance started again, if all instances have restarted.
    std::chrono::milliseconds since_restart{0};
    /// Number of instances that have reported their counts.
    std::size_t reporting_instances = 0;
};

/// Counts events in a sliding window with a resolution of 1/50 of the window. Deterministic; not
/// thread-safe.
class sliding_counter {
public:
    void add(core::time_point now, std::chrono::milliseconds window);
    /// Adds events before all others. Precondition: each call adds earlier ones than the last.
    void add_earlier(core::time_point at, std::uint32_t events);
    /// Removes the newest event.
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

/// Rate limits of all teams, at the instance that places the requests of the whole fleet.
///
/// Load pattern: the request rate of a team changes in steps, some seconds above its limit and some
/// below. A token bucket admits the rate and one burst. Requests beyond the bucket that the
/// contract's window still allows are spare requests: they are admitted only if they get a slot
/// without waiting and so delay no other team. Rejected callers get retry delays to the times of
/// future tokens, one caller per token. Deterministic; not thread-safe.
class team_limits {
public:
    /// `share` is the fraction of each limit that this instance may admit: 1 if it places requests
    /// for the whole fleet.
    explicit team_limits(double share = 1.0) : share_(share) {}

    /// Sets the limits of all teams. A lowered limit takes effect immediately.
    void set(const std::map<core::team_id, team_limit>& limits, core::time_point now);

    /// Sets the fraction of each limit that this instance may admit.
    void set_share(double share, core::time_point now);

    /// Sets the window in which requests count against a limit. After a change, no spare requests
    /// are admitted until the window has elapsed once.
    void set_window(std::chrono::milliseconds window, core::time_point now);

    /// Takes over the limits from another instance, which may have just admitted the whole burst.
    /// Until the spending is known, each bucket holds half of the tolerated excess.
    void begin_term(const limit_tolerance& tolerance, core::time_point now);

    /// Sets the bucket levels from the spending in the last window, and counts it there. If only a
    /// part of it is known, no level is raised. After a restart of all instances, each team may
    /// have spent its limit before; the tolerated excess and the tokens earned since the restart
    /// remain.
    void apply_spending(const team_spending& spending, const limit_tolerance& tolerance,
                        core::time_point now);

    /// A team's bucket, for logs.
    struct bucket_state {
        team_limit limit;
        double level = 0;
    };
    std::optional<bucket_state> state_of(const core::team_id& team) const;

    /// Takes one token from a team's bucket and returns whether there was one. Always succeeds for
    /// a team without a limit.
    bool try_acquire(const core::team_id& team, core::time_point now);

    /// Admits a spare request, beyond the bucket, if the window allows it. Always fails until
    /// requests have been counted for a whole window.
    bool try_acquire_spare(const core::team_id& team, core::time_point now);

    /// Retry delay for a rejected caller that observes delays of up to `delay_max`.
    std::chrono::milliseconds plan_retry(const core::team_id& team, core::time_point now,
                                         std::chrono::milliseconds delay_max);

    /// Returns the token of a request that certainly has not run.
    void refund(const core::team_id& team, core::time_point now);

private:
    struct bucket {
        team_limit limit;
        double level = 0;
        core::time_point filled_at;
        sliding_counter sent_count;
        retry_planner retries;
    };

    void refill(bucket& refilled, core::time_point now) const;
    bool has_window_capacity(bucket& checked, core::time_point now) const;

    double share_;
    /// Window of the limits, and the time since which all requests in it are counted here; unset
    /// before the first term.
    std::chrono::milliseconds window_{0};
    std::optional<core::time_point> counting_since_;
    std::map<core::team_id, bucket> buckets_;
};

} // namespace gooseberryfall::serving
