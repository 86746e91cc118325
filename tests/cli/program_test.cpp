#include "cli/stub_instance.hpp"

#include <criterion/criterion.h>

#include <unistd.h>

#include <fstream>

namespace {

/// Two instances of a system with one team, one model and one key, and a fleet file that adds
/// a team.
struct test_deployment {
    stub_system system;
    stub_instance one{system};
    stub_instance two{system};
    std::string instances_flag = "--instance=" + one.address() + "," + two.address();
    std::string fleet_file = "/tmp/gooseberryfall-cli-" + std::to_string(getpid()) + ".toml";

    test_deployment()
    {
        system.record_by("eva", core::team{core::team_id("namur"), 2, 8, 1, 64});
        system.record_by("eva", core::model{core::model_id("proofing"), 7});
        system.record_by("eva", core::api_key{core::key_id("namur-1"), core::team_id("namur"),
                                              config::sha256("old key")});
        core::fleet desired = system.fleet;
        desired.upsert(core::team{core::team_id("liege"), 1, 4, 1, 64});
        std::ofstream(fleet_file) << config::write_fleet(desired);
    }
    test_deployment(const test_deployment&) = delete;
    test_deployment& operator=(const test_deployment&) = delete;
    test_deployment(test_deployment&&) = delete;
    test_deployment& operator=(test_deployment&&) = delete;
    ~test_deployment() { unlink(fleet_file.c_str()); }

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
    test_deployment deployment;
    const program_result first = deployment.apply();
    EXPECT_EXIT_STATUS(first, 0);
    cr_assert(first.out.starts_with("added team/liege"), "%s", first.out.c_str());
    cr_assert(first.out.ends_with("version 5 is in force on 2 of 2 instances\n"));
    cr_assert(deployment.system.audit.back().author == "jan");
    cr_assert(deployment.system.audit.back().comment == "why");

    const program_result second = deployment.apply();
    EXPECT_EXIT_STATUS(second, 0);
    cr_assert_eq(second.out,
                 std::string("nothing to change; version 5 is in force on 2 of 2 instances\n"));
    cr_assert_eq(deployment.apply_posts(), 1);
}

/// Guards against overwriting a concurrent change of another author.
Test(program, names_the_other_author_on_a_conflict)
{
    test_deployment deployment;
    deployment.system.concurrent_upserts.emplace_back(core::model{core::model_id("proofing"), 9});
    const program_result result = deployment.apply();
    EXPECT_EXIT_STATUS(result, 4);
    cr_assert(result.error_contains("version 5 by maria: model/proofing"), "%s",
              result.err.c_str());
    cr_assert(result.out.empty());
    cr_assert(!deployment.system.fleet.teams.contains(core::team_id("liege")));
}

/// Guards against a rejected change that is reported as a conflict.
Test(program, reports_a_rejected_change)
{
    test_deployment deployment;
    deployment.one.behaviour = apply_behaviour::reject_and_drop_response;
    const program_result result = deployment.apply();
    EXPECT_EXIT_STATUS(result, 1);
    cr_assert(result.error_contains("the change was refused"));
}

/// Guards against sending a file with errors to an instance.
Test(program, sends_no_file_with_errors)
{
    test_deployment deployment;
    std::ofstream(deployment.fleet_file) << "[[team]]\nname = \"a\"\nrat = 1\n";
    for (const std::string command : {"validate", "diff", "apply"}) {
        const program_result result = deployment.run({command, deployment.fleet_file});
        EXPECT_EXIT_STATUS(result, 3);
        cr_assert(result.error_contains(deployment.fleet_file + ":3: "), "%s", result.err.c_str());
        cr_assert(!result.error_contains("\n\n"), "%s", result.err.c_str());
    }
    cr_assert_eq(deployment.one.requests("GET /v1/status"), 0);
}

/// Guards against giving up at the first instance that is unreachable or not current.
Test(program, fails_over_to_the_next_instance)
{
    test_deployment deployment;
    auto gone = std::make_unique<stub_instance>(deployment.system);
    deployment.instances_flag = "--instance=" + gone->address() + "," + deployment.one.address() +
                                "," + deployment.two.address();
    gone.reset();
    deployment.one.current = false;
    const program_result read = deployment.run({"fleet"});
    EXPECT_EXIT_STATUS(read, 0);
    cr_assert(config::parse_fleet(read.out, "out")->same_entries(deployment.system.fleet));
    cr_assert_eq(deployment.one.requests("GET /v1/fleet"), 0);

    deployment.one.current = true;
    deployment.one.behaviour = apply_behaviour::not_current;
    EXPECT_EXIT_STATUS(deployment.apply(), 0);
    cr_assert_eq(deployment.one.requests("POST /v1/apply"), 1);
    cr_assert_eq(deployment.two.requests("POST /v1/apply"), 1);
}

/// Guards against a wrong exit status when no instance is reachable, and when none is current.
Test(program, distinguishes_unreachable_from_not_current)
{
    test_deployment deployment;
    deployment.one.current = deployment.two.current = false;
    EXPECT_EXIT_STATUS(deployment.run({"fleet"}), 1);
    const program_result stale = deployment.run({"status", "--output=json"});
    EXPECT_EXIT_STATUS(stale, 0);
    cr_assert(stale.error_contains("note: no instance that answered is current"));
    cr_assert(!config::status_from_json(*config::parse_json(stale.out))->current);

    auto gone = std::make_unique<stub_instance>(deployment.system);
    deployment.instances_flag = "--instance=" + gone->address();
    gone.reset();
    const program_result result = deployment.run({"fleet"});
    EXPECT_EXIT_STATUS(result, 5);
    cr_assert(result.error_contains("next: "));
}

/// Guards against a token that appears in an error message.
Test(program, does_not_show_the_token)
{
    test_deployment deployment;
    deployment.one.token = "another";
    const program_result result = deployment.run({"status"});
    EXPECT_EXIT_STATUS(result, 1);
    cr_assert(!result.error_contains("operators-token") && result.error_contains("--token_file"));
}

/// Guards against sending a recorded change again after its response was lost, and against
/// reporting it as failed.
Test(program, finds_a_recorded_change_in_the_audit_trail)
{
    test_deployment deployment;
    deployment.one.behaviour = apply_behaviour::record_and_drop_response;
    const program_result result = deployment.apply();
    EXPECT_EXIT_STATUS(result, 0);
    cr_assert(result.out.ends_with("version 5 is in force on 2 of 2 instances\n"));
    cr_assert_eq(deployment.apply_posts(), 1);
}

/// Guards against resending a change that may still be recorded.
Test(program, reports_an_unknown_outcome)
{
    for (const auto behaviour :
         {apply_behaviour::drop_response, apply_behaviour::log_unavailable}) {
        test_deployment deployment;
        deployment.one.behaviour = behaviour;
        const program_result result = deployment.apply();
        EXPECT_EXIT_STATUS(result, 6);
        cr_assert_eq(deployment.apply_posts(), 1);
        cr_assert(result.error_contains("audit"));
    }
}

/// Guards against mistaking another author's change, or an earlier attempt, for the change sent.
Test(program, distinguishes_its_change_from_other_records)
{
    for (const auto behaviour : {apply_behaviour::overtake_and_drop_response,
                                 apply_behaviour::imitate_and_drop_response}) {
        test_deployment deployment;
        deployment.one.behaviour = behaviour;
        const program_result result = deployment.apply();
        EXPECT_EXIT_STATUS(result, 4);
        cr_assert(result.error_contains("does not show the refusal"));
        cr_assert_eq(deployment.apply_posts(), 1);
    }
    test_deployment deployment;
    core::audit_entry earlier{deployment.system.next_offset++,
                              {},
                              "jan",
                              "why",
                              deployment.system.fleet.version,
                              0,
                              "an earlier attempt",
                              {"team/liege"}};
    deployment.system.audit.push_back(earlier);
    deployment.one.behaviour = apply_behaviour::record_and_drop_response;
    EXPECT_EXIT_STATUS(deployment.apply(), 0);
}

/// Guards against a command that reports a conflict, which it infers from the change that was
/// faster, before the refusal of its own change is in the audit trail.
Test(program, reports_a_conflict_once_its_refusal_is_recorded)
{
    test_deployment deployment;
    deployment.one.behaviour = apply_behaviour::overtake_and_reject_late;
    const program_result result = deployment.apply();
    EXPECT_EXIT_STATUS(result, 4);
    const core::audit_entry& last = deployment.system.audit.back();
    cr_assert(last.comment == "why" && !last.refused.empty(),
              "the audit trail lacks the refusal of this change");
    cr_assert_not(result.error_contains("does not show the refusal"));
}

/// Guards against a key that is printed twice, differs from the recorded one, or is lost on a
/// conflict.
Test(program, issues_a_key)
{
    test_deployment deployment;
    deployment.system.concurrent_upserts.emplace_back(core::model{core::model_id("proofing"), 9});
    const program_result result =
        deployment.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_EXIT_STATUS(result, 0);
    const std::string key = result.out.substr(0, result.out.size() - 1);
    cr_assert(deployment.system.fleet.keys.at(core::key_id("namur-2")).hash == config::sha256(key));
    cr_assert(!result.error_contains(key) && result.error_contains("[[key]]\nname = \"namur-2\""));
    cr_assert_eq(deployment.apply_posts(), 2);

    const program_result again = deployment.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_EXIT_STATUS(again, 1);
    const program_result unknown =
        deployment.run({"key", "issue", "--team=namurr", "--name=namur-3"});
    EXPECT_EXIT_STATUS(unknown, 1);
    cr_assert(unknown.error_contains("the nearest name is namur\n"));
    EXPECT_EXIT_STATUS(deployment.run({"key", "issue", "--team=namur", "--name=a/b"}), 2);
}

/// Guards against printing a key that may not be recorded.
Test(program, prints_no_key_if_the_outcome_is_unknown)
{
    test_deployment deployment;
    deployment.one.behaviour = apply_behaviour::drop_response;
    const program_result result =
        deployment.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_EXIT_STATUS(result, 6);
    cr_assert(result.out.empty() && result.error_contains("the key was not printed"));
}

/// Guards against reporting a key as withdrawn while an instance still accepts it.
Test(program, waits_until_a_key_is_withdrawn_everywhere)
{
    test_deployment deployment;
    deployment.one.lagging_status_calls = 1000;
    const program_result late = deployment.run({"key", "withdraw", "namur-1"});
    EXPECT_EXIT_STATUS(late, 6);
    cr_assert(late.error_contains("not yet in force on: two"), "%s", late.err.c_str());
    cr_assert(deployment.system.fleet.keys.empty());

    deployment.one.lagging_status_calls = 4;
    const program_result again = deployment.run({"key", "withdraw", "namur-1"});
    EXPECT_EXIT_STATUS(again, 0);
    cr_assert_eq(deployment.one.lagging_status_calls, 0);
    cr_assert(again.error_contains("removed before") &&
              again.out.starts_with("removed key/namur-1\n"));
    cr_assert_eq(deployment.apply_posts(), 1);
    EXPECT_EXIT_STATUS(deployment.run({"key", "withdraw", "namur-9"}), 1);
}

/// Guards against a lost response to a cancellation that is reported as a failure, or that makes
/// the program cancel the job at a second instance.
Test(program, confirms_a_cancelled_job)
{
    test_deployment deployment;
    deployment.one.drop_other_responses = true;
    const program_result result = deployment.run({"job", "cancel", "j1"});
    EXPECT_EXIT_STATUS(result, 0);
    cr_assert(result.out.find("state            cancelled\n") != std::string::npos);
    cr_assert_eq(deployment.two.requests("POST /v1/jobs/j1/cancel"), 0);
    EXPECT_EXIT_STATUS(deployment.run({"job", "show", "j2"}), 1);
    EXPECT_EXIT_STATUS(deployment.run({"job", "show", "../fleet"}), 2);
}

/// Guards against draining an instance that was only named as a fallback.
Test(program, drains_exactly_one_instance)
{
    test_deployment deployment;
    EXPECT_EXIT_STATUS(deployment.run({"drain"}), 2);
    deployment.instances_flag = "--instance=" + deployment.two.address();
    EXPECT_EXIT_STATUS(deployment.run({"drain"}), 0);
    cr_assert_eq(deployment.one.requests("POST /v1/drain"), 0);
    cr_assert_eq(deployment.two.requests("POST /v1/drain"), 1);
}
