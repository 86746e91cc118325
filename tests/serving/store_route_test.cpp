/// Tests when calls to the store go directly and when they are relayed.

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

// Guards against relaying after a single rejection, and against relaying after the store answers
// direct calls again.
Test(store_route, relays_calls_while_direct_calls_are_rejected)
{
    serving::store_route route({});
    cr_assert_not(route.on_direct_call(store_call_result::rejected, start).has_value());
    cr_assert_not(route.may_relay(start));
    cr_assert_eq(route.on_direct_call(store_call_result::rejected, start), std::optional(true));
    cr_assert(route.may_relay(start));
    cr_assert(route.prefers_relay(start + milliseconds(500)));
    cr_assert_not(route.prefers_relay(start + milliseconds(1500)),
                  "the store is called directly again");
    cr_assert_eq(route.on_direct_call(store_call_result::responded, start + milliseconds(1500)),
                 std::optional(false));
    cr_assert_not(route.may_relay(start + milliseconds(1500)));
}

// Guards against a full timeout for each call while the store does not respond.
Test(store_route, relays_calls_after_one_missing_response)
{
    serving::store_route route({});
    cr_assert_eq(route.on_direct_call(store_call_result::no_response, start), std::optional(true));
    cr_assert(route.prefers_relay(start));
}

// Starts a large fleet at once: it makes more calls than the store accepts per second, and
// rejections hit all instances. Guards against relayed calls that multiply the load.
Test(store_route, overload_is_not_multiplied_by_relays)
{
    constexpr int instances = 300;
    constexpr int store_calls_per_second = 2000;
    const serving::store_route_settings settings;
    std::vector<serving::store_route> fleet(instances, serving::store_route(settings));
    int needed_calls = 0;
    int sent_calls = 0;
    for (milliseconds at{0}; at < seconds(5); at += milliseconds(100)) {
        int capacity_left = store_calls_per_second / 10;
        const auto call_store = [&] {
            ++sent_calls;
            return capacity_left-- > 0 ? store_call_result::responded : store_call_result::rejected;
        };
        const core::time_point now = start + at;
        for (serving::store_route& route : fleet) {
            ++needed_calls;
            store_call_result call_result = store_call_result::rejected;
            if (!route.prefers_relay(now)) {
                call_result = call_store();
                route.on_direct_call(call_result, now);
            }
            if (call_result != store_call_result::responded && route.may_relay(now)) {
                for (int attempt = 0; attempt < route.relay_attempts(); ++attempt) {
                    call_result = call_store();
                    if (call_result == store_call_result::responded) {
                        break;
                    }
                }
                route.on_relayed_call(call_result, now);
            }
        }
    }
    cr_assert_lt(sent_calls, needed_calls * 3 / 2, "%d calls sent, %d needed", sent_calls,
                 needed_calls);
}
