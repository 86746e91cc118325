#include "core/currency.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

currency::currency(currency_settings settings) : settings_(std::move(settings))
{
    assert(settings_.bound > duration::zero());
}

void currency::set_members(const std::map<instance_id, member>& members)
{
    std::map<instance_id, member_state> next;
    for (const auto& [id, info] : members) {
        const auto old = members_.find(id);
        const bool same = old != members_.end() && old->second.number == info.incarnation.number;
        next[id] = same ? old->second : member_state{info.incarnation.number, false, {}};
    }
    members_ = std::move(next);
}

void currency::set_ended(const std::vector<incarnation_id>& ended)
{
    for (auto& [id, state] : members_) {
        state.ended = false;
    }
    for (const incarnation_id& incarnation : ended) {
        const auto found = members_.find(incarnation.instance);
        if (found != members_.end() && found->second.number == incarnation.number) {
            found->second.ended = true;
        }
    }
}

void currency::set_applied(log_offset next)
{
    if (next == applied_next_) {
        return;
    }
    applied_next_ = next;
    count_applied(log_);
    for (auto& [id, state] : members_) {
        count_applied(state.answers);
    }
}

void currency::log_answered(time_point asked_at, log_offset head)
{
    log_answered_ = std::max(log_answered_.value_or(asked_at), asked_at);
    add_answer(log_, asked_at, head);
    note_vouching(asked_at);
}

void currency::member_answered(const instance_id& member, time_point asked_at, log_offset next)
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return;
    }
    add_answer(found->second.answers, asked_at, next);
    note_vouching(asked_at);
}

currency_basis currency::basis(time_point now) const
{
    const time_point since = now - settings_.bound;
    if (counts(log_, since)) {
        return currency_basis::log;
    }
    return majority_answered(since) ? currency_basis::majority : currency_basis::none;
}

bool currency::majority_answered(time_point since) const
{
    return is_majority(count_answered(since, true));
}

bool currency::log_readable(time_point now) const
{
    return log_answered_ && now - *log_answered_ <= settings_.bound;
}

std::size_t currency::applied_count(log_offset offset) const
{
    std::size_t count = 0;
    for (const auto& [id, state] : members_) {
        const bool self = is_self(id, state);
        const log_offset next = self ? applied_next_ : state.answers.highest_next;
        if (next > offset || (state.ended && !self)) {
            ++count;
        }
    }
    return count;
}

bool currency::majority_applied(log_offset offset) const
{
    return is_majority(applied_count(offset));
}

bool currency::members_settled(log_offset changed_at) const
{
    return members_.empty() || changed_at == 0 || majority_applied(changed_at - 1);
}

log_offset currency::member_next(const instance_id& member) const
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return 0;
    }
    const bool self = is_self(member, found->second);
    return self ? applied_next_ : found->second.answers.highest_next;
}

void currency::add_answer(standing& source, time_point asked_at, log_offset next)
{
    highest_known_ = std::max(highest_known_, next);
    source.highest_next = std::max(source.highest_next, next);
    if (next <= applied_next_) {
        source.counted = std::max(source.counted.value_or(asked_at), asked_at);
        return;
    }
    if (!source.waiting || *source.waiting < asked_at) {
        source.waiting = asked_at;
        source.waiting_next = next;
    }
}

void currency::count_applied(standing& source) const
{
    if (!source.waiting || source.waiting_next > applied_next_) {
        return;
    }
    source.counted = std::max(source.counted.value_or(*source.waiting), *source.waiting);
    source.waiting.reset();
}

std::size_t currency::count_answered(time_point since, bool with_self) const
{
    std::size_t count = 0;
    for (const auto& [id, state] : members_) {
        const bool self = is_self(id, state);
        if (self ? with_self : counts(state.answers, since)) {
            ++count;
        }
    }
    return count;
}

void currency::note_vouching(time_point asked_at)
{
    if (vouches_) {
        return;
    }
    const time_point since = asked_at - settings_.bound;
    vouches_ = counts(log_, since) || is_majority(count_answered(since, false));
}

bool currency::counts(const standing& source, time_point since)
{
    return source.counted && *source.counted >= since;
}

bool currency::is_self(const instance_id& id, const member_state& state) const
{
    return id == settings_.self.instance && state.number == settings_.self.number;
}

bool currency::is_majority(std::size_t count) const
{
    return !members_.empty() && count >= members_.size() / 2 + 1;
}

} // namespace gooseberryfall::core
