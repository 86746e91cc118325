#pragma once

#include "core/records.hpp"
#include "core/types.hpp"
#include "core/verdict.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::core {

// Messages between instances. All are one-way and may be lost, repeated or delayed.

/// What an instance says about a member.
enum class member_condition { alive, suspect, leaving };

/// News about a member, spread with probes.
struct member_news {
    incarnation_id member;
    member_condition condition = member_condition::alive;
    /// Raised by the member itself to refute a suspicion.
    std::uint64_t refutation = 0;
};

/// Asks whether an instance is there and how far it has applied the control stream.
struct probe {
    std::uint64_t sequence = 0;
    log_offset applied_next = 0;
    std::vector<member_news> news;
};

/// Answers a probe.
struct probe_answer {
    std::uint64_t sequence = 0;
    /// First control offset that the answerer has not applied.
    log_offset applied_next = 0;
    bool leaving = false;
    std::vector<member_news> news;
};

/// Asks for control groups from an offset on.
struct control_request {
    log_offset from = 0;
};

/// A group of the control stream as it was read.
struct control_group {
    log_offset offset = 0;
    wall_time appended_at;
    std::vector<control_record> records;
};

/// Relays control groups, in order and without gaps, to an instance that cannot read the log.
struct control_relay {
    /// Whole state, if the sender does not have the groups asked for any more.
    std::optional<control_checkpoint> snapshot;
    std::vector<control_group> groups;
};

/// Report of tokens spent out of a grant.
struct grant_report {
    std::uint64_t grant = 0;
    /// Tokens spent so far.
    double spent = 0;
    /// Unspent tokens given back so far.
    double returned = 0;
    /// Time since the latest spend that is counted. The owner mints what the spent tokens kept it
    /// from minting since then.
    duration age{};
    /// Whether the borrower gives the rest back; the grant is then closed.
    bool closed = false;
};

/// Asks a limit owner for tokens.
struct limit_request {
    team_id team;
    std::uint32_t portion = 0;
    /// Chosen by the borrower, unique within its incarnation.
    std::uint64_t grant = 0;
    /// Tokens wanted for requests that wait.
    double wanted = 0;
    /// Tokens wanted for requests expected soon; lent only while the portion is plentiful. If both
    /// are 0, the message only reports.
    double ahead = 0;
    std::vector<grant_report> reports;
};

/// Answers a limit request.
struct limit_grant {
    team_id team;
    std::uint32_t portion = 0;
    std::uint64_t grant = 0;
    /// Tokens lent; 0 if there are none.
    double tokens = 0;
    /// Whether the sender owns the portion and may act. If not, the borrower looks the owner up
    /// again.
    bool owner = true;
    /// Share of the portion's burst that is left, between 0 and 1.
    double left = 0;
    /// When a token will be there, as a delay; used for Retry-After.
    duration next_token{};
};

/// Use of one target by one instance, sent to the target's governor.
struct capacity_report {
    target_id target;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    /// Batch items that the instance could run there now, beyond `batch`.
    std::uint32_t batch_wanted = 0;
};

/// Batch streams that an instance may run on a target; replaces the last permit.
struct capacity_permit {
    target_id target;
    std::uint32_t batch = 0;
    /// Online requests of the other instances on the target, for routing.
    std::uint32_t online_elsewhere = 0;
};

/// Says that a target died while it ran requests with this fingerprint.
struct crash_notice {
    digest fingerprint{};
    std::uint32_t deaths = 0;
    /// Deaths while the request ran alone.
    std::uint32_t deaths_alone = 0;
};

/// How far a job is.
struct job_status {
    job_id job;
    team_id team;
    std::uint32_t items = 0;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    bool cancelled = false;
    /// Whether every item has ended or the job is cancelled.
    bool ended = false;
    digest content{};
};

/// Where a result lies.
struct result_reference {
    std::uint32_t index = 0;
    item_status status = item_status::succeeded;
    body_position body;
};

/// Asks a partition's holder about a job.
struct job_query {
    /// Chosen by the asker, unique within its incarnation.
    std::uint64_t query = 0;
    std::uint32_t partition = 0;
    /// The holder answers once it has applied the stream up to here, this offset included. Unset to
    /// ask for the present state.
    std::optional<log_offset> applied;
    job_id job;
    /// Range of results wanted.
    std::uint32_t first_result = 0;
    std::uint32_t result_limit = 0;
    /// Whether to list the jobs of the partition in place of one.
    bool list = false;
};

/// Answers a job query.
struct job_answer {
    std::uint64_t query = 0;
    /// Whether the sender holds the partition and may act. If not, nothing else is set.
    bool holder = false;
    std::vector<job_status> jobs;
    std::vector<result_reference> results;
};

using peer_message =
    std::variant<probe, probe_answer, control_request, control_relay, limit_request, limit_grant,
                 capacity_report, capacity_permit, crash_notice, job_query, job_answer>;

/// Messages from one instance to another, sent together.
struct peer_envelope {
    incarnation_id from;
    /// Where the sender can be answered, as `ip:port`; needed until it is a member.
    std::string from_address;
    /// Incarnation that the message is for; number 0 if unknown. A receiver drops what is meant for
    /// another run of itself.
    incarnation_id to;
    std::vector<peer_message> messages;
};

} // namespace gooseberryfall::core
