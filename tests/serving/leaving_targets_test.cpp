#include "serving/serving.hpp"

#include <criterion/criterion.h>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;

namespace {

serving::target_process process(const std::string& id, std::int64_t started_at)
{
    return {core::target_id(id), started_at};
}

serving::target_entry entry(const std::string& id, std::int64_t started_at)
{
    serving::target_entry listed;
    listed.id = core::target_id(id);
    listed.started_at = started_at;
    return listed;
}

} // namespace

// Guards against a new process that gets no work because an earlier one with its id has left.
Test(leaving_targets, new_process_with_the_same_id_is_another_target)
{
    serving::leaving_targets leaving;
    cr_assert(leaving.add(process("t", 5)));
    cr_assert_not(leaving.add(process("t", 0)));
    cr_assert(leaving.contains(process("t", 5)));
    cr_assert_not(leaving.contains(process("t", 6)));
    const auto used = leaving.remove_from({entry("t", 5), entry("u", 5)});
    cr_assert(used.size() == 1 && used.front().id == core::target_id("u"));
    cr_assert(leaving.remove_from({entry("t", 6)}).size() == 1);
    cr_assert(leaving.add(process("t", 6)));
    cr_assert(leaving.contains(process("t", 6)));
}

// Guards against work for a target that has left the list for a while, for example because its
// entry lapsed with the store, and against an answer of an earlier process that makes the later one
// usable again.
Test(leaving_targets, stays_left_out_when_its_entry_lapses_and_comes_back)
{
    serving::leaving_targets leaving;
    leaving.add(process("t", 5));
    leaving.learn_starts({});
    cr_assert_not(leaving.add(process("t", 4)));
    cr_assert(leaving.contains(process("t", 5)));
    cr_assert(leaving.remove_from({entry("t", 5)}).empty());
}

// Guards against a target without a known start that takes all later processes with its id away.
Test(leaving_targets, unknown_start_is_that_of_the_next_list)
{
    serving::leaving_targets leaving;
    leaving.add(process("t", 0));
    cr_assert(leaving.contains(process("t", 5)));
    leaving.learn_starts({entry("u", 4), entry("t", 5)});
    cr_assert(leaving.contains(process("t", 5)));
    cr_assert_not(leaving.contains(process("t", 6)));
}

// Guards against reports that grow with each target that ever left.
Test(leaving_targets, tells_only_what_the_list_still_shows)
{
    serving::leaving_targets leaving;
    leaving.add(process("t", 5));
    leaving.add(process("u", 5));
    const auto shown = leaving.find_in({entry("t", 5), entry("u", 6), entry("v", 5)});
    cr_assert(shown.size() == 1 && shown.front() == process("t", 5));
}

// Guards against memory that grows with each target that ever left.
Test(leaving_targets, are_bounded)
{
    serving::leaving_settings settings;
    settings.capacity = 10;
    serving::leaving_targets leaving(settings);
    for (int number = 0; number < 1000; ++number) {
        leaving.add(process("t" + std::to_string(number), 1));
        // Heard again and again, so that it never gives way.
        leaving.add(process("t0", 1));
    }
    cr_assert_eq(leaving.size(), 10U);
    cr_assert(leaving.contains(process("t999", 1)));
    cr_assert(leaving.contains(process("t0", 1)));
    cr_assert_not(leaving.contains(process("t500", 1)));
}
