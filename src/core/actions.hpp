#pragma once

#include "core/messages.hpp"
#include "core/records.hpp"
#include "core/types.hpp"
#include "core/verdict.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::core {

// Actions: what the decision core tells the threads of the daemon to do.

/// Time limits of one dispatch.
struct dispatch_timeouts {
    std::chrono::milliseconds connect{1000};
    std::chrono::milliseconds write{5000};
    std::chrono::milliseconds first_byte{30000};
    std::chrono::milliseconds between_bytes{10000};
};

/// Body of a caller's request, kept by the callers service.
struct online_body {
    request_id request = 0;
};

/// Body of a batch item, read from the log.
struct item_body {
    std::uint32_t partition = 0;
    job_id job;
    std::uint32_t index = 0;
    body_position position;
    /// Text generated before the item was interrupted; empty to start anew.
    std::string resume;
    std::uint32_t max_tokens = 0;
};

/// Sends a request or an item to a target. Answered by exactly one `dispatch_finished`.
struct dispatch {
    dispatch_id dispatch = 0;
    target_id target;
    std::string address;
    std::uint16_t port = 0;
    service_kind kind = service_kind::engine;
    std::variant<online_body, item_body> body;
    /// Whether the request may be sent again by the connection pool after a stale connection.
    bool repeatable = true;
    dispatch_timeouts timeouts;
};

/// Ends a dispatch at its target. `dispatch_finished` follows.
struct cancel_dispatch {
    dispatch_id dispatch = 0;
};

/// Ends a caller's request with a refusal. If its answer has started, the connection is closed
/// after an error event.
struct refuse {
    request_id request = 0;
    refusal reason;
};

/// The answer has been passed on whole; the callers service ends the response.
struct finish_answer {
    request_id request = 0;
};

/// Appends records to the control stream as one group; tried until it is acknowledged.
struct append_control {
    std::uint64_t append = 0;
    std::vector<control_record> records;
};

/// Appends records to a batch stream as one group; tried until it is acknowledged.
struct append_batch {
    std::uint64_t append = 0;
    std::uint32_t partition = 0;
    std::vector<batch_record> records;
};

/// Starts to read a batch stream from its earliest offset.
struct open_batch_stream {
    std::uint32_t partition = 0;
};

/// Ends the reading of a batch stream.
struct close_batch_stream {
    std::uint32_t partition = 0;
};

/// Polls the load of these targets from now on, and of no others.
struct poll_load {
    std::vector<target> targets;
};

/// Reads one body of a batch stream again, to carry it forward. Answered by `body_read`; a failed
/// read is tried again by the platform service.
struct read_body {
    std::uint32_t partition = 0;
    body_position position;
};

/// Sends messages to an instance.
struct send_peer {
    /// `ip:port`.
    std::string address;
    peer_envelope envelope;
};

/// The next chunk of a submission may be sent.
struct upload_continue {
    request_id request = 0;
};

/// Answers a submission, a status call or a cancel.
struct job_reply {
    request_id request = 0;
    job_status status;
};

/// Answers a results call. The bodies are read from the log.
struct results_reply {
    request_id request = 0;
    std::uint32_t partition = 0;
    job_status status;
    std::vector<result_reference> results;
};

/// An instance that a caller may use.
struct directory_entry {
    instance_id instance;
    data_centre_id data_centre;
    std::string address;
};

/// Answers a directory request.
struct directory_reply {
    request_id request = 0;
    std::vector<directory_entry> entries;
    std::chrono::milliseconds valid_for{0};
};

/// Answers an operator's change.
struct apply_reply {
    request_id request = 0;
    /// Version in force after the change was decided.
    config_version version = 0;
    /// Why the change was refused; empty if it took effect.
    std::string refused;
    /// Members that have applied it, and all members.
    std::uint32_t applied = 0;
    std::uint32_t members = 0;
};

/// State of one member, for operators.
struct member_view {
    member info;
    member_condition condition = member_condition::alive;
    /// First control offset that it has not applied, as far as known.
    log_offset applied_next = 0;
    std::vector<shard_id> shards;
};

/// State of one target, for operators.
struct target_view {
    target info;
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    bool leaving = false;
    bool suspect = false;
};

/// State of this instance, for operators and health checks.
struct status_view {
    incarnation_id self;
    bool current = false;
    bool leaving = false;
    /// `log`, `majority` or `none`.
    std::string basis;
    config_version version = 0;
    log_offset applied_next = 0;
    std::vector<member_view> members;
    std::vector<target_view> targets;
    std::uint32_t queued = 0;
    std::uint32_t running_online = 0;
    std::uint32_t running_batch = 0;
};

/// Answers an operator's query; the part asked for is set.
struct operator_reply {
    request_id request = 0;
    std::optional<status_view> status;
    std::optional<fleet> state;
    std::vector<audit_entry> audit;
    std::vector<job_status> jobs;
};

/// A change of state worth a log line.
struct log_line {
    /// For example `lease_held`.
    std::string event;
    /// Names and values.
    std::vector<std::pair<std::string, std::string>> fields;
};

/// All requests are done and all leases are released; the process may exit.
struct stopped {};

using action = std::variant<dispatch, cancel_dispatch, refuse, finish_answer, append_control,
                            append_batch, open_batch_stream, close_batch_stream, read_body,
                            poll_load, send_peer, upload_continue, job_reply, results_reply,
                            directory_reply, apply_reply, operator_reply, log_line, stopped>;

/// Collects actions in order.
using actions = std::vector<action>;

} // namespace gooseberryfall::core
