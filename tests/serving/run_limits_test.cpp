#include "serving/serving.hpp"

#include <criterion/criterion.h>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::slot_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
constexpr milliseconds silence_max{700};

serving::run_limits limits_after(milliseconds time_limit)
{
    return {start + time_limit, start, silence_max};
}

} // namespace

// Guards against targets that are set aside since runs were cut at their own time limit.
Test(run_limits, run_cut_at_its_deadline_is_no_failure)
{
    const milliseconds time_limit(300);
    for (const slot_outcome observed : {slot_outcome::unreachable, slot_outcome::broken,
                                        slot_outcome::silent, slot_outcome::failed}) {
        serving::target_health health;
        for (int run = 0; run < 20; ++run) {
            const core::time_point now = start + time_limit;
            health.record(serving::judge_run_end(observed, limits_after(time_limit), now), start,
                          now);
        }
        cr_assert(health.available(start + time_limit), "%s", to_text(observed));
        cr_assert(!health.on_probation(), "%s", to_text(observed));
    }
}

// Guards against a failed target that goes unnoticed since its runs have a time limit.
Test(run_limits, failure_before_the_deadline_counts)
{
    for (const slot_outcome observed : {slot_outcome::unreachable, slot_outcome::broken,
                                        slot_outcome::silent, slot_outcome::failed}) {
        const core::time_point now = start + milliseconds(200);
        cr_assert(serving::judge_run_end(observed, limits_after(milliseconds(300)), now) ==
                      observed,
                  "%s", to_text(observed));
    }
}

// Guards against a silent target that goes unnoticed since its runs end at their time limit.
Test(run_limits, long_silence_before_the_deadline_counts)
{
    const milliseconds time_limit = silence_max + milliseconds(100);
    const core::time_point now = start + time_limit;
    serving::target_health health;
    health.record(serving::judge_run_end(slot_outcome::silent, limits_after(time_limit), now),
                  start, now);
    cr_assert(!health.available(now));
}

// Guards against a response that counts as cut since it was complete at the last moment.
Test(run_limits, complete_response_at_the_deadline_counts)
{
    const core::time_point now = start + milliseconds(300);
    for (const slot_outcome observed : {slot_outcome::completed, slot_outcome::not_run}) {
        cr_assert(serving::judge_run_end(observed, limits_after(milliseconds(300)), now) ==
                  observed);
    }
}
