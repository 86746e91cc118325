#include "serving/fair_shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gooseberryfall::serving {

namespace {

/// Slot time below which a team doesn't appear in reports, in seconds.
constexpr double reported_work_min = 0.001;

double to_seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Number of slots with which all tasks meet their due times.
double slots_needed(std::vector<deadline_task> tasks, core::time_point now)
{
    std::sort(tasks.begin(), tasks.end(),
              [](const auto& a, const auto& b) { return a.due_at < b.due_at; });
    double work = 0;
    double needed = 0;
    for (const deadline_task& task : tasks) {
        work += to_seconds(task.remaining);
        const double time = to_seconds(task.due_at - now);
        needed = time > 0 ? std::max(needed, work / time) : needed;
    }
    return needed;
}

} // namespace

const char* to_text(share_refusal reason)
{
    switch (reason) {
    case share_refusal::arrival:
        return "arrival";
    case share_refusal::displaced:
        return "displaced";
    case share_refusal::waited:
        return "waited";
    }
    return "unknown";
}

fair_shares::fair_shares(fair_share_settings settings) : settings_(settings)
{
    clear();
}

void fair_shares::clear()
{
    teams_.clear();
    indexes_.clear();
    virtual_time_ = 0;
    history_.clear();
    index_of(core::team_id());
}

void fair_shares::set_weights(const std::map<core::team_id, double>& weights)
{
    weights_ = weights;
    for (team_account& account : teams_) {
        const auto found = weights_.find(account.team);
        account.weight = found == weights_.end() ? 1.0 : found->second;
    }
}

fair_shares::team_index fair_shares::index_of(const core::team_id& team)
{
    const auto found = indexes_.find(team);
    if (found != indexes_.end()) {
        return found->second;
    }
    if (teams_.size() >= settings_.teams_max) {
        return no_team;
    }
    team_account added;
    added.team = team;
    const auto weight = weights_.find(team);
    added.weight = weight == weights_.end() ? 1.0 : weight->second;
    added.virtual_time = virtual_time_ - to_seconds(settings_.credit_max) / added.weight;
    teams_.push_back(added);
    indexes_[team] = teams_.size() - 1;
    return teams_.size() - 1;
}

double fair_shares::floor_for(double weight, core::time_point now)
{
    if (history_.empty() || now >= history_.back().at + history_step) {
        history_.push_back({now, virtual_time_});
    }
    // The first entry is the last one from before the window.
    while (history_.size() > 1 && history_[1].at + settings_.credit_window <= now) {
        history_.pop_front();
    }
    return std::max(history_.front().value,
                    virtual_time_ - to_seconds(settings_.credit_max) / weight);
}

void fair_shares::arrive(team_index team, core::time_point now)
{
    team_account& account = teams_[team];
    account.virtual_time = std::max(account.virtual_time, floor_for(account.weight, now));
}

double fair_shares::virtual_time_after(team_index team, core::duration ahead) const
{
    return teams_[team].virtual_time + to_seconds(ahead) / teams_[team].weight;
}

void fair_shares::decay(team_account& account, core::time_point now) const
{
    const double elapsed = to_seconds(now - account.updated_at);
    const double factor = std::exp(-std::max(0.0, elapsed) / to_seconds(settings_.usage_window));
    account.used *= factor;
    account.refused *= factor;
    account.updated_at = now;
}

void fair_shares::start(team_index team, core::duration work, bool contended, core::time_point now)
{
    team_account& account = teams_[team];
    decay(account, now);
    account.used += to_seconds(work);
    if (!contended) {
        return;
    }
    virtual_time_ = std::max(virtual_time_, account.virtual_time);
    account.virtual_time += to_seconds(work) / account.weight;
}

void fair_shares::finish(team_index team, core::duration work, bool contended, core::duration taken)
{
    team_account& account = teams_[team];
    const double excess = to_seconds(taken - work);
    account.used = std::max(0.0, account.used + excess);
    if (contended) {
        account.virtual_time += excess / account.weight;
    }
}

void fair_shares::refuse(team_index team, share_refusal reason, core::duration work,
                         core::time_point now)
{
    team_account& account = teams_[team];
    decay(account, now);
    account.refused += to_seconds(work);
    ++account.refusals[static_cast<std::size_t>(reason)];
}

std::vector<team_share> fair_shares::report(double slots, core::time_point now)
{
    std::vector<team_share> result;
    std::vector<double> asked;
    std::vector<double> weights;
    const double window = to_seconds(settings_.usage_window);
    for (team_account& account : teams_) {
        decay(account, now);
        const bool was_refused = std::accumulate(std::begin(account.refusals),
                                                 std::end(account.refusals), std::uint64_t{0}) > 0;
        if (account.used + account.refused < reported_work_min && !was_refused) {
            continue;
        }
        team_share entry;
        entry.team = account.team;
        entry.used_slots = account.used / window;
        entry.asked_slots = (account.used + account.refused) / window;
        entry.refused_on_arrival = account.refusals[0];
        entry.refused_displaced = account.refusals[1];
        entry.refused_after_wait = account.refusals[2];
        std::fill(std::begin(account.refusals), std::end(account.refusals), 0);
        asked.push_back(entry.asked_slots);
        weights.push_back(account.weight);
        result.push_back(std::move(entry));
    }
    const std::vector<double> divided = divide_by_weight(asked, weights, slots);
    for (std::size_t index = 0; index < result.size(); ++index) {
        result[index].share_slots = divided[index];
    }
    return result;
}

std::vector<double> divide_by_weight(const std::vector<double>& asked,
                                     const std::vector<double>& weights, double slots)
{
    std::vector<std::size_t> order(asked.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return asked[a] * weights[b] < asked[b] * weights[a];
    });
    double weight_left = std::accumulate(weights.begin(), weights.end(), 0.0);
    double slots_left = slots;
    std::vector<double> result(asked.size(), 0);
    for (const std::size_t index : order) {
        result[index] = std::min(asked[index], slots_left * weights[index] / weight_left);
        slots_left -= result[index];
        weight_left -= weights[index];
    }
    return result;
}

std::vector<bool> select_feasible_by_team(const std::vector<team_task>& tasks,
                                          const fair_shares& shares, double slots,
                                          core::time_point now)
{
    std::vector<deadline_task> all;
    std::map<fair_shares::team_index, std::vector<std::size_t>> by_team;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        all.push_back(tasks[index].task);
        by_team[tasks[index].team].push_back(index);
    }
    std::vector<bool> selected = deadline_planner::select_feasible(all, slots, now);
    const bool all_fit = std::find(selected.begin(), selected.end(), false) == selected.end();
    if (all_fit || by_team.size() < 2) {
        return selected;
    }
    std::vector<std::vector<deadline_task>> team_tasks;
    std::vector<double> asked;
    std::vector<double> weights;
    for (const auto& [team, indexes] : by_team) {
        std::vector<deadline_task>& own = team_tasks.emplace_back();
        for (const std::size_t index : indexes) {
            own.push_back(tasks[index].task);
        }
        asked.push_back(slots_needed(own, now));
        weights.push_back(shares.weight(team));
    }
    const std::vector<double> divided = divide_by_weight(asked, weights, slots);
    std::size_t position = 0;
    for (const auto& [team, indexes] : by_team) {
        const std::vector<bool> own =
            deadline_planner::select_feasible(team_tasks[position], divided[position], now);
        for (std::size_t index = 0; index < indexes.size(); ++index) {
            selected[indexes[index]] = own[index];
        }
        ++position;
    }
    return selected;
}

} // namespace gooseberryfall::serving
