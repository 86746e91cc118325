#include "http/http.hpp"
#include "http/raw_socket.hpp"
#include "platform/names.hpp"
#include "soak/faulty_links.hpp"
#include "stand_ins/model_engine.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <thread>

namespace http = gooseberryfall::http;
namespace soak = gooseberryfall::soak;
using gooseberryfall::stand_ins::engine_options;
using gooseberryfall::stand_ins::model_engine;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// An engine that is called through a link.
struct linked_engine {
    linked_engine() : engine(options()), link(links.open(engine.address())) {}

    static engine_options options()
    {
        engine_options result;
        result.events = 2;
        result.event_interval = milliseconds(1);
        return result;
    }

    http::call_result call(milliseconds timeout = milliseconds(500)) const
    {
        return http::call(links.address(link), "POST", "/x", {}, "prompt", timeout);
    }

    void inject(soak::link_fault fault) { links.inject(link, fault, milliseconds(100)); }

    model_engine engine;
    soak::faulty_links links;
    std::size_t link;
};

bool is_complete(const http::call_result& response)
{
    return response.outcome == http::call_outcome::completed;
}

} // namespace

// Each fault must take effect and must end. Otherwise a soak test with network faults proves
// nothing.

Test(faulty_links, forwards_calls_without_a_fault)
{
    linked_engine fixture;
    cr_assert(is_complete(fixture.call()));
}

Test(faulty_links, slow_link_delays_both_directions)
{
    linked_engine fixture;
    fixture.inject(soak::link_fault::slow);
    const auto start = steady_clock::now();
    cr_assert(is_complete(fixture.call(milliseconds(5000))));
    cr_assert(steady_clock::now() - start >= milliseconds(200),
              "the request and the response are delayed by 100 ms each");
}

Test(faulty_links, cut_link_fails_until_cleared)
{
    linked_engine fixture;
    fixture.inject(soak::link_fault::cut);
    cr_assert_not(is_complete(fixture.call()));
    fixture.links.clear_fault(fixture.link);
    cr_assert(is_complete(fixture.call()));
    cr_assert_eq(fixture.engine.runs().size(), 1U);
}

Test(faulty_links, one_way_link_drops_the_response_of_a_call_that_runs)
{
    linked_engine fixture;
    fixture.inject(soak::link_fault::one_way);
    cr_assert_not(is_complete(fixture.call()));
    cr_assert_eq(fixture.engine.runs().size(), 1U);
    fixture.links.clear_all_faults();
    cr_assert(is_complete(fixture.call()));
}

Test(faulty_links, silent_link_forwards_nothing)
{
    linked_engine fixture;
    fixture.inject(soak::link_fault::silent);
    cr_assert(fixture.call().outcome == http::call_outcome::timed_out);
    cr_assert(fixture.engine.runs().empty());
    fixture.links.clear_fault(fixture.link);
    cr_assert(is_complete(fixture.call()));
}

namespace {

constexpr milliseconds prefill{300};

/// An engine with a prefill, called through a link to an engine.
struct engine_with_prefill {
    engine_with_prefill()
        : engine(options()),
          link(links.open_to_engine(engine.address(),
                                    [](const auto&, std::uint16_t) {
                                        return boost::asio::ip::make_address("127.0.0.102");
                                    })),
          caller(raw_connection::connect_to(port()))
    {
        caller.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        while (engine.running_count() == 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    static engine_options options()
    {
        engine_options result;
        result.events = 20;
        result.pace = [](const std::string&) {
            return gooseberryfall::stand_ins::run_pace{.prefill = prefill,
                                                       .event_interval = milliseconds(20)};
        };
        return result;
    }

    std::uint16_t port() const
    {
        const std::string address = links.address(link);
        return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    }

    /// How long the engine worked on the run.
    milliseconds wait_until_ended() const
    {
        while (engine.running_count() > 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        const auto run = engine.runs().front();
        return std::chrono::duration_cast<milliseconds>(*run.ended_at - run.arrived_at);
    }

    model_engine engine;
    soak::faulty_links links;
    std::size_t link;
    raw_connection caller;
};

} // namespace

// An engine that learns of every close at once hides runs that were not given up properly.
Test(faulty_links, closed_caller_is_noticed_at_a_failed_write)
{
    engine_with_prefill fixture;
    fixture.caller.close();
    cr_assert(fixture.wait_until_ended() >= prefill);
    cr_assert(fixture.engine.runs().front().interrupted);
}

Test(faulty_links, reset_by_the_caller_reaches_the_engine_at_once)
{
    engine_with_prefill fixture;
    fixture.caller.reset();
    cr_assert(fixture.wait_until_ended() < prefill);
    cr_assert(fixture.engine.runs().front().interrupted);
}

Test(faulty_links, source_address_tells_the_engine_the_sender)
{
    engine_with_prefill fixture;
    cr_assert(fixture.engine.runs().front().caller_address.starts_with("127.0.0.102:"));
}
