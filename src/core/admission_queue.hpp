#pragma once

#include "core/types.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
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

/// Bounded queue of online requests of all services, weighted fair between teams. Each service has
/// its own virtual time, because its targets serve nothing else. Not thread-safe.
class admission_queue {
public:
    explicit admission_queue(queue_order order = queue_order::fair);

    /// Sets a team's weight (above 0) and limit. Requests beyond a lowered limit stay.
    void set_team(const team_id& team, double weight, std::uint32_t limit);

    /// Adds a request, or returns false if the team's queue is full.
    bool push(queued_request request);

    /// Puts a request that was popped back at the front of its team's queue, for a retry. The limit
    /// does not count, and the team is charged for the request only once.
    void push_front(queued_request request);

    /// Removes and returns the next request that `ready` accepts. Within a team and service order
    /// is kept; `ready` is asked at most once for each team and service and must not change the
    /// queue.
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
        /// Virtual time of the service at the arrival.
        double arrived_at = 0;
        std::uint64_t arrival = 0;
    };
    /// Requests of one team for one service.
    struct flow {
        /// Finish tag of the request popped last.
        double last_finish = 0;
        std::deque<entry> entries;
    };
    /// Rank of a flow by its first request; the lowest is asked first.
    using head = std::pair<double, team_id>;
    struct service_queue {
        double virtual_time = 0;
        std::map<team_id, flow> flows;
        /// One entry for each flow with requests.
        std::set<head> heads;
    };
    struct team_state {
        double weight = 1;
        std::uint32_t limit = 64;
        std::size_t waiting = 0;
    };
    struct location {
        service_id service;
        team_id team;
        time_point deadline;
    };

    double start_tag(const flow& from) const;
    head head_of(const team_id& team, const flow& from) const;
    void insert(entry added, bool front);
    void forget(const queued_request& request);
    std::optional<queued_request> pop_from(service_queue& queue,
                                           const std::function<bool(const queued_request&)>& ready);
    queued_request take_head(service_queue& queue, std::set<head>::iterator position);
    queued_request extract(request_id request);

    queue_order order_;
    std::map<team_id, team_state> teams_;
    std::map<service_id, service_queue> services_;
    std::unordered_map<request_id, location> locations_;
    std::set<std::pair<time_point, request_id>> deadlines_;
    /// Service popped last; the next one is asked first.
    service_id last_service_;
    std::uint64_t next_arrival_ = 1;
    std::size_t size_ = 0;
};

} // namespace gooseberryfall::core
