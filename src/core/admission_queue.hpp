#pragma once

#include "core/types.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberryfall::core {

/// A request that waits for a target.
struct queued_request {
    request_id request = 0;
    team_id team;
    service_id service;
    /// Estimated tokens; at least 1.
    double cost = 1;
    time_point deadline;
};

/// Order between teams.
enum class queue_order {
    /// Start-time fair queueing by cost and weight.
    fair,
    /// First come, first served; the baseline of the performance tests.
    arrival,
};

/// Bounded queue of online requests of all services, weighted fair between teams. Not thread-safe.
class admission_queue {
public:
    explicit admission_queue(queue_order order = queue_order::fair);

    /// Sets a team's weight (above 0) and limit. Requests beyond a lowered limit stay.
    void set_team(const team_id& team, double weight, std::uint32_t limit);

    /// Adds a request, or returns false if the team's queue is full.
    bool push(queued_request request);

    /// Puts a request back at the front of its team's queue, for a retry; the limit does not count.
    void push_front(queued_request request);

    /// Removes and returns the next request that `ready` accepts. Within a team and service order
    /// is kept; `ready` is asked at most once for each team and service.
    std::optional<queued_request> pop(const std::function<bool(const queued_request&)>& ready);

    /// Removes a request and says whether it was there.
    bool remove(request_id request);

    /// Removes and returns requests whose deadline has passed.
    std::vector<queued_request> expire(time_point now);

    /// Requests waiting, in all or of one team.
    std::size_t size() const { return size_; }
    std::size_t size(const team_id& team) const;

private:
    struct entry {
        queued_request request;
        double start = 0;
        double finish = 0;
        std::uint64_t arrival = 0;
    };
    struct team_queue {
        double weight = 1;
        std::uint32_t limit = 64;
        double last_finish = 0;
        std::vector<entry> entries;
    };

    queue_order order_;
    std::map<team_id, team_queue> teams_;
    double virtual_time_ = 0;
    std::uint64_t next_arrival_ = 1;
    std::size_t size_ = 0;
};

} // namespace gooseberryfall::core
