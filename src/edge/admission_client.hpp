#pragma once

#include "edge/fleet_service.hpp"
#include "kernel/kernel.hpp"
#include "serving/serving.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace gooseberryfall::edge {

/// Where an admission decision was made.
enum class admission_source {
    /// By the leader, which admits the work of the whole fleet.
    leader,
    /// By this instance alone, because the leader did not respond.
    local,
};

/// Text form for logs. Thread-safe.
const char* to_text(admission_source source);

/// Outcome of an admission request.
struct admission_decision {
    std::variant<serving::admission_granted, serving::admission_rejected> result;
    admission_source source = admission_source::leader;
};

/// Settings of `admission_client`.
struct admission_settings {
    /// An unacknowledged request is sent again at this interval; a round trip takes a few ms.
    std::chrono::milliseconds resend_interval{40};
    /// An online request that the leader has not acknowledged within this time is placed locally.
    std::chrono::milliseconds leader_timeout{130};
    /// Time for which online requests bypass a leader that did not respond in time.
    std::chrono::milliseconds leader_backoff{400};
    /// The request of a queued batch item is sent again at this interval.
    std::chrono::milliseconds batch_resend_interval{1000};
};

/// Requests slots for the work of this instance: from the leader or, for online requests while the
/// leader does not respond, from a local placement. To be used on the event loop's thread only.
class admission_client {
public:
    using decision_callback = std::function<void(const admission_decision&)>;

    /// Precondition: `first_number` is higher than any number that an earlier process at the same
    /// address has used.
    admission_client(fleet_service& fleet, kernel::logger& logger, kernel::metrics& metrics,
                     admission_settings settings, std::uint64_t first_number);

    /// Requests a slot and returns the number of the request, which identifies the run as well.
    /// Fills in the key of the slot that is asked for. No callback is invoked within this call.
    std::uint64_t request_admission(serving::admission_request request,
                                    decision_callback on_decision,
                                    std::function<void()> on_preemption);

    /// Ends a run and releases its slot, or cancels a pending request. No callback is invoked
    /// afterwards. Unknown numbers are ignored.
    void release(std::uint64_t number, serving::slot_outcome outcome,
                 std::optional<std::chrono::milliseconds> first_event,
                 std::chrono::milliseconds duration);

    /// Marks whether the run's target sends no bytes, for the report to the leader.
    void set_unresponsive(std::uint64_t number, bool unresponsive);

    /// Handles a message of the leader.
    void on_message(const serving::peer_message& message);

    /// Resends requests and delivers local replies. To be called about every 20 ms.
    void tick(core::time_point now);

    /// Replaces the desired state in force.
    void set_state(const serving::desired_state& state);

    /// Drops all requests and runs without a callback, before the event loop ends.
    void drop_all();

    /// Runs in progress, for the report to the leader.
    std::vector<serving::reported_run> runs() const;

    /// Sets the time window in which requests count against a team's limit.
    void set_limit_window(std::chrono::milliseconds window) { spending_window_.set_window(window); }

    /// Requests of each team in the last limit window, for the report to the leader.
    serving::team_sent_requests recent_requests()
    {
        return spending_window_.recent(std::chrono::steady_clock::now());
    }

private:
    enum class request_stage { requested, queued, running };
    struct tracked_request {
        serving::admission_request request;
        decision_callback on_decision;
        std::function<void()> on_preemption;
        request_stage stage = request_stage::requested;
        admission_source source = admission_source::leader;
        core::time_point requested_at;
        core::time_point sent_at;
        core::time_point objective_at;
        core::time_point expires_at;
        /// Batch: when the item is abandoned.
        std::optional<core::time_point> item_expires_at;
        core::target_id target;
        bool unresponsive = false;
    };

    /// Metrics of one kind of work.
    struct work_metrics {
        /// Time from a request to its slot.
        kernel::latency_histogram& wait;
        /// Runs by outcome.
        kernel::counter_family runs;
    };

    work_metrics& metrics_of(const tracked_request& tracked);
    void send(tracked_request& tracked, core::time_point now);
    void request_locally(tracked_request& tracked, core::time_point now);
    void on_reply(const serving::admission_reply& reply, admission_source source);
    void collect_local_replies(const std::vector<serving::addressed_message>& messages);
    bool in_leader_backoff(core::time_point now) const { return now < leader_backoff_until_; }

    fleet_service& fleet_;
    kernel::logger& logger_;
    admission_settings settings_;
    serving::fleet_placement local_placement_;
    /// When a request was last placed locally.
    core::time_point placed_locally_at_{};
    serving::spending_window spending_window_{serving::limit_tolerance().window};
    std::map<std::uint64_t, tracked_request> requests_;
    std::uint64_t next_number_;
    core::time_point leader_backoff_until_{};
    /// Replies of the local placement; delivered at the next tick at the latest.
    std::vector<serving::admission_reply> local_replies_;
    work_metrics online_metrics_;
    work_metrics batch_metrics_;
};

} // namespace gooseberryfall::edge
