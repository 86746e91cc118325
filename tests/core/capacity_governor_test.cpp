#include "core/capacity_governor.hpp"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::target_id engine{"engine-1"};
const core::instance_id alpha{"alpha"};
const core::instance_id beta{"beta"};
const core::instance_id gamma_instance{"gamma"};

struct held_permit {
    core::capacity_permit permit;
    core::time_point at;
};

/// For tests of headroom that grows, which the default bounds to few slots.
const core::governor_settings wide_headroom{.headroom_max_part = 0.25};

/// A governor with instances that report and receive without loss. Time moves in ticks of 10 ms.
struct bench {
    explicit bench(std::uint32_t slots, core::governor_settings settings = {}) : governor(settings)
    {
        governor.govern(engine, slots);
    }

    void set(const core::instance_id& id, std::uint32_t online, std::uint32_t batch,
             std::uint32_t wanted)
    {
        uses[id] = {engine, online, batch, wanted};
        report(id);
    }

    void report(const core::instance_id& id)
    {
        governor.on_report(id, uses.at(id), now);
        reported[id] = now;
    }

    void deliver()
    {
        for (const core::addressed_permit& sent : governor.permits(now)) {
            held[sent.instance] = {sent.permit, now};
            ++messages[sent.instance];
        }
    }

    void run(core::duration length)
    {
        const core::time_point end = now + length;
        while (now < end) {
            now += milliseconds(10);
            for (const auto& [id, use] : uses) {
                if (now >= reported.at(id) + milliseconds(400)) {
                    report(id);
                }
            }
            deliver();
        }
    }

    std::uint32_t permit(const core::instance_id& id) const
    {
        const auto found = held.find(id);
        const bool valid = found != held.end() && now < found->second.at + seconds(1);
        return valid ? found->second.permit.batch : 0;
    }

    std::uint32_t total() const { return permit(alpha) + permit(beta) + permit(gamma_instance); }

    core::capacity_governor governor;
    core::time_point now{seconds(1000)};
    std::map<core::instance_id, core::capacity_report> uses;
    std::map<core::instance_id, core::time_point> reported;
    std::map<core::instance_id, held_permit> held;
    std::map<core::instance_id, unsigned> messages;
};

} // namespace

// Guards against an idle target that lends less than 90% of its slots, and against one-slot
// targets that never run a batch item.
Test(capacity_governor, idle_target_lends_nearly_all)
{
    for (const std::uint32_t slots : {1U, 2U, 10U, 64U}) {
        bench test(slots);
        test.set(alpha, 0, 0, 100);
        test.run(seconds(1));
        cr_assert_eq(test.permit(alpha), slots == 1 ? 1U : slots - 1);
    }
}

// Guards against an instance with much work taking the slots of others, and against slots unused
// because an equal share is not wanted.
Test(capacity_governor, divides_fairly_by_demand)
{
    bench test(31);
    test.set(alpha, 0, 0, 100);
    test.set(beta, 0, 0, 100);
    test.set(gamma_instance, 0, 0, 4);
    test.run(seconds(1));
    cr_assert_eq(test.permit(alpha), 13U);
    cr_assert_eq(test.permit(beta), 13U);
    cr_assert_eq(test.permit(gamma_instance), 4U);
}

// Guards against an instance that never gets a slot because others come first.
Test(capacity_governor, odd_slots_go_round)
{
    bench test(2);
    std::map<core::instance_id, int> seen;
    for (const core::instance_id& id : {alpha, beta, gamma_instance}) {
        test.set(id, 0, 0, 5);
    }
    for (int step = 0; step < 600; ++step) {
        test.run(milliseconds(500));
        for (const core::instance_id& id : {alpha, beta, gamma_instance}) {
            seen[id] += test.permit(id) > 0 ? 1 : 0;
        }
        cr_assert_leq(test.total(), 1U);
    }
    for (const auto& [id, count] : seen) {
        cr_assert_geq(count, 60);
    }
}

// Guards against online work that waits until the next round for batch work to be withdrawn.
Test(capacity_governor, reacts_to_online_work_at_once)
{
    bench test(20, wide_headroom);
    test.set(alpha, 0, 0, 100);
    test.run(seconds(1));
    test.set(alpha, 0, 19, 81);
    test.set(beta, 6, 0, 0);
    test.deliver();
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 9U);
    cr_assert_eq(test.permit(alpha), 9U);
    cr_assert_eq(test.held.at(alpha).permit.online_elsewhere, 6U);
}

// Guards against headroom that ignores bursts, stays for ever, or takes more than its part.
Test(capacity_governor, headroom_follows_growth)
{
    bench test(40, wide_headroom);
    test.set(beta, 0, 0, 0);
    test.run(seconds(1));
    test.set(beta, 4, 0, 0);
    test.run(milliseconds(100));
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 32U);
    test.set(beta, 30, 0, 0);
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 0U);
    test.set(beta, 4, 0, 0);
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 26U);
    test.run(seconds(3));
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 35U);
}

// Guards against permits that lapse while wanted, and against a stream of messages without news.
Test(capacity_governor, renews_before_the_lapse_with_few_messages)
{
    bench test(20);
    test.set(alpha, 0, 0, 100);
    test.set(beta, 2, 0, 0);
    test.set(gamma_instance, 0, 0, 0);
    test.run(seconds(1));
    test.set(alpha, 0, 17, 83);
    test.messages.clear();
    for (int step = 0; step < 100; ++step) {
        test.run(milliseconds(40));
        cr_assert_eq(test.permit(alpha), 17U);
    }
    cr_assert_leq(test.messages[alpha], 11U);
    cr_assert_eq(test.messages[beta], 0U);
    cr_assert_eq(test.messages[gamma_instance], 0U);
}

// Guards against routers that do not learn of online work elsewhere, or learn of it twice.
Test(capacity_governor, tells_online_work_elsewhere)
{
    bench test(10);
    test.set(alpha, 3, 0, 0);
    test.set(beta, 2, 0, 0);
    test.run(milliseconds(200));
    cr_assert_eq(test.held.at(alpha).permit.online_elsewhere, 2U);
    cr_assert_eq(test.held.at(beta).permit.online_elsewhere, 3U);
    cr_assert_eq(test.held.at(alpha).permit.batch, 0U);
    test.set(alpha, 0, 0, 0);
    test.run(milliseconds(200));
    cr_assert_eq(test.held.at(beta).permit.online_elsewhere, 0U);
}

// Guards against slots given twice: to an instance before the one that uses them has let go.
Test(capacity_governor, moves_slots_only_after_they_are_given_up)
{
    bench test(11);
    test.set(alpha, 0, 0, 100);
    test.run(seconds(1));
    cr_assert_eq(test.permit(alpha), 10U);
    test.set(beta, 0, 0, 100);
    test.run(milliseconds(100));
    // Nothing tells yet whether streams were started under the permit of 10.
    cr_assert_eq(test.permit(beta), 0U);
    test.set(alpha, 0, 10, 90);
    test.run(milliseconds(200));
    cr_assert_eq(test.permit(alpha), 5U);
    cr_assert_eq(test.permit(beta), 0U);
    test.set(alpha, 0, 5, 95);
    test.run(milliseconds(150));
    cr_assert_eq(test.permit(beta), 5U);
    test.set(alpha, 0, 0, 0);
    test.run(milliseconds(150));
    cr_assert_eq(test.permit(beta), 10U);
}

// Guards against slots lost to an instance that died, and against their reuse while its permit
// holds.
Test(capacity_governor, silent_instance_loses_its_slots)
{
    bench test(11);
    test.set(alpha, 0, 0, 100);
    test.set(beta, 4, 0, 100);
    test.run(seconds(3));
    cr_assert_eq(test.total(), 6U);
    test.uses.erase(beta);
    test.run(milliseconds(300));
    cr_assert_leq(test.permit(alpha), 3U);
    test.run(seconds(3));
    cr_assert_eq(test.permit(alpha), 10U);
}

// Guards against a new governor that lends what instances it has not heard of are using.
Test(capacity_governor, new_governor_starts_no_streams_before_it_has_heard_all)
{
    bench test(10);
    test.set(alpha, 0, 2, 100);
    test.run(milliseconds(300));
    cr_assert_eq(test.permit(alpha), 2U);
    test.set(beta, 6, 0, 0);
    test.run(seconds(1));
    cr_assert_eq(test.permit(alpha), 3U);
}

// Guards against use that no instance reports being lent, and against lagging reports of the target
// being taken for such use.
Test(capacity_governor, target_report_bounds_unseen_use)
{
    bench test(20);
    test.set(alpha, 0, 0, 100);
    test.run(seconds(1));
    test.set(alpha, 0, 10, 90);
    test.run(milliseconds(100));
    test.set(alpha, 0, 2, 98);
    test.governor.on_target_report(engine, 10, test.now);
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 19U);
    test.governor.on_target_report(engine, 14, test.now);
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 15U);
    cr_assert_eq(test.governor.batch_limit(engine, test.now + seconds(1)), 19U);
}

// Guards against streams that a new permit starts being taken for use that nobody reports, because
// the target's report came before the instance's: the permit was withdrawn and its streams yielded
// at once (process test log_down_and_slow, items seen twice).
Test(capacity_governor, streams_of_a_new_permit_are_no_unseen_use)
{
    bench test(20);
    test.set(alpha, 0, 0, 100);
    while (test.permit(alpha) == 0) {
        test.run(milliseconds(10));
    }
    const std::uint32_t granted = test.permit(alpha);
    test.governor.on_target_report(engine, granted, test.now);
    test.run(milliseconds(40));
    cr_assert_eq(test.permit(alpha), granted);
    // Once the instance has reported without that use, somebody else has it.
    test.run(milliseconds(400));
    test.governor.on_target_report(engine, granted, test.now);
    cr_assert_eq(test.governor.batch_limit(engine, test.now), 20U - 1U - granted);
}

// Guards against a baseline that holds batch work back.
Test(capacity_governor, baseline_lends_all)
{
    bench test(10, {.hold_back_batch = false});
    test.set(alpha, 4, 0, 100);
    test.set(beta, 4, 0, 100);
    test.run(seconds(1));
    cr_assert_eq(test.total(), 10U);
}

// Guards against an abandoned target that still sends permits.
Test(capacity_governor, abandoned_target_is_silent)
{
    bench test(10);
    test.set(alpha, 0, 0, 10);
    test.run(seconds(1));
    test.governor.abandon(engine);
    cr_assert(!test.governor.governs(engine));
    test.report(alpha);
    cr_assert(test.governor.permits(test.now + seconds(1)).empty());
}

// Guards against permits above the limit, or that do not settle, in any order of events.
Test(capacity_governor, sum_never_exceeds_the_limit)
{
    std::mt19937 random(20240607);
    bench test(24);
    const std::vector<core::instance_id> all{alpha, beta, gamma_instance};
    for (int step = 0; step < 5000; ++step) {
        const core::instance_id& id = all[random() % all.size()];
        const std::uint32_t permitted = test.permit(id);
        const std::uint32_t batch = permitted == 0 ? 0 : random() % (permitted + 1);
        const std::uint32_t wanted = random() % 3 == 0 ? 0 : random() % 30;
        const std::uint32_t online = random() % 6;
        test.set(id, online, batch, wanted);
        test.deliver();
        cr_assert_leq(test.total(), test.governor.batch_limit(engine, test.now),
                      "seed 20240607, step %d", step);
        test.run(milliseconds(10 * (random() % 10)));
    }
}
