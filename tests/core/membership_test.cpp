#include "core/membership.hpp"

#include <criterion/criterion.h>

namespace {

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;

const core::time_point start = core::time_point(std::chrono::hours(1));

core::incarnation_id run_of(std::size_t index, std::uint64_t number = 1)
{
    // Names of equal length, so that their order is that of the numbers.
    return {core::instance_id("i" + std::to_string(1000 + index)), number};
}

std::map<core::instance_id, core::member> members_of(std::size_t count)
{
    std::map<core::instance_id, core::member> result;
    for (std::size_t index = 0; index < count; ++index) {
        const core::incarnation_id run = run_of(index);
        result[run.instance] = {run, core::data_centre_id(index % 2 == 0 ? "east" : "west"), "",
                                ""};
    }
    return result;
}

struct scene {
    explicit scene(std::size_t count) : members(settings())
    {
        members.set_members(members_of(count), now);
    }

    static core::membership_settings settings()
    {
        core::membership_settings result;
        result.self = run_of(0);
        return result;
    }

    core::membership members;
    core::time_point now = start;

    /// Runs for a time; members named in `silent` do not answer. Returns the number of probes.
    std::size_t run(milliseconds time, const std::set<core::instance_id>& silent = {},
                    bool ask_all = false)
    {
        std::size_t probes = 0;
        for (const core::time_point end = now + time; now < end; now += milliseconds(20)) {
            std::vector<core::send_peer> out;
            members.tick(now, 1, ask_all, out);
            probes += out.size();
            for (const core::send_peer& sending : out) {
                const auto& asked = std::get<core::probe>(sending.envelope.messages.front());
                if (!silent.contains(sending.envelope.to.instance)) {
                    members.on_answer(sending.envelope.to, {asked.sequence, 1, false, {}}, now);
                }
            }
        }
        return probes;
    }

    /// News that reaches the instance with a probe of a member; returns what the answer carries.
    std::vector<core::member_news> tell(std::size_t from, const core::member_news& news)
    {
        std::vector<core::send_peer> out;
        members.on_probe(run_of(from), {1, 1, {news}}, 1, now, out);
        return std::get<core::probe_answer>(out.front().envelope.messages.front()).news;
    }

    core::member_condition condition(std::size_t index) const
    {
        return members.condition(run_of(index).instance, now);
    }
};

} // namespace

// Guards against probes that grow with the fleet.
Test(membership, cost_does_not_depend_on_members)
{
    const std::size_t few = scene(10).run(std::chrono::seconds(10));
    const std::size_t many = scene(390).run(std::chrono::seconds(10));
    cr_assert_eq(few, 60U);
    cr_assert_eq(many, few);
    cr_assert_geq(scene(390).run(std::chrono::seconds(1), {}, true), 778U);
}

// Guards against suspicion of a member that answers, against none of one that does not, and against
// one that starts before the bound.
Test(membership, silence_makes_suspect)
{
    scene test(7);
    test.run(std::chrono::seconds(5));
    cr_assert(test.condition(1) == core::member_condition::alive);
    const std::set<core::instance_id> silent{run_of(1).instance};
    test.run(milliseconds(1480), silent);
    cr_assert(test.condition(1) == core::member_condition::alive);
    test.run(milliseconds(1100), silent);
    cr_assert(test.condition(1) == core::member_condition::suspect);
    cr_assert_eq(test.members.serving(test.now).size(), 6U);
    test.members.on_heard(run_of(1, 2), test.now);
    cr_assert(test.condition(1) == core::member_condition::suspect);
    test.members.on_heard(run_of(1), test.now);
    cr_assert(test.condition(1) == core::member_condition::alive);
}

// Guards against one lost message to a member that is probed rarely making it suspect.
Test(membership, one_lost_probe_is_no_silence)
{
    scene test(100);
    std::vector<core::send_peer> out;
    test.members.tick(test.now, 1, true, out);
    test.now += milliseconds(20);
    test.run(std::chrono::seconds(30));
    cr_assert_eq(test.members.reachable(test.now).size(), 100U);
}

// Guards against the silence of others being inferred from an own pause.
Test(membership, own_pause_is_no_silence)
{
    scene test(7);
    test.run(std::chrono::seconds(3));
    test.run(milliseconds(600), {run_of(1).instance, run_of(2).instance, run_of(3).instance});
    test.now += std::chrono::seconds(20);
    test.run(milliseconds(20));
    cr_assert_eq(test.members.serving(test.now).size(), 7U);
}

// Guards against suspicions that a live member cannot refute, and against refutations by others.
Test(membership, suspicion_by_news_can_be_refuted)
{
    scene test(100);
    const core::member_news warning{run_of(50), core::member_condition::suspect, 0};
    test.tell(1, warning);
    cr_assert(test.condition(50) == core::member_condition::alive);
    test.now += milliseconds(500);
    cr_assert(test.condition(50) == core::member_condition::suspect);
    test.tell(1, {run_of(50), core::member_condition::alive, 0});
    cr_assert(test.condition(50) == core::member_condition::suspect);
    test.tell(1, {run_of(50), core::member_condition::alive, 1});
    cr_assert(test.condition(50) == core::member_condition::alive);
    test.tell(1, warning);
    test.now += milliseconds(500);
    cr_assert(test.condition(50) == core::member_condition::alive);

    const auto said = test.tell(1, {run_of(0), core::member_condition::suspect, 4});
    cr_assert(said.front().member == run_of(0));
    cr_assert(said.front().condition == core::member_condition::alive);
    cr_assert_eq(said.front().refutation, 5U);
}

// Guards against news that grows with the number of members that fail together, or never ends.
Test(membership, news_is_bounded)
{
    scene test(390);
    for (std::size_t index = 100; index < 300; ++index) {
        const auto news = test.tell(1, {run_of(index), core::member_condition::suspect, 0});
        cr_assert_leq(news.size(), 8U);
    }
    std::size_t last = 1;
    for (int count = 0; count < 1000 && last > 0; ++count) {
        last = test.tell(1, {run_of(1), core::member_condition::alive, 0}).size();
    }
    cr_assert_eq(last, 0U);
}

// Guards against removal of a member that the list only lags behind, or that an old list lacks.
Test(membership, ended_needs_silence_and_fresh_lists)
{
    scene test(7);
    std::vector<core::listed_instance> list;
    for (std::size_t index = 0; index < 5; ++index) {
        list.push_back({run_of(index).instance, false});
    }
    test.members.set_list(list, test.now);
    test.run(std::chrono::seconds(40), {run_of(5).instance});
    cr_assert(test.members.ended(test.now).empty());
    test.members.set_list(list, test.now);
    cr_assert_eq(test.members.ended(test.now).size(), 1U);
    cr_assert(test.members.ended(test.now).front() == run_of(5));
}

// Guards against answers of another run or to another question being taken as a member's word.
Test(membership, foreign_answers_do_not_count)
{
    scene test(7);
    std::vector<core::send_peer> out;
    test.members.tick(test.now, 1, true, out);
    const auto& asked = std::get<core::probe>(out.front().envelope.messages.front());
    const core::incarnation_id to = out.front().envelope.to;
    cr_assert_not(test.members.on_answer({to.instance, 9}, {asked.sequence, 1, false, {}}, start));
    cr_assert_not(test.members.on_answer(to, {asked.sequence + 100, 1, false, {}}, start));
    cr_assert(test.members.on_answer(to, {asked.sequence, 1, false, {}}, start));
    cr_assert_not(test.members.on_answer(to, {asked.sequence, 1, false, {}}, start));
}

// Guards against a directory that sends callers far away or to a leaving instance.
Test(membership, directory_order)
{
    scene test(6);
    test.tell(2, {run_of(2), core::member_condition::leaving, 0});
    const auto order =
        test.members.directory(core::data_centre_id("west"), {run_of(5).instance}, 1, test.now);
    cr_assert_eq(order.size(), 5U);
    cr_assert(order[0]->incarnation == run_of(5));
    cr_assert(order[1]->incarnation == run_of(3));
    cr_assert(order[2]->incarnation == run_of(1));
    cr_assert(order[3]->data_centre == core::data_centre_id("east"));
}
