#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::leadership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
constexpr milliseconds interval{100};

serving::fleet_member member(const std::string& name, double capacity = 1.0,
                             std::int64_t started_at = 0)
{
    serving::fleet_member result;
    result.id = core::instance_id(name);
    result.capacity = capacity;
    result.started_at = started_at;
    return result;
}

/// Ticks every 20 ms up to `limit` and returns when the instance started to lead.
std::optional<milliseconds> time_to_lead(leadership& instance, milliseconds limit,
                                         bool store_readable = true, bool peer_is_newer = false)
{
    for (milliseconds at{0}; at <= limit; at += milliseconds(20)) {
        instance.tick(start + at, store_readable, peer_is_newer);
        if (instance.leads()) {
            return at;
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against several leaders after a start: the instance that ranks first must lead before the
// others.
Test(leadership, highest_ranked_instance_leads_first)
{
    leadership first(member("a"), {}, start);
    leadership second(member("b"), {}, start);
    first.set_members({member("a"), member("b")});
    second.set_members({member("a"), member("b")});
    const auto first_at = time_to_lead(first, seconds(2));
    const auto second_at = time_to_lead(second, seconds(2));
    cr_assert(first_at.has_value() && second_at.has_value());
    cr_assert_lt(first_at->count(), second_at->count());
}

// Guards against a second leader while heartbeats of the first one arrive.
Test(leadership, follows_a_leader_that_sends_heartbeats)
{
    leadership self(member("b"), {}, start);
    for (milliseconds at{0}; at < seconds(5); at += milliseconds(20)) {
        if (at.count() % 200 == 0) {
            self.on_heartbeat(member("a"), false, interval, start + at);
        }
        self.tick(start + at, true, false);
        cr_assert_not(self.leads());
    }
    cr_assert(self.leader(start + seconds(5) - milliseconds(20)) ==
              std::optional(core::instance_id("a")));
}

// Guards against two leaders that never yield to each other.
Test(leadership, lower_ranked_of_two_leaders_steps_down)
{
    leadership self(member("b"), {}, start);
    cr_assert(time_to_lead(self, seconds(3)).has_value());
    self.on_heartbeat(member("c"), false, interval, start + seconds(3));
    cr_assert(self.leads(), "the other leader ranks lower and has to step down");
    self.on_heartbeat(member("a"), false, interval, start + seconds(3));
    cr_assert_not(self.leads());
}

// Guards against an instance that keeps leading after a stall during which another has replaced it.
Test(leadership, stalled_leader_steps_down)
{
    leadership self(member("a"), {}, start);
    cr_assert(time_to_lead(self, seconds(3)).has_value());
    self.tick(start + seconds(6), true, true);
    cr_assert_not(self.leads());
}

// Guards against a leader that places requests by a stale list of targets while other instances can
// read the store.
Test(leadership, leader_without_store_access_steps_down_for_an_instance_with_access)
{
    leadership self(member("a"), {}, start);
    const auto leads_at = time_to_lead(self, seconds(3));
    cr_assert(leads_at.has_value());
    const core::time_point later = start + *leads_at + milliseconds(20);
    self.tick(later, false, false);
    cr_assert(self.leads(), "no instance has newer data while the store is unavailable to all");
    self.tick(later + milliseconds(20), false, true);
    cr_assert_not(self.leads());
}

// Guards against waiting for the heartbeat timeout of a leader that has resigned.
Test(leadership, resigned_leader_is_replaced_at_once)
{
    leadership self(member("b"), {}, start);
    self.set_members({member("a"), member("b"), member("c")});
    self.on_heartbeat(member("a"), false, interval, start);
    self.tick(start + milliseconds(20), true, false);
    self.on_heartbeat(member("a"), true, interval, start + milliseconds(30));
    self.tick(start + milliseconds(40), true, false);
    cr_assert(self.leads());
}

// Guards against many leaders after a resignation: instances that have not read the list of
// instances do not know who ranks before them. Seen with 295 instances, of which 250 led at once.
Test(leadership, instances_without_the_list_wait_when_a_leader_resigns)
{
    leadership informed(member("b"), {}, start);
    informed.set_members({member("a"), member("b"), member("c")});
    leadership uninformed(member("c"), {}, start);
    for (leadership* each : {&informed, &uninformed}) {
        each->on_heartbeat(member("a"), false, interval, start);
        each->tick(start + milliseconds(20), true, false);
        each->on_heartbeat(member("a"), true, interval, start + milliseconds(30));
        each->tick(start + milliseconds(40), true, false);
    }
    cr_assert(informed.leads());
    cr_assert_not(uninformed.leads());
    for (milliseconds at{60}; at <= milliseconds(1000); at += milliseconds(20)) {
        uninformed.tick(start + at, true, false);
    }
    cr_assert(uninformed.leads(), "somebody has to lead if those that know the list are gone");
}

// Guards against small instances that place requests for the whole fleet.
Test(leadership, larger_instances_rank_first)
{
    cr_assert(serving::ranks_before(member("z", 0.5), member("a", 0.12)));
    cr_assert(serving::ranks_before(member("z", 0.5, 1), member("a", 0.5, 2)));
}

// Starts all instances at once while callers send at full rate: each 100 ms without a leader costs
// their requests. Guards against waiting for the heartbeat timeout when there was no leader before.
Test(leadership, one_instance_leads_soon_after_a_simultaneous_start)
{
    constexpr int count = 11;
    std::vector<leadership> fleet;
    std::vector<serving::fleet_member> members;
    members.reserve(count);
    for (int index = 0; index < count; ++index) {
        members.push_back(member("m" + std::to_string(index), 0.5, index));
    }
    for (int index = 0; index < count; ++index) {
        fleet.emplace_back(members[static_cast<std::size_t>(index)], serving::leadership_settings(),
                           start + milliseconds(index));
        fleet.back().set_members(members);
    }
    std::optional<milliseconds> first_led_at;
    int elected = 0;
    for (milliseconds at{0}; at <= milliseconds(400); at += milliseconds(20)) {
        const core::time_point now = start + milliseconds(count) + at;
        for (leadership& self : fleet) {
            const bool led_before = self.leads();
            self.tick(now, true, false);
            elected += !led_before && self.leads() ? 1 : 0;
            for (const core::instance_id& queried : self.take_queries(now)) {
                for (leadership& other : fleet) {
                    if (other.self().id == queried && !other.leads()) {
                        other.on_candidate(self.self(), true, now);
                    }
                }
            }
            if (self.leads()) {
                first_led_at = first_led_at.value_or(at);
                for (leadership& other : fleet) {
                    other.on_heartbeat(self.self(), false, interval, now);
                }
            }
        }
    }
    cr_assert(first_led_at.has_value());
    cr_assert_leq(first_led_at->count(), 150, "first leader after %lld ms",
                  static_cast<long long>(first_led_at->count()));
    cr_assert_eq(elected, 1);
    cr_assert(fleet.front().leads());
}

// Guards against a second leader beside one from which this instance has no heartbeat yet.
Test(leadership, leader_hint_delays_an_election)
{
    leadership self(member("a"), {}, start);
    self.set_members({member("a"), member("b")});
    for (milliseconds at{0}; at < seconds(1); at += milliseconds(20)) {
        self.on_leader_hint(start + at);
        self.tick(start + at, true, false);
        cr_assert_not(self.leads());
    }
}

// Guards against an instance without a leader because its peers hint at one that this instance
// cannot reach.
Test(leadership, leader_hints_do_not_delay_an_election_forever)
{
    leadership self(member("a"), {}, start);
    self.set_members({member("a"), member("b")});
    for (milliseconds at{0}; at <= seconds(3); at += milliseconds(20)) {
        self.on_leader_hint(start + at);
        self.tick(start + at, true, false);
    }
    cr_assert(self.leads());
}

// Guards against a leader that cannot read the store while another candidate can.
Test(leadership, candidate_with_store_access_takes_precedence)
{
    leadership self(member("a"), {}, start);
    self.set_members({member("a"), member("b")});
    for (milliseconds at{0}; at < seconds(1); at += milliseconds(20)) {
        self.on_candidate(member("b"), true, start + at);
        self.tick(start + at, false, false);
        cr_assert_not(self.leads());
    }
}

// Guards against a large fleet in which every instance queries all others at once.
Test(leadership, queries_per_round_are_bounded)
{
    leadership self(member("m7"), {}, start);
    constexpr int count = 300;
    std::vector<serving::fleet_member> members;
    members.reserve(count);
    for (int index = 0; index < count; ++index) {
        members.push_back(member("m" + std::to_string(index)));
    }
    self.set_members(members);
    std::set<core::instance_id> queried;
    for (int round = 0; round < 40; ++round) {
        const auto ids = self.take_queries(start + milliseconds(20 * round));
        cr_assert_leq(ids.size(), 16U);
        queried.insert(ids.begin(), ids.end());
    }
    cr_assert_eq(queried.size(), 299U, "all other instances are queried eventually");
}

// Guards against a former leader that answers what has waited for it during a stall, before its
// next tick.
Test(leadership, stall_is_noticed_between_ticks)
{
    leadership self(member("a"), {}, start);
    cr_assert(time_to_lead(self, seconds(3)).has_value());
    const core::time_point led_at = start + seconds(3);
    self.tick(led_at, true, false);
    self.tick(led_at + milliseconds(20), true, false);
    const core::time_point last_tick_at = led_at + milliseconds(20);
    cr_assert_not(self.has_stalled(last_tick_at + milliseconds(300)));
    cr_assert(self.has_stalled(last_tick_at + milliseconds(320)));
}
