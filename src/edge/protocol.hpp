#pragma once

#include "edge/store.hpp"
#include "http/http.hpp"
#include "serving/serving.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberryfall::edge {

/// A caller's request in decoded form.
struct caller_request {
    std::string host;
    /// URL path without the query string.
    std::string path;
    /// API key of the caller's team; unset if the request has none.
    std::optional<std::string> api_key;
    /// Id that the caller gave to this attempt.
    std::string id;
    /// Time for which the caller waits for the response; unset if the request states none.
    std::optional<std::chrono::milliseconds> time_limit;
    /// Number of tokens that the request is expected to generate; 0 if unknown.
    std::uint32_t tokens = 0;
    /// Number of tokens of the prompt; 0 if unknown.
    std::uint32_t prompt_tokens = 0;
    /// Hashes of the leading parts of the prompt. The last part is left out because no other
    /// request shares it.
    std::vector<std::uint64_t> prefixes;
    /// Hashes of the same parts, each by itself.
    std::vector<std::uint64_t> prompt_parts;
    /// Id of the last stream event that the caller has received; unset if it has none.
    std::optional<std::uint64_t> last_event;
    /// The HTTP request as received.
    http::request received;
};

/// Submits a batch job. The team and the route are set from the request.
struct submit_job {
    serving::job_submission job;
};
/// Reads results of a job, starting at a position.
struct read_results {
    std::string job;
    std::uint32_t first_position = 0;
    /// Time to wait for the first result.
    std::chrono::milliseconds wait{0};
};
/// Reads the request body of an item of a job.
struct read_item {
    std::string job;
    std::string item;
};
/// Cancels a job.
struct cancel_job {
    std::string job;
};

using job_call = std::variant<submit_job, read_results, read_item, cancel_job>;

/// One page of a job's results.
struct results_page {
    /// Number of items of the job.
    std::uint32_t total = 0;
    /// Position from which the next page is to be read.
    std::uint32_t next_position = 0;
    struct entry {
        /// Id of the item.
        std::string item;
        serving::result_state state = serving::result_state::complete;
        std::string output;
    };
    std::vector<entry> results;
};

/// Outcome of a job call.
enum class job_outcome {
    /// The job is stored durably, and this system is responsible for it from now on.
    accepted,
    cancelled,
    /// There is no such job or item.
    not_found,
    /// The team's pending tokens have reached their limit. Nothing of the job runs.
    over_limit,
    /// The submission is larger than any that can be stored. Nothing of the job runs.
    too_large,
    /// The call can't be served now and had no effect: nothing of the job runs because of it.
    unavailable,
    /// It isn't known whether the call took effect.
    uncertain,
    /// The call is malformed.
    invalid,
};

/// Response to a job call: an outcome, a page of results or the body of an item.
using job_response = std::variant<job_outcome, results_page, std::string>;

/// Why a request ends without a target's response.
enum class rejection_reason {
    /// No desired state is known yet.
    no_state,
    /// This instance rejects all requests because it is about to exit.
    leaving,
    unknown_route,
    unknown_key,
    over_limit,
    overloaded,
    no_target,
    /// The request is suspected of crashing the targets that it is sent to.
    crashes_targets,
    /// The request was sent, and no complete response arrived.
    target_failed,
    /// The request was sent, and its time limit has passed.
    timed_out,
    invalid,
};

/// Name of the reason in logs and metrics. Thread-safe.
const char* to_text(rejection_reason reason);

/// Whether a request that was rejected for this reason has certainly not run. Thread-safe.
bool guarantees_not_run(rejection_reason reason);

/// One attempt to send a request or batch item to a target.
struct target_attempt {
    core::target_id target;
    std::string address;
    /// Team on whose behalf the work runs; empty for a route that needs no key.
    core::team_id team;
    std::chrono::milliseconds time_left{0};
    /// Id of the event after which the stream resumes; unset to start from the beginning.
    std::optional<std::uint64_t> last_event;
};

/// What a target says about its rate limit in a response.
struct rate_limit_statement {
    /// Requests a second that it takes from all instances together; unset if it names no limit.
    std::optional<double> rate;
};

/// What the headers of a target's response say in addition to its status.
struct target_response_flags {
    /// The response belongs to this request.
    bool matches_request = false;
    /// The target states that it did not run the request.
    bool not_run = false;
    bool is_event_stream = false;
    /// The response has the target's signature.
    bool signed_by_target = false;
    /// The target says that it leaves. Only set in a response that names this request.
    bool target_leaves = false;
    /// What the target says about its rate limit. Unset in a response that doesn't name this
    /// request, or whose limit can't be read.
    std::optional<rate_limit_statement> rate_limit;
    /// Time for which the target says that it stays cold; 0 if it says nothing of it. Unset in a
    /// response that doesn't name this request, or whose time can't be read.
    std::optional<std::chrono::milliseconds> cold_for;
};

/// Translates between the wire protocols of callers and targets and the types of this system.
/// Implemented by the platform adapter; every method is thread-safe.
class protocol {
public:
    protocol() = default;
    virtual ~protocol() = default;
    protocol(const protocol&) = delete;
    protocol& operator=(const protocol&) = delete;
    protocol(protocol&&) = delete;
    protocol& operator=(protocol&&) = delete;

    /// Decodes a caller's request; the error says why it is malformed.
    virtual tl::expected<caller_request, std::string> decode(http::request received) const = 0;

    /// Whether the path is that of a call about an existing job.
    virtual bool is_job_call(const caller_request& request) const = 0;

    /// Decodes a call about a job; the error says why it is malformed. `is_submission`: the request
    /// came on a batch route and submits a job.
    virtual tl::expected<job_call, std::string> decode_job_call(const caller_request& request,
                                                                bool is_submission) const = 0;

    /// Encodes the response to a job call. `retry_after` is for outcomes that allow a retry.
    virtual http::response encode(const job_response& call_response,
                                  std::chrono::milliseconds retry_after) const = 0;

    /// Encodes the response to a rejected request. `retry_after` is dropped if the request may have
    /// run.
    virtual http::response
    encode_rejection(rejection_reason reason, const std::string& request_id,
                     std::optional<std::chrono::milliseconds> retry_after) const = 0;

    /// Makes the request that is sent to a target for a caller's request.
    virtual http::client_request make_target_request(const caller_request& request,
                                                     const target_attempt& attempt) const = 0;

    /// Makes the request that is sent to a target for a batch item.
    virtual http::client_request make_item_request(const serving::job_item& item,
                                                   const std::string& host,
                                                   const target_attempt& attempt) const = 0;

    /// Evaluates the headers of a target's response to the request with the id `request_id`.
    virtual target_response_flags classify_response(const http::response_head& head,
                                                    const std::string& request_id) const = 0;

    /// Headers of a target's response that are forwarded to the caller.
    virtual http::header_fields forwarded_headers(const http::response_head& head) const = 0;

    /// Hashes of the leading prompt parts of a batch item, as in `caller_request::prefixes`.
    virtual std::vector<std::uint64_t>
    item_prompt_prefixes(const serving::job_item& item) const = 0;

    /// Hashes of the prompt parts of a batch item, as in `caller_request::prompt_parts`.
    virtual std::vector<std::uint64_t> item_prompt_parts(const serving::job_item& item) const = 0;

    /// Number of tokens that a batch item is expected to generate.
    virtual std::uint32_t expected_item_tokens(const serving::job_item& item) const = 0;

    /// Number of prompt tokens of a batch item; 0 if unknown.
    virtual std::uint32_t item_prompt_tokens(const serving::job_item& item) const = 0;

    /// Whether the request asks for the addresses that callers may connect to.
    virtual bool is_directory_request(const http::request& received) const = 0;

    /// Encodes the addresses that callers may use for `lifetime`.
    virtual http::response encode_directory(const std::vector<std::string>& addresses,
                                            std::chrono::seconds lifetime) const = 0;

    /// Whether the request is a readiness check of this instance.
    virtual bool is_readiness_check(const http::request& received) const = 0;

    /// Decodes the record of the desired state; the error says what is wrong with it.
    virtual tl::expected<serving::desired_state, std::string>
    decode_state(const std::string& value) const = 0;

    /// Decodes a target's record, whose key is `id`; the error says what is wrong with it.
    virtual tl::expected<serving::target_entry, std::string>
    decode_target(const std::string& id, const std::string& value) const = 0;

    /// Partition of the store that holds the record of the desired state.
    virtual const topic_partition& state_partition() const = 0;
    /// Key of the record of the desired state.
    virtual const std::string& state_key() const = 0;
    /// Data centre whose evacuation a record of that partition orders; unset if the key is not that
    /// of an evacuation.
    virtual std::optional<core::data_centre_id>
    decode_evacuation_key(const std::string& key) const = 0;
    /// Partition of the store that holds the records of the targets.
    virtual const topic_partition& target_partition() const = 0;
};

} // namespace gooseberryfall::edge
