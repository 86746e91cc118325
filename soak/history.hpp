#pragma once

#include <cstdint>
#include <map>
#include <mutex>
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
};

/// One execution of a request, as the engine (the stand-in of a target) observed it.
struct observed_run {
    std::string request;
    std::string team;
    /// Whether the caller's API key reached the engine.
    bool had_api_key = false;
};

/// Records what callers and engines observe during a soak test, and checks the service's guarantees
/// against it. The counters and logs of the instances are not used as evidence. Thread-safe.
class history {
public:
    explicit history(std::string team) : team_(std::move(team)) {}

    /// Records the result of a request.
    void add_request(const observed_request& observed);

    /// Records the submission of a job and the HTTP status of the response; 0 if none arrived.
    void add_submission(const std::string& job, int item_count, unsigned status);

    /// Records a page of a job's results: pairs of item id and output, of which the first stands at
    /// position `first_position`.
    void add_results(const std::string& job, std::size_t first_position,
                     const std::vector<std::pair<std::string, std::string>>& results);

    /// Checks every guarantee against the runs of the engines. `expected_body` is the body of each
    /// complete stream. Returns a sentence for each violation.
    std::vector<std::string> check(const std::vector<observed_run>& runs,
                                   const std::string& expected_body) const;

    /// Number of items of each accepted job, by job id.
    std::map<std::string, int> accepted_job_sizes() const;

    /// Number of requests of each outcome (`status N`, or `cut` for a truncated response), and of
    /// jobs (`jobs accepted`, `jobs not accepted`), for the summary.
    std::map<std::string, int> outcome_counts() const;

private:
    struct observed_job {
        int item_count = 0;
        bool accepted = false;
        /// Whether every response guarantees that no item of the job runs.
        bool always_rejected = true;
        /// Item ids by position.
        std::map<std::size_t, std::string> items_by_position;
        /// Outputs by item id.
        std::map<std::string, std::string> outputs;
    };

    std::string team_;
    mutable std::mutex mutex_;
    std::vector<observed_request> requests_;
    std::map<std::string, observed_job> jobs_;
    std::vector<std::string> violations_;
};

} // namespace gooseberryfall::soak
