#pragma once

#include "core/limit_client.hpp"
#include "core/limit_owner.hpp"
#include "core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limit_simulation {

namespace core = gooseberryfall::core;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Token bucket over all instances, as a single process without failures would have it.
class reference_bucket {
public:
    reference_bucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

    void set_limits(double rate, double burst, core::time_point now)
    {
        refill(now);
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst);
    }

    bool conforms(core::time_point now)
    {
        refill(now);
        return level_ >= 1;
    }

    /// Takes a token whether or not there is one.
    void take(core::time_point now)
    {
        refill(now);
        level_ -= 1;
        lowest_ = std::min(lowest_, level_);
    }

    /// Most tokens by which a window exceeded burst + rate * window.
    double excess() const { return std::max(0.0, -lowest_); }

private:
    void refill(core::time_point now)
    {
        level_ =
            std::min(burst_, level_ + rate_ * std::chrono::duration<double>(now - at_).count());
        at_ = now;
    }

    double rate_;
    double burst_;
    double level_;
    double lowest_ = 0;
    core::time_point at_;
};

enum class ownership {
    /// Shards move to another instance when their owner dies or leaves.
    leases,
    /// Portion i belongs to instance i for good.
    fixed
};

struct options {
    std::uint64_t seed = 1;
    std::size_t instances = 10;
    core::limit_portioning division;
    ownership owners = ownership::leases;
    bool borrowing = true;
    bool skewed = false;
    /// Whether callers send twice their rate, in bursts above their burst.
    bool flood = false;
    double loss = 0;
    double duplicates = 0;
    /// Share of messages that are late by up to 3 s.
    double late = 0;
    /// Share of requests that are queued for up to 1.5 s between token and target.
    double queued = 0;
    /// Share of requests that the target refuses at first.
    double refused = 0;
};

struct counts {
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t run = 0;
    std::uint64_t messages = 0;
};

/// Owners and borrowers of several instances in one process, with messages that can be lost,
/// repeated and delayed. Unless callers flood, requests conform to their team's limit, so that each
/// refusal is wrongful.
class simulation {
public:
    explicit simulation(options chosen) : options_(chosen), random_(chosen.seed)
    {
        hosts_.resize(options_.instances);
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            start(index);
        }
        for (std::uint32_t index = 0; index < shard_count; ++index) {
            const core::shard_id shard{core::shard_kind::limits, index};
            lease& entry = leases_[shard];
            entry.holder = options_.owners == ownership::leases ? successor(shard) : std::nullopt;
        }
        every(milliseconds(250), [this] { watch_leases(); });
        every(milliseconds(1000), [this] { balance(); });
    }

    /// Adds a team whose callers offer about 70% of its rate, in bursts.
    void add_team(const std::string& name, double rate, double burst)
    {
        core::team entry;
        entry.id = core::team_id(name);
        entry.rate = rate;
        entry.burst = burst;
        fleet_.teams[entry.id] = entry;
        teams_.push_back({entry.id, {rate, burst}, {rate, burst}, entry, std::nullopt});
    }

    /// Lets every instance own its shards and apply the first fleet, then starts the callers.
    void begin()
    {
        if (options_.owners == ownership::fixed) {
            fix_owners();
        }
        for (auto& [shard, entry] : leases_) {
            if (entry.holder) {
                hosts_[*entry.holder].owner->acquire(shard, {}, now_);
                hosts_[*entry.holder].held.insert(shard);
            }
        }
        for (host& instance : hosts_) {
            apply_fleet(instance);
        }
        for (std::size_t team = 0; team < teams_.size(); ++team) {
            plan_arrivals(team);
        }
    }

    void run_for(core::duration length)
    {
        const core::time_point end = now_ + length;
        while (!events_.empty() && events_.top().at <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.work();
        }
        now_ = end;
    }

    void kill(std::size_t index)
    {
        hosts_[index].alive = false;
        refuse_all(hosts_[index]);
        hosts_[index].silent_since = now_;
    }

    /// A new run of the instance; it waits for its first log read.
    void restart(std::size_t index)
    {
        start(index);
        read_log(index);
        if (options_.owners == ownership::fixed) {
            // Without leases, the only safe start is after all old grants have expired.
            after(takeover_wait, [this, index, run = hosts_[index].run] {
                for (auto& [shard, entry] : leases_) {
                    if (hosts_[index].run == run && entry.holder == index) {
                        acquire(index, shard, {});
                    }
                }
            });
        }
    }

    void freeze(std::size_t index, core::duration length)
    {
        hosts_[index].frozen_until = now_ + length;
        hosts_[index].silent_since = now_;
    }

    /// The instance hands its shards over and ends after the directory's cache time.
    void leave(std::size_t index)
    {
        hosts_[index].leaving = true;
        for (auto& [shard, entry] : leases_) {
            if (entry.holder == index && options_.owners == ownership::leases) {
                hand_over(index, shard, entry);
            }
        }
        after(milliseconds(5000), [this, index, run = hosts_[index].run] {
            if (hosts_[index].run == run) {
                kill(index);
            }
        });
    }

    void set_log(bool up) { log_up_ = up; }

    /// Cuts the first `count` instances from the others; 0 heals.
    void cut(std::size_t count)
    {
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            hosts_[index].side = index < count ? 1 : 0;
            if (!majority(index)) {
                hosts_[index].silent_since = now_;
            }
        }
    }

    /// Changes a team's limits. Instances apply them when they read the log; the higher of both
    /// limits counts until the old ones can be in use nowhere.
    void change(std::size_t index, double rate, double burst)
    {
        team_load& load = teams_[index];
        const core::team before = load.limits;
        load.limits.rate = rate;
        load.limits.burst = burst;
        fleet_.teams[load.id] = load.limits;
        ++fleet_.version;
        if (!load.upper) {
            load.upper = std::pair{before.rate, before.burst};
        }
        load.upper = {std::max(load.upper->first, rate), std::max(load.upper->second, burst)};
        load.spent.set_limits(load.upper->first, load.upper->second, now_);
        // Callers keep to the lower limits until the raised ones must be in force.
        load.offered.set_limits(std::min(before.rate, rate), std::min(before.burst, burst), now_);
        after(2 * takeover_wait,
              [this, index, version = fleet_.version] { settle(index, version); });
    }

    std::optional<std::size_t> owner_of(std::size_t team) const
    {
        const auto shard = core::portion_shard(teams_[team].id, 0, shard_count);
        return leases_.at(shard).holder;
    }

    std::vector<std::size_t> usable() const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            if (responsive(hosts_[index]) && !hosts_[index].leaving) {
                result.push_back(index);
            }
        }
        return result;
    }

    double excess() const
    {
        double highest = 0;
        for (const team_load& load : teams_) {
            highest = std::max(highest, load.spent.excess());
        }
        return highest;
    }

    bool alive(std::size_t index) const { return hosts_[index].alive; }
    const counts& totals() const { return totals_; }
    core::time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void after(core::duration delay, std::function<void()> work)
    {
        events_.push({now_ + delay, ++sequence_, std::move(work)});
    }

    static constexpr milliseconds currency_bound{2000};
    static constexpr milliseconds takeover_wait{3300};

private:
    /// Many shards, so that the portions of a team lie in different ones.
    static constexpr std::uint32_t shard_count = 512;

    struct request {
        std::size_t team = 0;
        core::time_point deadline;
        bool refused_once = false;
    };
    struct host {
        std::uint64_t run = 0;
        bool alive = true;
        bool leaving = false;
        int side = 0;
        core::time_point frozen_until;
        core::time_point silent_since;
        core::time_point proof;
        std::uint64_t version = std::numeric_limits<std::uint64_t>::max();
        std::set<core::shard_id> held;
        std::unique_ptr<core::limit_owner> owner;
        std::unique_ptr<core::limit_client> client;
        std::map<core::team_id, std::deque<request>> waiting;
    };
    struct lease {
        std::optional<std::size_t> holder;
        std::uint64_t epoch = 0;
    };
    struct team_load {
        core::team_id id;
        reference_bucket offered;
        reference_bucket spent;
        core::team limits;
        std::optional<std::pair<double, double>> upper;
    };
    struct event {
        core::time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> work;

        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    core::incarnation_id id_of(std::size_t index) const
    {
        return {core::instance_id("i" + std::to_string(index)), hosts_[index].run};
    }

    bool frozen(const host& instance) const { return now_ < instance.frozen_until; }
    bool responsive(const host& instance) const { return instance.alive && !frozen(instance); }

    bool majority(std::size_t index) const
    {
        std::size_t reached = 0;
        for (const host& other : hosts_) {
            if (responsive(other) && other.side == hosts_[index].side) {
                ++reached;
            }
        }
        return 2 * reached > hosts_.size();
    }

    void every(core::duration interval, const std::function<void()>& work)
    {
        after(interval, [this, interval, work] {
            work();
            every(interval, work);
        });
    }

    core::duration between(core::duration low, core::duration high)
    {
        const auto span = std::uniform_int_distribution<std::int64_t>(low.count(), high.count());
        auto draw = span;
        return core::duration(draw(random_));
    }

    void start(std::size_t index)
    {
        host& instance = hosts_[index];
        const std::uint64_t run = instance.run + 1;
        const int side = instance.side;
        instance = host{};
        instance.run = run;
        instance.side = side;
        core::limit_owner_settings lending;
        lending.limit_shards = shard_count;
        lending.division = options_.division;
        instance.owner = std::make_unique<core::limit_owner>(lending);
        core::limit_client_settings borrowing;
        borrowing.self = id_of(index);
        borrowing.limit_shards = shard_count;
        borrowing.division = options_.division;
        instance.client = std::make_unique<core::limit_client>(borrowing);
        instance.silent_since = now_;
        tick(index, run);
        plan_log_read(index, run);
    }

    void tick(std::size_t index, std::uint64_t run)
    {
        host& instance = hosts_[index];
        if (instance.run != run || !instance.alive) {
            return;
        }
        if (!frozen(instance)) {
            pump(index);
            refuse_overdue(instance);
        }
        const core::duration pause =
            std::max<core::duration>(milliseconds(5), instance.frozen_until - now_);
        after(pause, [this, index, run] { tick(index, run); });
    }

    void plan_log_read(std::size_t index, std::uint64_t run)
    {
        // Slow reads make the instances differ in what they know, as far as the currency rule
        // allows.
        after(between(milliseconds(200), milliseconds(900)), [this, index, run] {
            host& instance = hosts_[index];
            if (instance.run != run || !instance.alive) {
                return;
            }
            if (!frozen(instance)) {
                read_log(index);
            }
            plan_log_read(index, run);
        });
    }

    void read_log(std::size_t index)
    {
        host& instance = hosts_[index];
        if (!log_up_ && !majority(index)) {
            return;
        }
        instance.proof = now_;
        apply_fleet(instance);
        for (auto position = instance.held.begin(); position != instance.held.end();) {
            if (leases_.at(*position).holder == index) {
                ++position;
                continue;
            }
            instance.owner->drop(*position);
            position = instance.held.erase(position);
        }
    }

    void apply_fleet(host& instance)
    {
        instance.proof = now_;
        if (instance.version != fleet_.version) {
            instance.version = fleet_.version;
            instance.owner->set_fleet(fleet_, now_);
            instance.client->set_fleet(fleet_);
        }
    }

    bool current(const host& instance) const { return now_ - instance.proof < currency_bound; }

    // Leases.

    std::optional<std::size_t> successor(const core::shard_id& shard) const
    {
        std::vector<core::instance_id> serving;
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            const host& instance = hosts_[index];
            if (responsive(instance) && !instance.leaving && majority(index)) {
                serving.push_back(id_of(index).instance);
            }
        }
        if (serving.empty()) {
            return std::nullopt;
        }
        const auto chosen = core::rendezvous("limits-" + std::to_string(shard.index), serving);
        return std::stoul(chosen.value().substr(1));
    }

    void acquire(std::size_t index, const core::shard_id& shard,
                 const std::vector<core::limit_level>& levels)
    {
        host& instance = hosts_[index];
        if (!responsive(instance)) {
            return;
        }
        apply_fleet(instance);
        instance.owner->acquire(shard, levels, now_);
        instance.held.insert(shard);
    }

    void claim(const core::shard_id& shard, lease& entry, core::duration wait,
               const std::vector<core::limit_level>& levels)
    {
        entry.holder = successor(shard);
        ++entry.epoch;
        if (!entry.holder) {
            return;
        }
        const std::size_t index = *entry.holder;
        after(wait, [this, index, shard, levels, epoch = entry.epoch, run = hosts_[index].run] {
            const lease& present = leases_.at(shard);
            if (present.holder == index && present.epoch == epoch && hosts_[index].run == run) {
                acquire(index, shard, levels);
            }
        });
    }

    void watch_leases()
    {
        if (!log_up_ || options_.owners == ownership::fixed) {
            return;
        }
        for (auto& [shard, entry] : leases_) {
            if (entry.holder) {
                const host& holder = hosts_[*entry.holder];
                const bool heard = responsive(holder) && majority(*entry.holder);
                if (heard || now_ - holder.silent_since < currency_bound) {
                    continue;
                }
            }
            // A claim needs a majority; without one the holder keeps the shard.
            if (successor(shard)) {
                claim(shard, entry, takeover_wait, {});
            }
        }
    }

    void hand_over(std::size_t index, const core::shard_id& shard, lease& entry)
    {
        host& instance = hosts_[index];
        const bool held = instance.held.erase(shard) > 0 && responsive(instance) && log_up_;
        if (!held) {
            return;
        }
        const auto levels = instance.owner->levels(shard, now_);
        instance.owner->drop(shard);
        claim(shard, entry, between(milliseconds(5), milliseconds(30)), levels);
    }

    /// One shard a second moves to the instance that should have it.
    void balance()
    {
        if (!log_up_ || options_.owners == ownership::fixed) {
            return;
        }
        int moved = 0;
        for (auto& [shard, entry] : leases_) {
            const auto better = successor(shard);
            const bool here = entry.holder && hosts_[*entry.holder].held.contains(shard);
            if (moved < 16 && here && better && better != entry.holder) {
                hand_over(*entry.holder, shard, entry);
                ++moved;
            }
        }
    }

    void fix_owners()
    {
        for (const team_load& load : teams_) {
            const std::uint32_t count = core::portion_count(load.limits, options_.division);
            for (std::uint32_t portion = 0; portion < count; ++portion) {
                const auto shard = core::portion_shard(load.id, portion, shard_count);
                leases_.at(shard).holder = portion % hosts_.size();
            }
        }
    }

    // Messages.

    template <class Handler>
    void send(std::size_t from, std::size_t to, Handler handler)
    {
        ++totals_.messages;
        const int copies = chance() < options_.duplicates ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const bool lost = chance() < options_.loss || hosts_[from].side != hosts_[to].side;
            if (lost) {
                continue;
            }
            const core::duration delay = chance() < options_.late
                                             ? between(milliseconds(1), milliseconds(3000))
                                             : between(microseconds(300), microseconds(1200));
            deliver(to, hosts_[to].run, delay, handler);
        }
    }

    template <class Handler>
    void deliver(std::size_t to, std::uint64_t run, core::duration delay, Handler handler)
    {
        after(delay, [this, to, run, handler] {
            host& instance = hosts_[to];
            if (!instance.alive || instance.run != run) {
                return;
            }
            if (frozen(instance)) {
                deliver(to, run, instance.frozen_until - now_, handler);
                return;
            }
            handler();
        });
    }

    void ask(std::size_t index)
    {
        host& instance = hosts_[index];
        bool again = true;
        while (again) {
            again = false;
            for (const auto& question : instance.client->questions(instance.held, now_)) {
                const auto holder = known_holder(index, question.shard);
                if (holder && *holder != index) {
                    ask_remote(index, *holder, question);
                    continue;
                }
                const auto answer = lend(index, id_of(index), question);
                const bool tokens = instance.client->on_grant(answer, now_);
                again = again || (question.request.wanted > 0 && !tokens);
            }
        }
    }

    void ask_remote(std::size_t index, std::size_t holder, const core::limit_question& question)
    {
        if (!options_.borrowing) {
            return;
        }
        const auto borrower = id_of(index);
        send(index, holder, [this, index, holder, question, borrower] {
            const core::limit_grant answer = lend(holder, borrower, question);
            send(holder, index, [this, index, answer, borrower] {
                if (hosts_[index].run == borrower.number) {
                    hosts_[index].client->on_grant(answer, now_);
                    pump(index);
                }
            });
        });
    }

    /// What the instance believes: a holder that is silent for a second is suspect.
    std::optional<std::size_t> known_holder(std::size_t index, const core::shard_id& shard) const
    {
        const auto holder = leases_.at(shard).holder;
        if (!holder || holder == index) {
            return holder;
        }
        const host& owner = hosts_[*holder];
        const bool reached = responsive(owner) && owner.side == hosts_[index].side;
        if (!reached && now_ - owner.silent_since > milliseconds(1000)) {
            return std::nullopt;
        }
        return holder;
    }

    core::limit_grant lend(std::size_t index, const core::incarnation_id& borrower,
                           const core::limit_question& question)
    {
        host& instance = hosts_[index];
        if (instance.held.contains(question.shard) && current(instance)) {
            return instance.owner->lend(borrower, question.request, now_);
        }
        core::limit_grant answer;
        answer.team = question.request.team;
        answer.portion = question.request.portion;
        answer.grant = question.request.grant;
        answer.owner = false;
        return answer;
    }

    // Requests.

    void plan_arrivals(std::size_t team)
    {
        const double rate = teams_[team].limits.rate;
        const double mean = 1 / ((options_.flood ? 1.0 : 0.7) * rate);
        const double wait = -mean * std::log(1 - chance());
        after(std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(wait)),
              [this, team] {
                  // Now and then a caller uses the whole burst.
                  const bool all = chance() < 0.02;
                  const int burst = static_cast<int>(teams_[team].limits.burst) + 1;
                  const int most = all ? 2 * burst : 1;
                  for (int sent = 0; sent < most && arrive(team); ++sent) {
                  }
                  plan_arrivals(team);
              });
    }

    bool arrive(std::size_t team)
    {
        team_load& load = teams_[team];
        const std::vector<std::size_t> choice = usable();
        if (choice.empty() || !(options_.flood || load.offered.conforms(now_))) {
            return false;
        }
        load.offered.take(now_);
        ++totals_.offered;
        const std::size_t number = options_.skewed ? team : random_();
        const std::size_t index = choice[number % choice.size()];
        host& instance = hosts_[index];
        if (!current(instance)) {
            ++totals_.refused;
            return true;
        }
        instance.waiting[load.id].push_back({team, now_ + milliseconds(250), false});
        pump(index);
        return true;
    }

    void pump(std::size_t index)
    {
        host& instance = hosts_[index];
        ask(index);
        hand_out(index);
        ask(index);
        hand_out(index);
        for (const auto& [team, waiting] : instance.waiting) {
            instance.client->want(team, static_cast<std::uint32_t>(waiting.size()), now_);
        }
    }

    void hand_out(std::size_t index)
    {
        host& instance = hosts_[index];
        for (auto& [team, waiting] : instance.waiting) {
            while (!waiting.empty()) {
                const auto token = instance.client->take(team, now_);
                if (!token) {
                    break;
                }
                const request taken = waiting.front();
                waiting.pop_front();
                dispatch_later(index, *token, taken);
            }
            instance.client->want(team, static_cast<std::uint32_t>(waiting.size()), now_);
        }
    }

    void dispatch_later(std::size_t index, const core::limit_token& token, const request& taken)
    {
        if (chance() >= options_.queued) {
            dispatch(index, token, taken);
            return;
        }
        deliver(index, hosts_[index].run, between(milliseconds(1), milliseconds(1500)),
                [this, index, token, taken] { dispatch(index, token, taken); });
    }

    void dispatch(std::size_t index, const core::limit_token& token, request taken)
    {
        host& instance = hosts_[index];
        if (!instance.client->spend(token, now_)) {
            taken.deadline = now_ + milliseconds(250);
            instance.waiting[token.team].push_front(taken);
            return;
        }
        if (!taken.refused_once && chance() < options_.refused) {
            // The target refuses: nothing ran, and the token may be used again.
            taken.refused_once = true;
            taken.deadline = now_ + milliseconds(254);
            deliver(index, instance.run, milliseconds(4), [this, index, token, taken] {
                hosts_[index].client->give_back(token, now_);
                hosts_[index].waiting[token.team].push_front(taken);
            });
            return;
        }
        teams_[taken.team].spent.take(now_);
        ++totals_.run;
    }

    void refuse_overdue(host& instance)
    {
        for (auto& [team, waiting] : instance.waiting) {
            const core::limit_shortage shortage = instance.client->shortage(team, now_);
            std::erase_if(waiting, [&](const request& entry) {
                const bool overdue = now_ >= entry.deadline;
                const bool hopeless =
                    shortage.exhausted && now_ + shortage.next_token > entry.deadline;
                totals_.refused += overdue || hopeless ? 1 : 0;
                return overdue || hopeless;
            });
        }
    }

    void refuse_all(host& instance)
    {
        // Connections of a dead instance break; this is no refusal by the limit.
        instance.waiting.clear();
    }

    void settle(std::size_t index, std::uint64_t version)
    {
        team_load& load = teams_[index];
        if (version != fleet_.version) {
            // Another change came meanwhile; its own call settles the limits.
            after(takeover_wait, [this, index, latest = fleet_.version] { settle(index, latest); });
            return;
        }
        load.upper.reset();
        load.spent.set_limits(load.limits.rate, load.limits.burst, now_);
        load.offered.set_limits(load.limits.rate, load.limits.burst, now_);
    }

    options options_;
    std::mt19937_64 random_;
    core::time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
    std::vector<host> hosts_;
    std::map<core::shard_id, lease> leases_;
    core::fleet fleet_;
    std::vector<team_load> teams_;
    counts totals_;
    bool log_up_ = true;
};

} // namespace limit_simulation
