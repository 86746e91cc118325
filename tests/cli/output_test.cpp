#include "cli/new_key.hpp"
#include "cli/output.hpp"
#include "cli/text_table.hpp"
#include "config/config.hpp"

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include <string>

namespace cli = gooseberryfall::cli;
namespace config = gooseberryfall::config;

/// Guards against columns that shift, also behind letters of several octets.
Test(output, shows_the_audit_trail_as_an_aligned_table)
{
    const auto trail = config::audit_from_json(*config::parse_json(R"({"audit": [
        {"offset": 4, "at_ms": 1700000000000, "author": "jürgen", "comment": "", "base": 0,
         "version": 5, "refused": "", "entries": ["team/a", "team/b", "team/c", "-key/d", "key/e"]},
        {"offset": 9, "at_ms": 1700000001000, "author": "maria", "comment": "typo", "base": 4,
         "version": 0, "refused": "too late", "entries": ["team/a"]}]})"));
    const std::string text = cli::audit_text(trail.value());
    // clang-format off
    const std::string expected =
        "TIME                  BASE  VERSION  AUTHOR  CHANGED                                 COMMENT  RESULT\n"
        "2023-11-14T22:13:20Z  0     5        jürgen  team/a team/b team/c -key/d and 1 more  -        applied\n"
        "2023-11-14T22:13:21Z  4     -        maria   team/a                                  typo     refused: too late\n";
    // clang-format on
    cr_assert(text == expected, "%s", text.c_str());
}

/// Guards against missing state in the text form.
Test(output, shows_a_status)
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
    const std::string text = cli::status_text(status.value());
    cr_assert(text.starts_with("instance        one\nincarnation     7\ncurrent         yes, by "
                               "log\n"));
    cr_assert(text.find("one     d1           10.0.0.1:80  10.0.0.1:81  suspect    6           "
                        "control limits:1 batch:2\n") != std::string::npos);
    cr_assert(text.find("e1      s        10.0.1.1:8000  d1           8      3       4      "
                        "suspect\n") != std::string::npos);
}

/// Guards against comments of others that steer the operator's terminal.
Test(output, shows_no_control_characters)
{
    cr_assert_eq(cli::printable("a\x1b[2Jb\n\x7f"), std::string("a?[2Jb??"));
    cli::text_table table({"A"});
    table.add({"x\ny"});
    cr_assert_eq(table.text(), std::string("A\nx?y\n"));
}

/// Guards against keys that repeat or have few bits.
Test(output, makes_distinct_keys)
{
    const auto one = cli::make_key();
    const auto two = cli::make_key();
    cr_assert(one && two && *one != *two && one->size() == 64);
}
