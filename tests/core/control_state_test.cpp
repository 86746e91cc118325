#include "core/control_state.hpp"

#include <criterion/criterion.h>

#include <random>

namespace {

namespace core = gooseberryfall::core;

core::incarnation_id run_of(const std::string& name, std::uint64_t number = 1)
{
    return {core::instance_id(name), number};
}

core::team team_of(const std::string& name, double rate = 5)
{
    core::team result;
    result.id = core::team_id(name);
    result.rate = rate;
    return result;
}

const core::shard_id shard{core::shard_kind::limits, 3};

/// Writes groups of one record each.
struct scene {
    core::control_state state;
    std::vector<core::control_group> log;
    std::uint64_t sequence = 0;

    core::control_changes append(core::control_body body, const std::string& writer = "w")
    {
        return append({run_of(writer), ++sequence, std::move(body)});
    }

    core::control_changes append(core::control_record record)
    {
        log.push_back({state.next_offset(), {}, {std::move(record)}});
        return state.apply(log.back());
    }

    core::control_changes change(core::config_version base, core::fleet_difference what,
                                 const std::string& author = "lotte")
    {
        return append(core::config_change{author, "", base, std::move(what)});
    }

    core::control_changes join(const core::incarnation_id& run)
    {
        return append(core::member_join{state.members_changed_at(), {run, {}, "", ""}});
    }
};

/// A random record, often without effect.
core::control_body random_body(std::mt19937_64& random, const scene& test)
{
    const auto pick = [&random](std::uint64_t bound) { return random() % bound; };
    const core::incarnation_id run = run_of("m" + std::to_string(pick(4)), 1 + pick(3));
    const core::shard_id any{core::shard_kind::batch, static_cast<std::uint32_t>(pick(3))};
    const core::log_offset base = test.state.members_changed_at() - (pick(4) == 0 ? 1 : 0);
    switch (pick(5)) {
    case 0:
        return core::config_change{
            "author" + std::to_string(pick(3)),
            "comment",
            test.state.current().version - pick(2),
            {{team_of("t" + std::to_string(pick(5)), static_cast<double>(pick(4)))}, {}}};
    case 1:
        return core::member_join{base, {run, {}, "c", "p"}};
    case 2:
        return core::member_leave{base, run};
    case 3:
        return core::lease_claim{run, {{any, pick(4)}}};
    default:
        return core::lease_release{run, {{any, pick(4), {{core::team_id("t1"), 1, 2.5, 1}}}}};
    }
}

} // namespace

// Guards against one operator's change undoing another's, and against refusals that do not say why.
Test(control_state, stale_base_is_refused_with_reason)
{
    scene test;
    cr_assert(test.change(0, {{team_of("namur")}, {}}, "lotte").config);
    cr_assert_not(test.change(0, {{team_of("dinant")}, {}}, "piet").config);
    const core::audit_entry& entry = test.state.audit().back();
    cr_assert_str_eq(entry.refused.c_str(),
                     "based on version 0, but version 1 by lotte is in force");
    cr_assert_eq(entry.version, 0U);
    cr_assert_str_eq(entry.entries.front().c_str(), "team/dinant");
    cr_assert_eq(test.state.current().version, 1U);
    cr_assert_eq(test.state.current().teams.size(), 1U);
}

// Guards against fleets that instances could not serve.
Test(control_state, inconsistent_result_is_refused_as_a_whole)
{
    scene test;
    core::api_key key;
    key.id = core::key_id("k");
    key.team = core::team_id("nobody");
    key.hash[0] = 1;
    cr_assert_not(test.change(0, {{team_of("namur"), key}, {}}).config);
    cr_assert_str_eq(test.state.audit().back().refused.c_str(),
                     "key/k: team `nobody` does not exist");
    cr_assert(test.state.current().teams.empty());
    cr_assert_not(test.change(0, {{}, {{core::entry_kind::team, "namur"}}}).config);
    cr_assert_not(test.change(0, {{team_of("a"), team_of("a")}, {}}).config);
}

// Guards against a fleet whose checkpoint the log would not take.
Test(control_state, oversized_fleet_is_refused)
{
    scene test;
    core::fleet_difference change;
    for (int index = 0; index < 12000; ++index) {
        change.upserts.emplace_back(team_of("team" + std::to_string(index)));
    }
    cr_assert_not(test.change(0, change).config);
    cr_assert(test.state.audit().back().refused.find("limit") != std::string::npos);
}

// Guards against a repeated append taking effect twice.
Test(control_state, repeated_records_are_ignored)
{
    scene test;
    const core::control_record record{run_of("w"), 7,
                                      core::config_change{"a", "", 0, {{team_of("n")}, {}}}};
    cr_assert(test.append(record).config);
    cr_assert_eq(test.append(record).ignored, 1U);
    cr_assert_eq(test.state.audit().size(), 1U);
}

// Guards against two member changes proposed at the same time, after which majorities need not
// overlap, and against a late repetition of a join bringing back a member that has left.
Test(control_state, member_changes_name_their_base)
{
    scene test;
    test.join(run_of("a"));
    const core::log_offset base = test.state.members_changed_at();
    cr_assert(test.append(core::member_join{base, {run_of("b"), {}, "", ""}}).members);
    cr_assert_not(test.append(core::member_join{base, {run_of("c"), {}, "", ""}}).members);
    cr_assert_not(test.append(core::member_leave{base, run_of("a")}).members);
    cr_assert(test.append(core::member_leave{base + 1, run_of("b")}).members);
    cr_assert_not(test.append(core::member_join{base, {run_of("b"), {}, "", ""}}).members);
    cr_assert(test.append(core::member_join{0, {run_of("a", 2), {}, "", ""}}).members);
    cr_assert_not(test.append(core::member_join{0, {run_of("a", 1), {}, "", ""}}).members);
}

// Guards against leases held by non-members, taken with an outdated epoch or released by another
// run, and against limit levels outliving the hand-over that they belong to.
Test(control_state, leases_follow_epochs)
{
    scene test;
    cr_assert_not(test.append(core::lease_claim{run_of("a"), {{shard, 0}}}).leases);
    test.join(run_of("a"));
    test.join(run_of("b"));
    cr_assert(test.append(core::lease_claim{run_of("a"), {{shard, 0}}}).leases);
    cr_assert_not(test.append(core::lease_claim{run_of("b"), {{shard, 0}}}).leases);
    const std::vector<core::limit_level> levels{{core::team_id("t"), 0, 3, 1}};
    cr_assert_not(test.append(core::lease_release{run_of("a", 2), {{shard, 1, levels}}}).leases);
    cr_assert(test.append(core::lease_release{run_of("a"), {{shard, 1, levels}}}).leases);
    cr_assert(test.append(core::lease_claim{run_of("b"), {{shard, 1}}}).leases);
    cr_assert_eq(test.state.released_levels(shard).size(), 1U);
    cr_assert_eq(test.state.leases().at(shard).epoch, 2U);
    cr_assert(test.append(core::lease_claim{run_of("a"), {{shard, 2}}}).leases);
    cr_assert(test.state.released_levels(shard).empty());
}

// Guards against instances that disagree: replay from a checkpoint of a truncated log must give the
// state of a replay from the start, whatever records lie around it.
Test(control_state, replay_from_checkpoint_equals_replay_from_start)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        std::mt19937_64 random(seed);
        scene test;
        std::vector<std::size_t> checkpoints;
        for (int count = 0; count < 400; ++count) {
            const std::string writer = "w" + std::to_string(random() % 200);
            if (count % 50 != 49) {
                test.append(random_body(random, test), writer);
                continue;
            }
            // Every other checkpoint comes too late and must have no effect.
            const core::control_checkpoint body = test.state.checkpoint();
            if (count % 100 == 49) {
                test.append(random_body(random, test), writer);
            }
            else {
                checkpoints.push_back(test.log.size());
            }
            const bool placed = count % 100 != 49;
            cr_assert_eq(test.append(body, writer).ignored, placed ? 0U : 1U);
        }
        for (const std::size_t checkpoint : checkpoints) {
            core::control_state later;
            later.start_at(checkpoint - 2);
            for (std::size_t offset = checkpoint - 2; offset < test.log.size(); ++offset) {
                cr_assert(later.complete() == (offset > checkpoint));
                later.apply(test.log[offset]);
            }
            cr_assert_eq(later.state_hash(), test.state.state_hash());
        }
    }
}

// Guards against a relayed snapshot making an instance go back.
Test(control_state, adopts_only_what_covers_more)
{
    scene test;
    test.change(0, {{team_of("namur")}, {}});
    const core::control_checkpoint early = test.state.checkpoint();
    test.change(1, {{team_of("dinant")}, {}});
    core::control_state other;
    cr_assert(other.adopt(test.state.checkpoint()));
    cr_assert_eq(other.state_hash(), test.state.state_hash());
    cr_assert_not(other.adopt(early));
    cr_assert_eq(other.current().teams.size(), 2U);
}
