#pragma once

#include "serving/crash_quarantine.hpp"
#include "serving/evacuated_data_centres.hpp"
#include "serving/fleet_view.hpp"
#include "serving/leadership.hpp"
#include "serving/slot_scheduler.hpp"
#include "serving/target_conditions.hpp"
#include "serving/team_limits.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::serving {

// Messages that instances send each other in datagrams. Any of them may be lost, delayed or
// duplicated.

/// Requests a slot from the leader. Retransmitted until a reply arrives.
struct admission_request {
    /// The instance in its key is the sender.
    slot_request slot;
    /// An earlier attempt has counted against the rate limit of the team.
    bool charged = false;
    request_traits traits;
};

/// Why a request gets no slot.
enum class admission_rejection_reason { overloaded, no_target, over_limit, crashes_targets };

/// Text of a reason for logs and responses. Thread-safe.
const char* to_text(admission_rejection_reason reason);

/// A slot is assigned.
struct admission_granted {
    core::target_id target;
    /// `ip:port`.
    std::string address;
};

/// No slot is assigned, and the request has not been sent to any target.
struct admission_rejected {
    admission_rejection_reason reason = admission_rejection_reason::overloaded;
    std::chrono::milliseconds retry_after{0};
};

/// Answers an `admission_request`.
struct admission_reply {
    std::uint64_t number = 0;
    std::variant<admission_granted, admission_rejected> result;
};

/// The admission request has arrived and is queued until a slot becomes free.
struct admission_pending {
    std::uint64_t number = 0;
};

/// Releases the slot of a run that has ended, or withdraws an admission request.
struct slot_release {
    slot_result run_result;
    /// Target of the run; empty if there was none.
    core::target_id target;
    /// Traits of the request; empty if the run says nothing about them.
    request_traits traits;
};

/// Tells an instance that one of its batch runs has to give up its slot.
struct preemption_order {
    std::uint64_t number = 0;
};

/// A job partition that an instance owns. An instance that cannot reach the store does not learn
/// of its successor; of two owners the one with the higher epoch is the current one.
struct owned_partition {
    std::uint32_t number = 0;
    std::uint64_t epoch = 0;

    bool operator==(const owned_partition&) const = default;
};

/// State of an instance, sent to the leader.
struct instance_report {
    fleet_member self;
    /// Whether callers may be sent to it.
    bool ready = false;
    bool leaving = false;
    /// Time since it last read the platform's store.
    std::chrono::milliseconds store_age{0};
    std::uint64_t state_version = 0;
    /// Job partitions that it owns.
    std::vector<owned_partition> partitions;
    std::vector<reported_run> runs;
    /// Requests of each team that it has sent in the last window of the rate limits.
    team_sent_requests recent_requests;
    /// Time since its start.
    std::chrono::milliseconds uptime{0};
    /// Blocks of the leader's fleet view that it holds.
    std::vector<block_version> held_blocks;
    /// What it knows about requests that crash targets.
    crash_marks crash_marks_known;
    /// What targets have told it about themselves.
    std::vector<target_statement> statements;
    /// What it knows of the evacuations.
    evacuation_knowledge evacuations;
};

/// Heartbeat of the leader, sent to all instances.
struct leader_heartbeat {
    fleet_member leader;
    /// The sender stops leading.
    bool resigning = false;
    /// Time until the next heartbeat.
    std::chrono::milliseconds interval{0};
    std::uint64_t state_version = 0;
    /// Time since any instance has read the store.
    std::chrono::milliseconds store_age{0};
    /// Number of instances that are alive.
    std::uint32_t alive_members = 0;
    /// What the leader knows about requests that crash targets.
    crash_marks crash_marks_known;
    /// What the leader knows of the evacuations.
    evacuation_knowledge evacuations;
    /// Largest capacity of the instances that may own job partitions; unset while the leader
    /// doesn't know all instances.
    std::optional<double> largest_capacity;
};

/// Blocks of the leader's fleet view that are stale at the receiver.
struct fleet_update {
    core::instance_id leader;
    std::vector<fleet_block> blocks;
};

/// Asks who leads, and presents the sender as a candidate.
struct leader_query {
    fleet_member from;
    /// The sender can read the store.
    bool store_readable = false;
};

/// Answers a `leader_query` with the leader that the sender follows.
struct leader_hint {
    fleet_member leader;
};

/// Tells the leader that nothing listens at an instance's address: its process has ended.
struct instance_exited {
    core::instance_id instance;
};

using peer_message = std::variant<admission_request, admission_reply, admission_pending,
                                  slot_release, preemption_order, instance_report, leader_heartbeat,
                                  fleet_update, leader_query, leader_hint, instance_exited>;

} // namespace gooseberryfall::serving
