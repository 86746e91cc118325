#include "http/http.hpp"
#include "http/raw_socket.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace http = gooseberryfall::http;
using namespace std::chrono_literals;

namespace {

using http::call_outcome;
using http::connection_use;

/// A client with its loop.
struct fixture {
    http::event_loop loop{"test-client"};
    http::client client{loop};

    http::call_result run(http::client_request request, http::call_observer observer = {})
    {
        std::promise<http::call_result> promise;
        observer.on_done = [&promise](http::call_result result) {
            promise.set_value(std::move(result));
        };
        client.start(std::move(request), std::move(observer));
        auto future = promise.get_future();
        cr_assert(future.wait_for(10s) == std::future_status::ready);
        return future.get();
    }
};

http::client_request to(const raw_listener& listener, connection_use use = connection_use::any)
{
    http::client_request request;
    request.address = listener.address();
    request.use = use;
    return request;
}

const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Accepts connections one after the other and runs a script on each.
std::jthread serve(const raw_listener& listener,
                   std::vector<std::function<void(raw_connection&)>> scripts)
{
    return std::jthread([&listener, scripts = std::move(scripts)] {
        for (const auto& script : scripts) {
            raw_connection connection = listener.accept();
            script(connection);
        }
    });
}

/// Reads one request and answers with `text`.
void answer(raw_connection& connection, const std::string& text)
{
    connection.receive_until("\r\n\r\n");
    connection.send(text);
}

} // namespace

// Guards against an answer that is passed on as whole although its end is missing or cannot be
// told.
Test(client, an_answer_without_its_end_is_not_complete)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<call_outcome, std::string>> table{
        {call_outcome::completed, ok},
        {call_outcome::completed, chunked + "2\r\nok\r\n0\r\n\r\n"},
        {call_outcome::completed, "HTTP/1.1 100 Continue\r\n\r\n" + ok},
        {call_outcome::completed, "HTTP/1.1 204 No Content\r\n\r\n"},
        {call_outcome::connection_lost, ""},
        {call_outcome::connection_lost, "HTTP/1.1 200 OK\r\nContent-"},
        {call_outcome::connection_lost, head + "Content-Length: 3\r\n\r\nok"},
        {call_outcome::connection_lost, chunked + "2\r\nok\r\n"},
        {call_outcome::connection_lost, chunked + "2\r\nok\r\n0\r\n"},
        {call_outcome::connection_lost, chunked + "4\r\nok"},
        {call_outcome::invalid_answer, head + "\r\nok"},
        {call_outcome::invalid_answer, head + "Content-Length: x\r\n\r\nok"},
        {call_outcome::invalid_answer, chunked + "zz\r\n"},
        {call_outcome::invalid_answer, "SSH-2.0-server\r\n"},
        {call_outcome::invalid_answer, head + "A: " + std::string(20000, 'a') + "\r\n\r\n"},
        {call_outcome::invalid_answer, chunked + "1;" + std::string(200000, 'e')},
    };
    fixture test;
    for (const auto& [outcome, text] : table) {
        const raw_listener listener;
        const auto thread =
            serve(listener, {[&text = text](raw_connection& c) { answer(c, text); }});
        const http::call_result result = test.run(to(listener));
        cr_assert(result.outcome == outcome, "%s (%s) for %s", http::to_text(result.outcome),
                  result.reason.c_str(), text.substr(0, 100).c_str());
        cr_assert(result.sent);
    }
}

// Guards against a connection that is reused with another request's bytes in it.
Test(client, bytes_beyond_an_answer_end_the_connection)
{
    const raw_listener listener;
    fixture test;
    const auto script = [](raw_connection& c) {
        answer(c, ok + ok);
        c.receive_all();
    };
    const auto thread = serve(listener, {script, script});
    cr_assert(test.run(to(listener)).outcome == call_outcome::completed);
    cr_assert(test.run(to(listener)).outcome == call_outcome::completed);
    cr_assert_eq(test.client.pooled(listener.address()), 0U);
}

// Guards against needless connections, and against use of one that the other side has closed.
Test(client, reuses_connections_and_drops_closed_ones)
{
    const raw_listener listener;
    std::promise<void> closed;
    fixture test;
    const auto thread = serve(listener, {[&closed](raw_connection& c) {
                                             answer(c, ok);
                                             answer(c, ok);
                                             c.close();
                                             closed.set_value();
                                         },
                                         [](raw_connection& c) { answer(c, ok); }});
    cr_assert(test.run(to(listener)).outcome == call_outcome::completed);
    cr_assert_eq(test.client.pooled(listener.address()), 1U);
    cr_assert(test.run(to(listener)).outcome == call_outcome::completed);
    closed.get_future().wait();
    cr_assert(test.run(to(listener, connection_use::recent)).outcome == call_outcome::completed);
}

// Guards against a request that is sent twice although it may not be, and against a failure that
// only a stale connection caused.
Test(client, only_repeatable_requests_are_sent_again_after_a_stale_connection)
{
    const raw_listener listener;
    fixture test;
    const auto stale = [](raw_connection& c) {
        answer(c, ok);
        c.receive_until("\r\n\r\n");
        c.reset();
    };
    const auto whole = [](raw_connection& c) { answer(c, ok); };
    const auto thread = serve(listener, {stale, whole, stale});
    cr_assert(test.run(to(listener)).outcome == call_outcome::completed);
    cr_assert(test.run(to(listener)).outcome == call_outcome::completed);
    test.client.forget(listener.address());
    cr_assert(test.run(to(listener)).outcome == call_outcome::completed);
    const http::call_result result = test.run(to(listener, connection_use::recent));
    cr_assert(result.outcome == call_outcome::connection_lost && result.sent);
}

// Guards against a request reported as possibly run although nothing listened.
Test(client, a_refused_connection_is_not_sent)
{
    std::string address;
    {
        const raw_listener listener;
        address = listener.address();
    }
    fixture test;
    http::client_request request;
    for (const std::string& wrong : {address, std::string("localhost:80"), std::string("x")}) {
        request.address = wrong;
        const http::call_result result = test.run(request);
        cr_assert(result.outcome == call_outcome::not_sent && !result.sent);
    }
}

// Guards against waiting forever on a silent server, against reuse of its connections, and against
// a wrong phase.
Test(client, a_silent_server_times_out_in_the_right_phase)
{
    const raw_listener listener;
    fixture test;
    std::promise<void> done;
    auto finished = done.get_future().share();
    const auto hold = [finished](const std::string& first, const std::string& second) {
        return [finished, first, second](raw_connection& c) {
            answer(c, first);
            if (!second.empty()) {
                answer(c, second);
            }
            finished.wait();
        };
    };
    std::vector<std::jthread> threads;
    threads.reserve(3);
    for (const auto& script :
         {hold(ok, " "), hold("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", ""),
          hold("", "")}) {
        threads.push_back(serve(listener, {script}));
    }
    http::client_request request = to(listener);
    request.timeouts.first_byte = 100ms;
    request.timeouts.between_bytes = 150ms;
    int first_byte = 0;
    int between = 0;
    for (int round = 0; round < 4; ++round) {
        const http::call_result result = test.run(request);
        if (result.outcome == call_outcome::completed) {
            continue;
        }
        cr_assert(result.outcome == call_outcome::timed_out && result.sent);
        first_byte += result.phase == http::call_phase::first_byte ? 1 : 0;
        between += result.phase == http::call_phase::between_bytes ? 1 : 0;
        cr_assert_eq(test.client.pooled(listener.address()), 0U);
    }
    cr_assert_eq(first_byte, 1);
    cr_assert_eq(between, 2);
    done.set_value();
}

// Guards against a write that blocks forever, and against a lost refusal of a body that is too
// large.
Test(client, a_stalled_write_times_out_and_an_early_answer_is_read)
{
    const raw_listener listener;
    fixture test;
    std::promise<void> done;
    auto finished = done.get_future().share();
    http::client_request request = to(listener);
    request.method = "POST";
    request.body.assign(64U << 20U, 'a');
    request.timeouts.write = 200ms;
    {
        const auto thread = serve(listener, {[finished](raw_connection&) { finished.wait(); }});
        const http::call_result result = test.run(request);
        cr_assert(result.outcome == call_outcome::timed_out && result.sent);
        cr_assert(result.phase == http::call_phase::write);
        done.set_value();
    }
    const auto thread = serve(listener, {[](raw_connection& c) {
                                  answer(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
                              }});
    request.timeouts.write = 10s;
    const http::call_result result = test.run(request);
    cr_assert(result.outcome == call_outcome::completed, "%s", result.reason.c_str());
    cr_assert_eq(result.head.status, 413U);
}

// Guards against a cancel that waits for the server, reports no end, or leaves the connection open.
Test(client, cancel_from_another_thread_closes_the_connection)
{
    const raw_listener listener;
    fixture test;
    std::promise<http::call_result> promise;
    http::call_observer observer;
    observer.on_done = [&promise](http::call_result result) {
        promise.set_value(std::move(result));
    };
    const auto call = test.client.start(to(listener), std::move(observer));
    const raw_connection connection = listener.accept();
    connection.receive_until("\r\n\r\n");
    call->cancel();
    cr_assert(connection.receive_all().empty());
    auto result = promise.get_future();
    cr_assert(result.wait_for(10s) == std::future_status::ready);
    cr_assert(result.get().outcome == call_outcome::cancelled);
    call->cancel();
}

// Guards against an answer that is read without bound while its reader is busy, and against a
// time-out while the reader itself is the one to wait for.
Test(client, a_paused_reader_slows_the_server_down)
{
    constexpr std::size_t total = 32U << 20U;
    const raw_listener listener;
    fixture test;
    std::atomic<std::size_t> sent{0};
    std::promise<void> stalled;
    const auto thread = serve(
        listener, {[&](raw_connection& c) {
            answer(c, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(total) + "\r\n\r\n");
            const std::string block(64U << 10U, 'b');
            for (int idle = 0; idle < 40;) {
                const std::size_t count = c.send_some(block);
                sent += count;
                idle = count == 0 ? idle + 1 : 0;
                std::this_thread::sleep_for(count == 0 ? 5ms : 0ms);
            }
            stalled.set_value();
            c.send(std::string(total - sent, 'b'));
        }});
    std::shared_ptr<http::ongoing_call> call;
    std::promise<void> started;
    std::promise<http::call_result> promise;
    std::size_t received = 0;
    http::call_observer observer;
    observer.on_piece = [&received](const std::string& piece) {
        const bool first = received == 0;
        received += piece.size();
        return first ? http::flow::pause : http::flow::go_on;
    };
    observer.on_done = [&promise](http::call_result result) {
        promise.set_value(std::move(result));
    };
    http::client_request request = to(listener);
    request.timeouts.between_bytes = 100ms;
    call = test.client.start(std::move(request), std::move(observer));
    cr_assert(stalled.get_future().wait_for(10s) == std::future_status::ready);
    cr_assert_lt(sent.load(), total / 2);
    call->resume();
    auto result = promise.get_future();
    cr_assert(result.wait_for(10s) == std::future_status::ready);
    cr_assert(result.get().outcome == call_outcome::completed);
    cr_assert_eq(received, total);
}

// Guards against calls that never end because their client was destroyed.
Test(client, destruction_ends_every_call)
{
    const raw_listener listener;
    int ended = 0;
    std::shared_ptr<http::ongoing_call> last;
    {
        fixture test;
        for (int number = 0; number < 8; ++number) {
            http::call_observer observer;
            observer.on_done = [&ended](const http::call_result& result) {
                ended += result.outcome == call_outcome::cancelled ? 1 : 0;
            };
            last = test.client.start(to(listener), std::move(observer));
        }
    }
    cr_assert_eq(ended, 8);
    last->cancel();
    last->resume();
}

// Guards against a blocking call that exceeds its limit.
Test(client, the_blocking_call_keeps_its_limit)
{
    const raw_listener listener;
    const http::call_result result =
        http::call(listener.address(), "GET", "/", {}, {}, std::chrono::milliseconds(100));
    cr_assert(result.outcome == call_outcome::timed_out);
}
