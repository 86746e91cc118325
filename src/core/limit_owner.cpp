#include "core/limit_owner.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace gooseberryfall::core {

namespace {

/// Level below a whole token that still counts as whole: sums of products have rounding errors.
constexpr double rounding = 1e-9;

/// Time over which borrowers without a token are spread. A request asks several portions and takes
/// a token from one, so that a longer queue would name waits that are too long.
constexpr std::chrono::milliseconds longest_queue{20};

/// Time for which the last number of a borrower is kept. A repeat that arrives later holds tokens
/// back until its grant expires, but creates none.
constexpr std::chrono::seconds number_retention{60};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Rounded up, so that a token is there when the time is over.
duration to_duration(double value)
{
    return std::chrono::ceil<std::chrono::microseconds>(std::chrono::duration<double>(value));
}

/// Values from a message may be anything.
double sanitized(double value)
{
    return std::isfinite(value) ? std::max(0.0, value) : 0.0;
}

} // namespace

std::uint32_t portion_count(const team& limits, const limit_portioning& division)
{
    const double portions = std::min(limits.burst, limits.rate) / division.least_tokens;
    return static_cast<std::uint32_t>(
        std::clamp(portions, 1.0, static_cast<double>(division.most_portions)));
}

portion_limits limits_of(const team& limits, std::uint32_t portion,
                         const limit_portioning& division)
{
    const std::uint32_t portions = portion_count(limits, division);
    if (portion >= portions) {
        return {};
    }
    const double share = std::floor(limits.burst / portions);
    const double rest = limits.burst - share * portions;
    return {limits.rate / portions, share + std::clamp(rest - portion, 0.0, 1.0)};
}

shard_id portion_shard(const team_id& team, std::uint32_t portion, std::uint32_t limit_shards)
{
    assert(limit_shards > 0);
    const std::uint64_t hash = stable_hash(team.value(), portion + 1);
    return {shard_kind::limits, static_cast<std::uint32_t>(hash % limit_shards)};
}

limit_owner::limit_owner(limit_owner_settings settings) : settings_(settings)
{
    assert(settings.limit_shards > 0);
}

bool limit_owner::holds(const portion_key& key) const
{
    return shards_.contains(portion_shard(key.team, key.portion, settings_.limit_shards));
}

void limit_owner::set_fleet(const fleet& state, time_point now)
{
    if (!informed_at_) {
        // Shards held before any fleet was applied: no fleet and no team came before this one.
        informed_at_ = shards_.empty() ? now + settings_.raise_delay : now;
    }
    for (auto& [id, known] : teams_) {
        if (known.portions > 0 && !state.teams.contains(id)) {
            remove_team(known, now);
        }
    }
    std::erase_if(teams_, [&](const auto& entry) {
        return entry.second.forget_at && now >= *entry.second.forget_at;
    });
    std::erase_if(buckets_, [&](const auto& entry) { return !teams_.contains(entry.first.team); });
    for (const auto& [id, limits] : state.teams) {
        const auto found = teams_.find(id);
        if (found == teams_.end()) {
            add_team(limits, now);
        }
        else if (found->second.portions == 0 || found->second.limits != limits) {
            change_team(found->second, limits, now);
        }
    }
}

void limit_owner::add_team(const team& limits, time_point now)
{
    known_team& known = teams_[limits.id];
    known.limits = limits;
    known.portions = portion_count(limits, settings_.division);
    // A team that appears before this instance is informed may have been removed just before.
    const bool fresh = now >= *informed_at_;
    known.settled_at = fresh ? now : *informed_at_;
    for (std::uint32_t portion = 0; portion < known.portions; ++portion) {
        const portion_key key{limits.id, portion};
        if (!holds(key)) {
            continue;
        }
        bucket& account = buckets_[key];
        account.refilled_at = now;
        set_limits(account, known, limits_of(limits, portion, settings_.division), now);
        account.level = fresh ? account.burst : 0.0;
    }
}

void limit_owner::change_team(known_team& known, const team& limits, time_point now)
{
    const std::uint32_t before = known.portions;
    known.limits = limits;
    known.portions = portion_count(limits, settings_.division);
    known.forget_at.reset();
    if (known.portions != before) {
        known.settled_at = now + settings_.raise_delay;
    }
    for (std::uint32_t portion = 0; portion < std::max(before, known.portions); ++portion) {
        const portion_key key{limits.id, portion};
        if (!holds(key)) {
            continue;
        }
        const auto [position, inserted] = buckets_.try_emplace(key);
        if (inserted) {
            position->second.refilled_at = now;
        }
        set_limits(position->second, known, limits_of(limits, portion, settings_.division), now);
    }
}

void limit_owner::remove_team(known_team& known, time_point now)
{
    known.portions = 0;
    // A team that is removed and added again must not gain a burst by it.
    const duration refill_time = to_duration(known.limits.burst / known.limits.rate);
    known.forget_at = now + settings_.raise_delay + refill_time;
    for (auto& [key, account] : buckets_) {
        if (key.team == known.limits.id) {
            set_limits(account, known, {}, now);
        }
    }
}

void limit_owner::set_limits(bucket& account, const known_team& known, const portion_limits& target,
                             time_point now) const
{
    refill(account, now);
    account.raise_at.reset();
    if (now >= known.settled_at) {
        account.rate = target.rate;
        account.burst = target.burst;
    }
    else {
        account.rate = std::min(account.rate, target.rate);
        account.burst = std::min(account.burst, target.burst);
        account.raised = target;
        account.raise_at = known.settled_at;
    }
    account.level = std::min(account.level, std::max(0.0, account.burst - account.outstanding));
}

void limit_owner::acquire(const shard_id& shard, const std::vector<limit_level>& levels,
                          time_point now)
{
    drop(shard);
    shards_.insert(shard);
    std::map<portion_key, limit_level> handed_over;
    for (const limit_level& level : levels) {
        handed_over[{level.team, level.portion}] = level;
    }
    for (const auto& [id, known] : teams_) {
        for (std::uint32_t portion = 0; portion < known.portions; ++portion) {
            const portion_key key{id, portion};
            if (portion_shard(id, portion, settings_.limit_shards) != shard) {
                continue;
            }
            const limit_level& start = handed_over[key];
            bucket& account = buckets_[key];
            account.refilled_at = now;
            const double outstanding = sanitized(start.outstanding);
            if (outstanding > 0) {
                record(account, {}, outstanding, now);
            }
            account.level = sanitized(start.level);
            // While the owners of other portions may use other shares, this one must not exceed
            // what its last owner used.
            account.rate = sanitized(start.rate);
            account.burst = sanitized(start.burst);
            set_limits(account, known, limits_of(known.limits, portion, settings_.division), now);
        }
    }
}

void limit_owner::drop(const shard_id& shard)
{
    shards_.erase(shard);
    std::erase_if(buckets_, [&](const auto& entry) {
        const portion_key& key = entry.first;
        return portion_shard(key.team, key.portion, settings_.limit_shards) == shard;
    });
}

std::vector<limit_level> limit_owner::levels(const shard_id& shard, time_point now)
{
    std::vector<limit_level> result;
    for (auto& [key, account] : buckets_) {
        if (portion_shard(key.team, key.portion, settings_.limit_shards) != shard) {
            continue;
        }
        refill(account, now);
        if (account.burst > 0 || account.outstanding > 0) {
            result.push_back({key.team, key.portion, account.level, account.outstanding,
                              account.rate, account.burst});
        }
    }
    return result;
}

limit_grant limit_owner::lend(const incarnation_id& borrower, const limit_request& request,
                              time_point now)
{
    limit_grant answer;
    answer.team = request.team;
    answer.portion = request.portion;
    answer.grant = request.grant;
    const portion_key key{request.team, request.portion};
    answer.owner = holds(key);
    const auto found = buckets_.find(key);
    if (!answer.owner || found == buckets_.end()) {
        return answer;
    }
    bucket& account = found->second;
    refill(account, now);
    for (const grant_report& report : request.reports) {
        apply_report(account, borrower, report, now);
    }
    const double half = account.burst / 2;
    const double wanted = std::floor(sanitized(request.wanted));
    const double ahead = std::floor(sanitized(request.ahead));
    const auto open = account.grants.find({borrower, request.grant});
    if (open != account.grants.end()) {
        answer.tokens = open->second.tokens;
    }
    else if (wanted + ahead > 0 && account.numbers[borrower].number < request.grant) {
        answer.tokens = std::min(wanted, std::floor(account.level + rounding));
        const double spare = std::floor((account.level - answer.tokens - half) / 2);
        answer.tokens += std::min(ahead, std::max(0.0, spare));
        if (answer.tokens > 0) {
            account.level -= answer.tokens;
            record(account, {borrower, request.grant}, answer.tokens, now);
            account.numbers[borrower] = {request.grant, now};
            lent_total_ += answer.tokens;
        }
        if (answer.tokens < wanted) {
            answer.next_token = announce(account, now);
        }
    }
    if (account.burst > 0) {
        answer.left = std::clamp(account.level / account.burst, 0.0, 1.0);
    }
    return answer;
}

void limit_owner::record(bucket& account, const grant_key& key, double tokens, time_point now) const
{
    const time_point expires_at = now + settings_.grant_lifetime + settings_.clock_margin;
    account.grants[key] = {tokens, 0, 0, expires_at};
    account.outstanding += tokens;
    account.next_expiry = std::min(account.next_expiry, expires_at);
}

void limit_owner::refill(bucket& account, time_point now) const
{
    if (account.raise_at && now >= *account.raise_at) {
        expire(account, *account.raise_at);
        mint(account, *account.raise_at);
        account.rate = account.raised.rate;
        account.burst = account.raised.burst;
        account.raise_at.reset();
    }
    expire(account, now);
    mint(account, now);
}

void limit_owner::expire(bucket& account, time_point now) const
{
    while (account.next_expiry <= now) {
        // Room becomes free only here, so that minting stops short of it until then.
        mint(account, account.next_expiry);
        const time_point passed = account.next_expiry;
        account.next_expiry = time_point::max();
        std::erase_if(account.grants, [&](const auto& entry) {
            if (entry.second.expires_at > passed) {
                account.next_expiry = std::min(account.next_expiry, entry.second.expires_at);
                return false;
            }
            account.outstanding -= entry.second.rest();
            return true;
        });
        if (account.grants.empty()) {
            account.outstanding = 0;
        }
        std::erase_if(account.numbers, [&](const auto& entry) {
            return entry.second.seen_at + number_retention < now;
        });
    }
}

void limit_owner::mint(bucket& account, time_point now) const
{
    if (now <= account.refilled_at) {
        return;
    }
    const double due = account.rate * seconds(now - account.refilled_at);
    const double room = std::max(0.0, account.burst - account.outstanding - account.level);
    account.level += std::min(due, room);
    if (due > room) {
        time_point from = account.refilled_at;
        from += std::min(now - from, to_duration(room / account.rate));
        const bool joins = !account.full.empty() && account.full.back().until == from &&
                           account.full.back().rate == account.rate;
        if (joins) {
            account.full.back().until = now;
        }
        else {
            account.full.push_back({from, now, account.rate});
        }
    }
    account.refilled_at = now;
    const time_point oldest = now - settings_.grant_lifetime;
    std::erase_if(account.full, [&](const full_interval& entry) { return entry.until < oldest; });
}

void limit_owner::apply_report(bucket& account, const incarnation_id& borrower,
                               const grant_report& report, time_point now) const
{
    const auto found = account.grants.find({borrower, report.grant});
    if (found == account.grants.end()) {
        // The closed number may still arrive as a question.
        last_number& last = account.numbers[borrower];
        if (report.closed && last.number < report.grant) {
            last = {report.grant, now};
        }
        return;
    }
    open_grant& grant = found->second;
    const double spent =
        std::clamp(sanitized(report.spent) - grant.spent, 0.0, std::max(0.0, grant.rest()));
    grant.spent += spent;
    const double given_back = report.closed
                                  ? grant.rest()
                                  : std::clamp(sanitized(report.returned) - grant.returned, 0.0,
                                               std::max(0.0, grant.rest()));
    grant.returned += given_back;
    account.outstanding = std::max(0.0, account.outstanding - spent - given_back);
    account.level += given_back;
    const duration age = std::clamp(report.age, duration::zero(), settings_.grant_lifetime);
    mint_late(account, spent, now - age + transit_margin(account));
    account.level = std::min(account.level, std::max(0.0, account.burst - account.outstanding));
    if (grant.rest() <= 0) {
        account.grants.erase(found);
    }
}

duration limit_owner::transit_margin(const bucket& account) const
{
    constexpr double part_of_filling = 0.1;
    if (account.rate <= 0) {
        return settings_.transit_margin;
    }
    const duration filling = to_duration(part_of_filling * account.burst / account.rate);
    return std::min(settings_.transit_margin, filling);
}

/// Mints what a spent token kept from being minted: from its spend on, there was room for it. Each
/// part of the time is used once, so that the rate is never exceeded.
void limit_owner::mint_late(bucket& account, double spent, time_point since) const
{
    std::vector<full_interval> left;
    for (const full_interval& entry : account.full) {
        const time_point start = std::max(entry.from, since);
        if (spent <= 0 || start >= entry.until) {
            left.push_back(entry);
            continue;
        }
        const double minted = std::min(spent, entry.rate * seconds(entry.until - start));
        const time_point end = start + to_duration(minted / entry.rate);
        spent -= minted;
        account.level += minted;
        if (entry.from < start) {
            left.push_back({entry.from, start, entry.rate});
        }
        if (end < entry.until) {
            left.push_back({end, entry.until, entry.rate});
        }
    }
    account.full = std::move(left);
}

/// Delay after which a borrower without a token should ask again; 0 if it depends on other
/// borrowers. Each borrower is told another token, so that they do not all ask for the same one.
duration limit_owner::announce(bucket& account, time_point now) const
{
    if (account.raise_at && account.rate <= 0) {
        return *account.raise_at - now;
    }
    const bool blocked = account.burst - account.outstanding < 1 - rounding;
    if (blocked || account.rate <= 0) {
        return {};
    }
    const duration interval = to_duration(1 / account.rate);
    const duration ready = to_duration(std::max(0.0, 1 - account.level) / account.rate);
    const duration queued = account.announced_until + interval - now;
    const duration latest = std::max<duration>(ready, longest_queue);
    const duration delay = std::clamp(queued, ready, latest);
    account.announced_until = now + delay;
    return delay;
}

} // namespace gooseberryfall::core
