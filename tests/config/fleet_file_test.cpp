#include "config/config.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace config = gooseberryfall::config;
namespace core = gooseberryfall::core;

namespace {

/// A valid file of 31 lines.
const std::string valid = R"([[team]]
name = "namur"
rate = 2.5
burst = 10
[[team]]
name = "ghent"
rate = 0.001
burst = 8
weight = 2
[[key]]
name = "namur-1"
team = "namur"
hash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
[[model]]
name = "proofing"
[[service]]
name = "proofing"
kind = "engine"
model = "proofing"
[[service]]
name = "studio"
kind = "plain"
path_prefix = "/studio/"
open = true
[[target]]
name = "engine-1"
service = "proofing"
address = "127.0.0.1"
port = 9001
data_centre = "namur"
slots = 8
)";

struct bad_case {
    /// Part of the valid file, or empty to add at its end.
    std::string from;
    std::string to;
    std::string message;
};

const std::vector<bad_case> bad_cases = {
    {"rate = 2.5", "rate = nan",
     "f.toml:3: team.rate: must be a number from 0.001 to 1000000 with at most three decimals; "
     "found nan\n"},
    {"rate = 2.5", "rate = inf",
     "f.toml:3: team.rate: must be a number from 0.001 to 1000000 with at most three decimals; "
     "found inf\n"},
    {"rate = 2.5", "rate = 0",
     "f.toml:3: team.rate: must be a number from 0.001 to 1000000 with at most three decimals; "
     "found 0\n"},
    {"rate = 2.5", "rate = 2.0005",
     "f.toml:3: team.rate: must be a number from 0.001 to 1000000 with at most three decimals; "
     "found 2.0005\n"},
    {"rate = 2.5", "rate = \"2.5\"",
     "f.toml:3: team.rate: must be a number from 0.001 to 1000000 with at most three decimals; "
     "found \"2.5\"\n"},
    {"rate = 2.5\n", "",
     "f.toml:1: team.rate: missing; must be a number from 0.001 to 1000000 with at most three "
     "decimals\n"},
    {"weight = 2", "wieght = 2",
     "f.toml:9: team.wieght: unknown key; the nearest known key is team.weight\n"},
    {"name = \"ghent\"", "name = \"namur\"",
     "f.toml:6: team.name: the team \"namur\" is already declared at line 1\n"},
    {"team = \"namur\"", "team = \"namor\"",
     "f.toml:12: key.team: there is no team \"namor\"; the nearest name is \"namur\"\n"},
    {"model = \"proofing\"", "model = \"proof\"",
     "f.toml:19: service.model: there is no model \"proof\"; the nearest name is \"proofing\"\n"},
    {"service = \"proofing\"", "service = \"studo\"",
     "f.toml:27: target.service: there is no service \"studo\"; the nearest name is \"studio\"\n"},
    // A faulty team must not make the key that refers to it look faulty too.
    {"burst = 10", "burst = 0",
     "f.toml:4: team.burst: must be a number from 1 to 1000000 with at most three decimals; found "
     "0\n"},
    // The message must not repeat the key.
    {"hash = \"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\"", "key = \"foo\"",
     "f.toml:10: key.hash: missing; must be a SHA-256 digest of 64 hexadecimal digits\n"
     "f.toml:13: key.key: a key is never written as it is; write `hash`, the SHA-256 of the key, "
     "as printed by: printf %s KEY | sha256sum\n"},
    {"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "foo",
     "f.toml:13: key.hash: must be a SHA-256 digest of 64 hexadecimal digits\n"},
    {"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae",
     "0000000000000000000000000000000000000000000000000000000000000000",
     "f.toml:1: key/namur-1: digest is not set\n"},
    {"[[model]]",
     "[[key]]\nname = \"b\"\nteam = \"ghent\"\nhash = "
     "\"2C26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\"\n[[model]]",
     "f.toml:17: key.hash: must be unique; the key at line 10 has the same\n"},
    {"[[model]]", "[[modell]]",
     "f.toml:14: modell: unknown kind of entry; the nearest known kind is model\n"
     "f.toml:19: service.model: there is no model \"proofing\"; none is declared\n"},
    {"[[model]]", "[model]",
     "f.toml:14: model: must be a list, written [[model]]\n"
     "f.toml:19: service.model: there is no model \"proofing\"; none is declared\n"},
    {"kind = \"engine\"", "kind = \"engin\"",
     "f.toml:18: service.kind: must be one of \"engine\", \"plain\"; found \"engin\"\n"},
    {"kind = \"engine\"", "kind = \"plain\"",
     "f.toml:16: service.path_prefix: missing; a plain service is found by its path prefix, such "
     "as \"/studio/\"\n"
     "f.toml:19: service.model: must not be set for a plain service\n"},
    {"kind = \"plain\"", "kind = \"engine\"",
     "f.toml:20: service.model: missing; an engine service names its model\n"
     "f.toml:23: service.path_prefix: must not be set for an engine service, which is found by its "
     "model\n"},
    {"/studio/", "/v1/batches/",
     "f.toml:23: service.path_prefix: must not lie within /v1/chat/completions/, /v1/batches/ or "
     "/v1/directory/\n"},
    {"/studio/", "/studio/../v1/",
     "f.toml:23: service.path_prefix: must be a path such as \"/studio/\" that begins and ends "
     "with /, of at most 200 letters, digits or -_.~/ and without empty, . or .. parts; found "
     "\"/studio/../v1/\"\n"},
    {"", "[[service]]\nname = \"s2\"\nkind = \"plain\"\npath_prefix = \"/studio/\"\n",
     "f.toml:35: service.path_prefix: must be unique; the service at line 20 has the same\n"},
    {"address = \"127.0.0.1\"", "address = \"localhost\"",
     "f.toml:28: target.address: must be a numeric IP address; found \"localhost\"\n"},
    {"port = 9001", "port = 65536",
     "f.toml:29: target.port: must be a whole number from 1 to 65535; found 65536\n"},
    {"port = 9001", "port = 1979-05-27",
     "f.toml:29: target.port: must be a whole number from 1 to 65535; found a date or time\n"},
    {"slots = 8", "slots = -1",
     "f.toml:31: target.slots: must be a whole number from 1 to 100000; found -1\n"},
    {"[[team]]", "teams = 3\n[[team]]",
     "f.toml:1: teams: unknown kind of entry; the nearest known kind is team\n"},
    {"rate = 2.5", "rate = 2.5\nrate = 3",
     "f.toml:4: not valid TOML: Error while parsing key-value pair: cannot redefine existing "
     "floating-point 'rate'\n"},
};

std::string replaced(const bad_case& change)
{
    std::string text = valid;
    const std::size_t at = change.from.empty() ? text.size() : text.find(change.from);
    return text.replace(at, change.from.size(), change.to);
}

} // namespace

// Guards against messages that do not lead an operator to the fault, and against a faulty fleet
// being applied.
Test(fleet_file, every_fault_is_reported_with_its_line)
{
    for (const bad_case& change : bad_cases) {
        const auto result = config::parse_fleet(replaced(change), "f.toml");
        const std::string text = result ? "accepted" : config::to_text(result.error());
        cr_expect_str_eq(text.c_str(), change.message.c_str());
    }
}

// Guards against a fleet that is changed by being written and read, which would show up as a
// difference that nobody made.
Test(fleet_file, a_written_fleet_reads_the_same)
{
    const auto first = config::parse_fleet(valid, "f.toml");
    cr_assert(first.has_value(), "%s", config::to_text(first.error()).c_str());
    cr_assert(first->teams.at(core::team_id("namur")).rate == 2.5);
    cr_assert_eq(first->targets.at(core::target_id("engine-1")).port, 9001U);
    const std::string text = config::write_fleet(*first);
    const auto second = config::parse_fleet(text, "f.toml");
    cr_assert(second.has_value(), "%s", config::to_text(second.error()).c_str());
    cr_assert(first->same_entries(*second));
}

// Guards against examples that the current rules refuse.
Test(fleet_file, the_examples_are_accepted)
{
    for (const std::string folder :
         {SOURCE_ROOT "/examples/verbeke", SOURCE_ROOT "/examples/torsyq"}) {
        const auto state = config::read_fleet(folder + "/fleet.toml");
        cr_assert(state.has_value(), "%s", config::to_text(state.error()).c_str());
        cr_assert_eq(state->teams.size(), 8U);
        const auto settings = config::read_settings(folder + "/instance.toml");
        cr_assert(settings.has_value(), "%s", config::to_text(settings.error()).c_str());
    }
}

// Guards against a description that leaves a change out or shows a digest.
Test(fleet_file, a_change_is_described_entry_by_entry)
{
    const auto base = config::parse_fleet(valid, "f.toml");
    core::fleet after = *base;
    after.teams[core::team_id("namur")].rate = 3;
    after.keys[core::key_id("namur-1")].hash = config::sha256("bar");
    after.models[core::model_id("new")] = {core::model_id("new"), 64};
    after.targets.clear();
    const auto lines = config::describe(core::difference(*base, after), *base);
    const std::vector<std::string> expected{
        "changed team/namur: rate 2.5 -> 3", "changed key/namur-1: hash (not shown)",
        "added model/new: expected_tokens 64", "removed target/engine-1"};
    cr_assert(lines == expected);
}

// Guards against a digest helper that differs from the usual SHA-256.
Test(fleet_file, digests_match_the_published_value)
{
    const core::digest value = config::sha256("foo");
    const std::string text = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";
    cr_assert(config::to_hex(value) == text);
    cr_assert(config::same_digest(*config::from_hex(text), value));
    cr_assert(!config::same_digest(config::sha256("fop"), value));
    cr_assert(!config::from_hex(text.substr(1) + "g"));
}
