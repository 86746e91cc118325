/// Which way calls of the store take.

#include "serving/serving.hpp"

#include <criterion/criterion.h>

#include <vector>

namespace core = gooseberryfall::core;
namespace serving = gooseberryfall::serving;
using serving::store_call_result;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};

} // namespace

// Guards against a move to relays for one refusal, and against one that stays after its end.
Test(store_route, goes_through_others_while_turned_away)
{
    serving::store_route route({});
    cr_assert_not(route.on_direct_call(store_call_result::rejected, start).has_value());
    cr_assert_not(route.may_relay(start));
    cr_assert_eq(route.on_direct_call(store_call_result::rejected, start), std::optional(true));
    cr_assert(route.may_relay(start));
    cr_assert(route.prefers_relay(start + milliseconds(500)));
    cr_assert_not(route.prefers_relay(start + milliseconds(1500)), "the store is tried again");
    cr_assert_eq(route.on_direct_call(store_call_result::answered, start + milliseconds(1500)),
                 std::optional(false));
    cr_assert_not(route.may_relay(start + milliseconds(1500)));
}

// Guards against a whole time limit for each call while the store is silent.
Test(store_route, one_lost_answer_is_enough)
{
    serving::store_route route({});
    cr_assert_eq(route.on_direct_call(store_call_result::no_response, start), std::optional(true));
    cr_assert(route.prefers_relay(start));
}

// Replays a large fleet that starts at once: it makes more calls than the store takes in a second,
// and refusals hit all instances. Guards against relays that multiply the calls.
Test(store_route, refusals_for_all_are_not_multiplied)
{
    constexpr int instances = 300;
    constexpr int taken_per_second = 2000;
    const serving::store_route_settings settings;
    std::vector<serving::store_route> fleet(instances, serving::store_route(settings));
    int asked = 0;
    int made = 0;
    for (milliseconds at{0}; at < seconds(5); at += milliseconds(100)) {
        int left = taken_per_second / 10;
        const auto call = [&] {
            ++made;
            return left-- > 0 ? store_call_result::answered : store_call_result::rejected;
        };
        const core::time_point now = start + at;
        for (serving::store_route& route : fleet) {
            ++asked;
            store_call_result reply = store_call_result::rejected;
            if (!route.prefers_relay(now)) {
                reply = call();
                route.on_direct_call(reply, now);
            }
            if (reply != store_call_result::answered && route.may_relay(now)) {
                for (int attempt = 0; attempt < route.relay_attempts(); ++attempt) {
                    reply = call();
                    if (reply == store_call_result::answered) {
                        break;
                    }
                }
                route.on_relayed_call(reply, now);
            }
        }
    }
    cr_assert_lt(made, asked * 3 / 2, "%d calls for %d", made, asked);
}
