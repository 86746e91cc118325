#include "core/membership.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <tuple>

namespace gooseberryfall::core {

namespace {

/// Rounds at the urgent interval after a majority is first asked for, or after fresh news.
constexpr std::uint32_t urgent_burst = 3;

/// Pieces of news held at most; older ones are dropped. A lost data centre must not make the list
/// grow with its size.
constexpr std::size_t news_held_limit = 64;

/// Messages that carry a piece of news: three times the logarithm of the fleet's size, which
/// reaches every member with high probability.
std::uint32_t spread_count(std::size_t members)
{
    return 3U * static_cast<std::uint32_t>(std::bit_width(members + 1));
}

} // namespace

membership::membership(membership_settings settings) : settings_(std::move(settings))
{
    assert(settings_.fan_out > 0);
    assert(settings_.probe_interval > duration::zero());
    assert(settings_.urgent_interval > duration::zero());
}

void membership::set_members(const std::map<instance_id, member>& members, time_point now)
{
    std::map<instance_id, peer_state> next;
    order_.clear();
    for (const auto& [id, info] : members) {
        const auto old = peers_.find(id);
        const bool same = old != peers_.end() && old->second.info.incarnation == info.incarnation;
        peer_state& peer = next[id];
        if (same) {
            peer = std::move(old->second);
        }
        peer.info = info;
        if (!is_self(id)) {
            order_.push_back(id);
        }
    }
    peers_ = std::move(next);
    std::erase_if(unanswered_, [this](const instance_id& id) {
        const auto peer = peers_.find(id);
        return peer == peers_.end() || !peer->second.silent_since;
    });
    std::erase_if(news_, [this](const spreading_news& item) {
        return item.news.member != settings_.self && find_peer(item.news.member) == nullptr;
    });
    if (!last_tick_) {
        last_tick_ = now;
    }
}

void membership::set_list(const std::vector<listed_instance>& list, time_point now)
{
    last_list_ = now;
    std::set<instance_id> listed;
    for (const listed_instance& instance : list) {
        listed.insert(instance.id);
    }
    for (auto& [id, peer] : peers_) {
        if (listed.contains(id)) {
            peer.unlisted_since.reset();
        }
        else if (!peer.unlisted_since) {
            peer.unlisted_since = now;
        }
    }
}

void membership::set_leaving()
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    add_news({settings_.self, member_condition::leaving, refutation_});
}

void membership::tick(time_point now, log_offset applied_next, bool ask_all,
                      std::vector<send_peer>& out)
{
    if (last_tick_ && now - *last_tick_ > settings_.pause_bound) {
        forget_silence(now);
    }
    last_tick_ = now;
    for (const instance_id& id : unanswered_) {
        warn_of(peers_.at(id), now);
    }
    ++round_;
    std::set<instance_id> chosen;
    if (round_due(now, ask_all)) {
        chosen = choose_probed(ask_all, now);
    }
    if (spread_due(now)) {
        add_random(chosen, settings_.fan_out);
    }
    for (const instance_id& id : chosen) {
        send_probe(id, applied_next, now, out);
    }
}

void membership::on_probe(const incarnation_id& from, const probe& message, log_offset applied_next,
                          time_point now, std::vector<send_peer>& out)
{
    peer_state* peer = find_peer(from);
    if (peer != nullptr) {
        heard(*peer, now);
        apply_news(message.news, now);
    }
    const std::string address = peer != nullptr ? peer->info.peer_address : std::string();
    probe_answer answer{message.sequence, applied_next, leaving_, take_news()};
    out.push_back({address, {settings_.self, {}, from, {std::move(answer)}}});
    ++messages_sent_;
}

std::optional<matched_answer> membership::on_answer(const incarnation_id& from,
                                                    const probe_answer& message, time_point now)
{
    peer_state* peer = find_peer(from);
    if (peer == nullptr) {
        return std::nullopt;
    }
    const auto open = peer->open_probes.find(message.sequence);
    if (open == peer->open_probes.end()) {
        return std::nullopt;
    }
    const time_point asked_at = open->second;
    peer->open_probes.erase(open);
    heard(*peer, now);
    peer->leaving = peer->leaving || message.leaving;
    apply_news(message.news, now);
    return matched_answer{from.instance, asked_at, message.applied_next};
}

void membership::on_heard(const incarnation_id& from, time_point now)
{
    if (peer_state* peer = find_peer(from)) {
        heard(*peer, now);
    }
}

member_condition membership::condition(const instance_id& id, time_point now) const
{
    const auto found = peers_.find(id);
    if (found == peers_.end() || is_suspect(found->second, now)) {
        return member_condition::suspect;
    }
    const bool leaving = is_self(id) ? leaving_ : found->second.leaving;
    return leaving ? member_condition::leaving : member_condition::alive;
}

std::vector<instance_id> membership::serving(time_point now) const
{
    std::vector<instance_id> result;
    result.reserve(peers_.size());
    for (const auto& [id, peer] : peers_) {
        const bool leaving = is_self(id) ? leaving_ : peer.leaving;
        if (!leaving && !is_suspect(peer, now)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<instance_id> membership::reachable(time_point now) const
{
    std::vector<instance_id> result;
    result.reserve(peers_.size());
    for (const auto& [id, peer] : peers_) {
        if (!is_suspect(peer, now)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<incarnation_id> membership::ended(time_point now) const
{
    std::vector<incarnation_id> result;
    for (const auto& [id, peer] : peers_) {
        // Counted between lists, since an old list says nothing about instances started after it.
        const bool unlisted =
            peer.unlisted_since && *last_list_ - *peer.unlisted_since >= settings_.unlisted_bound;
        if (unlisted && !is_self(id) && is_suspect(peer, now)) {
            result.push_back(peer.info.incarnation);
        }
    }
    return result;
}

const member* membership::find(const instance_id& id) const
{
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second.info;
}

std::vector<const member*> membership::directory(const data_centre_id& near,
                                                 const std::set<instance_id>& preferred,
                                                 std::uint64_t spread, time_point now) const
{
    // Far data centres come by name; `false` sorts before `true`.
    using rank = std::tuple<bool, data_centre_id, bool>;
    std::map<rank, std::vector<const member*>> groups;
    for (const instance_id& id : serving(now)) {
        const member& info = peers_.at(id).info;
        const rank place{info.data_centre != near, info.data_centre, !preferred.contains(id)};
        groups[place].push_back(&info);
    }
    std::vector<const member*> result;
    for (auto& [place, group] : groups) {
        const auto first = static_cast<std::ptrdiff_t>(spread % group.size());
        std::rotate(group.begin(), group.begin() + first, group.end());
        result.insert(result.end(), group.begin(), group.end());
    }
    return result;
}

std::size_t membership::memory() const
{
    constexpr std::size_t node = 48;
    std::size_t sum = sizeof(*this) + news_.size() * sizeof(spreading_news);
    for (const auto& [id, peer] : peers_) {
        sum += node + sizeof(instance_id) + sizeof(peer_state);
        sum += 2 * id.value().size() + peer.info.caller_address.size() +
               peer.info.peer_address.size() + peer.info.data_centre.value().size();
        sum += peer.open_probes.size() * (node + sizeof(std::pair<std::uint64_t, time_point>));
    }
    sum += order_.size() * (sizeof(instance_id) + 16);
    return sum;
}

membership::peer_state* membership::find_peer(const incarnation_id& incarnation)
{
    const auto found = peers_.find(incarnation.instance);
    const bool same = found != peers_.end() && found->second.info.incarnation == incarnation;
    return same ? &found->second : nullptr;
}

bool membership::is_suspect(const peer_state& peer, time_point now) const
{
    if (is_self(peer.info.incarnation.instance)) {
        return peer.info.incarnation != settings_.self;
    }
    const bool asked = peer.unanswered >= settings_.unanswered_bound;
    const bool silent = peer.silent_since && now - *peer.silent_since >= settings_.silence_bound;
    const bool warned = peer.warned_at && now - *peer.warned_at >= settings_.refutation_time;
    return (asked && silent) || warned;
}

bool membership::round_due(time_point now, bool ask_all)
{
    if (ask_all && !asked_all_) {
        urgent_rounds_ = urgent_burst;
        last_round_.reset();
    }
    asked_all_ = ask_all;
    const bool urgent = ask_all && urgent_rounds_ > 0;
    const duration interval = urgent ? settings_.urgent_interval : settings_.probe_interval;
    if (last_round_ && now - *last_round_ < interval) {
        return false;
    }
    urgent_rounds_ -= urgent ? 1 : 0;
    last_round_ = now;
    return true;
}

bool membership::spread_due(time_point now)
{
    const bool recent = last_spread_ && now - *last_spread_ < settings_.urgent_interval;
    if (spread_rounds_ == 0 || recent) {
        return false;
    }
    --spread_rounds_;
    last_spread_ = now;
    return true;
}

std::set<instance_id> membership::choose_probed(bool ask_all, time_point now)
{
    if (ask_all || order_.size() <= settings_.fan_out) {
        return {order_.begin(), order_.end()};
    }
    std::set<instance_id> chosen;
    add_random(chosen, 1);
    add_successors(chosen);
    add_unanswered(chosen, now);
    return chosen;
}

void membership::add_successors(std::set<instance_id>& chosen) const
{
    auto next = std::upper_bound(order_.begin(), order_.end(), settings_.self.instance);
    while (chosen.size() < settings_.fan_out) {
        next = next == order_.end() ? order_.begin() : next;
        chosen.insert(*next);
        ++next;
    }
}

void membership::add_unanswered(std::set<instance_id>& chosen, time_point now) const
{
    const std::size_t limit = chosen.size() + settings_.fan_out;
    for (const instance_id& id : unanswered_) {
        if (chosen.size() >= limit) {
            return;
        }
        if (!is_suspect(peers_.at(id), now)) {
            chosen.insert(id);
        }
    }
}

void membership::add_random(std::set<instance_id>& chosen, std::size_t count) const
{
    if (order_.empty()) {
        return;
    }
    const std::uint64_t start = stable_hash(settings_.self.instance.value(), round_);
    // Any odd stride spreads the choice; a repeat only makes the round smaller.
    const std::uint64_t stride = start >> 32U | 1U;
    for (std::uint64_t index = 0; index < count; ++index) {
        chosen.insert(order_[(start + index * stride) % order_.size()]);
    }
}

void membership::send_probe(const instance_id& id, log_offset applied_next, time_point now,
                            std::vector<send_peer>& out)
{
    peer_state& peer = peers_.at(id);
    std::erase_if(peer.open_probes, [this, now](const auto& open) {
        return now - open.second > settings_.silence_bound;
    });
    if (!peer.silent_since) {
        // A member probed in every round is silent since it was last heard, not since the probe
        // that it was not there to answer.
        const time_point earliest = now - settings_.probe_interval;
        peer.silent_since = std::max(peer.last_heard.value_or(now), earliest);
        peer.unanswered = 0;
        unanswered_.insert(id);
    }
    ++peer.unanswered;
    probe message{next_sequence_++, applied_next, take_news()};
    peer.open_probes[message.sequence] = now;
    const member& info = peer.info;
    out.push_back(
        {info.peer_address, {settings_.self, {}, info.incarnation, {std::move(message)}}});
    ++messages_sent_;
}

void membership::warn_of(peer_state& peer, time_point now)
{
    const duration threshold = settings_.silence_bound - settings_.refutation_time;
    if (now - *peer.silent_since < threshold) {
        return;
    }
    if (peer.warning_sent && now - *peer.warning_sent < settings_.warning_interval) {
        return;
    }
    peer.warning_sent = now;
    add_news({peer.info.incarnation, member_condition::suspect, peer.refutation});
}

void membership::heard(peer_state& peer, time_point now)
{
    const bool returned = is_suspect(peer, now);
    peer.last_heard = now;
    peer.silent_since.reset();
    peer.unanswered = 0;
    peer.warned_at.reset();
    peer.warning_sent.reset();
    unanswered_.erase(peer.info.incarnation.instance);
    if (returned) {
        // Members that do not probe it still hold the suspicion; it refutes it once it is told.
        add_news({peer.info.incarnation, member_condition::suspect, peer.refutation});
    }
}

void membership::forget_silence(time_point now)
{
    for (auto& [id, peer] : peers_) {
        peer.warned_at.reset();
        if (peer.silent_since) {
            peer.silent_since = now;
            peer.unanswered = 0;
        }
    }
}

void membership::add_news(const member_news& news)
{
    std::erase_if(news_,
                  [&news](const spreading_news& item) { return item.news.member == news.member; });
    news_.push_front({news, spread_count(peers_.size())});
    if (news_.size() > news_held_limit) {
        news_.pop_back();
    }
    spread_rounds_ = urgent_burst;
}

std::vector<member_news> membership::take_news()
{
    std::vector<member_news> result;
    const std::size_t count = std::min<std::size_t>(news_.size(), settings_.news_limit);
    for (std::size_t index = 0; index < count; ++index) {
        spreading_news item = news_.front();
        news_.pop_front();
        result.push_back(item.news);
        if (--item.left > 0) {
            news_.push_back(item);
        }
    }
    if (leaving_ && result.empty()) {
        result.push_back({settings_.self, member_condition::leaving, refutation_});
    }
    return result;
}

void membership::apply_news(const std::vector<member_news>& news, time_point now)
{
    for (const member_news& item : news) {
        if (item.member == settings_.self) {
            apply_own_news(item);
        }
        else if (peer_state* peer = find_peer(item.member)) {
            apply_peer_news(*peer, item, now);
        }
    }
}

void membership::apply_own_news(const member_news& news)
{
    if (news.condition != member_condition::suspect || news.refutation < refutation_) {
        return;
    }
    refutation_ = news.refutation + 1;
    const auto condition = leaving_ ? member_condition::leaving : member_condition::alive;
    add_news({settings_.self, condition, refutation_});
}

void membership::apply_peer_news(peer_state& peer, const member_news& news, time_point now)
{
    const bool left = news.condition == member_condition::leaving && !peer.leaving;
    peer.leaving = peer.leaving || left;
    if (news.condition == member_condition::suspect) {
        const bool known = peer.warned_at || peer.warning_sent;
        if (news.refutation < peer.refutation || (known && news.refutation == peer.refutation)) {
            return;
        }
        peer.refutation = news.refutation;
        peer.warned_at = now;
        add_news(news);
        return;
    }
    const bool refuted = news.refutation > peer.refutation;
    if (refuted) {
        peer.refutation = news.refutation;
        peer.warned_at.reset();
        peer.warning_sent.reset();
        if (peer.silent_since) {
            peer.silent_since = now;
            peer.unanswered = 0;
        }
    }
    if (refuted || left) {
        add_news(news);
    }
}

} // namespace gooseberryfall::core
