#include "soak/history.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gooseberryfall::soak {

namespace {

using std::chrono::steady_clock;

bool guarantees_not_run(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/// The id of an item is `JOB-INDEX`.
std::string job_id_of_item(const std::string& item)
{
    return item.substr(0, item.rfind('-'));
}

std::string describe_sender(const observed_run& run)
{
    return run.engine + " (sent by " +
           (run.instance ? "instance " + std::to_string(*run.instance) : "an unknown instance") +
           ")";
}

std::string describe_overlap(const observed_run& earlier, const observed_run& later)
{
    const auto overlap =
        std::chrono::duration_cast<std::chrono::milliseconds>(earlier.ended_at - later.arrived_at);
    return earlier.request + " went on at " + describe_sender(later) + " while " +
           describe_sender(earlier) + " worked on it for " + std::to_string(overlap.count()) +
           " ms more";
}

} // namespace

void history::add_request(const observed_request& observed)
{
    const std::lock_guard lock(mutex_);
    requests_.push_back(observed);
}

void history::add_job_read(const observed_job_read& observed)
{
    const std::lock_guard lock(mutex_);
    job_reads_.push_back(observed);
}

void history::add_submission(const std::string& job, int item_count, unsigned status,
                             steady_clock::time_point at)
{
    const std::lock_guard lock(mutex_);
    observed_job& observed = jobs_[job];
    if (status == 202 && !observed.accepted) {
        observed.accepted_at = at;
    }
    observed.item_count = item_count;
    observed.accepted = observed.accepted || status == 202;
    observed.always_rejected = observed.always_rejected && guarantees_not_run(status);
}

void history::add_results(const std::string& job, std::size_t first_position,
                          const std::vector<observed_result>& results)
{
    const std::lock_guard lock(mutex_);
    observed_job& observed = jobs_[job];
    for (std::size_t index = 0; index < results.size(); ++index) {
        const auto& [item, output, is_truncated] = results[index];
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
        if (is_new_item && is_truncated) {
            violations_.push_back("item " + item + " is complete with a part of its output");
        }
    }
}

void history::add_interruption(std::size_t instance, steady_clock::time_point at)
{
    const std::lock_guard lock(mutex_);
    interruptions_[instance].insert(at);
}

std::size_t history::begin_disturbance(const disturbed_part& part, steady_clock::time_point at)
{
    const std::lock_guard lock(mutex_);
    disturbances_.push_back({part, at});
    return disturbances_.size() - 1;
}

void history::end_disturbance(std::size_t number, steady_clock::time_point at)
{
    const std::lock_guard lock(mutex_);
    disturbances_[number].end = at;
}

bool history::was_out_of_touch(const observed_run& run, steady_clock::time_point at) const
{
    return was_out_of_touch(run.instance, run.engine, at - out_of_touch_time, at);
}

bool history::was_out_of_touch(std::optional<std::size_t> instance, const std::string& engine,
                               steady_clock::time_point begin, steady_clock::time_point end) const
{
    // A process that ends before its connection is accepted leaves a run whose sender isn't known.
    const bool interrupted =
        std::any_of(interruptions_.begin(), interruptions_.end(), [&](const auto& entry) {
            return (!instance || instance == entry.first) &&
                   was_interrupted(entry.first, begin, end);
        });
    if (interrupted) {
        return true;
    }
    return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const disturbance& each) {
        const bool affects_sender = !each.part.instance || each.part.instance == instance;
        const bool affects_engine = each.part.engine.empty() || each.part.engine == engine;
        return affects_sender && affects_engine && each.begin <= end && each.end >= begin;
    });
}

std::vector<std::string> history::check_job_reads() const
{
    std::vector<std::string> violations;
    for (const observed_job_read& read : job_reads_) {
        const auto found = jobs_.find(read.job);
        const bool must_be_known = found != jobs_.end() && found->second.accepted &&
                                   read.sent_at > found->second.accepted_at + job_settle_time;
        if (!must_be_known || was_out_of_touch(read.instance, {}, read.sent_at - out_of_touch_time,
                                               read.answered_at)) {
            continue;
        }
        const std::string at_instance = " at instance " + std::to_string(read.instance);
        if (read.status == 404 || read.status == 410) {
            violations.push_back("accepted job " + read.job + " is unknown" + at_instance);
        }
        std::size_t shown = 0;
        for (const observed_job_read& earlier : job_reads_) {
            if (earlier.job == read.job && earlier.status == 200 &&
                earlier.answered_at + job_settle_time < read.sent_at) {
                shown = std::max(shown, earlier.result_count);
            }
        }
        if (read.status == 200 && read.result_count < shown) {
            violations.push_back("job " + read.job + " has " + std::to_string(read.result_count) +
                                 " results" + at_instance + " after " + std::to_string(shown) +
                                 " were read");
        }
    }
    return violations;
}

std::vector<std::string> history::check_overlaps(const std::vector<observed_run>& runs) const
{
    std::map<std::string, std::vector<const observed_run*>> runs_of;
    for (const observed_run& run : runs) {
        runs_of[run.request].push_back(&run);
    }
    std::vector<std::string> violations;
    for (const auto& [request, all] : runs_of) {
        for (const observed_run* earlier : all) {
            for (const observed_run* later : all) {
                const auto due_at = later->arrived_at + overlap_max;
                if (later->engine == earlier->engine || later->arrived_at < earlier->arrived_at ||
                    earlier->ended_at <= due_at || was_out_of_touch(*earlier, due_at)) {
                    continue;
                }
                violations.push_back(describe_overlap(*earlier, *later));
            }
        }
    }
    return violations;
}

bool history::was_interrupted(std::size_t instance, steady_clock::time_point begin,
                              steady_clock::time_point end) const
{
    const auto found = interruptions_.find(instance);
    if (found == interruptions_.end()) {
        return false;
    }
    const auto first = found->second.lower_bound(begin);
    return first != found->second.end() && *first <= end;
}

std::vector<std::string> history::check_leaving(const std::vector<observed_run>& runs) const
{
    std::map<std::string, std::vector<const observed_run*>> runs_of;
    for (const observed_run& run : runs) {
        runs_of[run.request].push_back(&run);
    }
    // Time at which an instance had passed on that an engine's process leaves.
    using engine_process = std::tuple<std::size_t, std::string, std::int64_t>;
    std::map<engine_process, steady_clock::time_point> told_at;
    for (const observed_request& observed : requests_) {
        const auto found = runs_of.find(observed.id);
        // With several runs it isn't known which answers were passed on.
        const bool passed_on = observed.status == 200 && observed.complete &&
                               found != runs_of.end() && found->second.size() == 1;
        if (!passed_on || !found->second.front()->said_leaving) {
            continue;
        }
        const observed_run& run = *found->second.front();
        const engine_process process{observed.instance, run.engine, run.process_started_at};
        const auto told = told_at.try_emplace(process, observed.answered_at).first;
        told->second = std::min(told->second, observed.answered_at);
    }
    std::vector<std::string> violations;
    for (const observed_request& observed : requests_) {
        const auto found = runs_of.find(observed.id);
        if (found == runs_of.end()) {
            continue;
        }
        for (const observed_run* run : found->second) {
            const auto told =
                told_at.find({observed.instance, run->engine, run->process_started_at});
            if (told != told_at.end() && observed.sent_at > told->second + leaving_grace &&
                !was_interrupted(observed.instance, told->second, run->arrived_at)) {
                violations.push_back("request " + observed.id + " reached " + run->engine +
                                     ", which had told instance " +
                                     std::to_string(observed.instance) + " that it leaves");
            }
        }
    }
    return violations;
}

std::vector<std::string> history::check_crashing_part(const std::vector<observed_run>& runs,
                                                      steady_clock::time_point begin,
                                                      steady_clock::time_point end) const
{
    const std::lock_guard lock(mutex_);
    std::vector<steady_clock::time_point> crashes;
    for (const observed_run& run : runs) {
        if (run.crashed && run.arrived_at >= begin) {
            crashes.push_back(run.arrived_at);
        }
    }
    if (crashes.empty()) {
        return {"no request with a part that crashes engines reached an engine"};
    }
    std::sort(crashes.begin(), crashes.end());
    const auto recognised_at = crashes[std::min(crashes.size(), crashes_to_recognise) - 1];
    const auto late = std::count_if(crashes.begin(), crashes.end(), [&](const auto& at) {
        return at > recognised_at + settle_time;
    });
    std::vector<std::string> violations;
    if (late > static_cast<std::ptrdiff_t>(late_crashes_max)) {
        violations.push_back(std::to_string(late) + " requests with a part that crashes engines " +
                             "reached engines after it was known, " +
                             std::to_string(crashes.size()) + " in all");
    }
    std::size_t sound = 0;
    std::size_t served = 0;
    for (const observed_request& observed : requests_) {
        // Stricter than the users' rule, which counts from the last crash: few crashes must
        // suffice.
        if (!observed.has_crashing_part && observed.sent_at > begin + 2 * settle_time &&
            observed.sent_at < end) {
            ++sound;
            served += observed.status == 200 && observed.complete ? 1U : 0U;
        }
    }
    if (served * 2 < sound || sound == 0) {
        violations.push_back("only " + std::to_string(served) + " of " + std::to_string(sound) +
                             " sound requests were served beside those that crash engines");
    }
    return violations;
}

std::vector<std::string> history::check(const std::vector<observed_run>& runs,
                                        const std::string& expected_body) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> violations = violations_;
    for (std::string& violation : check_leaving(runs)) {
        violations.push_back(std::move(violation));
    }
    for (std::string& violation : check_overlaps(runs)) {
        violations.push_back(std::move(violation));
    }
    for (std::string& violation : check_job_reads()) {
        violations.push_back(std::move(violation));
    }
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

std::map<std::string, int> history::run_counts(const std::vector<observed_run>& runs)
{
    std::map<std::string, int> result{{"continued runs", 0}, {"runs of unknown senders", 0}};
    std::map<std::string, std::set<std::string>> engines_of;
    for (const observed_run& run : runs) {
        result["runs of unknown senders"] += run.instance ? 0 : 1;
        auto& engines = engines_of[run.request];
        result["continued runs"] += engines.insert(run.engine).second && engines.size() > 1 ? 1 : 0;
    }
    return result;
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
