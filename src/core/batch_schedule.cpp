#include "core/batch_schedule.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace gooseberryfall::core {

namespace {

void place(std::set<job_order>& jobs, const job_order& job, bool offered)
{
    if (offered) {
        jobs.insert(job);
    }
    else {
        jobs.erase(job);
    }
}

} // namespace

void batch_schedule::set(const job_order& job, const job_offer& offer)
{
    if (!offer.ready && !offer.unattempted) {
        remove(job, offer.team, offer.service);
        return;
    }
    const auto [entry, added] = teams_.try_emplace(offer.team);
    if (added) {
        // At the end of the round: a team that comes and goes with each item must not go first.
        entry->second.turn = turns_.empty() ? 0 : turns_.begin()->first + 1;
        turns_.emplace(entry->second.turn, offer.team);
    }
    lane& jobs = entry->second.lanes[offer.service];
    place(jobs.ready, job, offer.ready);
    place(jobs.unattempted, job, offer.unattempted);
}

void batch_schedule::remove(const job_order& job, const team_id& team, const service_id& service)
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return;
    }
    const auto jobs = found->second.lanes.find(service);
    if (jobs == found->second.lanes.end()) {
        return;
    }
    jobs->second.ready.erase(job);
    jobs->second.unattempted.erase(job);
    drop_if_empty(team, service);
}

std::optional<batch_schedule::candidate>
batch_schedule::choose(bool attempts, const std::function<bool(const candidate&)>& accept) const
{
    std::set<service_id> declined;
    for (const auto& [turn, team] : turns_) {
        auto chosen = choose_of(teams_.at(team), attempts, accept, declined);
        if (chosen) {
            return chosen;
        }
    }
    return std::nullopt;
}

void batch_schedule::charge(const team_id& team)
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return;
    }
    turns_.erase({found->second.turn, team});
    ++found->second.turn;
    turns_.emplace(found->second.turn, team);
}

void batch_schedule::clear()
{
    teams_.clear();
    turns_.clear();
}

void batch_schedule::drop_if_empty(const team_id& team, const service_id& service)
{
    const auto found = teams_.find(team);
    if (found->second.lanes.at(service).empty()) {
        found->second.lanes.erase(service);
    }
    if (found->second.lanes.empty()) {
        turns_.erase({found->second.turn, team});
        teams_.erase(found);
    }
}

std::optional<batch_schedule::candidate>
batch_schedule::choose_of(const team_state& team, bool attempts,
                          const std::function<bool(const candidate&)>& accept,
                          std::set<service_id>& declined) const
{
    using option = std::tuple<const job_order*, bool, const service_id*>;
    std::vector<option> options;
    for (const auto& [service, jobs] : team.lanes) {
        if (!jobs.ready.empty()) {
            options.emplace_back(&*jobs.ready.begin(), false, &service);
        }
        if (attempts && !jobs.unattempted.empty()) {
            options.emplace_back(&*jobs.unattempted.begin(), true, &service);
        }
    }
    std::sort(options.begin(), options.end(), [](const option& left, const option& right) {
        return *std::get<0>(left) < *std::get<0>(right);
    });
    for (const auto& [job, attempt, service] : options) {
        if (declined.contains(*service)) {
            continue;
        }
        const candidate offered{job->job, attempt};
        if (accept(offered)) {
            return offered;
        }
        declined.insert(*service);
    }
    return std::nullopt;
}

} // namespace gooseberryfall::core
