#include "core/admission_queue.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

admission_queue::admission_queue(queue_order order) : order_(order) {}

void admission_queue::set_team(const team_id& team, double weight, std::uint32_t limit)
{
    assert(weight > 0);
    team_state& state = teams_[team];
    state.weight = weight;
    state.limit = limit;
}

bool admission_queue::push(queued_request request)
{
    assert(request.cost > 0);
    assert(!locations_.contains(request.request));
    const team_state& team = teams_[request.team];
    if (team.waiting >= team.limit) {
        return false;
    }
    const double virtual_time = services_[request.service].virtual_time;
    insert({std::move(request), virtual_time, next_arrival_++}, false);
    return true;
}

void admission_queue::push_front(queued_request request)
{
    assert(request.cost > 0);
    assert(!locations_.contains(request.request));
    const double weight = teams_[request.team].weight;
    service_queue& queue = services_[request.service];
    flow& from = queue.flows[request.team];
    // Popping charged the team, and will do so again.
    const double charged = request.cost / weight;
    if (!from.entries.empty()) {
        queue.heads.erase(head_of(request.team, from));
    }
    from.last_finish = std::max(0.0, from.last_finish - charged);
    if (!from.entries.empty()) {
        queue.heads.insert(head_of(request.team, from));
    }
    insert({std::move(request), queue.virtual_time, 0}, true);
}

double admission_queue::start_tag(const flow& from) const
{
    return std::max(from.entries.front().arrived_at, from.last_finish);
}

admission_queue::head admission_queue::head_of(const team_id& team, const flow& from) const
{
    if (order_ == queue_order::arrival) {
        return {static_cast<double>(from.entries.front().arrival), team};
    }
    return {start_tag(from), team};
}

void admission_queue::insert(entry added, bool front)
{
    const queued_request& request = added.request;
    const team_id team = request.team;
    service_queue& queue = services_[request.service];
    flow& to = queue.flows[team];
    if (!to.entries.empty()) {
        queue.heads.erase(head_of(team, to));
    }
    locations_.emplace(request.request, location{request.service, team, request.deadline});
    deadlines_.emplace(request.deadline, request.request);
    ++teams_[team].waiting;
    ++size_;
    if (front) {
        to.entries.push_front(std::move(added));
    }
    else {
        to.entries.push_back(std::move(added));
    }
    queue.heads.insert(head_of(team, to));
}

void admission_queue::forget(const queued_request& request)
{
    locations_.erase(request.request);
    deadlines_.erase({request.deadline, request.request});
    --teams_[request.team].waiting;
    --size_;
}

std::optional<queued_request>
admission_queue::pop(const std::function<bool(const queued_request&)>& ready)
{
    if (size_ == 0) {
        return std::nullopt;
    }
    auto position = services_.upper_bound(last_service_);
    for (std::size_t step = 0; step < services_.size(); ++step) {
        if (position == services_.end()) {
            position = services_.begin();
        }
        std::optional<queued_request> popped = pop_from(position->second, ready);
        if (popped) {
            last_service_ = position->first;
            return popped;
        }
        ++position;
    }
    return std::nullopt;
}

std::optional<queued_request>
admission_queue::pop_from(service_queue& queue,
                          const std::function<bool(const queued_request&)>& ready)
{
    for (auto position = queue.heads.begin(); position != queue.heads.end(); ++position) {
        const flow& from = queue.flows.at(position->second);
        if (ready(from.entries.front().request)) {
            return take_head(queue, position);
        }
    }
    return std::nullopt;
}

queued_request admission_queue::take_head(service_queue& queue, std::set<head>::iterator position)
{
    const team_id team = position->second;
    flow& from = queue.flows.at(team);
    const double start = start_tag(from);
    queue.heads.erase(position);
    queued_request request = std::move(from.entries.front().request);
    from.entries.pop_front();
    // The start tag may lie behind if no target took the request for a while.
    queue.virtual_time = std::max(queue.virtual_time, start);
    from.last_finish = start + request.cost / teams_[team].weight;
    if (!from.entries.empty()) {
        queue.heads.insert(head_of(team, from));
    }
    forget(request);
    return request;
}

queued_request admission_queue::extract(request_id request)
{
    const location where = locations_.at(request);
    service_queue& queue = services_.at(where.service);
    flow& from = queue.flows.at(where.team);
    const auto matches = [&](const entry& candidate) {
        return candidate.request.request == request;
    };
    const auto position = std::find_if(from.entries.begin(), from.entries.end(), matches);
    assert(position != from.entries.end());
    queue.heads.erase(head_of(where.team, from));
    queued_request extracted = std::move(position->request);
    from.entries.erase(position);
    if (!from.entries.empty()) {
        queue.heads.insert(head_of(where.team, from));
    }
    forget(extracted);
    return extracted;
}

bool admission_queue::remove(request_id request)
{
    if (!locations_.contains(request)) {
        return false;
    }
    extract(request);
    return true;
}

std::vector<queued_request> admission_queue::expire(time_point now)
{
    std::vector<queued_request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired.push_back(extract(deadlines_.begin()->second));
    }
    return expired;
}

std::size_t admission_queue::size(const team_id& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.waiting;
}

} // namespace gooseberryfall::core
