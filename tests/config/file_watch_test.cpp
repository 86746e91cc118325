/// When a changed file counts as changed.

#include "config/config.hpp"

#include <criterion/criterion.h>

namespace config = gooseberryfall::config;

// Guards against settings that are read while the file is being written.
Test(file_watch, a_content_counts_when_seen_twice)
{
    config::file_watch watch("old");
    cr_assert_not(watch.observe("old"));
    cr_assert_not(watch.observe("ne"));
    cr_assert_not(watch.observe("new"));
    cr_assert(watch.observe("new"));
    cr_assert_not(watch.observe("new"));
}

// Guards against a second reload of what a signal has announced.
Test(file_watch, a_content_in_use_is_no_change)
{
    config::file_watch watch("old");
    watch.use("new");
    cr_assert_not(watch.observe("new"));
    cr_assert_not(watch.observe("new"));
    cr_assert_not(watch.observe("old"));
    cr_assert(watch.observe("old"));
}
