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

/// Ticks every 20 ms up to a time and returns when the instance began to lead.
std::optional<milliseconds> leads_after(leadership& of, milliseconds limit, bool fit = true,
                                        bool others_know_more = false)
{
    for (milliseconds at{0}; at <= limit; at += milliseconds(20)) {
        of.tick(start + at, fit, others_know_more);
        if (of.leads()) {
            return at;
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against several leaders at the start: the one that ranks first comes first.
Test(leadership, the_first_by_rank_leads_first)
{
    leadership first(member("a"), {}, start);
    leadership second(member("b"), {}, start);
    first.set_members({member("a"), member("b")});
    second.set_members({member("a"), member("b")});
    const auto first_at = leads_after(first, seconds(2));
    const auto second_at = leads_after(second, seconds(2));
    cr_assert(first_at.has_value() && second_at.has_value());
    cr_assert_lt(first_at->count(), second_at->count());
}

// Guards against a second leader while the first one is heard.
Test(leadership, follows_whom_it_hears)
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

// Guards against two leaders that go on side by side.
Test(leadership, the_lower_of_two_leaders_steps_down)
{
    leadership self(member("b"), {}, start);
    cr_assert(leads_after(self, seconds(3)).has_value());
    self.on_heartbeat(member("c"), false, interval, start + seconds(3));
    cr_assert(self.leads(), "the other one ranks lower and has to step down");
    self.on_heartbeat(member("a"), false, interval, start + seconds(3));
    cr_assert_not(self.leads());
}

// Guards against an instance that leads on after a pause in which another took its place.
Test(leadership, a_paused_leader_steps_down)
{
    leadership self(member("a"), {}, start);
    cr_assert(leads_after(self, seconds(3)).has_value());
    self.tick(start + seconds(6), true, true);
    cr_assert_not(self.leads());
}

// Guards against a leader that places by an old list of targets while others could read the new
// one.
Test(leadership, a_leader_without_the_store_steps_down_for_one_that_has_it)
{
    leadership self(member("a"), {}, start);
    const auto begun = leads_after(self, seconds(3));
    cr_assert(begun.has_value());
    const core::time_point later = start + *begun + milliseconds(20);
    self.tick(later, false, false);
    cr_assert(self.leads(), "nobody knows more while the store is away for all");
    self.tick(later + milliseconds(20), false, true);
    cr_assert_not(self.leads());
}

// Guards against a wait for the silence of a leader that has said that it goes.
Test(leadership, a_resignation_is_followed_at_once)
{
    leadership self(member("b"), {}, start);
    self.on_heartbeat(member("a"), false, interval, start);
    self.tick(start + milliseconds(20), true, false);
    self.on_heartbeat(member("a"), true, interval, start + milliseconds(30));
    self.tick(start + milliseconds(40), true, false);
    cr_assert(self.leads());
}

// Guards against small instances that place for the whole fleet.
Test(leadership, larger_instances_rank_first)
{
    cr_assert(serving::ranks_before(member("z", 0.5), member("a", 0.12)));
    cr_assert(serving::ranks_before(member("z", 0.5, 1), member("a", 0.5, 2)));
}

// Replays the start of all instances at once: callers come at full rate, and each 100 ms without a
// leader costs their requests. Guards against a wait for the silence of a leader that never was.
Test(leadership, all_start_at_once_and_one_leads_soon)
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
    std::optional<milliseconds> first;
    int leaders = 0;
    for (milliseconds at{0}; at <= milliseconds(400); at += milliseconds(20)) {
        const core::time_point now = start + milliseconds(count) + at;
        for (leadership& self : fleet) {
            const bool led = self.leads();
            self.tick(now, true, false);
            leaders += !led && self.leads() ? 1 : 0;
            for (const core::instance_id& asked : self.take_queries(now)) {
                for (leadership& other : fleet) {
                    if (other.self().id == asked && !other.leads()) {
                        other.on_candidate(self.self(), true, now);
                    }
                }
            }
            if (self.leads()) {
                first = first.value_or(at);
                for (leadership& other : fleet) {
                    other.on_heartbeat(self.self(), false, interval, now);
                }
            }
        }
    }
    cr_assert(first.has_value());
    cr_assert_leq(first->count(), 150, "begun after %lld ms",
                  static_cast<long long>(first->count()));
    cr_assert_eq(leaders, 1);
    cr_assert(fleet.front().leads());
}

// Guards against a second leader beside one that this instance has not heard yet.
Test(leadership, a_hint_holds_a_search_up)
{
    leadership self(member("a"), {}, start);
    self.set_members({member("a"), member("b")});
    for (milliseconds at{0}; at < seconds(1); at += milliseconds(20)) {
        self.on_leader_hint(start + at);
        self.tick(start + at, true, false);
        cr_assert_not(self.leads());
    }
}

// Guards against a fleet without a leader because others hear one that is out of this instance's
// reach.
Test(leadership, hints_do_not_hold_a_search_up_for_good)
{
    leadership self(member("a"), {}, start);
    self.set_members({member("a"), member("b")});
    for (milliseconds at{0}; at <= seconds(3); at += milliseconds(20)) {
        self.on_leader_hint(start + at);
        self.tick(start + at, true, false);
    }
    cr_assert(self.leads());
}

// Guards against a leader that cannot read the store while a candidate can.
Test(leadership, a_candidate_with_the_store_goes_first)
{
    leadership self(member("a"), {}, start);
    self.set_members({member("a"), member("b")});
    for (milliseconds at{0}; at < seconds(1); at += milliseconds(20)) {
        self.on_candidate(member("b"), true, start + at);
        self.tick(start + at, false, false);
        cr_assert_not(self.leads());
    }
}

// Guards against questions to all of a large fleet by all of it at once.
Test(leadership, a_round_of_questions_is_bounded)
{
    leadership self(member("m7"), {}, start);
    constexpr int count = 300;
    std::vector<serving::fleet_member> members;
    members.reserve(count);
    for (int index = 0; index < count; ++index) {
        members.push_back(member("m" + std::to_string(index)));
    }
    self.set_members(members);
    std::set<core::instance_id> asked;
    for (int round = 0; round < 40; ++round) {
        const auto ids = self.take_queries(start + milliseconds(20 * round));
        cr_assert_leq(ids.size(), 16U);
        asked.insert(ids.begin(), ids.end());
    }
    cr_assert_eq(asked.size(), 299U, "all others are asked in turn");
}
