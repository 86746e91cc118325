#include "http/http.hpp"
#include "soak/faulty_links.hpp"
#include "stand_ins/model_engine.hpp"

#include <criterion/criterion.h>

#include <chrono>

namespace http = gooseberryfall::http;
namespace soak = gooseberryfall::soak;
using gooseberryfall::stand_ins::engine_options;
using gooseberryfall::stand_ins::model_engine;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// An engine behind a link.
struct scene {
    scene() : engine(options()), link(links.open(engine.address())) {}

    static engine_options options()
    {
        engine_options result;
        result.events = 2;
        result.event_gap = milliseconds(1);
        return result;
    }

    http::call_result call(milliseconds limit = milliseconds(500)) const
    {
        return http::call(links.address(link), "POST", "/x", {}, "prompt", limit);
    }

    void inject(soak::link_fault fault) { links.inject(link, fault, milliseconds(100)); }

    model_engine engine;
    soak::faulty_links links;
    std::size_t link;
};

bool is_whole(const http::call_result& answer)
{
    return answer.outcome == http::call_outcome::completed;
}

} // namespace

// Each fault has to have its effect, and to end, or a soak under faults of links says nothing.

Test(faulty_links, passes_calls_on)
{
    scene test;
    cr_assert(is_whole(test.call()));
}

Test(faulty_links, slow_link_delays)
{
    scene test;
    test.inject(soak::link_fault::slow);
    const auto begun = steady_clock::now();
    cr_assert(is_whole(test.call(milliseconds(5000))));
    cr_assert(steady_clock::now() - begun >= milliseconds(200), "there and back are 100 ms each");
}

Test(faulty_links, cut_link_fails_and_mends)
{
    scene test;
    test.inject(soak::link_fault::cut);
    cr_assert_not(is_whole(test.call()));
    test.links.mend(test.link);
    cr_assert(is_whole(test.call()));
    cr_assert_eq(test.engine.runs().size(), 1U);
}

Test(faulty_links, one_way_link_loses_the_answer_of_a_call_that_runs)
{
    scene test;
    test.inject(soak::link_fault::one_way);
    cr_assert_not(is_whole(test.call()));
    cr_assert_eq(test.engine.runs().size(), 1U);
    test.links.mend_all();
    cr_assert(is_whole(test.call()));
}

Test(faulty_links, silent_link_passes_nothing)
{
    scene test;
    test.inject(soak::link_fault::silent);
    cr_assert(test.call().outcome == http::call_outcome::timed_out);
    cr_assert(test.engine.runs().empty());
    test.links.mend(test.link);
    cr_assert(is_whole(test.call()));
}
