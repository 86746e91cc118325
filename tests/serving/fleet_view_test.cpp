#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
constexpr milliseconds interval{100};

serving::target_entries targets(int count)
{
    serving::target_entries result;
    for (int index = 0; index < count; ++index) {
        serving::target_entry entry;
        entry.id = core::target_id("t" + std::to_string(index));
        entry.slots = 8;
        result.push_back(entry);
    }
    return result;
}

serving::fleet_member member(int index)
{
    serving::fleet_member result;
    result.id = core::instance_id("m" + std::to_string(index));
    return result;
}

/// Brings a view up to date and returns how many entries were sent for it.
std::size_t synchronize(serving::fleet_view& view, const serving::fleet_view_source& source,
                        const core::instance_id& id)
{
    std::size_t entries = 0;
    for (const serving::fleet_block* block : source.missing(id, view.marks())) {
        std::visit([&entries](const auto& list) { entries += list.size(); }, block->content);
        view.apply(*block);
    }
    return entries;
}

serving::instance_report report(int index, std::vector<serving::owned_partition> partitions = {})
{
    serving::instance_report result;
    result.self = member(index);
    result.ready = true;
    result.partitions = std::move(partitions);
    return result;
}

} // namespace

// Guards against instances that do not learn of a change, and against all being told everything.
Test(fleet_view, a_change_is_told_alone)
{
    serving::fleet_view_source source;
    auto all = targets(60);
    source.set_targets(all);
    serving::fleet_view view;
    const core::instance_id self("m1");
    cr_assert_eq(synchronize(view, source, self), 60U);
    cr_assert_eq(view.targets().size(), 60U);
    cr_assert_eq(synchronize(view, source, self), 0U);
    all.erase(all.begin() + 7);
    source.set_targets(all);
    cr_assert_lt(synchronize(view, source, self), 32U);
    cr_assert_eq(view.targets().size(), 59U);
}

// Guards against messages that grow with the product of instances and targets.
Test(fleet_view, an_instance_is_told_a_window_of_a_large_fleet)
{
    serving::fleet_view_source source;
    source.set_targets(targets(3000));
    std::set<core::target_id> known;
    for (int index = 0; index < 300; ++index) {
        serving::fleet_view view;
        const std::size_t sent = synchronize(view, source, member(index).id);
        cr_assert_lt(sent, 200U);
        cr_assert_gt(sent, 40U);
        for (const auto& entry : view.targets()) {
            known.insert(entry.id);
        }
    }
    cr_assert_eq(known.size(), 3000U, "every target is known to some instances");
}

// Guards against a view that mixes two divisions for good when the number of entries changes.
Test(fleet_view, follows_a_new_division)
{
    serving::fleet_view_source source;
    serving::fleet_view view;
    const core::instance_id self("m1");
    for (const int count : {10, 40, 100, 20, 0, 5}) {
        source.set_targets(targets(count));
        synchronize(view, source, self);
        cr_assert_eq(view.targets().size(), static_cast<std::size_t>(count));
        cr_assert_eq(synchronize(view, source, self), 0U);
    }
}

// Guards against a second transfer of all that a new leader tells again.
Test(fleet_view, another_leader_with_the_same_view_sends_nothing)
{
    serving::fleet_view_source first;
    first.set_targets(targets(60));
    serving::fleet_view view;
    synchronize(view, first, core::instance_id("m1"));
    auto reordered = targets(60);
    std::reverse(reordered.begin(), reordered.end());
    serving::fleet_view_source second;
    second.set_targets(reordered);
    cr_assert_eq(synchronize(view, second, core::instance_id("m1")), 0U);
}

// Guards against a block that is lost on its way and never sent again, and against one that is sent
// with every report while its acknowledgement is on its way.
Test(fleet_roster, a_lost_block_is_sent_again)
{
    serving::fleet_roster roster(member(0).id);
    roster.begin(start);
    roster.set_targets(targets(3));
    roster.take_report(member(1).id, report(1), start);
    const auto first = roster.take_missing(member(1).id, start);
    cr_assert_not(first.empty());
    roster.take_report(member(1).id, report(1), start + milliseconds(50));
    cr_assert(roster.take_missing(member(1).id, start + milliseconds(50)).empty());
    roster.take_report(member(1).id, report(1), start + milliseconds(300));
    cr_assert_eq(roster.take_missing(member(1).id, start + milliseconds(300)).size(), first.size());
    auto informed = report(1);
    for (const serving::fleet_block* block : first) {
        informed.held_blocks.push_back(block->mark());
    }
    roster.take_report(member(1).id, informed, start + milliseconds(600));
    cr_assert(roster.take_missing(member(1).id, start + milliseconds(600)).empty());
}

// Guards against calls about jobs that go to an owner that the store has replaced.
Test(fleet_roster, the_owner_with_the_highest_epoch_is_the_present_one)
{
    serving::fleet_roster roster(member(0).id);
    roster.take_report(member(1).id, report(1, {{4, 7}}), start);
    roster.take_report(member(2).id, report(2, {{4, 9}}), start);
    cr_assert(roster.owner_of(4)->instance == member(2).id);
    roster.take_report(member(1).id, report(1, {{4, 11}}), start);
    cr_assert(roster.owner_of(4)->instance == member(1).id);
    cr_assert_null(roster.owner_of(5));
}

// Guards against dead instances that callers are sent to.
Test(fleet_roster, a_silent_instance_is_named_no_more)
{
    serving::fleet_roster roster(member(0).id);
    roster.set_registered({member(0), member(1), member(2)}, start);
    roster.begin(start);
    roster.take_report(member(0).id, report(0), start);
    roster.take_report(member(1).id, report(1, {{4, 7}}), start);
    cr_assert_eq(roster.ready().size(), 2U);
    cr_assert(roster.check_silence(interval, start + milliseconds(500)).silent.empty());
    roster.take_report(member(0).id, report(0), start + milliseconds(700));
    const auto departures = roster.check_silence(interval, start + milliseconds(700));
    cr_assert_eq(departures.silent.size(), 1U);
    cr_assert(departures.silent.front().member.id == member(1).id);
    cr_assert(departures.silent.front().owner);
    cr_assert_eq(roster.ready().size(), 1U);
    cr_assert_null(roster.owner_of(4));
    cr_assert(roster.check_silence(interval, start + milliseconds(720)).silent.empty());
    cr_assert_eq(roster.check_silence(interval, start + seconds(31)).gone.size(), 3U);
}

// Guards against a leader that gives out all of the limits while it hears a part of the instances.
Test(fleet_roster, the_living_share_counts_registered_instances)
{
    serving::fleet_roster roster(member(0).id);
    roster.set_registered({member(0), member(1), member(2), member(3)}, start);
    roster.begin(start);
    roster.take_report(member(1).id, report(1), start);
    cr_assert_float_eq(roster.living_share(), 0.5, 1e-9);
}

// Guards against limits that a new leader fills although it does not know what was spent, and
// against what ended processes have spent being forgotten.
Test(fleet_roster, spending_is_gathered_from_reports)
{
    const core::team_id team("studio");
    serving::fleet_roster roster(member(0).id);
    roster.set_registered({member(0), member(1), member(2), member(3)}, start);
    auto told = report(1);
    told.spent = {{team, 30}};
    told.uptime = seconds(60);
    roster.take_report(member(1).id, told, start);
    const auto part = roster.spent({{team, 30}}, seconds(60), seconds(5));
    cr_assert(part.scope == serving::spending_scope::part);

    told.self = member(2);
    roster.take_report(member(2).id, told, start);
    const auto most = roster.spent({{team, 30}}, seconds(60), seconds(5));
    cr_assert(most.scope == serving::spending_scope::window);
    cr_assert_eq(most.requests.at(team), 120U, "the fourth has spent as much as the others");
}

// Guards against a fleet that takes its own restart for the loss of a few.
Test(fleet_roster, a_restart_of_all_is_recognized)
{
    const core::team_id team("studio");
    serving::fleet_roster roster(member(0).id);
    roster.set_registered({member(0), member(1), member(2), member(3)}, start);
    auto told = report(1);
    told.spent = {{team, 2}};
    told.uptime = milliseconds(300);
    roster.take_report(member(1).id, told, start);
    const auto spent = roster.spent({{team, 1}}, milliseconds(200), seconds(5));
    cr_assert(spent.scope == serving::spending_scope::restart);
    cr_assert(spent.since_restart == milliseconds(300));
    cr_assert_eq(spent.requests.at(team), 3U);
}
