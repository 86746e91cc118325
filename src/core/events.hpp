#pragma once

#include "core/messages.hpp"
#include "core/records.hpp"
#include "core/types.hpp"
#include "core/verdict.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::core {

// Events: what the threads of the daemon tell the decision core.

/// Time has passed. Sent at least every 20 ms.
struct tick {
    wall_time wall;
};

/// A caller's online request has been read whole.
struct online_arrival {
    request_id request = 0;
    /// SHA-256 of the key; unset if the caller sent none.
    std::optional<digest> key;
    std::string method;
    std::string path;
    /// Model of an inference request; empty for a plain service.
    model_id model;
    /// Tokens that the request may generate; 0 if it does not say.
    std::uint32_t max_tokens = 0;
    /// Digest of the body; with the team it makes the fingerprint.
    digest body{};
    /// Hash of the first block of the prompt, for prefix affinity.
    std::uint64_t prefix = 0;
    /// Set if the caller says whether the request may be repeated.
    std::optional<bool> repeatable;
};

/// The caller's connection is gone, or its answer has been written whole.
struct caller_gone {
    request_id request = 0;
};

/// The first byte of the answer has been passed to the caller.
struct answer_started {
    dispatch_id dispatch = 0;
};

/// How a dispatch ended.
enum class dispatch_outcome {
    /// The whole answer was received and passed on.
    completed,
    /// No byte left for the target.
    not_sent,
    /// The target said that it did not run the request.
    refused,
    /// The target said so, and that it is leaving.
    refused_leaving,
    /// The connection ended before the answer was whole.
    connection_lost,
    /// A phase took too long; the connection was closed.
    timed_out,
    /// The answer carried another request's id.
    mismatched,
    /// Cancelled by `cancel_dispatch`.
    cancelled,
    /// A batch item's body could not be read from the log. Nothing was sent.
    body_unavailable,
};

/// A dispatch has ended. Sent exactly once for each dispatch.
struct dispatch_finished {
    dispatch_id dispatch = 0;
    dispatch_outcome outcome = dispatch_outcome::completed;
    /// HTTP status of a completed answer.
    unsigned status = 0;
    /// Whether a byte of the answer has gone to the caller.
    bool answer_started = false;
    /// Tokens generated.
    std::uint32_t tokens = 0;
    /// Batch only: body of the answer, or the text generated before a cancellation.
    std::string body;
    /// What the target asked for with its refusal.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// A target said in the head of its answer to a dispatch that it is leaving.
struct target_said_leaving {
    target_id target;
};

/// A target's own report.
struct load_report {
    target_id target;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool leaving = false;
};

/// A target did not answer a load query.
struct load_report_failed {
    target_id target;
};

/// Control groups read from the log, in order.
struct control_read {
    /// When the question was sent.
    time_point asked_at;
    /// Next offset that the log will give; all groups below it were there to be read.
    log_offset head = 0;
    std::vector<control_group> groups;
    /// Earliest offset that the log still has.
    log_offset earliest = 0;
};

/// A group of a batch stream as it was read.
struct batch_group {
    log_offset offset = 0;
    wall_time appended_at;
    std::vector<batch_record> records;
};

/// Groups of a batch stream read from the log, in order.
struct batch_read {
    std::uint32_t partition = 0;
    log_offset head = 0;
    log_offset earliest = 0;
    std::vector<batch_group> groups;
};

/// A body asked for by `read_body`.
struct body_read {
    std::uint32_t partition = 0;
    body_position position;
    std::string body;
};

/// A read or an append failed; it is tried again by the platform service.
struct log_failed {
    time_point at;
};

/// An append was acknowledged by the log.
struct append_acknowledged {
    /// Number from the append action.
    std::uint64_t append = 0;
    log_offset offset = 0;
};

/// An instance as the platform lists it.
struct listed_instance {
    instance_id id;
    bool leaving = false;
};

/// The platform's list of instances, which lags. Target instances are listed by the target's name.
struct instance_list {
    std::vector<listed_instance> instances;
};

/// Messages from another instance.
struct peer_received {
    peer_envelope envelope;
};

/// A caller starts to submit a job.
struct upload_begin {
    request_id request = 0;
    std::optional<digest> key;
    std::string idempotency_key;
    model_id model;
    job_options options;
};

/// Items of a submission, in order. The next chunk may be sent after `upload_continue`.
struct upload_items {
    request_id request = 0;
    std::vector<std::string> items;
};

/// The submission has been read whole.
struct upload_end {
    request_id request = 0;
    /// SHA-256 over the items and options.
    digest content{};
};

/// What a caller wants of a job.
enum class job_call { status, results, cancel };

/// A caller asks about one of its team's jobs.
struct job_request {
    request_id request = 0;
    std::optional<digest> key;
    job_call call = job_call::status;
    job_id job;
    std::uint32_t first_result = 0;
    std::uint32_t result_limit = 0;
};

/// A caller asks which instances to use.
struct directory_request {
    request_id request = 0;
    std::optional<digest> key;
    /// Data centre that the caller names; empty for this instance's.
    data_centre_id data_centre;
};

/// An operator applies a change.
struct operator_apply {
    request_id request = 0;
    std::string author;
    std::string comment;
    /// Version that the change is based on.
    config_version base = 0;
    fleet_difference change;
};

/// What an operator wants to see.
enum class operator_view { status, fleet, audit, jobs };

/// An operator asks to see something.
struct operator_query {
    request_id request = 0;
    operator_view view = operator_view::status;
};

/// An operator stops a job, whatever its team.
struct operator_job_cancel {
    request_id request = 0;
    job_id job;
};

/// The instance shall leave: SIGTERM, or an operator's drain.
struct leave_requested {};

using event =
    std::variant<tick, online_arrival, caller_gone, answer_started, dispatch_finished,
                 target_said_leaving, load_report, load_report_failed, control_read, batch_read,
                 body_read, log_failed, append_acknowledged, instance_list, peer_received,
                 upload_begin, upload_items, upload_end, job_request, directory_request,
                 operator_apply, operator_query, operator_job_cancel, leave_requested>;

} // namespace gooseberryfall::core
