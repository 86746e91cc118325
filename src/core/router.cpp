#include "core/router.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace gooseberryfall::core {

namespace {

double ratio_of(double requests, std::uint32_t slots)
{
    return requests / static_cast<double>(std::max(1U, slots));
}

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

router::router(router_settings settings) : settings_(settings)
{
    assert(settings_.report_half_life > duration::zero());
    assert(settings_.suspect_time > duration::zero());
}

void router::set_fleet(const fleet& state)
{
    services_.clear();
    for (auto& [id, known] : targets_) {
        known.declared = false;
    }
    for (const auto& [id, info] : state.targets) {
        services_[info.service].push_back(id);
        target_state& known = targets_[id];
        const bool same_process =
            known.info.address == info.address && known.info.port == info.port;
        if (!same_process) {
            // Nothing learned at the old address holds, but its requests still end.
            target_state fresh;
            fresh.online = known.online;
            fresh.batch = known.batch;
            known = fresh;
        }
        known.info = info;
        known.declared = true;
    }
    std::erase_if(targets_, [](const auto& entry) {
        return !entry.second.declared && entry.second.own() == 0;
    });
}

void router::set_leaving(const std::set<target_id>& leaving)
{
    leaving_ = leaving;
}

router::target_state* router::find_state(const target_id& id)
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

const router::target_state* router::find_state(const target_id& id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

void router::erase_if_unused(const target_id& id)
{
    const auto found = targets_.find(id);
    if (found != targets_.end() && !found->second.declared && found->second.own() == 0) {
        targets_.erase(found);
    }
}

bool router::is_leaving(const target_state& state) const
{
    return state.leaving_by_word || leaving_.contains(state.info.id);
}

bool router::is_usable(const target_state& state, time_point now) const
{
    if (!state.declared || is_leaving(state)) {
        return false;
    }
    const bool suspect = state.suspect_until && now < *state.suspect_until;
    const bool refused = state.refused_until && now < *state.refused_until;
    if (suspect || refused) {
        return false;
    }
    const bool being_tried = state.failures > 0 && state.own() > state.sent_before_failure;
    return !being_tried;
}

std::optional<std::uint32_t> router::known_elsewhere(const target_state& state,
                                                     time_point now) const
{
    if (!state.elsewhere_at || now >= *state.elsewhere_at + settings_.elsewhere_lifetime) {
        return std::nullopt;
    }
    return state.online_elsewhere;
}

std::uint32_t router::known_online(const target_state& state, time_point now) const
{
    return state.online + known_elsewhere(state, now).value_or(0);
}

bool router::is_full(const target_state& state, time_point now) const
{
    return known_online(state, now) >= state.info.slots + settings_.overcommit;
}

bool router::is_idle(const target_state& state, time_point now) const
{
    return state.own() == 0 && known_elsewhere(state, now).value_or(0) == 0 &&
           state.reported_elsewhere == 0;
}

bool router::is_eligible(const target_state& state, const route_query& query, time_point now) const
{
    if (query.exclude.contains(state.info.id) || is_full(state, now)) {
        return false;
    }
    return !query.alone || is_idle(state, now);
}

std::optional<double> router::mean_elsewhere(const std::vector<const target_state*>& states,
                                             time_point now) const
{
    double requests = 0;
    double slots = 0;
    for (const target_state* state : states) {
        if (const auto known = known_elsewhere(*state, now)) {
            requests += *known;
            slots += state->info.slots;
        }
    }
    if (slots == 0) {
        return std::nullopt;
    }
    return requests / slots;
}

double router::load(const target_state& state, std::optional<double> mean, time_point now) const
{
    if (const auto known = known_elsewhere(state, now)) {
        return ratio_of(static_cast<double>(state.online) + *known, state.info.slots);
    }
    double elsewhere = 0;
    if (state.reported_at && state.reported_elsewhere > 0) {
        const double half_lives =
            seconds_of(now - *state.reported_at) / seconds_of(settings_.report_half_life);
        elsewhere = ratio_of(state.reported_elsewhere, state.info.slots) * std::exp2(-half_lives);
    }
    return ratio_of(state.online, state.info.slots) + std::min(elsewhere, mean.value_or(elsewhere));
}

std::vector<const router::target_state*> router::usable_of(const service_id& service,
                                                           time_point now) const
{
    std::vector<const target_state*> usable;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return usable;
    }
    usable.reserve(found->second.size());
    for (const target_id& id : found->second) {
        const target_state& state = targets_.at(id);
        if (is_usable(state, now)) {
            usable.push_back(&state);
        }
    }
    return usable;
}

const router::target_state* router::affine(const std::vector<candidate>& usable,
                                           const route_query& query, time_point now) const
{
    const candidate* chosen = nullptr;
    std::uint64_t highest = 0;
    double total = 1;
    double slots = 0;
    for (const candidate& each : usable) {
        total += each.load * each.state->info.slots;
        slots += each.state->info.slots;
        const std::uint64_t weight = stable_hash(each.state->info.id.value(), query.prefix);
        if (chosen == nullptr || weight > highest) {
            chosen = &each;
            highest = weight;
        }
    }
    if (chosen == nullptr || !is_eligible(*chosen->state, query, now)) {
        return nullptr;
    }
    // The request itself counts, and the bound is rounded up: otherwise no target of a lightly
    // loaded service would be within it.
    const double own_slots = chosen->state->info.slots;
    const double bound = std::ceil(settings_.affinity_bound * total / slots * own_slots);
    return chosen->load * own_slots + 1 <= bound ? chosen->state : nullptr;
}

bool router::is_better(const candidate& left, const candidate& right, const route_query& query,
                       time_point now) const
{
    if (left.load != right.load) {
        return left.load < right.load;
    }
    const auto must_yield = [&](const target_state& state) {
        return known_online(state, now) + state.batch >= state.info.slots;
    };
    const bool left_yields = must_yield(*left.state);
    const bool right_yields = must_yield(*right.state);
    if (left_yields != right_yields) {
        return right_yields;
    }
    // Equal targets are told apart by the request, so that instances do not all start with the
    // same.
    const std::uint64_t seed = query.prefix ^ query.request;
    return stable_hash(left.state->info.id.value(), seed) >
           stable_hash(right.state->info.id.value(), seed);
}

std::optional<target_id> router::choose(const route_query& query, time_point now) const
{
    const std::vector<const target_state*> usable = usable_of(query.service, now);
    const std::optional<double> mean = mean_elsewhere(usable, now);
    const bool random = settings_.policy == routing_policy::random;
    std::vector<candidate> candidates;
    candidates.reserve(usable.size());
    for (const target_state* state : usable) {
        candidates.push_back({state, random ? 0 : load(*state, mean, now)});
    }
    const auto is_sound = [&](const candidate& each) {
        return each.state->failures == 0 && is_eligible(*each.state, query, now);
    };
    if (query.failed_before && std::any_of(candidates.begin(), candidates.end(), is_sound)) {
        std::erase_if(candidates, [&](const candidate& each) { return !is_sound(each); });
    }
    if (!random && query.prefix != 0) {
        if (const target_state* preferred = affine(candidates, query, now)) {
            return preferred->info.id;
        }
    }
    const auto better = [&](const candidate& left, const candidate& right) {
        if (random) {
            return stable_hash(left.state->info.id.value(), query.request) >
                   stable_hash(right.state->info.id.value(), query.request);
        }
        return is_better(left, right, query, now);
    };
    const candidate* chosen = nullptr;
    for (const candidate& each : candidates) {
        if (!is_eligible(*each.state, query, now)) {
            continue;
        }
        if (chosen == nullptr || better(each, *chosen)) {
            chosen = &each;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return chosen->state->info.id;
}

bool router::has_target(const service_id& service, time_point) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const target_id& id) { return !is_leaving(targets_.at(id)); });
}

bool router::any_sound(const service_id& service, time_point now) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
        return entry.second.info.service == service && sound(entry.first, now);
    });
}

bool router::sound(const target_id& id, time_point now) const
{
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.failures == 0 && is_usable(found->second, now);
}

void router::note_started(target_state& state)
{
    state.own_peaks.front() = std::max(state.own_peaks.front(), state.own());
}

void router::note_finished(target_state& state)
{
    // Which request ended is not known. Counting it as an older one never lets two requests try a
    // suspect at once.
    if (state.sent_before_failure > 0) {
        --state.sent_before_failure;
    }
}

void router::on_online_started(const target_id& id)
{
    if (target_state* state = find_state(id)) {
        ++state->online;
        note_started(*state);
    }
}

void router::on_online_finished(const target_id& id)
{
    target_state* state = find_state(id);
    if (state == nullptr) {
        return;
    }
    assert(state->online > 0);
    --state->online;
    note_finished(*state);
    erase_if_unused(id);
}

void router::on_batch_started(const target_id& id)
{
    if (target_state* state = find_state(id)) {
        ++state->batch;
        note_started(*state);
    }
}

void router::on_batch_finished(const target_id& id)
{
    target_state* state = find_state(id);
    if (state == nullptr) {
        return;
    }
    assert(state->batch > 0);
    --state->batch;
    note_finished(*state);
    erase_if_unused(id);
}

void router::on_success(const target_id& id)
{
    if (target_state* state = find_state(id)) {
        state->failures = 0;
        state->suspect_until.reset();
    }
}

void router::on_failure(const target_id& id, time_point now)
{
    target_state* state = find_state(id);
    if (state == nullptr) {
        return;
    }
    // All requests of a target fail together when it dies, which is one failure.
    if (state->suspect_until && now < *state->suspect_until) {
        return;
    }
    duration pause = settings_.suspect_time;
    for (std::uint32_t step = 0; step < state->failures && pause < settings_.suspect_limit;
         ++step) {
        pause *= 2;
    }
    ++state->failures;
    state->suspect_until = now + std::min(pause, settings_.suspect_limit);
    state->sent_before_failure = state->own();
}

void router::on_refused(const target_id& id, duration delay, time_point now)
{
    if (target_state* state = find_state(id)) {
        const time_point until = now + std::min(delay, settings_.suspect_limit);
        state->refused_until = std::max(state->refused_until.value_or(until), until);
    }
}

void router::on_leaving(const target_id& id)
{
    if (target_state* state = find_state(id)) {
        state->leaving_by_word = true;
        state->staying_since.reset();
    }
}

void router::on_report(const target_id& id, std::uint32_t running, std::uint32_t waiting,
                       bool leaving, time_point now)
{
    target_state* state = find_state(id);
    if (state == nullptr) {
        return;
    }
    // The report lags and may count requests of this instance that have ended, so the recent peak
    // is deducted and not the present number.
    auto& peaks = state->own_peaks;
    const std::uint32_t own = *std::max_element(peaks.begin(), peaks.end());
    const std::uint32_t reported = running + waiting;
    state->reported_elsewhere = reported - std::min(reported, own);
    state->reported_at = now;
    std::copy_backward(peaks.begin(), peaks.end() - 1, peaks.end());
    peaks.front() = state->own();
    note_word(*state, leaving, now);
}

void router::on_leaving_word(const target_id& id, bool leaving, time_point now)
{
    if (target_state* state = find_state(id)) {
        note_word(*state, leaving, now);
    }
}

void router::note_word(target_state& state, bool leaving, time_point now)
{
    if (leaving) {
        state.leaving_by_word = true;
    }
    if (leaving || leaving_.contains(state.info.id)) {
        state.staying_since.reset();
        return;
    }
    const time_point since = state.staying_since.value_or(now);
    state.staying_since = since;
    if (now >= since + settings_.return_time) {
        state.leaving_by_word = false;
    }
}

bool router::leaving(const target_id& id) const
{
    const target_state* state = find_state(id);
    return state != nullptr && is_leaving(*state);
}

void router::on_online_elsewhere(const target_id& id, std::uint32_t online, time_point now)
{
    if (target_state* state = find_state(id)) {
        state->online_elsewhere = online;
        state->elsewhere_at = now;
    }
}

std::uint32_t router::online(const target_id& id) const
{
    const target_state* state = find_state(id);
    return state == nullptr ? 0 : state->online;
}

std::uint32_t router::batch(const target_id& id) const
{
    const target_state* state = find_state(id);
    return state == nullptr ? 0 : state->batch;
}

std::uint32_t router::free_slots(const target_id& id, time_point now) const
{
    const target_state* state = find_state(id);
    if (state == nullptr || !state->declared) {
        return 0;
    }
    return state->info.slots - std::min(state->info.slots, known_online(*state, now));
}

bool router::usable(const target_id& id, time_point now) const
{
    const target_state* state = find_state(id);
    return state != nullptr && is_usable(*state, now);
}

std::vector<target_id> router::targets_of(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? std::vector<target_id>{} : found->second;
}

const target* router::find(const target_id& id) const
{
    const target_state* state = find_state(id);
    return state == nullptr || !state->declared ? nullptr : &state->info;
}

std::vector<target_view> router::view(time_point now) const
{
    std::vector<target_view> views;
    for (const auto& [id, state] : targets_) {
        if (!state.declared) {
            continue;
        }
        const bool refused = state.refused_until && now < *state.refused_until;
        const bool suspect = state.failures > 0 || refused;
        views.push_back({state.info, state.online, state.batch, is_leaving(state), suspect});
    }
    return views;
}

} // namespace gooseberryfall::core
