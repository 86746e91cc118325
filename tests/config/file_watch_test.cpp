#include "config/config.hpp"

#include <criterion/criterion.h>

namespace config = gooseberryfall::config;

// Guards against the use of a partially written file: a read while the file is being written
// returns only a part of it.
Test(file_watch, content_is_accepted_after_two_equal_reads)
{
    config::file_watch watch("old");
    cr_assert_not(watch.observe("old"));
    cr_assert_not(watch.observe("ne"));
    cr_assert_not(watch.observe("new"));
    cr_assert(watch.observe("new"));
    cr_assert_not(watch.observe("new"));
}

// Guards against a second reload of content that was already loaded on a signal.
Test(file_watch, current_content_is_not_reported_as_a_change)
{
    config::file_watch watch("old");
    watch.set_current("new");
    cr_assert_not(watch.observe("new"));
    cr_assert_not(watch.observe("new"));
    cr_assert_not(watch.observe("old"));
    cr_assert(watch.observe("old"));
}
