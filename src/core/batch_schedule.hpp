#pragma once

#include "core/types.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace gooseberryfall::core {

/// Place of a job in its team's order: oldest first.
struct job_order {
    wall_time opened_at;
    job_id job;

    auto operator<=>(const job_order&) const = default;
};

/// What of a job can be handed out.
struct job_offer {
    team_id team;
    service_id service;
    /// Items that can be sent at once.
    bool ready = false;
    /// Items that need an attempt record first.
    bool unattempted = false;
};

/// Order in which items are handed out: in turn between teams, oldest job first within a team. A
/// job costs nothing while it has nothing to offer. Not thread-safe.
class batch_schedule {
public:
    /// A job that may be next.
    struct candidate {
        job_id job;
        /// Whether the item is to get its attempt record, in place of being sent.
        bool attempt = false;
    };

    /// Sets what a job offers.
    void set(const job_order& job, const job_offer& offer);

    /// Takes a job out.
    void remove(const job_order& job, const team_id& team, const service_id& service);

    /// First candidate that `accept` accepts. A declined candidate's service is not offered again
    /// during the call. Jobs that need attempt records are offered if `attempts` is set.
    std::optional<candidate> choose(bool attempts,
                                    const std::function<bool(const candidate&)>& accept) const;

    /// An item of the team was sent: it is the next team's turn.
    void charge(const team_id& team);

    void clear();

private:
    struct lane {
        std::set<job_order> ready;
        std::set<job_order> unattempted;

        bool empty() const { return ready.empty() && unattempted.empty(); }
    };
    struct team_state {
        /// Rounds taken part in.
        std::uint64_t turn = 0;
        std::map<service_id, lane> lanes;
    };

    void drop_if_empty(const team_id& team, const service_id& service);
    std::optional<candidate> choose_of(const team_state& team, bool attempts,
                                       const std::function<bool(const candidate&)>& accept,
                                       std::set<service_id>& declined) const;

    std::map<team_id, team_state> teams_;
    std::set<std::pair<std::uint64_t, team_id>> turns_;
};

} // namespace gooseberryfall::core
