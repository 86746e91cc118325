#include "serving/target_conditions.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace gooseberryfall::serving {

namespace {

using std::chrono::milliseconds;

/// A lost connection doesn't tell when the target is back.
constexpr core::time_point until_next_answer = core::time_point::max();

milliseconds age_of(core::time_point said_at, core::time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - said_at);
}

/// Order of rates by how much they restrict: no limit comes last.
double restriction(const std::optional<double>& rate)
{
    return rate.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

const target_conditions::record* target_conditions::find(const target_process& process) const
{
    const auto found = records_.find(process.id);
    const bool is_known = found != records_.end() &&
                          target_process{found->first, found->second.started_at}.matches(process);
    return is_known ? &found->second : nullptr;
}

target_conditions::record* target_conditions::open(const target_process& process)
{
    record& known = records_[process.id];
    known.heard = ++heard_count_;
    if (process.started_at == 0 || process.started_at == known.started_at) {
        return &known;
    }
    if (process.started_at < known.started_at) {
        return nullptr;
    }
    if (known.started_at != 0) {
        known = {};
        known.heard = heard_count_;
    }
    known.started_at = process.started_at;
    return &known;
}

bool target_conditions::is_same(const std::optional<double>& left,
                                const std::optional<double>& right) const
{
    if (!left || !right) {
        return left.has_value() == right.has_value();
    }
    return std::abs(*left - *right) <= settings_.same_rate * *left;
}

bool target_conditions::merge_rate(record& known, const target_takes& said,
                                   core::time_point said_at) const
{
    if (!known.rate) {
        known.rate = known_rate{said.rate, said_at, said.rate.has_value(), said.rate};
        return said.rate.has_value();
    }
    known_rate& current = *known.rate;
    current.was_limited = current.was_limited || said.rate.has_value();
    const bool is_later = std::tuple(said_at, -restriction(said.rate)) >
                          std::tuple(current.said_at, -restriction(current.rate));
    if (!is_later) {
        return false;
    }
    current.rate = said.rate;
    current.said_at = said_at;
    if (is_same(current.announced, said.rate)) {
        return false;
    }
    current.announced = said.rate;
    return true;
}

bool target_conditions::merge_cold(record& known, const target_cold_for& said,
                                   core::time_point said_at, core::time_point now,
                                   statement_source source)
{
    const core::time_point until = said_at + said.time;
    const bool says_cold = said.time > milliseconds(0);
    if (!known.cold) {
        known.cold = known_cold{until, said_at, says_cold, std::nullopt};
        if (source == statement_source::answer) {
            known.cold->warm_by_own_answers = until;
        }
        return true;
    }
    known_cold& current = *known.cold;
    current.was_cold = current.was_cold || says_cold;
    if (std::tuple(said_at, until) <= std::tuple(current.said_at, current.until)) {
        return false;
    }
    const bool changes = (current.until > now) != (until > now);
    current.until = until;
    current.said_at = said_at;
    if (source == statement_source::answer) {
        current.warm_by_own_answers = until;
    }
    return changes;
}

bool target_conditions::merge(const target_statement& statement, core::time_point now,
                              statement_source source)
{
    if (!records_.contains(statement.process.id)) {
        make_room(now);
    }
    record* known = open(statement.process);
    if (known == nullptr) {
        return false;
    }
    const core::time_point said_at = now - statement.age;
    return std::visit(
        core::visitors{
            [&](const target_leaves&) { return !std::exchange(known->leaves, true); },
            [&](const target_takes& said) { return merge_rate(*known, said, said_at); },
            [&](const target_cold_for& said) {
                return merge_cold(*known, said, said_at, now, source);
            },
        },
        statement.condition);
}

bool target_conditions::on_answer(const target_process& process, core::time_point sent_at,
                                  milliseconds cold_start, core::time_point now)
{
    if (!records_.contains(process.id)) {
        make_room(now);
    }
    record* known = open(process);
    if (known == nullptr) {
        return false;
    }
    const core::time_point warm_at = sent_at + cold_start;
    if (!known->cold) {
        known->cold = known_cold{warm_at, sent_at, true, warm_at};
        return true;
    }
    known_cold& current = *known->cold;
    if (!current.warm_by_own_answers) {
        current.warm_by_own_answers = warm_at;
    }
    if (current.until != until_next_answer || sent_at < current.said_at) {
        return false;
    }
    current.until = warm_at;
    current.said_at = sent_at;
    current.warm_by_own_answers = warm_at;
    return true;
}

bool target_conditions::on_connection_lost(const target_entry& entry, core::time_point now)
{
    if (!cold_services_.contains(entry.service)) {
        return false;
    }
    const auto found = records_.find(entry.id);
    if (found == records_.end() || !found->second.cold) {
        return false;
    }
    known_cold& current = *found->second.cold;
    const bool changes = current.until <= now;
    current = {until_next_answer, std::max(now, current.said_at), true, std::nullopt};
    return changes;
}

void target_conditions::learn_starts(const std::vector<target_entry>& listed)
{
    for (const target_entry& each : listed) {
        const auto known = records_.find(each.id);
        if (known != records_.end() && known->second.started_at == 0) {
            known->second.started_at = each.started_at;
        }
    }
}

void target_conditions::adopt(const std::vector<target_entry>& entries, core::time_point now)
{
    const core::time_point settled = now - settings_.report_time;
    for (const target_entry& entry : entries) {
        const target_process process{entry.id, entry.started_at};
        const record* known = find(process);
        const bool heard_rate = known != nullptr && known->rate && known->rate->said_at > settled;
        const bool knows_rate = known != nullptr && known->rate;
        if (!heard_rate && (entry.rate_limit || knows_rate)) {
            merge({process, target_takes{entry.rate_limit}, settings_.report_time}, now);
        }
        if (!cold_services_.contains(entry.service)) {
            continue;
        }
        known = find(process);
        const bool heard_cold = known != nullptr && known->cold && known->cold->said_at > settled;
        if (heard_cold) {
            continue;
        }
        // In a fleet with more targets than are kept, the list must not evict what has been heard.
        const bool has_room = known != nullptr || records_.size() < settings_.capacity;
        if (!entry.cold && has_room) {
            merge({process, target_cold_for{}, settings_.report_time}, now);
        }
        else if (entry.cold && known != nullptr && known->cold) {
            known_cold& cold = *records_.at(entry.id).cold;
            cold.until = until_next_answer;
            cold.said_at = std::max(cold.said_at, settled);
        }
    }
}

bool target_conditions::is_leaving(const target_process& process) const
{
    const record* known = find(process);
    return known != nullptr && known->leaves;
}

bool target_conditions::is_cold(const target_entry& entry, core::time_point now) const
{
    if (!cold_services_.contains(entry.service)) {
        return false;
    }
    const record* known = find({entry.id, entry.started_at});
    return known == nullptr || !known->cold || known->cold->until > now;
}

bool target_conditions::is_cold_by_own_answers(const target_entry& entry,
                                               core::time_point now) const
{
    if (!cold_services_.contains(entry.service)) {
        return false;
    }
    const record* known = find({entry.id, entry.started_at});
    if (is_cold(entry, now)) {
        return true;
    }
    const auto& warm_at = known->cold->warm_by_own_answers;
    return !warm_at || *warm_at > now;
}

std::vector<target_entry> target_conditions::apply_to(const std::vector<target_entry>& entries,
                                                      core::time_point now) const
{
    std::vector<target_entry> result;
    for (const target_entry& each : entries) {
        const record* known = find({each.id, each.started_at});
        if (known != nullptr && known->leaves) {
            continue;
        }
        target_entry& entry = result.emplace_back(each);
        entry.rate_limit =
            known != nullptr && known->rate ? known->rate->rate : std::optional<double>();
        entry.cold = is_cold(each, now);
    }
    return result;
}

std::optional<core::time_point> target_conditions::next_warm_at(core::time_point now) const
{
    std::optional<core::time_point> next;
    for (const auto& [id, known] : records_) {
        const bool ends =
            known.cold && known.cold->until > now && known.cold->until != until_next_answer;
        if (ends && (!next || known.cold->until < *next)) {
            next = known.cold->until;
        }
    }
    return next;
}

std::vector<target_statement> target_conditions::to_report(const std::vector<target_entry>& listed,
                                                           core::time_point now) const
{
    const core::time_point settled = now - settings_.report_time;
    std::vector<target_statement> result;
    std::set<core::target_id> listed_cold;
    std::set<core::target_id> listed_limited;
    for (const target_entry& each : listed) {
        const target_process process{each.id, each.started_at};
        if (is_leaving(process)) {
            result.push_back({process, target_leaves{}, milliseconds(0)});
        }
        if (each.cold) {
            listed_cold.insert(each.id);
        }
        if (each.rate_limit) {
            listed_limited.insert(each.id);
        }
    }
    for (const auto& [id, known] : records_) {
        const target_process process{id, known.started_at};
        const bool tells_rate = known.rate && known.rate->said_at > settled &&
                                (known.rate->was_limited || listed_limited.contains(id));
        if (tells_rate) {
            result.push_back(
                {process, target_takes{known.rate->rate}, age_of(known.rate->said_at, now)});
        }
        const bool tells_cold = known.cold && known.cold->said_at > settled &&
                                known.cold->until != until_next_answer &&
                                (known.cold->was_cold || listed_cold.contains(id));
        if (tells_cold) {
            result.push_back({process,
                              target_cold_for{age_of(known.cold->said_at, known.cold->until)},
                              age_of(known.cold->said_at, now)});
        }
    }
    return result;
}

void target_conditions::make_room(core::time_point now)
{
    if (records_.size() < settings_.capacity) {
        return;
    }
    const auto rank = [now](const record& known) {
        const bool in_force = known.leaves || (known.rate && known.rate->rate) ||
                              (known.cold && known.cold->until > now);
        return std::pair(in_force, known.heard);
    };
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [&rank](const auto& left, const auto& right) {
                                        return rank(left.second) < rank(right.second);
                                    }));
}

} // namespace gooseberryfall::serving
