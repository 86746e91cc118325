#include "config/config.hpp"
#include "config/settings_table.hpp"

#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace config = gooseberryfall::config;

namespace {

/// A valid settings file of 17 lines.
const std::string valid = R"([instance]
name = "namur-1"
data_centre = "namur"
region = "be-central"
[callers]
listen = "127.0.0.1:8101"
[peers]
listen = "127.0.0.1:8201"
[operators]
listen = "127.0.0.1:8301"
token_sha256 = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
[platform]
addresses = ["127.0.0.1:7000", "127.0.0.1:7001"]
[currency]
bound = "3 s"
[limits]
grant_lifetime = "1 s"
)";

struct invalid_case {
    /// Part of the valid file that is replaced, or empty to append to the file.
    std::string original;
    std::string replacement;
    std::string message;
};

const std::vector<invalid_case> invalid_cases = {
    {"bound = \"3 s\"", "bound = \"3 hours\"",
     "i.toml:15: currency.bound: must be a duration from \"200 ms\" to \"30 s\" in whole us, ms, "
     "s, min or h; found \"3 hours\"\n"},
    {"bound = \"3 s\"", "bound = 3",
     "i.toml:15: currency.bound: must be a duration from \"200 ms\" to \"30 s\" in whole us, ms, "
     "s, min or h; found 3\n"},
    {"bound = \"3 s\"", "bound = \"99999999999999999999 h\"",
     "i.toml:15: currency.bound: must be a duration from \"200 ms\" to \"30 s\" in whole us, ms, "
     "s, min or h; found \"99999999999999999999 h\"\n"},
    {"bound =", "bond =",
     "i.toml:15: currency.bond: unknown key; the nearest known key is currency.bound\n"},
    {"[limits]", "[limit]",
     "i.toml:16: limit: unknown section; the nearest known section is "
     "limits\n"},
    {"[limits]", "[[limits]]", "i.toml:16: limits: must be one section, written [limits]\n"},
    {"[instance]", "region = \"x\"\n[instance]",
     "i.toml:1: region: unknown key outside of a section; the nearest known key is "
     "instance.region\n"},
    {"region = \"be-central\"\n", "",
     "i.toml:1: instance.region: missing; must be a name of 1 to 64 letters, digits or -_.: that "
     "begins with a letter or digit\n"},
    {"\"namur-1\"", "\"namur 1\"",
     "i.toml:2: instance.name: must be a name of 1 to 64 letters, digits or -_.: that begins with "
     "a letter or digit; found \"namur 1\"\n"},
    {"\"127.0.0.1:8101\"", "\"localhost:8101\"",
     "i.toml:6: callers.listen: must be an address such as \"127.0.0.1:8080\" or \"[::1]:8080\"; "
     "found \"localhost:8101\"\n"},
    {"\"127.0.0.1:8101\"", "\"127.0.0.1:65536\"",
     "i.toml:6: callers.listen: must be an address such as \"127.0.0.1:8080\" or \"[::1]:8080\"; "
     "found \"127.0.0.1:65536\"\n"},
    {"\"127.0.0.1:8101\"", "\"0.0.0.0:8101\"",
     "i.toml:6: callers.listen: needs callers.advertise, because nobody can connect to "
     "0.0.0.0\n"},
    {"8301", "8101", "i.toml:10: operators.listen: must not be the same as callers.listen\n"},
    // The value may be the plaintext token, so the message must not show it.
    {"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "secret",
     "i.toml:11: operators.token_sha256: must be a SHA-256 digest of 64 hexadecimal digits\n"},
    {"\"127.0.0.1:7001\"", "\"127.0.0.1:0\"",
     "i.toml:13: platform.addresses: must be a list of addresses such as [\"127.0.0.1:7000\"] "
     "with ports from 1 on; found a list of 2\n"},
    {"[\"127.0.0.1:7000\", \"127.0.0.1:7001\"]", "[]",
     "i.toml:13: platform.addresses: must name at least one address\n"},
    {"", "takeover_wait = \"1 s\"\n",
     "i.toml:18: limits.takeover_wait: unknown key; the nearest known key is limits.token_wait\n"},
    {"", "[currency.bound]\n",
     "i.toml:18: not valid TOML: Error while parsing table header: cannot redefine existing string "
     "'currency.bound' as table\n"},
    {"", "[http]\nbody_limit = \"1 GiB\"\n",
     "i.toml:19: http.body_limit: must be a size from \"1 KiB\" to \"64 MiB\" in whole B, KiB, MiB "
     "or GiB; found \"1 GiB\"\n"},
    {"", "[retries]\nratio = nan\n",
     "i.toml:19: retries.ratio: must be a number from 0 to 1 with at most three decimals; found "
     "nan\n"},
    {"", "[retries]\nper_request = 2.0\n",
     "i.toml:19: retries.per_request: must be a whole number from 0 to 2; found 2\n"},
    {"", "[queue]\norder = \"random\"\n",
     "i.toml:19: queue.order: must be one of \"fair\", \"arrival\"; found \"random\"\n"},
    {"", "[governor]\nhold_back_batch = 1\n",
     "i.toml:19: governor.hold_back_batch: must be true or false; found 1\n"},
    {"", "[tls]\ncertificate = \"c.pem\"\n",
     "i.toml:18: tls.key: missing; tls.certificate and tls.key are set together or not at all\n"},
    // With a longer wait the control state would stop being current while nothing is appended to
    // the log.
    {"[platform]", "[platform]\nread_wait = \"1501 ms\"",
     "i.toml:13: platform.read_wait: must be at most half of currency.bound (1500 ms)\n"},
    // If clock rates differed by more than the margin, a previous holder could still grant tokens
    // after the takeover wait of the new one.
    {"bound = \"3 s\"", "bound = \"3 s\"\nclock_margin = \"39 ms\"",
     "i.toml:16: currency.clock_margin: must be at least 1% of currency.bound + "
     "limits.grant_lifetime (40 ms)\n"},
    {"", "[callers]\ndirectory_validity = \"2 min\"\n",
     "i.toml:18: not valid TOML: Error while parsing table header: cannot redefine existing table "
     "'callers'\n"},
    {"[callers]", "[callers]\ndirectory_validity = \"2 min\"",
     "i.toml:6: callers.directory_validity: must be a duration from \"1 s\" to \"1 min\" in whole "
     "us, ms, s, min or h; found \"2 min\"\n"},
    {"[peers]\nlisten", "[peers]\nfan_out = 0\nlissen",
     "i.toml:7: peers.listen: missing; must be an address such as \"127.0.0.1:8080\" or "
     "\"[::1]:8080\"\n"
     "i.toml:8: peers.fan_out: must be a whole number from 1 to 64; found 0\n"
     "i.toml:9: peers.lissen: unknown key; the nearest known key is peers.listen\n"},
};

std::string apply_replacement(const invalid_case& test_case)
{
    std::string text = valid;
    const std::size_t at = test_case.original.empty() ? text.size() : text.find(test_case.original);
    return text.replace(at, test_case.original.size(), test_case.replacement);
}

} // namespace

// Guards against messages from which an operator cannot locate the error, and against the
// acceptance of an invalid file.
Test(settings_file, every_problem_is_reported_with_its_line)
{
    for (const invalid_case& test_case : invalid_cases) {
        const auto result = config::parse_settings(apply_replacement(test_case), "i.toml");
        const std::string text = result ? "accepted" : config::to_text(result.error());
        cr_expect_str_eq(text.c_str(), test_case.message.c_str());
    }
}

// Guards against a missing required section that is not reported.
Test(settings_file, an_empty_file_reports_every_required_setting)
{
    const auto result = config::parse_settings("", "i.toml");
    cr_assert(!result.has_value());
    cr_assert_eq(result.error().size(), 8U, "%s", config::to_text(result.error()).c_str());
}

// Guards against values that are stored in the wrong member, and against a takeover wait that is
// not derived from the configured bounds.
Test(settings_file, values_are_stored_in_the_node_settings)
{
    const auto result = config::parse_settings(
        valid + "[timeouts]\nconnect = \"70 ms\"\nwrite = \"80 ms\"\n[batch]\nappend_limit = "
                "\"64KiB\"\n[log]\nlevel = \"warning\"\n",
        "i.toml");
    cr_assert(result.has_value());
    const auto node = config::make_node_settings(*result, 7, 8101, 9999);
    cr_assert(node.currency_bound == std::chrono::seconds(3));
    cr_assert(node.timeouts.connect == std::chrono::milliseconds(70));
    cr_assert(node.timeouts.write == std::chrono::milliseconds(80));
    cr_assert_eq(node.batch.append_limit, 65536U);
    cr_assert(result->level == config::log_level::warning);
    cr_assert(config::takeover_wait(*result) == std::chrono::milliseconds(4300));
    cr_assert_str_eq(node.self.instance.value().c_str(), "namur-1");
    cr_assert(node.members.self == node.self && node.batch.self == node.self);
    cr_assert_str_eq(node.members.data_centre.value().c_str(), "namur");
    cr_assert_str_eq(node.peer_address.c_str(), "127.0.0.1:9999");
    cr_assert_eq(result->platform.addresses.size(), 2U);
}

// Guards against a reference page that differs from the table of settings.
Test(settings_file, the_reference_page_is_up_to_date)
{
    std::ifstream stream(SOURCE_ROOT "/docs/SETTINGS.md");
    const std::string page(std::istreambuf_iterator<char>(stream), {});
    cr_assert(page == config::settings_reference(),
              "docs/SETTINGS.md differs from settings_reference()");
}

// Guards against a default value that the range of its setting rejects.
Test(settings_file, the_defaults_are_allowed)
{
    for (const config::settings_section& section : config::settings_table()) {
        for (const auto& setting : section.fields) {
            config::daemon_settings settings;
            const config::raw_value value = setting.write(settings);
            const bool unset = value == config::raw_value(std::string());
            const bool allowed = setting.required || unset || setting.read(settings, value);
            cr_expect(allowed, "%s.%s", section.name.c_str(), setting.name.c_str());
        }
    }
}
