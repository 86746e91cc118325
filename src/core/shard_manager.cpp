#include "core/shard_manager.hpp"

#include "core/rendezvous.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <cassert>

namespace gooseberryfall::core {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// Events of a lease machine.

/// A claim is about to be appended.
struct claim_ordered {
    lease_epoch expected = 0;
    time_point at;
};

/// The log names this instance as the holder.
struct claim_won {
    lease_epoch epoch = 0;
    log_offset claimed_at = 0;
    /// Whether nobody can still be acting on the shard under an earlier epoch.
    bool unoccupied = false;
};

/// The takeover wait is over.
struct wait_ended {};

/// A release is about to be appended.
struct release_ordered {
    time_point at;
};

/// The lease is not this instance's, or the claim failed.
struct lease_gone {};

/// Lease of one shard as seen by this instance. Actions only store what the event says; deciding
/// when an event is due is the manager's part.
struct lease_front : msm::front::state_machine_def<lease_front> {
    shard_phase phase = shard_phase::absent;
    lease_epoch expected = 0;
    lease_epoch epoch = 0;
    log_offset claimed_at = 0;
    /// When the open claim or release was ordered.
    time_point ordered_at;
    /// When a majority was first known to have applied the claim.
    std::optional<time_point> known_at;

    template <shard_phase Phase>
    struct state : msm::front::state<> {
        template <class Event, class Machine>
        void on_entry(const Event&, Machine& machine)
        {
            machine.phase = Phase;
        }
    };
    struct absent : state<shard_phase::absent> {};
    struct claiming : state<shard_phase::claiming> {};
    struct waiting : state<shard_phase::waiting> {};
    struct held : state<shard_phase::held> {};
    struct releasing : state<shard_phase::releasing> {};
    using initial_state = absent;

    struct is_unoccupied {
        template <class Machine, class Source, class Target>
        bool operator()(const claim_won& event, Machine&, Source&, Target&) const
        {
            return event.unoccupied;
        }
    };
    struct is_occupied {
        template <class Machine, class Source, class Target>
        bool operator()(const claim_won& event, Machine&, Source&, Target&) const
        {
            return !event.unoccupied;
        }
    };
    struct store_claim {
        template <class Machine, class Source, class Target>
        void operator()(const claim_ordered& event, Machine& machine, Source&, Target&) const
        {
            machine.expected = event.expected;
            machine.ordered_at = event.at;
        }
    };
    struct store_lease {
        template <class Machine, class Source, class Target>
        void operator()(const claim_won& event, Machine& machine, Source&, Target&) const
        {
            machine.epoch = event.epoch;
            machine.claimed_at = event.claimed_at;
            machine.known_at.reset();
        }
    };
    struct store_release {
        template <class Machine, class Source, class Target>
        void operator()(const release_ordered& event, Machine& machine, Source&, Target&) const
        {
            machine.ordered_at = event.at;
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<absent,    claim_ordered,   claiming,  store_claim,   none>,
        Row<absent,    claim_won,       waiting,   store_lease,   is_occupied>,
        Row<absent,    claim_won,       held,      store_lease,   is_unoccupied>,
        Row<claiming,  claim_won,       waiting,   store_lease,   is_occupied>,
        Row<claiming,  claim_won,       held,      store_lease,   is_unoccupied>,
        Row<claiming,  lease_gone,      absent,    none,          none>,
        Row<waiting,   wait_ended,      held,      none,          none>,
        Row<waiting,   lease_gone,      absent,    none,          none>,
        Row<held,      release_ordered, releasing, store_release, none>,
        Row<held,      lease_gone,      absent,    none,          none>,
        Row<releasing, release_ordered, releasing, store_release, none>,
        Row<releasing, lease_gone,      absent,    none,          none>
    > {};
    // clang-format on
};

using lease_machine = msm::back::state_machine<lease_front>;

/// Candidates ranked for each shard.
constexpr std::size_t candidate_count = 3;

bool contains(const std::vector<instance_id>& sorted, const instance_id& id)
{
    return std::ranges::binary_search(sorted, id);
}

/// First candidates for a shard in rendezvous order.
std::vector<instance_id> best_candidates(const std::string& key,
                                         const std::vector<instance_id>& serving)
{
    using weighted = std::pair<std::uint64_t, const instance_id*>;
    std::vector<weighted> weights;
    weights.reserve(serving.size());
    for (const instance_id& id : serving) {
        weights.emplace_back(rendezvous_weight(key, id.value()), &id);
    }
    const std::size_t count = std::min(candidate_count, weights.size());
    const auto heavier = [](const weighted& left, const weighted& right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    const auto middle = weights.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(weights.begin(), middle, weights.end(), heavier);
    std::vector<instance_id> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back(*weights[index].second);
    }
    return result;
}

} // namespace

struct shard_manager::machine {
    shard_id shard;
    lease_machine lease_state;
    std::vector<instance_id> candidates;
    /// Lease as last seen in the log; epoch 0 if nobody ever held it.
    lease seen;
    /// Epoch at whose end the shard was seen to be free: released, or never held (0).
    std::optional<lease_epoch> free_epoch;
    /// Since when the shard could be claimed.
    std::optional<time_point> claimable_since;
    /// Until when the shard is not moved for balance.
    std::optional<time_point> stays_until;
    /// Since when the shard starts no work, because it is to move for balance.
    std::optional<time_point> draining_since;

    shard_phase phase() const { return lease_state.phase; }
    bool is_free() const { return seen.epoch == 0 || seen.released; }
};

/// What one update is based on.
struct shard_manager::situation {
    const control_state& state;
    const currency& freshness;
    const std::vector<instance_id>& reachable;
    const busy_check& is_busy;
    time_point now;
    /// The log was read up to its head within the bound: what is ordered rests on the newest
    /// leases, and the append can succeed.
    bool log_current = false;
    /// This run of this instance is a member.
    bool is_member = false;
};

shard_manager::shard_manager(shard_settings settings) : settings_(std::move(settings))
{
    assert(settings_.balance_interval > duration::zero());
    assert(settings_.fallback_interval > duration::zero());
    for (const shard_id& shard : all_shards()) {
        auto entry = std::make_unique<machine>();
        entry->shard = shard;
        entry->lease_state.start();
        machines_.emplace(shard, std::move(entry));
    }
}

shard_manager::~shard_manager() = default;

shard_orders shard_manager::update(const control_state& state, const currency& freshness,
                                   const std::vector<instance_id>& serving,
                                   const std::vector<instance_id>& reachable,
                                   const busy_check& is_busy, time_point now)
{
    shard_orders orders;
    if (!state.complete()) {
        return orders;
    }
    const bool log_current = freshness.basis(now) == currency_basis::log;
    const auto self = state.members().find(settings_.self.instance);
    const bool is_member =
        self != state.members().end() && self->second.incarnation == settings_.self;
    const situation seen{state, freshness, reachable, is_busy, now, log_current, is_member};
    last_change_ = last_change_.value_or(now);
    rank_candidates(serving);
    for (auto& [shard, entry] : machines_) {
        follow_log(*entry, seen, orders);
        consider_claim(*entry, seen, orders);
    }
    balance(seen);
    for (auto& [shard, entry] : machines_) {
        follow_drain(*entry, seen, orders);
    }
    return orders;
}

void shard_manager::set_leaving()
{
    leaving_ = true;
}

shard_phase shard_manager::phase(const shard_id& shard) const
{
    const auto found = machines_.find(shard);
    return found == machines_.end() ? shard_phase::absent : found->second->phase();
}

std::optional<lease_epoch> shard_manager::held_epoch(const shard_id& shard) const
{
    const auto found = machines_.find(shard);
    if (found == machines_.end() || found->second->phase() != shard_phase::held) {
        return std::nullopt;
    }
    return found->second->lease_state.epoch;
}

bool shard_manager::draining(const shard_id& shard) const
{
    const auto found = machines_.find(shard);
    return found != machines_.end() && found->second->draining_since.has_value();
}

std::vector<shard_id> shard_manager::held() const
{
    std::vector<shard_id> result;
    for (const auto& [shard, entry] : machines_) {
        if (entry->phase() == shard_phase::held) {
            result.push_back(shard);
        }
    }
    return result;
}

bool shard_manager::idle() const
{
    return std::ranges::all_of(machines_, [this](const auto& item) {
        const machine& entry = *item.second;
        const bool unknown =
            entry.phase() == shard_phase::waiting && !entry.lease_state.known_at.has_value();
        return entry.phase() == shard_phase::absent || (leaving_ && unknown);
    });
}

std::vector<shard_id> shard_manager::all_shards() const
{
    std::vector<shard_id> result{{shard_kind::control, 0}};
    for (std::uint32_t index = 0; index < settings_.limit_shards; ++index) {
        result.push_back({shard_kind::limits, index});
    }
    for (std::uint32_t index = 0; index < settings_.batch_partitions; ++index) {
        result.push_back({shard_kind::batch, index});
    }
    return result;
}

void shard_manager::rank_candidates(const std::vector<instance_id>& serving)
{
    if (serving == ranked_) {
        return;
    }
    ranked_ = serving;
    for (auto& [shard, entry] : machines_) {
        entry->candidates = best_candidates(to_text(shard), serving);
    }
}

void shard_manager::follow_log(machine& entry, const situation& seen, shard_orders& orders)
{
    const auto& leases = seen.state.leases();
    const auto found = leases.find(entry.shard);
    const lease current = found == leases.end() ? lease{} : found->second;
    if (current != entry.seen) {
        entry.seen = current;
        last_change_ = seen.now;
    }
    if (entry.is_free()) {
        entry.free_epoch = entry.seen.epoch;
    }
    follow_lease(entry, seen, orders);
    follow_wait(entry, seen, orders);
    follow_retry(entry, seen, orders);
}

void shard_manager::follow_lease(machine& entry, const situation&, shard_orders& orders)
{
    lease_machine& lease_state = entry.lease_state;
    const bool mine = entry.seen.holder == settings_.self && !entry.is_free();
    const bool claimed =
        entry.phase() == shard_phase::absent || entry.phase() == shard_phase::claiming;
    const bool outdated = !claimed && (!mine || entry.seen.epoch != lease_state.epoch);
    const bool defeated =
        entry.phase() == shard_phase::claiming && !mine && entry.seen.epoch != lease_state.expected;
    if (outdated || defeated) {
        if (entry.phase() == shard_phase::held) {
            orders.lost.push_back(entry.shard);
        }
        lease_state.process_event(lease_gone{});
    }
    if (!mine || !(claimed || outdated)) {
        return;
    }
    // A claim that follows epoch 0 has no earlier holder, wherever the replay began.
    const lease_epoch before = entry.seen.epoch - 1;
    const bool unoccupied = before == 0 || entry.free_epoch == before;
    lease_state.process_event(claim_won{entry.seen.epoch, entry.seen.claimed_at, unoccupied});
    if (entry.phase() == shard_phase::held) {
        orders.acquired.push_back(entry.shard);
    }
}

void shard_manager::follow_wait(machine& entry, const situation& seen, shard_orders& orders)
{
    lease_machine& lease_state = entry.lease_state;
    if (entry.phase() != shard_phase::waiting) {
        return;
    }
    if (!lease_state.known_at && seen.freshness.majority_applied(lease_state.claimed_at)) {
        lease_state.known_at = seen.now;
    }
    if (!lease_state.known_at) {
        orders.awaiting_majority = true;
        return;
    }
    if (seen.now - *lease_state.known_at >= settings_.takeover_wait) {
        lease_state.process_event(wait_ended{});
        orders.acquired.push_back(entry.shard);
    }
}

void shard_manager::follow_retry(machine& entry, const situation& seen, shard_orders& orders)
{
    lease_machine& lease_state = entry.lease_state;
    const bool due =
        seen.log_current && seen.now - lease_state.ordered_at >= settings_.retry_interval;
    if (due && entry.phase() == shard_phase::claiming) {
        lease_state.process_event(lease_gone{});
    }
    if (due && entry.phase() == shard_phase::releasing) {
        release(entry, seen.now, orders);
    }
    // A shard that still waits is not released: its last holder may be acting, and the next one
    // would not wait for it.
    if (leaving_ && seen.log_current && entry.phase() == shard_phase::held) {
        release(entry, seen.now, orders);
    }
}

void shard_manager::consider_claim(machine& entry, const situation& seen, shard_orders& orders)
{
    if (entry.phase() != shard_phase::absent || leaving_ || !seen.is_member) {
        entry.claimable_since.reset();
        return;
    }
    if (!may_claim(entry, seen, orders)) {
        return;
    }
    orders.claims.push_back({entry.shard, entry.seen.epoch});
    const bool fallback = entry.candidates.front() != settings_.self.instance;
    if (fallback) {
        entry.stays_until = seen.now + settings_.fallback_hold;
    }
    entry.claimable_since.reset();
    entry.lease_state.process_event(claim_ordered{entry.seen.epoch, seen.now});
}

bool shard_manager::may_claim(machine& entry, const situation& seen, shard_orders& orders) const
{
    const auto& members = seen.state.members();
    const auto holder = members.find(entry.seen.holder.instance);
    const bool present = holder != members.end() &&
                         holder->second.incarnation == entry.seen.holder &&
                         contains(seen.reachable, entry.seen.holder.instance);
    const auto rank = std::ranges::find(entry.candidates, settings_.self.instance);
    if ((!entry.is_free() && present) || rank == entry.candidates.end() || !seen.log_current) {
        entry.claimable_since.reset();
        return false;
    }
    entry.claimable_since = entry.claimable_since.value_or(seen.now);
    const duration waited = seen.now - *entry.claimable_since;
    const duration turn = (rank - entry.candidates.begin()) * settings_.fallback_interval;
    if (waited < turn) {
        return false;
    }
    if (entry.is_free()) {
        return true;
    }
    // An instance cut off from its peers suspects everybody. Without a majority's answers it must
    // not take shards from holders that are alive, since it could not act on them itself.
    orders.awaiting_majority = true;
    const bool confirmed = waited >= turn + settings_.confirm_time;
    const time_point asked_at = seen.now - std::min(waited, settings_.majority_age);
    return confirmed && seen.freshness.majority_answered(asked_at);
}

void shard_manager::release(machine& entry, time_point now, shard_orders& orders)
{
    orders.releases.push_back({entry.shard, entry.lease_state.epoch, {}});
    entry.lease_state.process_event(release_ordered{now});
}

void shard_manager::balance(const situation& seen)
{
    const auto turns = (seen.now - *last_change_) / settings_.balance_interval;
    if (turns < 1 || leaving_ || !seen.log_current) {
        return;
    }
    std::vector<machine*> misplaced;
    for (auto& [shard, entry] : machines_) {
        if (is_misplaced(*entry, seen)) {
            misplaced.push_back(entry.get());
        }
    }
    if (misplaced.empty()) {
        return;
    }
    // All members see the same order, so that one shard moves at a time. The turn passes on if its
    // holder does not agree.
    const auto turn = static_cast<std::size_t>(turns - 1) % misplaced.size();
    machine& entry = *misplaced[turn];
    if (entry.phase() == shard_phase::held && !entry.draining_since) {
        entry.draining_since = seen.now;
    }
}

void shard_manager::follow_drain(machine& entry, const situation& seen, shard_orders& orders)
{
    if (!entry.draining_since) {
        return;
    }
    if (entry.phase() != shard_phase::held || !is_misplaced(entry, seen)) {
        entry.draining_since.reset();
        return;
    }
    if (seen.log_current && !seen.is_busy(entry.shard)) {
        entry.draining_since.reset();
        release(entry, seen.now, orders);
        last_change_ = seen.now;
        return;
    }
    if (seen.now - *entry.draining_since >= settings_.drain_limit) {
        entry.draining_since.reset();
        entry.stays_until = seen.now + settings_.fallback_hold;
    }
}

bool shard_manager::is_misplaced(const machine& entry, const situation& seen) const
{
    if (entry.is_free() || entry.candidates.empty()) {
        return false;
    }
    const bool stays = entry.stays_until && seen.now < *entry.stays_until;
    const bool placed = entry.candidates.front() == entry.seen.holder.instance;
    return !stays && !placed && contains(seen.reachable, entry.seen.holder.instance);
}

} // namespace gooseberryfall::core
