#include "core/core.hpp"
#include "core/rendezvous.hpp"

#include <criterion/criterion.h>

namespace {

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

const core::shard_id control{core::shard_kind::control, 0};
const core::incarnation_id self{core::instance_id("b"), 2};
const core::incarnation_id other{core::instance_id("a"), 1};
const core::incarnation_id third{core::instance_id("c"), 1};

/// One shard, three members: this instance, which should hold the shard, and two others.
struct scene {
    core::control_state state;
    core::currency freshness{{self, std::chrono::seconds(2)}};
    core::shard_manager shards{settings()};
    core::time_point now = core::time_point(std::chrono::hours(1));
    std::vector<core::instance_id> serving{self.instance};
    std::vector<core::instance_id> reachable{other.instance, self.instance, third.instance};
    std::set<core::shard_id> busy;
    core::busy_check is_busy = [this](const core::shard_id& shard) { return busy.contains(shard); };
    std::uint64_t sequence = 0;

    scene()
    {
        for (const core::incarnation_id& joined : {other, self, third}) {
            append(core::member_join{state.members_changed_at(), {joined, {}, "", ""}});
        }
        freshness.set_members(state.members());
    }

    static core::shard_settings settings()
    {
        core::shard_settings result;
        result.self = self;
        result.limit_shards = 0;
        result.batch_partitions = 0;
        return result;
    }

    void append(core::control_body body)
    {
        const core::incarnation_id writer{core::instance_id("writer"), 1};
        state.apply({state.next_offset(), {}, {{writer, ++sequence, std::move(body)}}});
        freshness.set_applied(state.next_offset());
    }

    void claim(const core::incarnation_id& claimant, core::lease_epoch expected)
    {
        append(core::lease_claim{claimant, {{control, expected}}});
    }

    void release(const core::incarnation_id& holder, core::lease_epoch epoch)
    {
        append(core::lease_release{holder, {{control, epoch, {}}}});
    }

    core::shard_orders update(milliseconds passed = milliseconds(20), bool with_log = true)
    {
        now += passed;
        if (with_log) {
            freshness.log_answered(now, state.next_offset());
        }
        return shards.update(state, freshness, serving, reachable, is_busy, now);
    }

    void answer(const core::incarnation_id& from)
    {
        freshness.member_answered(from.instance, now, state.next_offset());
    }

    bool acts() const { return shards.held_epoch(control).has_value(); }
};

} // namespace

// Guards against a wait for a holder that never was.
Test(shard_manager, new_shard_acts_once_read_back)
{
    scene test;
    cr_assert_eq(test.update().claims.size(), 1U);
    cr_assert_not(test.acts());
    test.claim(self, 0);
    const core::shard_orders orders = test.update();
    cr_assert_eq(orders.acquired.size(), 1U);
    cr_assert_eq(test.shards.held_epoch(control).value_or(0), 1U);
}

// Guards against a wait after a release, which would stop the shard at every departure.
Test(shard_manager, released_shard_acts_once_read_back)
{
    scene test;
    test.claim(other, 0);
    cr_assert(test.update().claims.empty());
    test.release(other, 1);
    cr_assert_eq(test.update().claims.front().expected, 1U);
    test.claim(self, 1);
    test.update();
    cr_assert(test.acts());
}

// Guards against acting while the last holder may, known to no majority, still be vouched for by
// members that have not seen the claim.
Test(shard_manager, wait_begins_with_majority)
{
    scene test;
    test.claim(other, 0);
    test.claim(self, 1);
    cr_assert(test.update().awaiting_majority);
    cr_assert(test.update(std::chrono::minutes(1)).awaiting_majority);
    cr_assert_not(test.acts());
    test.answer(third);
    cr_assert_not(test.update().awaiting_majority);
    test.update(milliseconds(3299));
    cr_assert_not(test.acts());
    test.update(milliseconds(1));
    cr_assert(test.acts());
}

// Guards against shards being taken from live holders by an instance that suspects them because it
// is itself cut off.
Test(shard_manager, no_claim_from_silent_holder_without_majority)
{
    scene test;
    test.claim(other, 0);
    test.answer(other);
    test.answer(third);
    test.reachable = {self.instance, third.instance};
    cr_assert(test.update(milliseconds(10)).claims.empty());
    const core::shard_orders orders = test.update(milliseconds(900));
    cr_assert(orders.claims.empty());
    cr_assert(orders.awaiting_majority);
    test.answer(third);
    cr_assert_eq(test.update().claims.size(), 1U);
}

// Guards against a restarted instance acting at once on what its earlier run held.
Test(shard_manager, earlier_run_of_same_instance_is_another_holder)
{
    scene test;
    const core::incarnation_id later{self.instance, 3};
    core::shard_settings settings = scene::settings();
    settings.self = later;
    core::shard_manager restarted(settings);
    core::currency freshness({later, std::chrono::seconds(2)});
    test.claim(self, 0);
    test.append(core::member_join{0, {later, {}, "", ""}});
    freshness.set_members(test.state.members());
    freshness.set_applied(test.state.next_offset());
    const auto update = [&] {
        test.now += milliseconds(100);
        freshness.log_answered(test.now, test.state.next_offset());
        freshness.member_answered(third.instance, test.now, test.state.next_offset());
        return restarted.update(test.state, freshness, test.serving, test.reachable, test.is_busy,
                                test.now);
    };
    update();
    cr_assert_eq(update().claims.size(), 1U);
    test.claim(later, 1);
    update();
    cr_assert_eq(static_cast<int>(restarted.phase(control)),
                 static_cast<int>(core::shard_phase::waiting));
    cr_assert_not(restarted.held_epoch(control));
}

// Guards against releasing a shard before its takeover wait is over: the next holder would not wait
// and could meet the one before.
Test(shard_manager, leaving_does_not_release_a_shard_that_waits)
{
    scene test;
    test.claim(other, 0);
    test.claim(self, 1);
    test.answer(third);
    test.update();
    test.shards.set_leaving();
    cr_assert(test.update(milliseconds(3000)).releases.empty());
    cr_assert_not(test.shards.idle());
    const core::shard_orders orders = test.update(milliseconds(300));
    cr_assert_eq(orders.releases.size(), 1U);
    cr_assert_not(test.acts());
    test.release(self, 2);
    test.update();
    cr_assert(test.shards.idle());
}

// Guards against a leaving instance giving up shards during an outage of the log, when nobody could
// take them.
Test(shard_manager, leaving_keeps_shards_while_log_is_down)
{
    scene test;
    test.claim(self, 0);
    test.update();
    test.shards.set_leaving();
    cr_assert(test.update(milliseconds(3000), false).releases.empty());
    cr_assert(test.acts());
    cr_assert_eq(test.update().releases.size(), 1U);
}

// Guards against a holder that goes on after another instance's claim.
Test(shard_manager, lost_to_a_later_claim)
{
    scene test;
    test.claim(self, 0);
    test.update();
    cr_assert(test.acts());
    test.claim(other, 1);
    cr_assert_eq(test.update().lost.size(), 1U);
    cr_assert_not(test.acts());
}

// Guards against a claim that the log swallowed being awaited for ever.
Test(shard_manager, claim_is_ordered_again)
{
    scene test;
    cr_assert_eq(test.update().claims.size(), 1U);
    cr_assert(test.update(milliseconds(2900)).claims.empty());
    cr_assert_eq(test.update(milliseconds(200)).claims.size(), 1U);
}

// Guards against a shard that stays free because the first candidate cannot write to the log.
Test(shard_manager, second_candidate_claims_later)
{
    scene test;
    test.serving = {other.instance, self.instance};
    const bool first = core::rendezvous("control", test.serving) == self.instance;
    cr_assert_eq(test.update().claims.size(), first ? 1U : 0U);
    cr_assert_eq(test.update(milliseconds(2000)).claims.size(), first ? 0U : 1U);
}

// Guards against work that is cut off because its shard moves for balance, and against work that
// stands still for long because of it.
Test(shard_manager, busy_shard_drains_before_it_moves)
{
    scene test;
    test.claim(self, 0);
    test.update();
    cr_assert(test.acts());
    test.serving = {other.instance};
    test.busy = {control};
    cr_assert(test.update(seconds(2)).releases.empty());
    cr_assert(test.shards.draining(control));
    cr_assert(test.acts());
    cr_assert(test.update(seconds(9)).releases.empty());
    cr_assert(test.shards.draining(control));
    cr_assert(test.update(seconds(1)).releases.empty());
    cr_assert_not(test.shards.draining(control), "a shard that stays busy works on");
    cr_assert(test.update(seconds(30)).releases.empty());
    cr_assert_not(test.shards.draining(control));
    cr_assert(test.update(seconds(31)).releases.empty());
    cr_assert(test.shards.draining(control));
    test.busy.clear();
    cr_assert_eq(test.update().releases.size(), 1U);
    cr_assert_not(test.acts());
}
