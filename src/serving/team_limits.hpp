#pragma once

#include "core/types.hpp"

#include <chrono>
#include <cstdint>
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
    double overage = 0;
    double slack = 0;
};

/// Requests of each team.
using team_counts = std::map<core::team_id, std::uint32_t>;

/// Token buckets of all teams at the instance that places the requests of the whole fleet.
/// Deterministic; not thread-safe.
class team_limits {
public:
    /// `share` is the part of each limit that this instance may give out: 1 where it places for the
    /// whole fleet.
    explicit team_limits(double share = 1.0) : share_(share) {}

    /// Sets the limits of all teams. A lowered limit takes effect at once.
    void set(const std::map<core::team_id, team_limit>& limits, core::time_point now);

    /// Sets the part of each limit that this instance may give out.
    void set_share(double share, core::time_point now);

    /// Starts to give out limits in the place of another instance, which may have just given out
    /// the whole burst: until it is known what was spent, each bucket holds half of what is
    /// tolerated above the limit.
    void restart(const limit_tolerance& tolerance, core::time_point now);

    /// Fills the buckets by what was spent in the last window. `complete`: nothing else was.
    /// Otherwise no bucket is filled beyond its level at the start.
    void learn(const team_counts& spent, bool complete, const limit_tolerance& tolerance,
               core::time_point now);

    /// Takes one request out of a team's bucket, or returns the time until there is one.
    std::optional<std::chrono::milliseconds> take(const core::team_id& team, core::time_point now);

    /// Puts a request back that certainly did not run.
    void give_back(const core::team_id& team, core::time_point now);

private:
    struct bucket {
        team_limit limit;
        double level = 0;
        core::time_point filled_at;
    };

    void fill(bucket& from, core::time_point now) const;
    double starting_level(const bucket& of, const limit_tolerance& tolerance) const;

    double share_;
    std::map<core::team_id, bucket> buckets_;
};

} // namespace gooseberryfall::serving
