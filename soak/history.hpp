#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace gooseberryfall::soak {

/// What a caller saw of one request.
struct request_seen {
    std::string id;
    bool repeatable = false;
    /// 0 if there was no answer.
    unsigned status = 0;
    /// Whether the answer ended as its framing says.
    bool whole = false;
    std::string body;
    std::string signature;
};

/// What an engine saw of one request.
struct run_seen {
    std::string request;
    std::string team;
    bool had_key = false;
};

/// Everything that callers and engines saw, and the promises checked against it. The instances' own
/// counters and logs are not used. Thread-safe.
class history {
public:
    explicit history(std::string team) : team_(std::move(team)) {}

    void add_request(const request_seen& seen);

    /// A job was sent, and answered with a status; 0 for no answer.
    void add_submission(const std::string& job, int items, unsigned status);

    /// A page of a job's results was read: items by position from `first` on.
    void add_results(const std::string& job, std::size_t first,
                     const std::vector<std::pair<std::string, std::string>>& items);

    /// Checks every promise against what the engines ran. `expected_body` is that of each stream,
    /// `item_text` the text of an item. Returns a sentence for each broken promise.
    std::vector<std::string> check(const std::vector<run_seen>& runs,
                                   const std::string& expected_body) const;

    /// Jobs that were accepted, with their number of items.
    std::map<std::string, int> accepted() const;

    /// Counts for the summary.
    std::map<std::string, int> totals() const;

private:
    struct job_seen {
        int items = 0;
        bool accepted = false;
        /// Every answer said that nothing of the job runs.
        bool only_refused = true;
        std::map<std::size_t, std::string> positions;
        std::map<std::string, std::string> outputs;
    };

    std::string team_;
    mutable std::mutex mutex_;
    std::vector<request_seen> requests_;
    std::map<std::string, job_seen> jobs_;
    std::vector<std::string> broken_;
};

} // namespace gooseberryfall::soak
