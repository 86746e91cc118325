#include "cli/key_generator.hpp"
#include "cli/output.hpp"
#include "cli/text_table.hpp"
#include "config/config.hpp"

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include <string>

namespace cli = gooseberryfall::cli;
namespace config = gooseberryfall::config;

/// Guards against misaligned columns, also after characters of several octets.
Test(output, formats_the_audit_trail_as_an_aligned_table)
{
    const auto trail = config::audit_from_json(*config::parse_json(R"({"audit": [
        {"offset": 4, "at_ms": 1700000000000, "author": "jürgen", "comment": "", "base": 0,
         "version": 5, "refused": "", "entries": ["team/a", "team/b", "team/c", "-key/d", "key/e"]},
        {"offset": 9, "at_ms": 1700000001000, "author": "maria", "comment": "typo", "base": 4,
         "version": 0, "refused": "too late", "entries": ["team/a"]}]})"));
    const std::string text = cli::format_audit(trail.value());
    // clang-format off
    const std::string expected =
        "TIME                  BASE  VERSION  AUTHOR  CHANGED                                 COMMENT  RESULT\n"
        "2023-11-14T22:13:20Z  0     5        jürgen  team/a team/b team/c -key/d and 1 more  -        applied\n"
        "2023-11-14T22:13:21Z  4     -        maria   team/a                                  typo     refused: too late\n";
    // clang-format on
    cr_assert(text == expected, "%s", text.c_str());
}

/// Guards against fields of the status that are missing from the text output.
Test(output, formats_a_status)
{
    const auto status = config::status_from_json(*config::parse_json(R"({"instance": "one",
        "incarnation": 7, "current": true, "leaving": false, "basis": "log", "version": 5,
        "applied_next": 6, "queued": 1, "running_online": 2, "running_batch": 3,
        "members": [{"instance": "one", "incarnation": 7, "data_centre": "d1",
          "caller_address": "10.0.0.1:80", "peer_address": "10.0.0.1:81", "condition": "suspect",
          "applied_next": 6, "shards": ["control", "batch-1", "batch-2", "limits-0"]}],
        "targets": [{"name": "e1", "service": "s", "address": "10.0.1.1", "port": 8000,
          "data_centre": "d1", "slots": 8, "checks_fencing": true, "online": 3, "batch": 4,
          "leaving": false, "suspect": true}]})"));
    const std::string text = cli::format_status(status.value());
    cr_assert(text.starts_with("instance        one\nincarnation     7\ncurrent         yes, by "
                               "log\n"));
    cr_assert(text.find("one     d1           10.0.0.1:80  10.0.0.1:81  suspect    6           "
                        "control limits:1 batch:2\n") != std::string::npos);
    cr_assert(text.find("e1      s        10.0.1.1:8000  d1           8      3       4      "
                        "suspect\n") != std::string::npos);
}

/// Guards against comments with escape sequences that control the operator's terminal.
Test(output, replaces_control_characters)
{
    cr_assert_eq(cli::sanitize("a\x1b[2Jb\n\x7f"), std::string("a?[2Jb??"));
    cli::text_table table({"A"});
    table.add_row({"x\ny"});
    cr_assert_eq(table.format(), std::string("A\nx?y\n"));
}

/// Guards against repeated keys and keys of fewer than 256 bits.
Test(output, generates_distinct_keys)
{
    const auto one = cli::generate_api_key();
    const auto two = cli::generate_api_key();
    cr_assert(one && two && *one != *two && one->size() == 64);
}
