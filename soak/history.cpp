#include "soak/history.hpp"

#include <utility>

namespace gooseberryfall::soak {

namespace {

bool guarantees_not_run(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/// The id of an item is `JOB-INDEX`.
std::string job_id_of_item(const std::string& item)
{
    return item.substr(0, item.rfind('-'));
}

} // namespace

void history::add_request(const observed_request& observed)
{
    const std::lock_guard lock(mutex_);
    requests_.push_back(observed);
}

void history::add_submission(const std::string& job, int item_count, unsigned status)
{
    const std::lock_guard lock(mutex_);
    observed_job& observed = jobs_[job];
    observed.item_count = item_count;
    observed.accepted = observed.accepted || status == 202;
    observed.always_rejected = observed.always_rejected && guarantees_not_run(status);
}

void history::add_results(const std::string& job, std::size_t first_position,
                          const std::vector<std::pair<std::string, std::string>>& results)
{
    const std::lock_guard lock(mutex_);
    observed_job& observed = jobs_[job];
    for (std::size_t index = 0; index < results.size(); ++index) {
        const auto& [item, output] = results[index];
        const std::size_t position = first_position + index;
        const auto [position_entry, is_new_position] =
            observed.items_by_position.try_emplace(position, item);
        if (!is_new_position && position_entry->second != item) {
            std::string sentence = "job " + job + ": position " + std::to_string(position);
            sentence += " held item " + position_entry->second;
            sentence += " and later item " + item;
            violations_.push_back(std::move(sentence));
        }
        const auto [output_entry, is_new_item] = observed.outputs.try_emplace(item, output);
        if (!is_new_item && output_entry->second != output) {
            violations_.push_back("item " + item + " has two different outputs");
        }
    }
}

std::vector<std::string> history::check(const std::vector<observed_run>& runs,
                                        const std::string& expected_body) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> violations = violations_;
    std::map<std::string, int> run_counts;
    std::set<std::string> jobs_run;
    for (const observed_run& run : runs) {
        ++run_counts[run.request];
        jobs_run.insert(job_id_of_item(run.request));
        if (run.had_api_key) {
            violations.push_back("request " + run.request +
                                 " reached an engine with the caller's API key");
        }
        if (run.team != team_) {
            violations.push_back("request " + run.request + " ran for the wrong team: " + run.team);
        }
    }
    for (const observed_request& observed : requests_) {
        const auto found = run_counts.find(observed.id);
        const int count = found == run_counts.end() ? 0 : found->second;
        if (!observed.repeatable && count > 1) {
            violations.push_back("request " + observed.id + " ran " + std::to_string(count) +
                                 " times");
        }
        if (guarantees_not_run(observed.status) && count > 0 && !observed.repeatable) {
            violations.push_back("request " + observed.id + " was rejected with status " +
                                 std::to_string(observed.status) + " but ran");
        }
        const bool success = observed.status == 200 && observed.complete;
        if (success && observed.body != expected_body) {
            violations.push_back("request " + observed.id + " got an unexpected body");
        }
        if (success && observed.signature != "s-" + observed.id) {
            violations.push_back("request " + observed.id +
                                 " got an unexpected signature: " + observed.signature);
        }
    }
    for (const auto& [job, observed] : jobs_) {
        std::set<std::string> item_ids;
        for (const auto& [position, item] : observed.items_by_position) {
            if (!item_ids.insert(item).second) {
                violations.push_back("item " + item + " is listed at two positions");
            }
        }
        if (observed.accepted &&
            observed.items_by_position.size() != static_cast<std::size_t>(observed.item_count)) {
            violations.push_back("job " + job + " has " +
                                 std::to_string(observed.items_by_position.size()) + " of " +
                                 std::to_string(observed.item_count) + " results after recovery");
        }
        if (!observed.accepted && observed.always_rejected && jobs_run.contains(job)) {
            violations.push_back("job " + job + " was rejected at every submission but ran");
        }
    }
    return violations;
}

std::map<std::string, int> history::accepted_job_sizes() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> result;
    for (const auto& [job, observed] : jobs_) {
        if (observed.accepted) {
            result[job] = observed.item_count;
        }
    }
    return result;
}

std::map<std::string, int> history::outcome_counts() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> result;
    for (const observed_request& observed : requests_) {
        const bool is_truncated = observed.status == 200 && !observed.complete;
        ++result[is_truncated ? "cut" : "status " + std::to_string(observed.status)];
    }
    for (const auto& [job, observed] : jobs_) {
        ++result[observed.accepted ? "jobs accepted" : "jobs not accepted"];
    }
    return result;
}

} // namespace gooseberryfall::soak
