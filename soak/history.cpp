#include "soak/history.hpp"

#include <utility>

namespace gooseberryfall::soak {

namespace {

bool promises_not_run(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/// Items are named after their jobs.
std::string job_of(const std::string& item)
{
    return item.substr(0, item.rfind('-'));
}

} // namespace

void history::add_request(const request_seen& seen)
{
    const std::lock_guard lock(mutex_);
    requests_.push_back(seen);
}

void history::add_submission(const std::string& job, int items, unsigned status)
{
    const std::lock_guard lock(mutex_);
    job_seen& seen = jobs_[job];
    seen.items = items;
    seen.accepted = seen.accepted || status == 202;
    seen.only_refused = seen.only_refused && promises_not_run(status);
}

void history::add_results(const std::string& job, std::size_t first,
                          const std::vector<std::pair<std::string, std::string>>& items)
{
    const std::lock_guard lock(mutex_);
    job_seen& seen = jobs_[job];
    for (std::size_t index = 0; index < items.size(); ++index) {
        const auto& [item, output] = items[index];
        const std::size_t position = first + index;
        const auto [known, added] = seen.positions.try_emplace(position, item);
        if (!added && known->second != item) {
            std::string sentence = "job " + job + ": position " + std::to_string(position);
            sentence += " held " + known->second;
            sentence += " and then " + item;
            broken_.push_back(std::move(sentence));
        }
        const auto [text, is_new] = seen.outputs.try_emplace(item, output);
        if (!is_new && text->second != output) {
            broken_.push_back("item " + item + " has two outputs");
        }
    }
}

std::vector<std::string> history::check(const std::vector<run_seen>& runs,
                                        const std::string& expected_body) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> broken = broken_;
    std::map<std::string, int> run_counts;
    std::set<std::string> jobs_run;
    for (const run_seen& run : runs) {
        ++run_counts[run.request];
        jobs_run.insert(job_of(run.request));
        if (run.had_key) {
            broken.push_back("request " + run.request + " brought its key to an engine");
        }
        if (run.team != team_) {
            broken.push_back("request " + run.request + " ran for team " + run.team);
        }
    }
    for (const request_seen& seen : requests_) {
        const auto found = run_counts.find(seen.id);
        const int count = found == run_counts.end() ? 0 : found->second;
        if (!seen.repeatable && count > 1) {
            broken.push_back("request " + seen.id + " ran " + std::to_string(count) + " times");
        }
        if (promises_not_run(seen.status) && count > 0 && !seen.repeatable) {
            broken.push_back("request " + seen.id + " was refused with " +
                             std::to_string(seen.status) + " and ran");
        }
        const bool success = seen.status == 200 && seen.whole;
        if (success && seen.body != expected_body) {
            broken.push_back("request " + seen.id + " got another body");
        }
        if (success && seen.signature != "s-" + seen.id) {
            broken.push_back("request " + seen.id + " got the signature " + seen.signature);
        }
    }
    for (const auto& [job, seen] : jobs_) {
        std::set<std::string> items;
        for (const auto& [position, item] : seen.positions) {
            if (!items.insert(item).second) {
                broken.push_back("item " + item + " stands at two positions");
            }
        }
        if (seen.accepted && seen.positions.size() != static_cast<std::size_t>(seen.items)) {
            broken.push_back("job " + job + " has " + std::to_string(seen.positions.size()) +
                             " of " + std::to_string(seen.items) + " results in the end");
        }
        if (!seen.accepted && seen.only_refused && jobs_run.contains(job)) {
            broken.push_back("job " + job + " was refused every time and ran");
        }
    }
    return broken;
}

std::map<std::string, int> history::accepted() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> result;
    for (const auto& [job, seen] : jobs_) {
        if (seen.accepted) {
            result[job] = seen.items;
        }
    }
    return result;
}

std::map<std::string, int> history::totals() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> result;
    for (const request_seen& seen : requests_) {
        const bool cut = seen.status == 200 && !seen.whole;
        ++result[cut ? "cut" : "status " + std::to_string(seen.status)];
    }
    for (const auto& [job, seen] : jobs_) {
        ++result[seen.accepted ? "jobs accepted" : "jobs not accepted"];
    }
    return result;
}

} // namespace gooseberryfall::soak
