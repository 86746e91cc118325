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

/// Who gave a slot.
enum class admission_source {
    /// The instance that places for the whole fleet.
    leader,
    /// This instance alone, because the leader did not answer.
    local,
};

/// Text form. Thread-safe.
const char* to_text(admission_source source);

/// Answer to a call for a slot.
struct admission_decision {
    std::variant<serving::slot_granted, serving::slot_denied> result;
    admission_source source = admission_source::leader;
};

/// Settings of `admission_client`.
struct admission_settings {
    /// A call is repeated after this time without any answer: a round trip takes a few ms.
    std::chrono::milliseconds repeat_after{40};
    /// Without any answer of the leader to this call for so long, an online request is placed here.
    std::chrono::milliseconds doubt_after{130};
    /// Time for which a leader that did not answer is not asked for online requests.
    std::chrono::milliseconds doubt_time{400};
    /// A waiting batch item is asked for again at this interval.
    std::chrono::milliseconds batch_repeat{1000};
};

/// Gets slots for the work of this instance: from the leader, or, while the leader is silent, from
/// what this instance can decide alone. For the loop's thread.
class admission_client {
public:
    using on_answer = std::function<void(const admission_decision&)>;

    /// `first_number` is higher than any number of a former process at the same address.
    admission_client(fleet_service& fleet, kernel::logger& logger, kernel::metrics& metrics,
                     admission_settings settings, std::uint64_t first_number);

    /// Asks for a slot and returns the number of the call, which names the run as well. The key in
    /// the question is set here. The answer never comes within this call.
    std::uint64_t request_admission(serving::slot_call call, on_answer answer,
                                    std::function<void()> on_yield);

    /// Ends a run, or a call that has not been answered. Nothing is called back afterwards.
    void release(std::uint64_t number, serving::slot_outcome outcome,
                 std::optional<std::chrono::milliseconds> first_event,
                 std::chrono::milliseconds duration);

    /// The run's target gives no byte, or does again.
    void set_silent(std::uint64_t number, bool silent);

    /// A message of the leader.
    void on_message(const serving::peer_message& message);

    /// Time has passed; to be called every 20 ms.
    void tick(core::time_point now);

    /// The desired state in force.
    void set_state(const serving::desired_state& state);

    /// Runs under way, for the report.
    std::vector<serving::reported_run> runs() const;

    /// Sets the span in which requests count against a team's limit.
    void set_limit_window(std::chrono::milliseconds window) { spent_.set_window(window); }

    /// Requests sent in the last window of the limits, for the report.
    serving::team_counts spent() { return spent_.counts(std::chrono::steady_clock::now()); }

private:
    enum class stage { asked, queued, running };
    struct entry {
        serving::slot_call call;
        on_answer answer;
        std::function<void()> on_yield;
        stage where = stage::asked;
        admission_source source = admission_source::leader;
        core::time_point begun_at;
        core::time_point sent_at;
        core::time_point objective_at;
        core::time_point end_at;
        core::target_id target;
        bool silent = false;
    };

    /// What is counted of one kind of work.
    struct work_metrics {
        /// Time from a call to its slot.
        kernel::latency_histogram& wait;
        /// Runs by how they ended.
        kernel::counter_family runs;
    };

    work_metrics& metrics_of(const entry& of);
    void send(entry& of, core::time_point now);
    void place_locally(entry& of, core::time_point now);
    void on_reply(const serving::slot_reply& reply, admission_source source);
    void handle_local(const std::vector<serving::addressed_message>& messages);
    bool leader_doubted(core::time_point now) const { return now < doubted_until_; }

    fleet_service& fleet_;
    kernel::logger& logger_;
    admission_settings settings_;
    serving::fleet_placement local_;
    serving::spend_window spent_{serving::limit_tolerance().window};
    std::map<std::uint64_t, entry> entries_;
    std::uint64_t next_number_;
    core::time_point doubted_until_{};
    /// Replies of the local placement that are delivered at the next tick at the latest.
    std::vector<serving::slot_reply> local_replies_;
    work_metrics online_metrics_;
    work_metrics batch_metrics_;
};

} // namespace gooseberryfall::edge
