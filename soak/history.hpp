#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::soak {

/// Result of one request, as its caller observed it.
struct observed_request {
    std::string id;
    /// Whether the request may run more than once.
    bool repeatable = false;
    /// HTTP status; 0 if no response arrived.
    unsigned status = 0;
    /// Whether the response ended as its HTTP framing says.
    bool complete = false;
    std::string body;
    /// Signature header, which the engine derives from the request id.
    std::string signature;
    /// Number of the instance that it was sent to.
    std::size_t instance = 0;
    std::chrono::steady_clock::time_point sent_at{};
    std::chrono::steady_clock::time_point answered_at{};
    /// Whether its prompt has the part that crashes engines.
    bool has_crashing_part = false;
};

/// One execution of a request, as the engine (the stand-in of a target) observed it.
struct observed_run {
    std::string request;
    std::string team;
    /// Whether the caller's API key reached the engine.
    bool had_api_key = false;
    std::string engine{};
    /// Tells the processes of an engine apart.
    std::int64_t process_started_at = 0;
    std::chrono::steady_clock::time_point arrived_at{};
    /// Whether the answer said that the engine leaves.
    bool said_leaving = false;
    /// Whether the engine crashed under it.
    bool crashed = false;
    /// When the engine stopped working on it.
    std::chrono::steady_clock::time_point ended_at{};
    /// Number of the instance that sent it; unset if it isn't known.
    std::optional<std::size_t> instance{};
};

/// A result of a job's item as read.
struct observed_result {
    std::string item;
    std::string output;
    /// The result is listed as complete and lacks a part of the item's output.
    bool is_truncated = false;
};

/// Time after which an instance that has passed on that an engine leaves sends it nothing more.
constexpr std::chrono::milliseconds leaving_grace{2000};

/// Time for which an engine may still work on a run that goes on at another engine.
constexpr std::chrono::milliseconds overlap_max{400};
/// Time after a disturbance for which an instance need not end the runs that go on elsewhere.
constexpr std::chrono::milliseconds out_of_touch_time{3000};

/// What a disturbance affects: an instance, an engine, or all instances if both are unset.
struct disturbed_part {
    std::optional<std::size_t> instance{};
    std::string engine{};
};

/// Time after which every instance knows an accepted job, and a result that was read.
constexpr std::chrono::milliseconds job_settle_time{1000};

/// A read of a job's results from the first position on.
struct observed_job_read {
    std::string job;
    std::size_t instance = 0;
    /// HTTP status; 0 if no response arrived.
    unsigned status = 0;
    std::size_t result_count = 0;
    std::chrono::steady_clock::time_point sent_at{};
    std::chrono::steady_clock::time_point answered_at{};
};

/// Requests with a part that crashes engines that may reach engines after `crashes_to_recognise`
/// crashes and `settle_time`.
constexpr std::size_t late_crashes_max = 3;
constexpr std::size_t crashes_to_recognise = 5;
/// Time in which the instances agree after a disturbance.
constexpr std::chrono::milliseconds settle_time{3000};

/// Records what callers and engines observe during a soak test, and checks the service's guarantees
/// against it. The counters and logs of the instances are not used as evidence. Thread-safe.
class history {
public:
    explicit history(std::string team) : team_(std::move(team)) {}

    /// Records the result of a request.
    void add_request(const observed_request& observed);

    /// Records the submission of a job and the HTTP status of the response, which arrived `at`; 0
    /// if none arrived.
    void add_submission(const std::string& job, int item_count, unsigned status,
                        std::chrono::steady_clock::time_point at = {});

    /// Records a read of a job.
    void add_job_read(const observed_job_read& observed);

    /// Records a page of a job's results, of which the first stands at position `first_position`.
    void add_results(const std::string& job, std::size_t first_position,
                     const std::vector<observed_result>& results);

    /// Records that an instance's process has ended, or has been suspended or resumed: it need not
    /// know any more what it knew before.
    void add_interruption(std::size_t instance, std::chrono::steady_clock::time_point at);

    /// Records the begin of a disturbance of the links of an instance to the store or of the
    /// instances to an engine, of the store, or of a process that is suspended. Returns its number.
    std::size_t begin_disturbance(const disturbed_part& part,
                                  std::chrono::steady_clock::time_point at);
    /// Records the end of a disturbance. Precondition: `number` was returned before.
    void end_disturbance(std::size_t number, std::chrono::steady_clock::time_point at);

    /// Checks a time without other faults in which requests with a part came that crashes engines.
    /// Returns a sentence for each violation.
    std::vector<std::string> check_crashing_part(const std::vector<observed_run>& runs,
                                                 std::chrono::steady_clock::time_point begin,
                                                 std::chrono::steady_clock::time_point end) const;

    /// Checks every guarantee against the runs of the engines. `expected_body` is the body of each
    /// complete stream. Returns a sentence for each violation.
    std::vector<std::string> check(const std::vector<observed_run>& runs,
                                   const std::string& expected_body) const;

    /// Number of runs that went on at another engine (`continued runs`), and of runs whose sender
    /// isn't known, for the summary.
    static std::map<std::string, int> run_counts(const std::vector<observed_run>& runs);

    /// Number of items of each accepted job, by job id.
    std::map<std::string, int> accepted_job_sizes() const;

    /// Number of requests of each outcome (`status N`, or `cut` for a truncated response), and of
    /// jobs (`jobs accepted`, `jobs not accepted`), for the summary.
    std::map<std::string, int> outcome_counts() const;

private:
    struct observed_job {
        int item_count = 0;
        bool accepted = false;
        /// When the first response came that accepts it.
        std::chrono::steady_clock::time_point accepted_at{};
        /// Whether every response guarantees that no item of the job runs.
        bool always_rejected = true;
        /// Item ids by position.
        std::map<std::size_t, std::string> items_by_position;
        /// Outputs by item id.
        std::map<std::string, std::string> outputs;
    };

    /// Requests that reached a leaving engine although their instance knew. Precondition: `mutex_`
    /// is held.
    std::vector<std::string> check_leaving(const std::vector<observed_run>& runs) const;
    /// Runs that went on at an engine while the engine before still worked on them. Precondition:
    /// `mutex_` is held.
    std::vector<std::string> check_overlaps(const std::vector<observed_run>& runs) const;
    /// Reads of accepted jobs for which an instance that must know them has no job, or fewer
    /// results than were read before. Precondition: `mutex_` is held.
    std::vector<std::string> check_job_reads() const;
    /// Whether the sender of a run need not have ended it by `at`. Precondition: `mutex_` is held.
    bool was_out_of_touch(const observed_run& run, std::chrono::steady_clock::time_point at) const;
    /// The same for an instance, or any if it isn't known, and an engine, whose faults count;
    /// empty: those of no engine do. Precondition: `mutex_` is held.
    bool was_out_of_touch(std::optional<std::size_t> instance, const std::string& engine,
                          std::chrono::steady_clock::time_point begin,
                          std::chrono::steady_clock::time_point end) const;
    bool was_interrupted(std::size_t instance, std::chrono::steady_clock::time_point begin,
                         std::chrono::steady_clock::time_point end) const;

    std::string team_;
    mutable std::mutex mutex_;
    std::map<std::size_t, std::set<std::chrono::steady_clock::time_point>> interruptions_;
    struct disturbance {
        disturbed_part part;
        std::chrono::steady_clock::time_point begin;
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::time_point::max();
    };
    std::vector<disturbance> disturbances_;
    std::vector<observed_request> requests_;
    std::map<std::string, observed_job> jobs_;
    std::vector<observed_job_read> job_reads_;
    std::vector<std::string> violations_;
};

} // namespace gooseberryfall::soak
