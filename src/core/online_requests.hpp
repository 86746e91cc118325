#pragma once

#include "core/admission_queue.hpp"
#include "core/events.hpp"
#include "core/limit_client.hpp"
#include "core/node_parts.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gooseberryfall::core {

/// Online requests from arrival to their final answer: checks, limit, queue, dispatch, retry. Not
/// thread-safe.
class online_requests {
public:
    /// Asked to free a slot on a target that an online request is about to use.
    using make_room = std::function<void(const target_id&, time_point)>;

    online_requests(node_parts& parts, make_room yield_batch);

    /// A request arrived: it is refused, or waits for a token or a target.
    void on_arrival(const online_arrival& arrival, time_point now);

    /// The caller is gone: what runs for it is cancelled.
    void on_gone(request_id request, time_point now);

    /// Whether the dispatch belongs to an online request.
    bool owns(dispatch_id id) const { return dispatches_.contains(id); }

    /// The first byte of an answer went to the caller.
    void on_started(dispatch_id id);

    /// A dispatch ended: the request is answered, tried again or refused.
    void on_finished(const dispatch_finished& finished, time_point now);

    /// The fleet changed: requests of removed keys and teams are cut off.
    void on_fleet_changed(time_point now);

    /// Hands out tokens, sends what can be sent, and refuses what has waited too long.
    void pump(time_point now);

    /// Refuses what waits although this instance cannot act any more.
    void check_waiting(time_point now);

    /// Requests not answered yet.
    std::size_t live() const { return requests_.size(); }

    /// Requests running at targets.
    std::size_t running() const { return dispatches_.size(); }

    /// Requests waiting for a target.
    std::size_t queued() const { return queue_.size(); }

private:
    enum class phase { token, queued, running };

    struct request_state {
        phase where = phase::token;
        /// Empty for an open route.
        team_id team;
        key_id key;
        service_id service;
        service_kind kind = service_kind::engine;
        digest fingerprint{};
        std::uint64_t prefix = 0;
        double cost = 1;
        bool repeatable = true;
        /// Whether the quarantine has marked it, and whether it has an idle target for itself.
        bool marked = false;
        bool alone = false;
        /// Since when it waits for an idle target because of its mark.
        std::optional<time_point> marked_since;
        time_point token_deadline;
        time_point queue_deadline;
        std::optional<limit_token> token;
        std::uint32_t retried = 0;
        std::set<target_id> failed_targets;
        /// Set once an attempt may have run; later refusals say so.
        bool may_have_run = false;
        bool answer_started = false;
        /// Set once the final answer has been given, or the caller has gone, while a dispatch runs.
        bool answered = false;
        dispatch_id dispatch = 0;
        target_id target;
    };

    std::optional<refusal> route(const online_arrival& arrival, request_state& state) const;
    std::optional<refusal> authorize(const online_arrival& arrival, request_state& state,
                                     time_point now) const;
    void wait_for_token(request_id id, request_state& state, time_point now, bool front);
    void enqueue(request_id id, request_state& state, bool front);
    void hand_out_tokens(time_point now);
    void hand_out_tokens(const team_id& team, std::deque<request_id>& waiting, time_point now);
    void refuse_hopeless(std::deque<request_id>& waiting, const team_id& team, time_point now);
    void dispatch_queued(time_point now);
    std::optional<target_id> choose_target(request_id id, request_state& state, time_point now);
    void start(request_id id, request_state& state, const target_id& target, time_point now);
    void retry_or_refuse(request_id id, request_state& state, const refusal& reason,
                         time_point now);
    void give_up(request_id id, refusal reason);
    void forget(request_id id);
    void release_target(request_state& state);
    void account_outcome(request_state& state, const dispatch_finished& finished, time_point now);

    node_parts& parts_;
    make_room yield_batch_;
    admission_queue queue_;
    std::map<request_id, request_state> requests_;
    std::map<dispatch_id, request_id> dispatches_;
    std::map<team_id, std::deque<request_id>> waiting_;
};

} // namespace gooseberryfall::core
