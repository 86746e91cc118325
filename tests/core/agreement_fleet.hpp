#pragma once

#include "core/core.hpp"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// Several instances with a fake log and fake message delivery in one process. Times are simulated
// milliseconds; every instance has a clock of its own offset and rate.

namespace agreement_fleet {

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;

/// Part of the composition in `node` that agreement needs.
class instance {
public:
    instance(const std::string& name, std::uint64_t number, core::duration takeover_wait)
        : self{core::instance_id(name), number}, freshness({self, std::chrono::seconds(2)}),
          members(member_settings(self)), shards(manager_settings(self, takeover_wait))
    {
    }

    core::incarnation_id self;
    core::control_state state;
    core::currency freshness;
    core::membership members;
    core::shard_manager shards;
    std::vector<core::send_peer> outbox;
    std::deque<std::vector<core::control_record>> appends;
    std::vector<core::control_group> history;
    bool read_open = false;
    bool append_open = false;
    bool leaving = false;

    // Faults.
    bool frozen = false;
    bool cut_log = false;
    bool cut_peers = false;
    /// Messages pass only between instances of the same side.
    bool side = false;
    std::vector<std::function<void()>> held_back;

    bool is_member() const
    {
        const auto found = state.members().find(self.instance);
        return found != state.members().end() && found->second.incarnation == self;
    }

    bool may_act(const core::shard_id& shard, core::time_point now) const
    {
        return state.complete() && shards.held_epoch(shard) && freshness.is_current(now);
    }

    void tick(core::time_point now)
    {
        const bool ask_all = !freshness.log_readable(now) || awaiting_ || !is_member() ||
                             !freshness.members_settled(state.members_changed_at());
        members.tick(now, state.next_offset(), ask_all, outbox);
        freshness.set_ended(members.ended(now));
        update(now);
        maintain_membership(now);
    }

    void apply(const std::vector<core::control_group>& groups, core::time_point now)
    {
        for (const core::control_group& group : groups) {
            if (group.offset != state.next_offset()) {
                continue;
            }
            if (state.apply(group).members) {
                freshness.set_members(state.members());
                members.set_members(state.members(), now);
            }
            history.push_back(group);
        }
        freshness.set_applied(state.next_offset());
        update(now);
    }

    void on_message(const core::peer_envelope& envelope, core::time_point now)
    {
        if (envelope.to.number != self.number) {
            return;
        }
        members.on_heard(envelope.from, now);
        const core::peer_message& message = envelope.messages.front();
        if (const auto* asked = std::get_if<core::probe>(&message)) {
            members.on_probe(envelope.from, *asked, state.next_offset(), now, outbox);
        }
        else if (const auto* answer = std::get_if<core::probe_answer>(&message)) {
            on_answer(envelope.from, *answer, now);
        }
        else if (const auto* request = std::get_if<core::control_request>(&message)) {
            if (request->from < history.size()) {
                const auto first = history.begin() + static_cast<std::ptrdiff_t>(request->from);
                send(envelope.from, core::control_relay{{}, {first, history.end()}});
            }
        }
        else if (const auto* relay = std::get_if<core::control_relay>(&message)) {
            apply(relay->groups, now);
        }
    }

private:
    static core::membership_settings member_settings(const core::incarnation_id& self)
    {
        core::membership_settings settings;
        settings.self = self;
        return settings;
    }

    static core::shard_settings manager_settings(const core::incarnation_id& self,
                                                 core::duration takeover_wait)
    {
        core::shard_settings settings;
        settings.self = self;
        settings.limit_shards = 5;
        settings.batch_partitions = 4;
        settings.takeover_wait = takeover_wait;
        return settings;
    }

    void on_answer(const core::incarnation_id& from, const core::probe_answer& answer,
                   core::time_point now)
    {
        const auto matched = members.on_answer(from, answer, now);
        if (!matched) {
            return;
        }
        freshness.member_answered(matched->member, matched->asked_at, matched->applied_next);
        if (matched->applied_next > state.next_offset()) {
            send(from, core::control_request{state.next_offset()});
        }
    }

    void send(const core::incarnation_id& to, core::peer_message message)
    {
        outbox.push_back({to.instance.value(), {self, {}, to, {std::move(message)}}});
    }

    void append(core::control_body body)
    {
        appends.push_back({{self, ++sequence_, std::move(body)}});
    }

    void update(core::time_point now)
    {
        const core::shard_orders orders = shards.update(
            state, freshness, members.serving(now), members.reachable(now),
            [](const core::shard_id&) { return false; }, now);
        awaiting_ = orders.awaiting_majority;
        if (!orders.claims.empty()) {
            append(core::lease_claim{self, orders.claims});
        }
        if (!orders.releases.empty()) {
            append(core::lease_release{self, orders.releases});
        }
    }

    void maintain_membership(core::time_point now)
    {
        const core::log_offset base = state.members_changed_at();
        const bool replaces = !is_member() && state.members().contains(self.instance);
        const bool early = written_at_ && now < *written_at_ + std::chrono::seconds(1);
        if (early || freshness.basis(now) != core::currency_basis::log ||
            !(replaces || freshness.members_settled(base))) {
            return;
        }
        const std::vector<core::incarnation_id> ended = members.ended(now);
        if (!leaving && !is_member()) {
            append(core::member_join{base, {self, {}, "", self.instance.value()}});
        }
        else if (leaving && is_member() && shards.idle()) {
            append(core::member_leave{base, self});
        }
        else if (!ended.empty() && shards.held_epoch({core::shard_kind::control, 0})) {
            append(core::member_leave{base, ended.front()});
        }
        else {
            return;
        }
        written_at_ = now;
    }

    bool awaiting_ = false;
    std::optional<core::time_point> written_at_;
    std::uint64_t sequence_ = 0;
};

/// Instances, log, network and time.
class fleet {
public:
    fleet(std::uint64_t seed, std::size_t count, core::duration takeover_wait)
        : random_(seed), takeover_wait_(takeover_wait)
    {
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        for (std::size_t index = 0; index < count; ++index) {
            start("i" + std::to_string(index));
        }
    }

    std::map<std::string, std::shared_ptr<instance>> instances;
    bool log_down = false;
    /// Share of messages, appends and reads that are late by up to 3.2 s.
    std::uint64_t late_percent = 2;
    std::int64_t time = 0;
    /// Times at which two instances might act on one shard.
    std::uint64_t violations = 0;

    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }

    bool chance(std::uint64_t percent) { return pick(100) < percent; }

    void after(std::uint64_t delay, std::function<void()> what)
    {
        agenda_.emplace(time + static_cast<std::int64_t>(delay), std::move(what));
    }

    void start(const std::string& name)
    {
        const auto number = static_cast<std::uint64_t>(time) + 1;
        instances[name] = std::make_shared<instance>(name, number, takeover_wait_);
        // Rates differ by up to 2%, which the margin of the takeover wait has to cover.
        clocks_[name] = {static_cast<std::int64_t>(pick(1000000)), 98 + pick(5)};
    }

    void kill(const std::string& name) { instances.erase(name); }

    void thaw(instance& woken)
    {
        woken.frozen = false;
        check();
        const auto waiting = std::exchange(woken.held_back, {});
        for (const auto& what : waiting) {
            what();
        }
    }

    core::time_point clock(const instance& of) const
    {
        const auto& [offset, percent] = clocks_.at(of.self.instance.value());
        const std::int64_t micros = time * 10 * static_cast<std::int64_t>(percent);
        return core::time_point(milliseconds(offset) + std::chrono::microseconds(micros));
    }

    /// Names of the instances that may act on the shard.
    std::vector<std::string> actors(const core::shard_id& shard) const
    {
        std::vector<std::string> result;
        for (const auto& [name, running] : instances) {
            if (!running->frozen && running->may_act(shard, clock(*running))) {
                result.push_back(name);
            }
        }
        return result;
    }

    std::vector<core::shard_id> shards() const
    {
        return instances.begin()->second->shards.all_shards();
    }

    /// Whether every shard has an actor.
    bool all_served() const
    {
        return std::ranges::all_of(shards(),
                                   [this](const auto& shard) { return !actors(shard).empty(); });
    }

    void run(std::int64_t duration_ms)
    {
        constexpr std::int64_t step_ms = 5;
        constexpr std::int64_t tick_ms = 20;
        constexpr std::int64_t list_ms = 1000;
        for (const std::int64_t end = time + duration_ms; time < end; time += step_ms) {
            while (!agenda_.empty() && agenda_.begin()->first <= time) {
                const auto what = std::move(agenda_.begin()->second);
                agenda_.erase(agenda_.begin());
                what();
            }
            if (time % list_ms == 0) {
                spread_list();
            }
            if (time % tick_ms == 0) {
                tick();
            }
            check();
        }
    }

private:
    void check()
    {
        if (instances.empty()) {
            return;
        }
        for (const core::shard_id& shard : shards()) {
            violations += actors(shard).size() > 1 ? 1 : 0;
        }
    }

    /// Runs `what` when the instance can: at once, or when it is no longer frozen.
    void deliver(const std::weak_ptr<instance>& to, const std::function<void(instance&)>& what)
    {
        const auto running = to.lock();
        if (!running || !is_running(*running)) {
            return;
        }
        if (running->frozen) {
            running->held_back.emplace_back([this, to, what] { deliver(to, what); });
            return;
        }
        what(*running);
        flush(*running);
    }

    bool is_running(const instance& which) const
    {
        const auto found = instances.find(which.self.instance.value());
        return found != instances.end() && found->second.get() == &which;
    }

    std::uint64_t delay() { return chance(late_percent) ? 200 + pick(3000) : 1 + pick(10); }

    void tick()
    {
        for (const auto& [name, running] : std::map(instances)) {
            if (running->frozen) {
                continue;
            }
            running->tick(clock(*running));
            flush(*running);
            read(running);
            write(running);
        }
    }

    void spread_list()
    {
        std::vector<core::listed_instance> list;
        for (const auto& [name, running] : instances) {
            list.push_back({core::instance_id(name), running->leaving});
            deliver(running,
                    [this, list = listed_](instance& to) { to.members.set_list(list, clock(to)); });
        }
        listed_ = list;
    }

    void flush(instance& from)
    {
        for (core::send_peer& sending : std::exchange(from.outbox, {})) {
            const std::string target = sending.envelope.to.instance.value();
            const std::uint64_t copies = chance(3) ? 0 : (chance(2) ? 2 : 1);
            for (std::uint64_t copy = 0; copy < copies && !from.cut_peers; ++copy) {
                after(delay(), [this, target, side = from.side, envelope = sending.envelope] {
                    const auto to = instances.find(target);
                    const bool there = to != instances.end() && !to->second->cut_peers;
                    if (!there || to->second->side != side) {
                        return;
                    }
                    deliver(to->second, [this, envelope](instance& receiver) {
                        receiver.on_message(envelope, clock(receiver));
                    });
                });
            }
        }
    }

    bool log_reachable(const instance& from) const { return !log_down && !from.cut_log; }

    void read(const std::shared_ptr<instance>& from)
    {
        if (std::exchange(from->read_open, true)) {
            return;
        }
        const core::time_point asked_at = clock(*from);
        const core::log_offset next = from->state.next_offset();
        after(1 + pick(5), [this, asked_at, next, to = std::weak_ptr(from)] {
            const auto running = to.lock();
            const bool answered = running && log_reachable(*running) && !chance(1);
            const auto first = log_.begin() + static_cast<std::ptrdiff_t>(
                                                  std::min<std::size_t>(next, log_.size()));
            const std::vector<core::control_group> groups(first, log_.end());
            const core::log_offset head = log_.size();
            after(answered ? delay() : 300, [=, this] {
                deliver(to, [=, this](instance& reader) {
                    reader.read_open = false;
                    if (answered && log_reachable(reader)) {
                        reader.apply(groups, clock(reader));
                        reader.freshness.log_answered(asked_at, head);
                    }
                });
            });
        });
    }

    /// Appends the first waiting group until it is acknowledged; an append can take effect although
    /// its answer is lost.
    void write(const std::shared_ptr<instance>& from)
    {
        if (from->appends.empty() || std::exchange(from->append_open, true)) {
            return;
        }
        after(delay(), [this, records = from->appends.front(), to = std::weak_ptr(from)] {
            const auto running = to.lock();
            const bool cut = running && running->cut_log;
            if (!log_down && !cut) {
                log_.push_back({log_.size(), {}, records});
            }
            const bool acknowledged = running && log_reachable(*running) && !chance(10);
            after(acknowledged ? 1 + pick(5) : 300, [=, this] {
                deliver(to, [=](instance& writer) {
                    writer.append_open = false;
                    if (acknowledged) {
                        writer.appends.pop_front();
                    }
                });
            });
        });
    }

    std::mt19937_64 random_;
    core::duration takeover_wait_;
    std::multimap<std::int64_t, std::function<void()>> agenda_;
    std::map<std::string, std::pair<std::int64_t, std::uint64_t>> clocks_;
    std::vector<core::control_group> log_;
    std::vector<core::listed_instance> listed_;
};

} // namespace agreement_fleet
