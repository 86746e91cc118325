#include "core/online_requests.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

namespace {

constexpr const char* inference_path = "/v1/chat/completions";

/// Delay named to a caller where nothing better is known.
constexpr std::chrono::milliseconds default_retry{1000};

/// Time for which a target is left alone after a refusal that names no delay.
constexpr std::chrono::milliseconds refused_pause{200};

/// Team name under which requests of open routes are queued; no team can have it, because names are
/// not empty.
const team_id open_team{};

std::chrono::milliseconds to_milliseconds(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

bool repeatable_by_method(const std::string& method)
{
    return method != "POST" && method != "PATCH";
}

std::set<target_id> joined(std::set<target_id> left, const std::set<target_id>& right)
{
    left.insert(right.begin(), right.end());
    return left;
}

} // namespace

online_requests::online_requests(node_parts& parts, make_room yield_batch)
    : parts_(parts), yield_batch_(std::move(yield_batch)), queue_(parts.settings.order)
{
}

std::optional<refusal> online_requests::route(const online_arrival& arrival,
                                              request_state& state) const
{
    const service* chosen = nullptr;
    for (const auto& [id, candidate] : parts_.state.current().services) {
        if (candidate.kind == service_kind::engine) {
            const bool matches = arrival.path == inference_path && candidate.model == arrival.model;
            if (matches) {
                chosen = &candidate;
                break;
            }
            continue;
        }
        const bool matches = arrival.path.starts_with(candidate.path_prefix);
        const bool longer =
            chosen == nullptr || candidate.path_prefix.size() > chosen->path_prefix.size();
        if (matches && longer) {
            chosen = &candidate;
        }
    }
    if (chosen == nullptr) {
        const bool inference = arrival.path == inference_path;
        return refusal{refusal_code::unknown_route,
                       inference ? "no service has the model \"" + arrival.model.value() + "\""
                                 : "no service has this path",
                       run_verdict::not_run, std::nullopt};
    }
    state.service = chosen->id;
    state.kind = chosen->kind;
    const bool by_default = chosen->kind == service_kind::engine || chosen->repeatable ||
                            repeatable_by_method(arrival.method);
    state.repeatable = arrival.repeatable.value_or(by_default);
    return std::nullopt;
}

std::optional<refusal> online_requests::authorize(const online_arrival& arrival,
                                                  request_state& state, time_point now) const
{
    const auto& services = parts_.state.current().services;
    if (services.at(state.service).open) {
        if (parts_.closed_to_new(now)) {
            return parts_.check_open(now);
        }
        return std::nullopt;
    }
    if (auto closed = parts_.check_open(now)) {
        return closed;
    }
    auto [key, reason] = parts_.find_key(arrival.key);
    if (!key) {
        return reason;
    }
    state.team = key->team;
    state.key = key->id;
    return std::nullopt;
}

void online_requests::on_arrival(const online_arrival& arrival, time_point now)
{
    ++parts_.counters.online_received;
    request_state state;
    std::optional<refusal> reason = route(arrival, state);
    // A state that is not current may lack a route that exists; the truth is then that this
    // instance cannot tell.
    if (reason && !parts_.is_current(now)) {
        reason = parts_.check_open(now);
    }
    if (!reason) {
        reason = authorize(arrival, state, now);
    }
    if (reason) {
        ++parts_.counters.online_refused;
        parts_.refuse(arrival.request, *reason);
        return;
    }
    state.fingerprint = fingerprint_of(state.team, arrival.body);
    state.prefix = arrival.prefix;
    const auto& models = parts_.state.current().models;
    const auto found = models.find(arrival.model);
    const std::uint32_t expected = found == models.end() ? 1 : found->second.expected_tokens;
    state.cost = std::max(1U, arrival.max_tokens == 0 ? expected : arrival.max_tokens);
    const quarantine_ruling ruling = parts_.crashes.rule(state.fingerprint, now);
    if (ruling == quarantine_ruling::refuse) {
        ++parts_.counters.online_refused;
        parts_.refuse(arrival.request,
                      {refusal_code::crashes_targets, "this request ended each target that ran it",
                       run_verdict::not_run,
                       to_milliseconds(parts_.crashes.remaining(state.fingerprint, now))});
        return;
    }
    state.queue_deadline = now + parts_.settings.queue_wait;
    state.token_deadline = now + parts_.settings.token_wait;
    const auto [position, inserted] = requests_.emplace(arrival.request, std::move(state));
    assert(inserted);
    if (position->second.team.empty()) {
        enqueue(arrival.request, position->second, false);
        return;
    }
    wait_for_token(arrival.request, position->second, now, false);
}

void online_requests::wait_for_token(request_id id, request_state& state, time_point now,
                                     bool front)
{
    state.where = phase::token;
    std::deque<request_id>& waiting = waiting_[state.team];
    const auto& teams = parts_.state.current().teams;
    const auto team = teams.find(state.team);
    const std::size_t limit = team == teams.end() ? 0 : team->second.queue_limit;
    if (!front && waiting.size() >= limit) {
        give_up(id,
                {refusal_code::rate_exceeded, "too many requests of the team wait for its rate",
                 run_verdict::not_run,
                 std::max(default_retry,
                          to_milliseconds(parts_.borrower.shortage(state.team, now).next_token))});
        return;
    }
    if (front) {
        waiting.push_front(id);
    }
    else {
        waiting.push_back(id);
    }
}

void online_requests::enqueue(request_id id, request_state& state, bool front)
{
    queued_request entry;
    entry.request = id;
    entry.team = state.team.empty() ? open_team : state.team;
    entry.service = state.service;
    entry.cost = state.cost;
    entry.deadline = state.queue_deadline;
    state.where = phase::queued;
    if (front) {
        queue_.push_front(entry);
        return;
    }
    if (queue_.push(entry)) {
        return;
    }
    give_up(id, {refusal_code::queue_full, "the queue of the team is full", run_verdict::not_run,
                 default_retry});
}

void online_requests::hand_out_tokens(time_point now)
{
    for (auto& [team, waiting] : waiting_) {
        hand_out_tokens(team, waiting, now);
    }
    std::erase_if(waiting_, [](const auto& entry) { return entry.second.empty(); });
}

void online_requests::hand_out_tokens(const team_id& team, std::deque<request_id>& waiting,
                                      time_point now)
{
    while (!waiting.empty()) {
        const std::optional<limit_token> token = parts_.borrower.take(team, now);
        if (!token) {
            break;
        }
        const request_id id = waiting.front();
        waiting.pop_front();
        request_state& state = requests_.at(id);
        state.token = token;
        enqueue(id, state, state.retried > 0);
    }
    parts_.borrower.want(team, static_cast<std::uint32_t>(waiting.size()), now);
}

void online_requests::refuse_hopeless(std::deque<request_id>& waiting, const team_id& team,
                                      time_point now)
{
    const limit_shortage shortage = parts_.borrower.shortage(team, now);
    std::vector<request_id> hopeless;
    for (const request_id id : waiting) {
        const request_state& state = requests_.at(id);
        const bool overdue = now >= state.token_deadline;
        const bool too_late =
            shortage.exhausted && now + shortage.next_token > state.token_deadline;
        if (overdue || too_late) {
            hopeless.push_back(id);
        }
    }
    for (const request_id id : hopeless) {
        refusal reason;
        if (shortage.exhausted) {
            reason = {refusal_code::rate_exceeded, "the team is above its rate and burst",
                      run_verdict::not_run,
                      std::max(std::chrono::milliseconds(1), to_milliseconds(shortage.next_token))};
        }
        else {
            reason = {refusal_code::limit_unavailable,
                      "the team's limit cannot be checked at the moment", run_verdict::not_run,
                      default_retry};
        }
        give_up(id, reason);
    }
}

void online_requests::pump(time_point now)
{
    hand_out_tokens(now);
    for (const queued_request& late : queue_.expire(now)) {
        give_up(late.request, {refusal_code::queue_timeout, "no target became free in time",
                               run_verdict::not_run, default_retry});
    }
    dispatch_queued(now);
}

void online_requests::check_waiting(time_point now)
{
    std::vector<team_id> teams;
    for (const auto& [team, waiting] : waiting_) {
        teams.push_back(team);
    }
    for (const team_id& team : teams) {
        refuse_hopeless(waiting_[team], team, now);
    }
    if (parts_.is_current(now)) {
        return;
    }
    std::vector<request_id> keyed;
    for (const auto& [id, state] : requests_) {
        if (state.where != phase::running && !state.team.empty()) {
            keyed.push_back(id);
        }
    }
    for (const request_id id : keyed) {
        give_up(id, not_current());
    }
}

std::optional<target_id> online_requests::choose_target(request_id id, request_state& state,
                                                        time_point now)
{
    // Targets where this instance sends nothing beside what it has sent already.
    std::set<target_id> taken = parts_.reserved_targets;
    std::set<target_id> barred = taken;
    if (state.marked) {
        taken = joined(std::move(taken), parts_.marked_targets);
        barred = joined(taken, parts_.targets_to_avoid(state.service, now));
    }
    route_query query;
    query.service = state.service;
    query.prefix = state.prefix;
    query.request = id;
    query.alone = state.alone;
    query.failed_before = !state.failed_targets.empty();
    query.exclude = joined(barred, state.failed_targets);
    std::optional<target_id> chosen = parts_.targets.choose(query, now);
    const bool waited =
        state.marked_since && now >= *state.marked_since + parts_.settings.crashes.idle_wait;
    if (!chosen && state.alone && waited) {
        // Under load no target is ever idle; the request must not hold up its team until one is.
        state.alone = false;
        query.alone = false;
        chosen = parts_.targets.choose(query, now);
    }
    if (!chosen && waited) {
        barred = taken;
        query.exclude = joined(barred, state.failed_targets);
        chosen = parts_.targets.choose(query, now);
    }
    if (chosen || state.failed_targets.empty()) {
        return chosen;
    }
    // Every other target may be gone for good: a target that failed once is better than none.
    for (const target_id& other : parts_.targets.targets_of(state.service)) {
        if (!state.failed_targets.contains(other) && parts_.targets.usable(other, now)) {
            return std::nullopt;
        }
    }
    query.exclude = barred;
    return parts_.targets.choose(query, now);
}

void online_requests::dispatch_queued(time_point now)
{
    for (;;) {
        std::optional<target_id> chosen;
        const auto ready = [&](const queued_request& candidate) {
            request_state& state = requests_.at(candidate.request);
            state.marked = parts_.crashes.rule(state.fingerprint, now) != quarantine_ruling::run;
            state.alone = state.marked;
            if (state.marked && !state.marked_since) {
                state.marked_since = now;
            }
            chosen = choose_target(candidate.request, state, now);
            return chosen.has_value();
        };
        const std::optional<queued_request> next = queue_.pop(ready);
        if (!next) {
            return;
        }
        request_state& state = requests_.at(next->request);
        if (parts_.crashes.rule(state.fingerprint, now) == quarantine_ruling::refuse) {
            give_up(next->request,
                    {refusal_code::crashes_targets, "this request ended each target that ran it",
                     run_verdict::not_run,
                     to_milliseconds(parts_.crashes.remaining(state.fingerprint, now))});
            continue;
        }
        const bool keyed = !state.team.empty();
        if (keyed && (!state.token || !parts_.borrower.spend(*state.token, now))) {
            // The token expired while the request was queued.
            state.token.reset();
            state.token_deadline = now + parts_.settings.token_wait;
            wait_for_token(next->request, state, now, true);
            continue;
        }
        start(next->request, state, *chosen, now);
    }
}

void online_requests::start(request_id id, request_state& state, const target_id& target,
                            time_point now)
{
    assert(state.target.empty());
    const core::target* info = parts_.targets.find(target);
    assert(info != nullptr);
    state.where = phase::running;
    state.target = target;
    state.dispatch = parts_.next_dispatch++;
    dispatches_.emplace(state.dispatch, id);
    if (state.alone) {
        parts_.reserved_targets.insert(target);
    }
    if (state.marked) {
        parts_.marked_targets.insert(target);
    }
    if (state.retried == 0) {
        parts_.retries.on_request(now);
    }
    parts_.targets.on_online_started(target);
    yield_batch_(target, now);
    dispatch sending;
    sending.dispatch = state.dispatch;
    sending.target = target;
    sending.address = info->address;
    sending.port = info->port;
    sending.kind = state.kind;
    sending.body = online_body{id};
    sending.repeatable = state.repeatable;
    sending.timeouts = parts_.settings.timeouts;
    parts_.emit(std::move(sending));
}

void online_requests::on_started(dispatch_id id)
{
    const auto found = dispatches_.find(id);
    if (found != dispatches_.end()) {
        requests_.at(found->second).answer_started = true;
    }
}

void online_requests::release_target(request_state& state)
{
    parts_.targets.on_online_finished(state.target);
    if (state.alone) {
        parts_.reserved_targets.erase(state.target);
    }
    if (state.marked) {
        parts_.marked_targets.erase(state.target);
    }
    dispatches_.erase(state.dispatch);
}

void online_requests::account_outcome(request_state& state, const dispatch_finished& finished,
                                      time_point now)
{
    const auto refund = [&] {
        if (state.token) {
            parts_.borrower.give_back(*state.token, now);
        }
    };
    switch (finished.outcome) {
    case dispatch_outcome::completed:
        parts_.targets.on_success(state.target);
        parts_.crashes.on_success(state.fingerprint);
        break;
    case dispatch_outcome::not_sent:
    case dispatch_outcome::body_unavailable:
        refund();
        parts_.targets.on_failure(state.target, now);
        break;
    case dispatch_outcome::refused:
        refund();
        parts_.targets.on_refused(state.target, finished.retry_after.value_or(refused_pause), now);
        break;
    case dispatch_outcome::refused_leaving:
        refund();
        parts_.targets.on_leaving(state.target);
        break;
    case dispatch_outcome::connection_lost:
    case dispatch_outcome::timed_out:
    case dispatch_outcome::mismatched:
        state.may_have_run = true;
        parts_.targets.on_failure(state.target, now);
        break;
    case dispatch_outcome::cancelled:
        state.may_have_run = true;
        break;
    }
    state.token.reset();
}

void online_requests::on_finished(const dispatch_finished& finished, time_point now)
{
    const auto found = dispatches_.find(finished.dispatch);
    if (found == dispatches_.end()) {
        return;
    }
    const request_id id = found->second;
    request_state& state = requests_.at(id);
    state.answer_started = state.answer_started || finished.answer_started;
    const target_id failed = state.target;
    account_outcome(state, finished, now);
    release_target(state);
    state.target = target_id{};
    state.marked_since.reset();
    state.failed_targets.insert(failed);
    if (state.answered) {
        if (finished.outcome == dispatch_outcome::connection_lost) {
            parts_.record_death(state.fingerprint, failed, state.alone, now);
        }
        forget(id);
        return;
    }
    switch (finished.outcome) {
    case dispatch_outcome::completed:
        ++parts_.counters.online_completed;
        parts_.emit(finish_answer{id});
        forget(id);
        return;
    case dispatch_outcome::cancelled:
        forget(id);
        return;
    case dispatch_outcome::not_sent:
    case dispatch_outcome::body_unavailable:
        retry_or_refuse(id, state,
                        {refusal_code::no_target, "no target could be reached",
                         run_verdict::not_run, default_retry},
                        now);
        return;
    case dispatch_outcome::refused:
    case dispatch_outcome::refused_leaving:
        retry_or_refuse(id, state,
                        {refusal_code::target_refused, "the target refused the request",
                         run_verdict::not_run, finished.retry_after.value_or(default_retry)},
                        now);
        return;
    case dispatch_outcome::connection_lost:
        parts_.record_death(state.fingerprint, failed, state.alone, now);
        retry_or_refuse(id, state,
                        {refusal_code::target_failed,
                         "the target ended before its answer was whole", run_verdict::may_have_run,
                         default_retry},
                        now);
        return;
    case dispatch_outcome::timed_out:
        retry_or_refuse(id, state,
                        {refusal_code::target_timeout, "the target did not answer in time",
                         run_verdict::may_have_run, default_retry},
                        now);
        return;
    case dispatch_outcome::mismatched:
        retry_or_refuse(id, state,
                        {refusal_code::answer_mismatch, "the target answered another request",
                         run_verdict::may_have_run, default_retry},
                        now);
        return;
    }
}

void online_requests::retry_or_refuse(request_id id, request_state& state, const refusal& reason,
                                      time_point now)
{
    const bool certainly_not_run = reason.verdict == run_verdict::not_run;
    const bool allowed = certainly_not_run || state.repeatable;
    if (state.answer_started || !allowed) {
        give_up(id, reason);
        return;
    }
    if (parts_.crashes.rule(state.fingerprint, now) == quarantine_ruling::refuse) {
        give_up(id, {refusal_code::crashes_targets, "this request ended each target that ran it",
                     run_verdict::may_have_run,
                     to_milliseconds(parts_.crashes.remaining(state.fingerprint, now))});
        return;
    }
    if (now >= state.queue_deadline || !parts_.retries.try_retry(state.retried, now)) {
        give_up(id, reason);
        return;
    }
    ++state.retried;
    ++parts_.counters.online_retried;
    if (state.team.empty()) {
        enqueue(id, state, true);
        return;
    }
    state.token_deadline = now + parts_.settings.token_wait;
    wait_for_token(id, state, now, true);
}

void online_requests::give_up(request_id id, refusal reason)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    // An earlier attempt may have run even if the last one did not.
    if (found->second.may_have_run && reason.verdict == run_verdict::not_run) {
        reason.verdict = run_verdict::may_have_run;
    }
    ++parts_.counters.online_refused;
    parts_.refuse(id, std::move(reason));
    forget(id);
}

void online_requests::forget(request_id id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    request_state& state = found->second;
    if (state.where == phase::queued) {
        queue_.remove(id);
    }
    if (state.where == phase::token) {
        std::deque<request_id>& waiting = waiting_[state.team];
        std::erase(waiting, id);
    }
    if (state.token && state.where == phase::queued) {
        parts_.borrower.give_back(*state.token, parts_.event_time);
    }
    requests_.erase(found);
}

void online_requests::on_gone(request_id request, time_point)
{
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return;
    }
    if (found->second.where == phase::running) {
        found->second.answered = true;
        parts_.emit(cancel_dispatch{found->second.dispatch});
        return;
    }
    forget(request);
}

void online_requests::on_fleet_changed(time_point)
{
    const fleet& current = parts_.state.current();
    for (const auto& [id, info] : current.teams) {
        queue_.set_team(id, info.weight, info.queue_limit);
    }
    queue_.set_team(open_team, 1.0, 64);
    std::vector<request_id> cut;
    for (const auto& [id, state] : requests_) {
        const auto key = current.keys.find(state.key);
        const bool valid = key != current.keys.end() && key->second.team == state.team;
        if (!state.key.empty() && !valid) {
            cut.push_back(id);
        }
    }
    for (const request_id id : cut) {
        request_state& state = requests_.at(id);
        const bool running = state.where == phase::running;
        if (state.answered) {
            continue;
        }
        if (running) {
            state.answered = true;
            parts_.emit(cancel_dispatch{state.dispatch});
        }
        ++parts_.counters.online_refused;
        parts_.refuse(
            id, {refusal_code::key_withdrawn, "the key was withdrawn",
                 running || state.may_have_run ? run_verdict::may_have_run : run_verdict::not_run,
                 std::nullopt});
        if (!running) {
            forget(id);
        }
    }
}

} // namespace gooseberryfall::core
