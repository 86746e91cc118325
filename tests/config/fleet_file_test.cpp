#include "config/config.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace config = gooseberryfall::config;
namespace core = gooseberryfall::core;

namespace {

/// A valid fleet file of 31 lines.
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

struct invalid_case {
    /// Part of the valid file that is replaced, or empty to append to the file.
    std::string original;
    std::string replacement;
    std::string message;
};

const std::vector<invalid_case> invalid_cases = {
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
    // An invalid team must not cause a second problem about the key that refers to it.
    {"burst = 10", "burst = 0",
     "f.toml:4: team.burst: must be a number from 1 to 1000000 with at most three decimals; found "
     "0\n"},
    // The messages must not show the plaintext key.
    {"hash = \"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\"", "key = \"foo\"",
     "f.toml:10: key.hash: missing; must be a SHA-256 digest of 64 hexadecimal digits\n"
     "f.toml:13: key.key: a plaintext key is not allowed; write `hash`, the SHA-256 of the key, "
     "as printed by: printf %s KEY | sha256sum\n"},
    {"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "foo",
     "f.toml:13: key.hash: must be a SHA-256 digest of 64 hexadecimal digits\n"},
    {"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae",
     "0000000000000000000000000000000000000000000000000000000000000000",
     "f.toml:1: key/namur-1: digest is not set\n"},
    {"[[model]]",
     "[[key]]\nname = \"b\"\nteam = \"ghent\"\nhash = "
     "\"2C26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\"\n[[model]]",
     "f.toml:17: key.hash: must be unique; the key at line 10 has the same value\n"},
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
     "f.toml:35: service.path_prefix: must be unique; the service at line 20 has the same value\n"},
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

std::string apply_replacement(const invalid_case& test_case)
{
    std::string text = valid;
    const std::size_t at = test_case.original.empty() ? text.size() : text.find(test_case.original);
    return text.replace(at, test_case.original.size(), test_case.replacement);
}

} // namespace

// Guards against messages from which an operator cannot locate the error, and against the
// acceptance of an invalid fleet.
Test(fleet_file, every_problem_is_reported_with_its_line)
{
    for (const invalid_case& test_case : invalid_cases) {
        const auto result = config::parse_fleet(apply_replacement(test_case), "f.toml");
        const std::string text = result ? "accepted" : config::to_text(result.error());
        cr_expect_str_eq(text.c_str(), test_case.message.c_str());
    }
}

// Guards against values that change when a fleet is written and read back, which would appear as a
// difference that no operator made.
Test(fleet_file, a_written_fleet_is_read_back_unchanged)
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

// Guards against example files that the current validation rejects.
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

// Guards against a description that omits a changed field or shows a digest.
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

// Guards against a hash that differs from standard SHA-256, or a hexadecimal conversion or
// comparison that is wrong. The digest of "foo" is a published test value.
Test(fleet_file, digests_match_a_published_value)
{
    const core::digest value = config::sha256("foo");
    const std::string text = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";
    cr_assert(config::to_hex(value) == text);
    cr_assert(config::same_digest(*config::from_hex(text), value));
    cr_assert(!config::same_digest(config::sha256("fop"), value));
    cr_assert(!config::from_hex(text.substr(1) + "g"));
}
