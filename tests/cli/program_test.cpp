#include "cli/stub_instance.hpp"

#include <criterion/criterion.h>

#include <unistd.h>

#include <fstream>

namespace {

/// Two instances of a system with one team, one model and one key, and a fleet file that adds a
/// team.
struct deployment {
    stub_system system;
    stub_instance one{system};
    stub_instance two{system};
    std::string instances_flag = "--instance=" + one.address() + "," + two.address();
    std::string fleet_file = "/tmp/gooseberryfall-cli-" + std::to_string(getpid()) + ".toml";

    deployment()
    {
        system.record_by("eva", core::team{core::team_id("namur"), 2, 8, 1, 64});
        system.record_by("eva", core::model{core::model_id("proofing"), 7});
        system.record_by("eva", core::api_key{core::key_id("namur-1"), core::team_id("namur"),
                                              config::sha256("old key")});
        core::fleet desired = system.fleet;
        desired.upsert(core::team{core::team_id("liege"), 1, 4, 1, 64});
        std::ofstream(fleet_file) << config::write_fleet(desired);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment() { unlink(fleet_file.c_str()); }

    program_result run(std::vector<std::string> arguments)
    {
        arguments.push_back(instances_flag);
        arguments.emplace_back("--timeout=1s");
        return run_program(arguments);
    }

    program_result apply() { return run({"apply", fleet_file, "--comment=why"}); }

    int apply_posts() { return one.requests("POST /v1/apply") + two.requests("POST /v1/apply"); }
};

#define EXPECT_EXIT_STATUS(got, expected)                                                          \
    cr_assert((got).code == (expected), "exit status %d\n%s%s", (got).code, (got).out.c_str(),     \
              (got).err.c_str())

} // namespace

/// Guards against a change that is recorded incorrectly, and against sending an empty change.
Test(program, applies_once_and_then_has_nothing_to_change)
{
    deployment fleet;
    const program_result first = fleet.apply();
    EXPECT_EXIT_STATUS(first, 0);
    cr_assert(first.out.starts_with("added team/liege"), "%s", first.out.c_str());
    cr_assert(first.out.ends_with("version 5 is in force on 2 of 2 instances\n"));
    cr_assert(fleet.system.audit.back().author == "jan");
    cr_assert(fleet.system.audit.back().comment == "why");

    const program_result second = fleet.apply();
    EXPECT_EXIT_STATUS(second, 0);
    cr_assert_eq(second.out,
                 std::string("nothing to change; version 5 is in force on 2 of 2 instances\n"));
    cr_assert_eq(fleet.apply_posts(), 1);
}

/// Guards against overwriting a concurrent change of another author.
Test(program, names_the_other_author_on_a_conflict)
{
    deployment fleet;
    fleet.system.concurrent_upserts.emplace_back(core::model{core::model_id("proofing"), 9});
    const program_result result = fleet.apply();
    EXPECT_EXIT_STATUS(result, 4);
    cr_assert(result.mentions("version 5 by maria: model/proofing"), "%s", result.err.c_str());
    cr_assert(result.out.empty());
    cr_assert(!fleet.system.fleet.teams.contains(core::team_id("liege")));
}

/// Guards against a rejected change that is reported as a conflict.
Test(program, reports_a_rejected_change)
{
    deployment fleet;
    fleet.one.behaviour = apply_behaviour::reject_and_drop_response;
    const program_result result = fleet.apply();
    EXPECT_EXIT_STATUS(result, 1);
    cr_assert(result.mentions("the change was refused"));
}

/// Guards against sending a file with errors to an instance.
Test(program, sends_no_file_with_errors)
{
    deployment fleet;
    std::ofstream(fleet.fleet_file) << "[[team]]\nname = \"a\"\nrat = 1\n";
    for (const std::string command : {"validate", "diff", "apply"}) {
        const program_result result = fleet.run({command, fleet.fleet_file});
        EXPECT_EXIT_STATUS(result, 3);
        cr_assert(result.mentions(fleet.fleet_file + ":3: "), "%s", result.err.c_str());
        cr_assert(!result.mentions("\n\n"), "%s", result.err.c_str());
    }
    cr_assert_eq(fleet.one.requests("GET /v1/status"), 0);
}

/// Guards against giving up at the first instance that is unreachable or not current.
Test(program, fails_over_to_the_next_instance)
{
    deployment fleet;
    auto gone = std::make_unique<stub_instance>(fleet.system);
    fleet.instances_flag =
        "--instance=" + gone->address() + "," + fleet.one.address() + "," + fleet.two.address();
    gone.reset();
    fleet.one.current = false;
    const program_result read = fleet.run({"fleet"});
    EXPECT_EXIT_STATUS(read, 0);
    cr_assert(config::parse_fleet(read.out, "out")->same_entries(fleet.system.fleet));
    cr_assert_eq(fleet.one.requests("GET /v1/fleet"), 0);

    fleet.one.current = true;
    fleet.one.behaviour = apply_behaviour::not_current;
    EXPECT_EXIT_STATUS(fleet.apply(), 0);
    cr_assert_eq(fleet.one.requests("POST /v1/apply"), 1);
    cr_assert_eq(fleet.two.requests("POST /v1/apply"), 1);
}

/// Guards against a wrong exit status when no instance is reachable, and when none is current.
Test(program, distinguishes_unreachable_from_not_current)
{
    deployment fleet;
    fleet.one.current = fleet.two.current = false;
    EXPECT_EXIT_STATUS(fleet.run({"fleet"}), 1);
    const program_result stale = fleet.run({"status", "--output=json"});
    EXPECT_EXIT_STATUS(stale, 0);
    cr_assert(stale.mentions("note: no instance that answered is current"));
    cr_assert(!config::status_from_json(*config::parse_json(stale.out))->current);

    auto gone = std::make_unique<stub_instance>(fleet.system);
    fleet.instances_flag = "--instance=" + gone->address();
    gone.reset();
    const program_result result = fleet.run({"fleet"});
    EXPECT_EXIT_STATUS(result, 5);
    cr_assert(result.mentions("next: "));
}

/// Guards against a token that appears in an error message.
Test(program, does_not_show_the_token)
{
    deployment fleet;
    fleet.one.token = "another";
    const program_result result = fleet.run({"status"});
    EXPECT_EXIT_STATUS(result, 1);
    cr_assert(!result.mentions("operators-token") && result.mentions("--token_file"));
}

/// Guards against sending a recorded change again after its response was lost, and against
/// reporting it as failed.
Test(program, finds_a_recorded_change_in_the_audit_trail)
{
    deployment fleet;
    fleet.one.behaviour = apply_behaviour::record_and_drop_response;
    const program_result result = fleet.apply();
    EXPECT_EXIT_STATUS(result, 0);
    cr_assert(result.out.ends_with("version 5 is in force on 2 of 2 instances\n"));
    cr_assert_eq(fleet.apply_posts(), 1);
}

/// Guards against resending a change that may still be recorded.
Test(program, reports_an_unknown_outcome)
{
    for (const auto behaviour :
         {apply_behaviour::drop_response, apply_behaviour::log_unavailable}) {
        deployment fleet;
        fleet.one.behaviour = behaviour;
        const program_result result = fleet.apply();
        EXPECT_EXIT_STATUS(result, 6);
        cr_assert_eq(fleet.apply_posts(), 1);
        cr_assert(result.mentions("audit"));
    }
}

/// Guards against mistaking another author's change, or an earlier attempt, for the change sent.
Test(program, distinguishes_its_change_from_other_records)
{
    for (const auto behaviour : {apply_behaviour::overtake_and_drop_response,
                                 apply_behaviour::imitate_and_drop_response}) {
        deployment fleet;
        fleet.one.behaviour = behaviour;
        EXPECT_EXIT_STATUS(fleet.apply(), 4);
        cr_assert_eq(fleet.apply_posts(), 1);
    }
    deployment fleet;
    core::audit_entry earlier{fleet.system.next_offset++,
                              {},
                              "jan",
                              "why",
                              fleet.system.fleet.version,
                              0,
                              "an earlier attempt",
                              {"team/liege"}};
    fleet.system.audit.push_back(earlier);
    fleet.one.behaviour = apply_behaviour::record_and_drop_response;
    EXPECT_EXIT_STATUS(fleet.apply(), 0);
}

/// Guards against a key that is printed twice, differs from the recorded one, or is lost on a
/// conflict.
Test(program, issues_a_key)
{
    deployment fleet;
    fleet.system.concurrent_upserts.emplace_back(core::model{core::model_id("proofing"), 9});
    const program_result result = fleet.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_EXIT_STATUS(result, 0);
    const std::string key = result.out.substr(0, result.out.size() - 1);
    cr_assert(fleet.system.fleet.keys.at(core::key_id("namur-2")).hash == config::sha256(key));
    cr_assert(!result.mentions(key) && result.mentions("[[key]]\nname = \"namur-2\""));
    cr_assert_eq(fleet.apply_posts(), 2);

    const program_result again = fleet.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_EXIT_STATUS(again, 1);
    const program_result unknown = fleet.run({"key", "issue", "--team=namurr", "--name=namur-3"});
    EXPECT_EXIT_STATUS(unknown, 1);
    cr_assert(unknown.mentions("the nearest name is namur\n"));
    EXPECT_EXIT_STATUS(fleet.run({"key", "issue", "--team=namur", "--name=a/b"}), 2);
}

/// Guards against printing a key that may not be recorded.
Test(program, prints_no_key_if_the_outcome_is_unknown)
{
    deployment fleet;
    fleet.one.behaviour = apply_behaviour::drop_response;
    const program_result result = fleet.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_EXIT_STATUS(result, 6);
    cr_assert(result.out.empty() && result.mentions("the key was not printed"));
}

/// Guards against reporting a key as withdrawn while an instance still accepts it.
Test(program, waits_until_a_key_is_withdrawn_everywhere)
{
    deployment fleet;
    fleet.one.lagging_status_calls = 1000;
    const program_result late = fleet.run({"key", "withdraw", "namur-1"});
    EXPECT_EXIT_STATUS(late, 6);
    cr_assert(late.mentions("not yet in force on: two"), "%s", late.err.c_str());
    cr_assert(fleet.system.fleet.keys.empty());

    fleet.one.lagging_status_calls = 4;
    const program_result again = fleet.run({"key", "withdraw", "namur-1"});
    EXPECT_EXIT_STATUS(again, 0);
    cr_assert_eq(fleet.one.lagging_status_calls, 0);
    cr_assert(again.mentions("removed before") && again.out.starts_with("removed key/namur-1\n"));
    cr_assert_eq(fleet.apply_posts(), 1);
    EXPECT_EXIT_STATUS(fleet.run({"key", "withdraw", "namur-9"}), 1);
}

/// Guards against a lost response to a cancellation that is reported as a failure, or that makes
/// the program cancel the job at a second instance.
Test(program, confirms_a_cancelled_job)
{
    deployment fleet;
    fleet.one.drop_other_responses = true;
    const program_result result = fleet.run({"job", "cancel", "j1"});
    EXPECT_EXIT_STATUS(result, 0);
    cr_assert(result.out.find("state            cancelled\n") != std::string::npos);
    cr_assert_eq(fleet.two.requests("POST /v1/jobs/j1/cancel"), 0);
    EXPECT_EXIT_STATUS(fleet.run({"job", "show", "j2"}), 1);
    EXPECT_EXIT_STATUS(fleet.run({"job", "show", "../fleet"}), 2);
}

/// Guards against draining an instance that was only named as a fallback.
Test(program, drains_exactly_one_instance)
{
    deployment fleet;
    EXPECT_EXIT_STATUS(fleet.run({"drain"}), 2);
    fleet.instances_flag = "--instance=" + fleet.two.address();
    EXPECT_EXIT_STATUS(fleet.run({"drain"}), 0);
    cr_assert_eq(fleet.one.requests("POST /v1/drain"), 0);
    cr_assert_eq(fleet.two.requests("POST /v1/drain"), 1);
}
