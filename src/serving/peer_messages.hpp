#pragma once

#include "serving/fleet_view.hpp"
#include "serving/leadership.hpp"
#include "serving/slot_scheduler.hpp"
#include "serving/team_limits.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::serving {

// What instances tell each other in datagrams. Any of them may be lost, late or repeated.

/// Asks the leader for a slot. Repeated until it is answered.
struct slot_call {
    /// The instance in its key is the sender.
    slot_request question;
    /// Team whose rate the request counts against; empty if none.
    core::team_id team;
    /// Hash of team, path and body, equal for a request that is sent again.
    std::uint64_t fingerprint = 0;
};

/// Why a request gets no slot.
enum class call_refusal { overloaded, no_target, over_limit, crashes_targets };

/// Text of a reason for logs and answers. Thread-safe.
const char* to_text(call_refusal reason);

/// A slot is free.
struct slot_granted {
    core::target_id target;
    /// `ip:port`.
    std::string address;
};

/// There is no slot, and the request has not been sent anywhere.
struct slot_denied {
    call_refusal reason = call_refusal::overloaded;
    std::chrono::milliseconds retry_after{0};
};

/// Answers a call.
struct slot_reply {
    std::uint64_t number = 0;
    std::variant<slot_granted, slot_denied> result;
};

/// The call has arrived and waits for a slot.
struct slot_waiting {
    std::uint64_t number = 0;
};

/// A run has ended, or a call is withdrawn.
struct slot_end {
    slot_result ended;
    std::uint64_t fingerprint = 0;
};

/// A batch run has to leave its slot.
struct yield_order {
    std::uint64_t number = 0;
};

/// A job partition that an instance owns. An instance that cannot reach the store does not hear of
/// its successor; of two owners the one with the higher epoch is the present one.
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
    /// Age of what it has read from the platform's store.
    std::chrono::milliseconds store_age{0};
    std::uint64_t state_version = 0;
    /// Job partitions that it owns.
    std::vector<owned_partition> partitions;
    std::vector<reported_run> runs;
    /// Requests that it has sent in the last window of the limits.
    team_request_counts spent;
    /// Time since its start.
    std::chrono::milliseconds uptime{0};
    /// Blocks of the leader's view that it has.
    std::vector<block_mark> held_blocks;
};

/// The leader's sign of life, sent to all instances.
struct fleet_digest {
    fleet_member leader;
    /// The sender stops to lead.
    bool resigning = false;
    /// Time to the next digest.
    std::chrono::milliseconds interval{0};
    std::uint64_t state_version = 0;
    /// Time since any instance has read the store.
    std::chrono::milliseconds store_age{0};
    /// Instances that live.
    std::uint32_t members = 0;
};

/// Blocks of the leader's view that have changed for the receiver.
struct fleet_update {
    core::instance_id leader;
    std::vector<fleet_block> blocks;
};

/// Asks who leads, and says that the sender would.
struct leader_question {
    fleet_member from;
    /// The sender can read the store.
    bool fit = false;
};

/// Answers with the leader that the sender follows.
struct leader_hint {
    fleet_member leader;
};

/// Tells the leader that nothing listens at an instance's address: its process has ended.
struct instance_ended {
    core::instance_id instance;
};

using peer_message =
    std::variant<slot_call, slot_reply, slot_waiting, slot_end, yield_order, instance_report,
                 fleet_digest, fleet_update, leader_question, leader_hint, instance_ended>;

} // namespace gooseberryfall::serving
