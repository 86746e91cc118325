/// Tests which instances own job partitions.

#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double small = 0.12;
constexpr double large = 0.5;
constexpr milliseconds report_interval{100};

const core::time_point start{seconds(1000)};

serving::fleet_member make_member(int number, double capacity)
{
    serving::fleet_member member;
    member.id = core::instance_id("10.0.0." + std::to_string(number) + ":1");
    member.capacity = capacity;
    return member;
}

/// The roster of a leader, which is the first member, at a time that the test advances.
struct leader_roster {
    explicit leader_roster(const std::vector<double>& capacities) : roster(make_member(0, 0).id)
    {
        for (const double capacity : capacities) {
            members.push_back(make_member(static_cast<int>(members.size()), capacity));
        }
        roster.set_registered(members, now);
        roster.start_leading(now);
    }

    void report(std::size_t index, bool leaving = false, milliseconds store_age = milliseconds(0))
    {
        serving::instance_report told;
        told.self = members.at(index);
        told.ready = true;
        told.leaving = leaving;
        told.store_age = store_age;
        told.uptime = std::chrono::minutes(1);
        roster.apply_report(told.self.id, told, now);
    }

    /// Reports of these members for a while.
    void pass(milliseconds duration, const std::vector<std::size_t>& reporting)
    {
        for (const core::time_point end = now + duration; now < end; now += report_interval) {
            for (const std::size_t index : reporting) {
                report(index);
            }
            roster.expire_members(report_interval, now);
        }
    }

    double largest() const { return roster.largest_owner_capacity(report_interval, now); }

    core::time_point now = start;
    std::vector<serving::fleet_member> members;
    serving::fleet_roster roster;
};

} // namespace

// Guards against small instances that own jobs because they have heard of other small ones only: 23
// of 341 take-overs were theirs in a fleet of 60 large and 235 small instances.
Test(job_owners, small_instances_wait_for_the_list_and_for_first_reports)
{
    serving::job_owner_policy policy;
    cr_assert_not(policy.update(small, false, std::nullopt, start), "nothing is known yet");
    cr_assert_not(policy.update(large, false, std::nullopt, start), "nothing is known yet");
    leader_roster leader({small, small, large});
    leader.report(0);
    leader.report(1);
    cr_assert_eq(leader.largest(), large, "the large one has still time to report");
    cr_assert_not(policy.update(small, false, leader.largest(), start));
    cr_assert(policy.update(large, false, leader.largest(), start));
}

// Guards against a fleet of small instances in which nobody owns jobs.
Test(job_owners, equal_instances_own_jobs)
{
    serving::job_owner_policy policy;
    cr_assert(policy.update(small, false, small, start));
    cr_assert(policy.update(small, false, 2 * small, start));
    cr_assert_not(policy.update(small, false, large, start));
    cr_assert(policy.update(small, false, 0.0, start), "no instance is known that may own jobs");
}

// Guards against job partitions without an owner while a lost instance is still in the list.
Test(job_owners, an_instance_that_stays_silent_does_not_count)
{
    leader_roster leader({small, small, large});
    leader.pass(seconds(1), {0, 1, 2});
    cr_assert_eq(leader.largest(), large);
    leader.pass(seconds(1), {0, 1});
    cr_assert_eq(leader.largest(), small);
}

// Guards against an instance that takes over the jobs although it alone is cut off from the others.
Test(job_owners, an_isolated_leader_counts_the_others_for_longer)
{
    leader_roster leader({small, small, large, large});
    leader.pass(seconds(1), {0, 1, 2, 3});
    leader.roster.start_leading(leader.now);
    leader.pass(seconds(5), {0});
    cr_assert_eq(leader.largest(), large);
    leader.pass(seconds(5), {0});
    cr_assert_eq(leader.largest(), small, "the others may be lost for good");
}

// Guards against partitions without an owner while the only large instance shuts down, or reports
// but can't reach the store.
Test(job_owners, an_instance_that_cannot_own_jobs_does_not_count)
{
    leader_roster leader({small, small, large});
    leader.pass(seconds(1), {0, 1, 2});
    leader.report(2, /*leaving=*/true);
    cr_assert_eq(leader.largest(), small);
    leader.report(2, /*leaving=*/false, seconds(3));
    cr_assert_eq(leader.largest(), large);
    leader.report(2, /*leaving=*/false, seconds(6));
    cr_assert_eq(leader.largest(), small);
}

// Guards against partitions that are handed over each time that a large instance restarts.
Test(job_owners, an_owner_yields_to_a_larger_instance_that_stays)
{
    serving::job_owner_policy policy;
    cr_assert(policy.update(small, true, small, start));
    cr_assert(policy.update(small, true, large, start + seconds(1)));
    cr_assert(policy.update(small, true, std::nullopt, start + seconds(9)), "no leader");
    cr_assert(policy.update(small, true, large, start + seconds(10)));
    cr_assert(policy.update(small, true, large, start + seconds(19)));
    cr_assert_not(policy.update(small, true, large, start + seconds(21)));
}
