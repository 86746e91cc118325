#include "cli/stub_instance.hpp"

#include <criterion/criterion.h>

#include <unistd.h>

#include <fstream>

namespace {

/// A system of one team, one model and one key, two instances, and a fleet file that adds a team.
struct deployment {
    stub_system system;
    stub_instance one{system};
    stub_instance two{system};
    std::string both = "--instance=" + one.address() + "," + two.address();
    std::string file = "/tmp/gooseberryfall-cli-" + std::to_string(getpid()) + ".toml";

    deployment()
    {
        system.record_by("eva", core::team{core::team_id("namur"), 2, 8, 1, 64});
        system.record_by("eva", core::model{core::model_id("proofing"), 7});
        system.record_by("eva", core::api_key{core::key_id("namur-1"), core::team_id("namur"),
                                              config::sha256("old key")});
        core::fleet wanted = system.fleet;
        wanted.upsert(core::team{core::team_id("liege"), 1, 4, 1, 64});
        std::ofstream(file) << config::write_fleet(wanted);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment() { unlink(file.c_str()); }

    program_end run(std::vector<std::string> arguments)
    {
        arguments.push_back(both);
        arguments.emplace_back("--timeout=1s");
        return run_program(arguments);
    }

    program_end apply() { return run({"apply", file, "--comment=why"}); }

    int posts() { return one.requests("POST /v1/apply") + two.requests("POST /v1/apply"); }
};

#define EXPECT_CODE(end, expected)                                                                 \
    cr_assert((end).code == (expected), "exit status %d\n%s%s", (end).code, (end).out.c_str(),     \
              (end).err.c_str())

} // namespace

/// Guards against a change that is not recorded as asked, and one that is sent without need.
Test(program, applies_once_and_then_has_nothing_to_change)
{
    deployment fleet;
    const program_end first = fleet.apply();
    EXPECT_CODE(first, 0);
    cr_assert(first.out.starts_with("added team/liege"), "%s", first.out.c_str());
    cr_assert(first.out.ends_with("version 5 is in force on 2 of 2 instances\n"));
    cr_assert(fleet.system.audit.back().author == "jan");
    cr_assert(fleet.system.audit.back().comment == "why");

    const program_end second = fleet.apply();
    EXPECT_CODE(second, 0);
    cr_assert_eq(second.out,
                 std::string("nothing to change; version 5 is in force on 2 of 2 instances\n"));
    cr_assert_eq(fleet.posts(), 1);
}

/// Guards against overwriting what somebody else changed in between.
Test(program, names_the_other_author_on_a_conflict)
{
    deployment fleet;
    fleet.system.concurrent.emplace_back(core::model{core::model_id("proofing"), 9});
    const program_end end = fleet.apply();
    EXPECT_CODE(end, 4);
    cr_assert(end.mentions("version 5 by maria: model/proofing"), "%s", end.err.c_str());
    cr_assert(end.out.empty());
    cr_assert(!fleet.system.fleet.teams.contains(core::team_id("liege")));
}

/// Guards against a refusal that is taken for a conflict.
Test(program, reports_a_refused_change)
{
    deployment fleet;
    fleet.one.behaviour = apply_behaviour::refuse_and_lose;
    const program_end end = fleet.apply();
    EXPECT_CODE(end, 1);
    cr_assert(end.mentions("the change was refused"));
}

/// Guards against files with errors that reach an instance.
Test(program, sends_nothing_of_a_file_with_errors)
{
    deployment fleet;
    std::ofstream(fleet.file) << "[[team]]\nname = \"a\"\nrat = 1\n";
    for (const std::string command : {"validate", "diff", "apply"}) {
        const program_end end = fleet.run({command, fleet.file});
        EXPECT_CODE(end, 3);
        cr_assert(end.mentions(fleet.file + ":3: "), "%s", end.err.c_str());
        cr_assert(!end.mentions("\n\n"), "%s", end.err.c_str());
    }
    cr_assert_eq(fleet.one.requests("GET /v1/status"), 0);
}

/// Guards against giving up at the first instance that is gone or not current.
Test(program, goes_on_to_the_next_instance)
{
    deployment fleet;
    auto gone = std::make_unique<stub_instance>(fleet.system);
    fleet.both =
        "--instance=" + gone->address() + "," + fleet.one.address() + "," + fleet.two.address();
    gone.reset();
    fleet.one.current = false;
    const program_end read = fleet.run({"fleet"});
    EXPECT_CODE(read, 0);
    cr_assert(config::parse_fleet(read.out, "out")->same_entries(fleet.system.fleet));
    cr_assert_eq(fleet.one.requests("GET /v1/fleet"), 0);

    fleet.one.current = true;
    fleet.one.behaviour = apply_behaviour::not_current;
    EXPECT_CODE(fleet.apply(), 0);
    cr_assert_eq(fleet.one.requests("POST /v1/apply"), 1);
    cr_assert_eq(fleet.two.requests("POST /v1/apply"), 1);
}

/// Guards against a wrong exit status when nothing listens, and when nothing is current.
Test(program, tells_unreachable_from_not_current)
{
    deployment fleet;
    fleet.one.current = fleet.two.current = false;
    EXPECT_CODE(fleet.run({"fleet"}), 1);
    const program_end stale = fleet.run({"status", "--output=json"});
    EXPECT_CODE(stale, 0);
    cr_assert(stale.mentions("note: no instance that answered is current"));
    cr_assert(!config::status_from_json(*config::parse_json(stale.out))->current);

    auto gone = std::make_unique<stub_instance>(fleet.system);
    fleet.both = "--instance=" + gone->address();
    gone.reset();
    const program_end end = fleet.run({"fleet"});
    EXPECT_CODE(end, 5);
    cr_assert(end.mentions("next: "));
}

/// Guards against a token that appears in a message.
Test(program, does_not_show_the_token)
{
    deployment fleet;
    fleet.one.token = "another";
    const program_end end = fleet.run({"status"});
    EXPECT_CODE(end, 1);
    cr_assert(!end.mentions("operators-token") && end.mentions("--token_file"));
}

/// Guards against sending a change again whose answer was lost, and against calling it failed.
Test(program, finds_a_recorded_change_in_the_audit_trail)
{
    deployment fleet;
    fleet.one.behaviour = apply_behaviour::record_and_lose;
    const program_end end = fleet.apply();
    EXPECT_CODE(end, 0);
    cr_assert(end.out.ends_with("version 5 is in force on 2 of 2 instances\n"));
    cr_assert_eq(fleet.posts(), 1);
}

/// Guards against a second sending of a change that may still be recorded.
Test(program, says_that_the_outcome_is_unknown)
{
    for (const auto behaviour : {apply_behaviour::lose, apply_behaviour::log_unavailable}) {
        deployment fleet;
        fleet.one.behaviour = behaviour;
        const program_end end = fleet.apply();
        EXPECT_CODE(end, 6);
        cr_assert_eq(fleet.posts(), 1);
        cr_assert(end.mentions("audit"));
    }
}

/// Guards against taking another's change, or an earlier attempt, for the own one.
Test(program, does_not_take_other_records_for_its_own)
{
    for (const auto behaviour :
         {apply_behaviour::overtake_and_lose, apply_behaviour::imitate_and_lose}) {
        deployment fleet;
        fleet.one.behaviour = behaviour;
        EXPECT_CODE(fleet.apply(), 4);
        cr_assert_eq(fleet.posts(), 1);
    }
    deployment fleet;
    core::audit_entry earlier{
        fleet.system.next++, {}, "jan", "why", fleet.system.fleet.version, 0, "an earlier attempt",
        {"team/liege"}};
    fleet.system.audit.push_back(earlier);
    fleet.one.behaviour = apply_behaviour::record_and_lose;
    EXPECT_CODE(fleet.apply(), 0);
}

/// Guards against a key that is shown twice, is not the one recorded, or is lost to a conflict.
Test(program, issues_a_key)
{
    deployment fleet;
    fleet.system.concurrent.emplace_back(core::model{core::model_id("proofing"), 9});
    const program_end end = fleet.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_CODE(end, 0);
    const std::string key = end.out.substr(0, end.out.size() - 1);
    cr_assert(fleet.system.fleet.keys.at(core::key_id("namur-2")).hash == config::sha256(key));
    cr_assert(!end.mentions(key) && end.mentions("[[key]]\nname = \"namur-2\""));
    cr_assert_eq(fleet.posts(), 2);

    const program_end again = fleet.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_CODE(again, 1);
    const program_end unknown = fleet.run({"key", "issue", "--team=namurr", "--name=namur-3"});
    EXPECT_CODE(unknown, 1);
    cr_assert(unknown.mentions("the nearest name is namur\n"));
    EXPECT_CODE(fleet.run({"key", "issue", "--team=namur", "--name=a/b"}), 2);
}

/// Guards against a key that is handed out although it may not be recorded.
Test(program, shows_no_key_if_the_outcome_is_unknown)
{
    deployment fleet;
    fleet.one.behaviour = apply_behaviour::lose;
    const program_end end = fleet.run({"key", "issue", "--team=namur", "--name=namur-2"});
    EXPECT_CODE(end, 6);
    cr_assert(end.out.empty() && end.mentions("the key was not printed"));
}

/// Guards against a key that is called withdrawn while an instance still accepts it.
Test(program, waits_until_a_key_is_withdrawn_everywhere)
{
    deployment fleet;
    fleet.one.lag = 1000;
    const program_end late = fleet.run({"key", "withdraw", "namur-1"});
    EXPECT_CODE(late, 6);
    cr_assert(late.mentions("not yet in force on: two"), "%s", late.err.c_str());
    cr_assert(fleet.system.fleet.keys.empty());

    fleet.one.lag = 4;
    const program_end again = fleet.run({"key", "withdraw", "namur-1"});
    EXPECT_CODE(again, 0);
    cr_assert_eq(fleet.one.lag, 0);
    cr_assert(again.mentions("removed before") && again.out.starts_with("removed key/namur-1\n"));
    cr_assert_eq(fleet.posts(), 1);
    EXPECT_CODE(fleet.run({"key", "withdraw", "namur-9"}), 1);
}

/// Guards against a cancelled job that is reported as failed, or cancelled at two instances.
Test(program, confirms_a_cancelled_job)
{
    deployment fleet;
    fleet.one.lose_other_posts = true;
    const program_end end = fleet.run({"job", "cancel", "j1"});
    EXPECT_CODE(end, 0);
    cr_assert(end.out.find("state            cancelled\n") != std::string::npos);
    cr_assert_eq(fleet.two.requests("POST /v1/jobs/j1/cancel"), 0);
    EXPECT_CODE(fleet.run({"job", "show", "j2"}), 1);
    EXPECT_CODE(fleet.run({"job", "show", "../fleet"}), 2);
}

/// Guards against draining an instance that was only meant as a second choice.
Test(program, drains_exactly_one_instance)
{
    deployment fleet;
    EXPECT_CODE(fleet.run({"drain"}), 2);
    fleet.both = "--instance=" + fleet.two.address();
    EXPECT_CODE(fleet.run({"drain"}), 0);
    cr_assert_eq(fleet.one.requests("POST /v1/drain"), 0);
    cr_assert_eq(fleet.two.requests("POST /v1/drain"), 1);
}
