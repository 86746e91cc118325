#include "core/quarantine.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace core = gooseberryfall::core;
using core::quarantine_ruling;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};

core::digest body(std::uint8_t number)
{
    core::digest result{};
    result[0] = number;
    return result;
}

} // namespace

// Guards against refusing a request that only shared its target with the one that crashes targets.
Test(quarantine, refuses_only_after_a_death_while_running_alone)
{
    core::quarantine marks{core::quarantine_settings{}};
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::run);
    marks.on_death(body(1), false, start);
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::run_alone);
    marks.on_death(body(1), false, start);
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::run_alone);
    marks.on_death(body(1), true, start);
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::refuse);
    cr_assert(marks.rule(body(2), start) == quarantine_ruling::run);
}

// Guards against a request that crashes one target after another and is never refused, because no
// target is ever idle and so it never runs alone.
Test(quarantine, refuses_after_three_shared_deaths)
{
    core::quarantine marks{core::quarantine_settings{}};
    marks.on_death(body(1), false, start);
    marks.on_death(body(1), false, start);
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::run_alone);
    marks.on_death(body(1), false, start);
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::refuse);
}

// Guards against a refusal at the first death, and against a mark that stays after the request
// has run to completion.
Test(quarantine, success_clears_the_mark)
{
    core::quarantine marks{core::quarantine_settings{}};
    marks.on_death(body(1), true, start);
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::run_alone);
    marks.on_success(body(1));
    cr_assert(marks.rule(body(1), start) == quarantine_ruling::run);
    cr_assert_eq(marks.size(), 0U);
}

// Guards against a refusal that never expires, and against deaths that still count after their mark
// has expired.
Test(quarantine, expires_ten_minutes_after_the_last_death)
{
    core::quarantine marks{core::quarantine_settings{}};
    marks.on_death(body(1), true, start);
    marks.on_death(body(1), true, start + seconds(60));
    cr_assert(marks.remaining(body(1), start + seconds(60)) == minutes(10));
    cr_assert(marks.remaining(body(2), start) == core::duration::zero());
    const core::time_point later = start + seconds(60) + minutes(10);
    cr_assert(marks.rule(body(1), later) == quarantine_ruling::run);
    cr_assert_eq(marks.on_death(body(1), true, later).deaths, 1U);
    cr_assert(marks.rule(body(1), later) == quarantine_ruling::run_alone);
}

// Guards against a repeated notice that adds deaths or prolongs a refusal.
Test(quarantine, repeated_notices_change_nothing)
{
    core::quarantine sender{core::quarantine_settings{}};
    sender.on_death(body(1), false, start);
    const core::crash_notice notice = sender.on_death(body(1), true, start);
    core::quarantine receiver{core::quarantine_settings{}};
    receiver.on_notice(notice, start);
    receiver.on_notice(notice, start + minutes(5));
    cr_assert(receiver.rule(body(1), start + minutes(5)) == quarantine_ruling::refuse);
    cr_assert(receiver.remaining(body(1), start + minutes(5)) == minutes(5));
    cr_assert_eq(receiver.on_death(body(1), true, start + minutes(5)).deaths, 3U);
}

// Guards against unbounded memory, and against dropping newer marks instead of the oldest.
Test(quarantine, drops_the_oldest_mark)
{
    core::quarantine marks{core::quarantine_settings{.capacity = 2}};
    marks.on_death(body(1), false, start + seconds(2));
    marks.on_death(body(2), false, start + seconds(1));
    marks.on_death(body(3), false, start + seconds(3));
    cr_assert_eq(marks.size(), 2U);
    cr_assert(marks.rule(body(2), start + seconds(3)) == quarantine_ruling::run);
    cr_assert(marks.rule(body(3), start + seconds(3)) == quarantine_ruling::run_alone);
}

// Guards against a team whose crashing request also marks an identical request of another team, and
// against fingerprint collisions between bodies of one team.
Test(quarantine, fingerprint_depends_on_team_and_body)
{
    std::set<core::digest> fingerprints;
    for (int team = 0; team < 10; ++team) {
        for (std::uint8_t number = 0; number < 10; ++number) {
            const core::team_id id{"team-" + std::to_string(team)};
            fingerprints.insert(core::fingerprint_of(id, body(number)));
        }
    }
    cr_assert_eq(fingerprints.size(), 100U);
}
