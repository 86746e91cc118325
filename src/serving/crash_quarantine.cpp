#include "serving/crash_quarantine.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

milliseconds age_of(core::time_point at, core::time_point now)
{
    return std::chrono::duration_cast<milliseconds>(std::max(now, at) - at);
}

} // namespace

std::string to_text(const request_trait& trait)
{
    std::array<char, 17> hash{};
    std::snprintf(hash.data(), hash.size(), "%016llx", static_cast<unsigned long long>(trait.hash));
    return (trait.kind == trait_kind::whole_request ? "request:" : "part:") +
           std::string(hash.data());
}

const char* to_text(quarantine_change change)
{
    switch (change) {
    case quarantine_change::crash:
        return "target_crash_suspected";
    case quarantine_change::refused:
        return "trait_refused";
    case quarantine_change::cleared:
        return "trait_cleared";
    }
    return "unknown";
}

std::vector<request_trait> request_traits::all() const
{
    std::set<request_trait> traits;
    if (fingerprint != 0) {
        traits.insert({trait_kind::whole_request, fingerprint});
    }
    for (const std::uint64_t part : parts) {
        traits.insert({trait_kind::prompt_part, part});
    }
    return {traits.begin(), traits.end()};
}

crash_quarantine::mark_state* crash_quarantine::find(const request_trait& trait,
                                                     core::time_point now)
{
    const auto found = marks_.find(trait);
    if (found == marks_.end()) {
        return nullptr;
    }
    if (now - found->second.last_crash >= settings_.lifetime) {
        marks_.erase(found);
        return nullptr;
    }
    return &found->second;
}

bool crash_quarantine::restricts(const mark_state& mark,
                                 const std::vector<request_trait>& traits) const
{
    if (!mark.refused && mark.crashes < settings_.isolation_threshold) {
        return false;
    }
    return std::all_of(mark.companions.begin(), mark.companions.end(),
                       [&](const request_trait& companion) {
                           return !marks_.contains(companion) ||
                                  std::binary_search(traits.begin(), traits.end(), companion);
                       });
}

milliseconds crash_quarantine::hold(const mark_state& mark) const
{
    const auto grow = [this](milliseconds first, int factor, std::uint32_t times) {
        milliseconds result = first;
        for (std::uint32_t time = 0; time < times && result < settings_.hold_max; ++time) {
            result *= factor;
        }
        return std::min(result, settings_.hold_max);
    };
    const auto above = [](std::uint32_t crashes, std::uint32_t threshold) {
        return std::max(crashes, threshold) - threshold;
    };
    const milliseconds isolation = grow(settings_.isolation_delay, settings_.isolation_factor,
                                        above(mark.crashes, settings_.isolation_threshold));
    if (!mark.refused) {
        return isolation;
    }
    return std::max(isolation,
                    grow(settings_.initial_hold, settings_.hold_factor,
                         above(mark.crashes_of_sound_targets, settings_.refusal_threshold)));
}

std::optional<crash_quarantine::refusal> crash_quarantine::held(const request_trait& trait,
                                                                const mark_state& mark,
                                                                core::time_point now) const
{
    const bool may_try = settings_.runs_trials || !mark.refused;
    const core::time_point end =
        may_try ? mark.last_crash + hold(mark) : now + settings_.initial_hold;
    if (now >= end) {
        return std::nullopt;
    }
    return refusal{trait, std::chrono::ceil<milliseconds>(end - now)};
}

std::optional<crash_quarantine::refusal>
crash_quarantine::rule(const run_key& key, const request_traits& traits,
                       const std::function<bool(const run_key&)>& is_active, core::time_point now)
{
    if (marks_.empty()) {
        return std::nullopt;
    }
    const std::vector<request_trait> all = traits.all();
    std::vector<mark_state*> isolated;
    for (const request_trait& trait : all) {
        mark_state* mark = find(trait, now);
        if (mark == nullptr || !restricts(*mark, all)) {
            continue;
        }
        refuse_if_proven(trait, *mark, now);
        if (const auto refused = held(trait, *mark, now)) {
            return refused;
        }
        const bool tried =
            (mark->trial && *mark->trial != key && is_active(*mark->trial)) || is_pending(trait);
        if (tried) {
            return refusal{trait, settings_.trial_delay};
        }
        isolated.push_back(mark);
    }
    for (mark_state* mark : isolated) {
        mark->trial = key;
    }
    return std::nullopt;
}

bool crash_quarantine::is_pending(const request_trait& trait) const
{
    const auto has_trait = [&trait](const run_evidence& run) {
        const std::vector<request_trait> traits = run.traits.all();
        return std::binary_search(traits.begin(), traits.end(), trait);
    };
    return std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
        return std::any_of(entry.second.runs.begin(), entry.second.runs.end(), has_trait);
    });
}

std::optional<crash_quarantine::refusal> crash_quarantine::refusal_of(const request_traits& traits,
                                                                      core::time_point now) const
{
    const std::vector<request_trait> all = traits.all();
    for (const request_trait& trait : all) {
        const auto found = marks_.find(trait);
        if (found == marks_.end() || !restricts(found->second, all)) {
            continue;
        }
        if (const auto refused = held(trait, found->second, now)) {
            return refused;
        }
    }
    return std::nullopt;
}

void crash_quarantine::record(const run_evidence& run, core::time_point now)
{
    const auto crashed = crashed_targets_.find(run.target);
    if (run.output_time && crashed != crashed_targets_.end() && run.started_at > crashed->second) {
        crashed_targets_.erase(crashed);
    }
    if (run.outcome == slot_outcome::completed) {
        if (run.output_time) {
            ++answered_;
            clear(run.traits);
        }
        return;
    }
    if (!had_just_begun(run)) {
        clear({0, run.traits.parts});
    }
    const bool silent = run.outcome == slot_outcome::silent;
    if (!silent && run.outcome != slot_outcome::broken) {
        return;
    }
    run_evidence cut = run;
    if (silent) {
        // Targets are silent for many reasons; only a request that is repeated is suspected.
        cut.traits.parts.clear();
    }
    if (cut.traits == request_traits()) {
        return;
    }
    const auto [position, added] = pending_.try_emplace(run.target);
    if (added) {
        position->second.at = now;
    }
    position->second.runs.push_back(std::move(cut));
}

bool crash_quarantine::tick(core::time_point now)
{
    bool refused = false;
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        if (now - entry->second.at < settings_.settle_time) {
            ++entry;
            continue;
        }
        refused = charge(entry->first, entry->second, now) || refused;
        entry = pending_.erase(entry);
    }
    return refused;
}

bool crash_quarantine::had_just_begun(const run_evidence& run) const
{
    return !run.output_time || *run.output_time < settings_.begin_time;
}

std::vector<run_evidence> crash_quarantine::suspects(const pending_crash& crash) const
{
    std::vector<run_evidence> begun;
    std::copy_if(crash.runs.begin(), crash.runs.end(), std::back_inserter(begun),
                 [this](const run_evidence& run) { return had_just_begun(run); });
    if (!begun.empty()) {
        return begun;
    }
    std::vector<run_evidence> repeatable = crash.runs;
    for (run_evidence& run : repeatable) {
        run.traits.parts.clear();
    }
    return repeatable;
}

std::map<request_trait, std::set<request_trait>>
crash_quarantine::chargeable(const std::vector<run_evidence>& runs) const
{
    std::map<request_trait, std::set<request_trait>> charged;
    std::uint32_t explained_by = 0;
    for (const run_evidence& run : runs) {
        const std::vector<request_trait> all = run.traits.all();
        for (const request_trait& trait : all) {
            const auto found = marks_.find(trait);
            const bool isolated = found != marks_.end() && restricts(found->second, all);
            const std::uint32_t crashes = isolated ? found->second.crashes : 0;
            if (crashes < explained_by) {
                continue;
            }
            if (crashes > explained_by) {
                explained_by = crashes;
                charged.clear();
            }
            const bool began_before =
                found != marks_.end() && run.started_at < found->second.last_crash;
            if (!began_before) {
                charged[trait].insert(all.begin(), all.end());
            }
        }
    }
    return charged;
}

bool crash_quarantine::record_target_crash(const core::target_id& target, core::time_point now)
{
    if (crashed_targets_.size() >= settings_.capacity && !crashed_targets_.contains(target)) {
        crashed_targets_.erase(std::min_element(
            crashed_targets_.begin(), crashed_targets_.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    return crashed_targets_.insert_or_assign(target, now).second;
}

bool crash_quarantine::charge(const core::target_id& target, const pending_crash& crash,
                              core::time_point now)
{
    const std::vector<run_evidence> runs = suspects(crash);
    const auto charged = chargeable(runs);
    const bool of_sound_target = record_target_crash(target, crash.at);
    for (const auto& [trait, companions] : charged) {
        add_crash(trait, companions, of_sound_target, crash.at);
    }
    for (const run_evidence& run : runs) {
        ++cut_;
        for (const request_trait& trait : run.traits.all()) {
            const auto found = marks_.find(trait);
            if (found != marks_.end()) {
                ++found->second.own_cuts;
            }
        }
    }
    quarantine_event event;
    event.target = target;
    event.runs = crash.runs.size();
    event.runs_begun = static_cast<std::size_t>(
        std::count_if(crash.runs.begin(), crash.runs.end(),
                      [this](const run_evidence& run) { return had_just_begun(run); }));
    for (const auto& [trait, companions] : charged) {
        // A charged mark may have given way to another one.
        if (const mark_state* mark = find(trait, now)) {
            event.marks.push_back(to_mark(trait, *mark, now));
        }
    }
    add_event(std::move(event));
    bool newly_refused = false;
    for (const auto& [trait, companions] : charged) {
        mark_state* mark = find(trait, now);
        newly_refused = (mark != nullptr && refuse_if_proven(trait, *mark, now)) || newly_refused;
    }
    return newly_refused;
}

crash_quarantine::mark_state crash_quarantine::new_mark() const
{
    mark_state mark;
    mark.answered_before = answered_;
    mark.cut_before = cut_;
    return mark;
}

bool crash_quarantine::is_proven(const mark_state& mark) const
{
    if (mark.crashes_of_sound_targets < settings_.refusal_threshold) {
        return false;
    }
    const auto answered = static_cast<double>(answered_ - mark.answered_before);
    const std::uint64_t cuts = cut_ - mark.cut_before;
    const auto others_cut = static_cast<double>(cuts - std::min(cuts, mark.own_cuts));
    // Rule of succession: with few observations the estimate stays near one half.
    const double cut_share = (others_cut + 1) / (answered + others_cut + 2);
    return std::pow(cut_share, mark.crashes_of_sound_targets) < settings_.chance_max;
}

bool crash_quarantine::refuse_if_proven(const request_trait& trait, mark_state& mark,
                                        core::time_point now)
{
    if (mark.refused || !is_proven(mark)) {
        return false;
    }
    mark.refused = true;
    quarantine_event refused;
    refused.kind = quarantine_change::refused;
    refused.marks.push_back(to_mark(trait, mark, now));
    add_event(std::move(refused));
    return true;
}

void crash_quarantine::add_crash(const request_trait& trait,
                                 const std::set<request_trait>& companions, bool of_sound_target,
                                 core::time_point at)
{
    auto found = marks_.find(trait);
    if (found == marks_.end()) {
        make_room();
        mark_state added = new_mark();
        added.companions = companions;
        added.companions.erase(trait);
        found = marks_.emplace(trait, std::move(added)).first;
    }
    mark_state& mark = found->second;
    ++mark.crashes;
    mark.crashes_of_sound_targets += of_sound_target ? 1 : 0;
    mark.last_crash = at;
    std::erase_if(mark.companions,
                  [&](const request_trait& companion) { return !companions.contains(companion); });
}

void crash_quarantine::clear(const request_traits& traits)
{
    if (marks_.empty()) {
        return;
    }
    for (const request_trait& trait : traits.all()) {
        const auto found = marks_.find(trait);
        if (found == marks_.end()) {
            continue;
        }
        if (found->second.refused) {
            quarantine_event event;
            event.kind = quarantine_change::cleared;
            event.marks.push_back(to_mark(trait, found->second, found->second.last_crash));
            add_event(std::move(event));
        }
        marks_.erase(found);
    }
}

crash_mark crash_quarantine::to_mark(const request_trait& trait, const mark_state& mark,
                                     core::time_point now)
{
    return {trait,
            mark.crashes,
            mark.crashes_of_sound_targets,
            {mark.companions.begin(), mark.companions.end()},
            mark.refused,
            age_of(mark.last_crash, now)};
}

crash_marks crash_quarantine::marks(std::size_t count, core::time_point now) const
{
    crash_marks result;
    for (const auto& [trait, mark] : marks_) {
        if (mark.crashes >= settings_.isolation_threshold &&
            now - mark.last_crash < settings_.lifetime) {
            result.push_back(to_mark(trait, mark, now));
        }
    }
    std::sort(result.begin(), result.end(), [](const crash_mark& left, const crash_mark& right) {
        return std::tuple(left.refused, left.crashes, right.age, left.trait) >
               std::tuple(right.refused, right.crashes, left.age, right.trait);
    });
    result.resize(std::min(result.size(), count));
    return result;
}

void crash_quarantine::merge(const crash_marks& marks, core::time_point now)
{
    for (const crash_mark& received : marks) {
        if (received.crashes == 0 || received.age >= settings_.lifetime) {
            continue;
        }
        mark_state* mark = find(received.trait, now);
        if (mark == nullptr) {
            make_room();
            mark = &marks_.emplace(received.trait, new_mark()).first->second;
        }
        if (received.crashes > mark->crashes) {
            mark->crashes = received.crashes;
            mark->crashes_of_sound_targets = received.crashes_of_sound_targets;
            mark->last_crash = now - received.age;
            mark->companions = {received.companions.begin(), received.companions.end()};
        }
        mark->refused = mark->refused || received.refused;
    }
}

void crash_quarantine::replace(const crash_marks& marks, core::time_point now)
{
    std::map<request_trait, mark_state> earlier = std::move(marks_);
    marks_.clear();
    merge(marks, now);
    for (auto& [trait, mark] : marks_) {
        const auto found = earlier.find(trait);
        if (found != earlier.end()) {
            mark.trial = found->second.trial;
        }
    }
}

void crash_quarantine::make_room()
{
    if (marks_.size() < settings_.capacity) {
        return;
    }
    marks_.erase(
        std::min_element(marks_.begin(), marks_.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.refused, left.second.last_crash) <
                   std::pair(right.second.refused, right.second.last_crash);
        }));
}

void crash_quarantine::add_event(quarantine_event event)
{
    if (events_.size() < settings_.events_max) {
        events_.push_back(std::move(event));
    }
}

std::vector<quarantine_event> crash_quarantine::take_events()
{
    return std::exchange(events_, {});
}

std::size_t crash_quarantine::refused_count() const
{
    return static_cast<std::size_t>(std::count_if(
        marks_.begin(), marks_.end(), [](const auto& entry) { return entry.second.refused; }));
}

} // namespace gooseberryfall::serving
