#include "http/http.hpp"
#include "http/raw_socket.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace http = gooseberryfall::http;
using namespace std::chrono_literals;

namespace {

using handler = std::function<void(http::request, std::shared_ptr<http::responder>)>;

/// A server with its loop.
struct fixture {
    explicit fixture(handler handle, http::server_settings settings = {},
                     std::function<bool(const http::request&)> streams = {})
        : served(loop, std::move(settings), {std::move(handle), std::move(streams)}),
          port(served.start().value())
    {
    }

    raw_connection connect(int receive_buffer = 0) const
    {
        return raw_connection::to(port, receive_buffer);
    }

    http::event_loop loop{"test-server"};
    http::server served;
    std::uint16_t port;
};

/// Answers with the request's body.
void echo(http::request wanted, const std::shared_ptr<http::responder>& answer)
{
    answer->send({200, {}, std::move(wanted.body)});
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string get(const std::string& more = "")
{
    return "GET / HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}

template <class T>
T wait_for(std::future<T>& future)
{
    cr_assert(future.wait_for(10s) == std::future_status::ready);
    return future.get();
}

} // namespace

// Guards against input that ends the process, is taken for a request, smuggles a second request, or
// gets an answer in another shape.
Test(server, refuses_bad_input_and_goes_on)
{
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> table{
        {"400", "\x16\x03\x01\x02garbage\r\n\r\n"},
        {"400", "GET\r\n\r\n"},
        {"400", "GET / HTTP/9.9\r\n\r\n"},
        {"400", "GET http://elsewhere/ HTTP/1.1\r\nHost: x\r\n\r\n"},
        {"400", "GET / HTTP/1.1\r\nNo colon here\r\n\r\n"},
        {"400", std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26)},
        {"400", "GET / HTTP/1.1\r\nBad name: x\r\n\r\n"},
        {"505", "GET / HTTP/1.0\r\n\r\n"},
        {"431", "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n"},
        {"431", "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n"},
        {"400", post + "Content-Length: -1\r\n\r\n"},
        {"400", post + "Content-Length: 99999999999999999999\r\n\r\n"},
        {"400", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
        {"400", post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"501", post + "Transfer-Encoding: gzip\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"},
        {"501", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
        {"400", chunked + "zz\r\nab\r\n0\r\n\r\n"},
        {"400", chunked + "2\r\nabcd\r\n0\r\n\r\n"},
        {"413", post + "Content-Length: 1001\r\n\r\n"},
        {"413", post + "Content-Length: 9999999999999999\r\n\r\n"},
        {"413", chunked + "3E9\r\n" + std::string(1001, 'a') + "\r\n0\r\n\r\n"},
    };
    http::server_settings settings;
    settings.body_limit = 1000;
    settings.make_request_id = [] { return std::string("id-1"); };
    std::atomic<int> handled{0};
    fixture server(
        [&handled](http::request wanted, const std::shared_ptr<http::responder>& answer) {
            ++handled;
            echo(std::move(wanted), answer);
        },
        settings);
    for (const auto& [status, bytes] : table) {
        const raw_connection client = server.connect();
        client.send(bytes);
        const std::string answer = client.receive_all();
        cr_assert(answer.starts_with("HTTP/1.1 " + status), "%s... for %s",
                  answer.substr(0, 40).c_str(), bytes.substr(0, 80).c_str());
        cr_assert(contains(answer, "Connection: close\r\n") &&
                  contains(answer, "Request-Id: id-1"));
        cr_assert(contains(answer, "Run-Verdict: not_run\r\n"));
        cr_assert(contains(answer, "{\"error\":{\"code\":\"") &&
                  contains(answer, "\"run\":\"not_run\"}}"));
    }
    cr_assert_eq(handled.load(), 0);
    cr_assert_eq(server.served.counts().bad_requests, table.size());
    const raw_connection client = server.connect();
    client.send(post + "Content-Length: 1000\r\n\r\n" + std::string(1000, 'a'));
    cr_assert(contains(client.receive_until(std::string(1000, 'a')), "200 OK"));
}

// Guards against random bytes that end the process.
Test(server, survives_random_input)
{
    fixture server(echo);
    std::uint32_t state = 20240501;
    for (int round = 0; round < 300; ++round) {
        std::string bytes =
            round % 2 == 0 ? get("Transfer-Encoding: chunked\r\n") : "GET / HTTP/1.1\r\n";
        for (int index = 0; index < 200; ++index) {
            state = state * 1664525U + 1013904223U;
            bytes += static_cast<char>(state >> 24U);
        }
        const raw_connection client = server.connect();
        client.send(bytes);
    }
    const raw_connection client = server.connect();
    client.send(get());
    cr_assert(contains(client.receive_until("\r\n\r\n"), "200 OK"));
}

// Guards against answers that are mixed up or lost when requests come in one packet, split at any
// place, or in chunks.
Test(server, keeps_the_order_of_pipelined_requests_in_any_split)
{
    fixture server(echo);
    const std::string input =
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\nt\r\n2;ext=1\r\nwo\r\n0\r\nTrailer: x\r\n\r\n"
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nthree";
    for (std::size_t split = 1; split < input.size(); split += 3) {
        const raw_connection client = server.connect();
        client.send(input.substr(0, split));
        std::this_thread::yield();
        client.send(input.substr(split));
        const std::string answer = client.receive_all();
        const auto one = answer.find("one");
        const auto two = answer.find("two", one);
        cr_assert(two != std::string::npos && answer.find("three", two) != std::string::npos);
    }
}

// Guards against clients that hold a connection by sending or reading slowly.
Test(server, gives_up_on_slow_clients)
{
    std::promise<bool> ended;
    http::server_settings settings;
    settings.read_timeout = 100ms;
    settings.write_timeout = 200ms;
    settings.idle_timeout = 100ms;
    fixture server(
        [&ended](const http::request&, const std::shared_ptr<http::responder>& answer) {
            answer->when_ended([&ended](bool whole) { ended.set_value(whole); });
            answer->send({200, {}, std::string(32U << 20U, 'a')});
        },
        settings);
    const raw_connection head = server.connect();
    head.send("GET / HTTP/1.1\r\nHost");
    cr_assert(contains(head.receive_all(), " 408 "));
    const raw_connection body = server.connect();
    body.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    cr_assert(contains(body.receive_all(), " 408 "));
    const raw_connection idle = server.connect();
    cr_assert(idle.receive_all().empty());
    const raw_connection unread = server.connect(4096);
    unread.send(get());
    auto whole = ended.get_future();
    cr_assert(!wait_for(whole));
}

// Guards against work that goes on for a client that has gone while no byte is being written.
Test(server, notices_a_client_that_goes_during_a_silent_answer)
{
    for (const bool reset : {false, true}) {
        std::promise<std::shared_ptr<http::responder>> taken;
        fixture server([&taken](const http::request&, std::shared_ptr<http::responder> answer) {
            taken.set_value(std::move(answer));
        });
        raw_connection client = server.connect();
        client.send(get());
        auto handed = taken.get_future();
        const std::shared_ptr<http::responder> answer = wait_for(handed);
        std::promise<bool> ended;
        answer->when_ended([&ended](bool whole) { ended.set_value(whole); });
        cr_assert(!answer->ended());
        if (reset) {
            client.reset();
        }
        else {
            client.close();
        }
        auto whole = ended.get_future();
        cr_assert(!wait_for(whole));
        answer->start({});
        cr_assert(answer->write("late") == http::write_result::gone);
        answer->finish();
    }
}

// Guards against a stream that loses, reorders or buffers without bound what a slow client does not
// read, and against a writer that is never told of room.
Test(server, streams_with_a_bounded_buffer)
{
    constexpr std::size_t total = 8U << 20U;
    http::server_settings settings;
    settings.answer_buffer = 64U << 10U;
    std::atomic<int> full{0};
    std::promise<std::shared_ptr<http::responder>> taken;
    fixture server(
        [&taken](const http::request&, std::shared_ptr<http::responder> answer) {
            taken.set_value(std::move(answer));
        },
        settings);
    const raw_connection client = server.connect(4096);
    client.send(get());
    auto handed = taken.get_future();
    const std::shared_ptr<http::responder> answer = wait_for(handed);
    std::jthread producer([&full, answer] {
        answer->start({200, {{"Content-Type", "text/plain"}}});
        for (std::size_t sent = 0; sent < total;) {
            std::string piece(1024, static_cast<char>('a' + (sent >> 10U) % 26));
            const http::write_result result = answer->write(std::move(piece));
            cr_assert(result != http::write_result::gone);
            if (result == http::write_result::full) {
                ++full;
                std::promise<void> room;
                answer->when_room([&room] { room.set_value(); });
                room.get_future().wait();
                continue;
            }
            sent += 1024;
        }
        answer->finish();
    });
    while (full == 0) {
        std::this_thread::yield();
    }
    std::string text = client.receive_until("0\r\n\r\n");
    cr_assert(text.ends_with("\r\n0\r\n\r\n"));
    cr_assert_gt(text.size(), total);
    cr_assert(contains(text, "Transfer-Encoding: chunked\r\n"));
    // The connection is usable for another request afterwards.
    cr_assert_eq(server.served.connections(), 1U);
}

// Guards against a cut-off answer that looks whole, and against its last pieces being lost.
Test(server, an_aborted_or_dropped_stream_has_no_end)
{
    for (const bool drop : {false, true}) {
        fixture server(
            [drop](const http::request&, const std::shared_ptr<http::responder>& answer) {
                answer->start({});
                answer->write("data: {\"error\": {}}\n\n");
                if (!drop) {
                    answer->abort();
                }
            });
        const raw_connection client = server.connect();
        client.send(get());
        const std::string text = client.receive_all();
        cr_assert(text.ends_with("data: {\"error\": {}}\n\n\r\n"));
    }
}

// Guards against a client that waits forever for a request that the handler dropped or threw on.
Test(server, a_request_without_an_answer_gets_500)
{
    fixture server([](const http::request& wanted, const std::shared_ptr<http::responder>&) {
        if (wanted.target == "/throw") {
            throw std::runtime_error("fault in a handler");
        }
    });
    for (const std::string target : {"/throw", "/drop"}) {
        const raw_connection client = server.connect();
        client.send("GET " + target + " HTTP/1.1\r\nConnection: close\r\n\r\n");
        const std::string answer = client.receive_all();
        cr_assert(contains(answer, " 500 ") && contains(answer, "\"run\":\"may_have_run\""));
    }
}

// Guards against header values that forge further headers.
Test(server, header_values_cannot_contain_line_breaks)
{
    fixture server([](const http::request&, const std::shared_ptr<http::responder>& answer) {
        answer->send({200, {{"X-Value", "a\r\nSet-Cookie: b"}, {"Content-Length", "1"}}, "body"});
    });
    const raw_connection client = server.connect();
    client.send(get("Connection: close\r\n"));
    const std::string answer = client.receive_all();
    cr_assert(!contains(answer, "\nSet-Cookie"));
    cr_assert(contains(answer, "Content-Length: 4\r\n") &&
              !contains(answer, "Content-Length: 1\r\n"));
}

// Guards against a connection that is closed without an answer, because one field is larger than
// the library can keep although the whole is within the limit.
Test(server, refuses_a_field_that_is_too_large)
{
    http::server_settings settings;
    settings.header_limit = 200000;
    const fixture server(echo, settings);
    const raw_connection client = server.connect();
    client.send("GET / HTTP/1.1\r\nHost: a\r\nA: " + std::string(100000, 'a') + "\r\n\r\n");
    const std::string answer = client.receive_all();
    cr_assert(answer.starts_with("HTTP/1.1 431"), "%s", answer.substr(0, 100).c_str());
}

// Guards against an upload that is collected in memory, is cut off at the limit for whole bodies,
// or is passed on as whole when the client went away in the middle.
Test(server, reads_large_uploads_in_pieces_with_backpressure)
{
    constexpr std::size_t total = 64U << 20U;
    std::promise<std::pair<http::request, std::shared_ptr<http::responder>>> taken;
    fixture server(
        [&taken](http::request wanted, std::shared_ptr<http::responder> answer) {
            taken.set_value({std::move(wanted), std::move(answer)});
        },
        {}, [](const http::request& wanted) { return wanted.method == "POST"; });
    const auto read = [](const http::request& wanted) {
        std::promise<http::body_piece> promise;
        wanted.reader->read(
            [&promise](http::body_piece piece) { promise.set_value(std::move(piece)); });
        auto future = promise.get_future();
        return wait_for(future);
    };
    raw_connection client = server.connect();
    client.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " +
                std::to_string(total) + "\r\n\r\n");
    cr_assert(contains(client.receive_until("\r\n\r\n"), "100 Continue"));
    auto handed = taken.get_future();
    auto [wanted, answer] = wait_for(handed);

    // The client must come to a halt long before the whole body is sent.
    std::size_t sent = 0;
    const std::string block(64U << 10U, 'u');
    for (int stalled = 0; stalled < 20;) {
        const std::size_t count = client.send_some(block);
        sent += count;
        stalled = count == 0 ? stalled + 1 : 0;
        std::this_thread::sleep_for(count == 0 ? 5ms : 0ms);
    }
    cr_assert_lt(sent, total / 2);
    std::jthread sender(
        [&client, rest = total - sent - 1] { client.send(std::string(rest, 'u')); });
    std::size_t received = 0;
    while (received < total - 1) {
        const http::body_piece piece = read(wanted);
        cr_assert(!piece.failed && !piece.end);
        received += piece.bytes.size();
    }
    sender.join();
    client.close();
    cr_assert(read(wanted).failed);
    cr_assert(read(wanted).failed);
}

// Guards against a graceful stop that cuts answers, waits for idle clients or takes new ones.
Test(server, drains_without_cutting_an_answer)
{
    std::promise<std::shared_ptr<http::responder>> taken;
    fixture server([&taken](const http::request&, std::shared_ptr<http::responder> answer) {
        taken.set_value(std::move(answer));
    });
    const raw_connection idle = server.connect();
    const raw_connection running = server.connect();
    running.send(get());
    auto handed = taken.get_future();
    const std::shared_ptr<http::responder> answer = wait_for(handed);
    std::promise<void> drained;
    server.served.drain([&drained] { drained.set_value(); });
    cr_assert(idle.receive_all().empty());
    auto done = drained.get_future();
    cr_assert(done.wait_for(0s) == std::future_status::timeout);
    cr_assert_throw(raw_connection::to(server.port), std::runtime_error);
    answer->send({200, {}, "whole"});
    const std::string text = running.receive_all();
    cr_assert(contains(text, "Connection: close") && text.ends_with("whole"));
    cr_assert(done.wait_for(10s) == std::future_status::ready);
}

// Guards against a flood of connections that uses up the process's descriptors, or gets no answer.
Test(server, refuses_connections_beyond_the_limit)
{
    http::server_settings settings;
    settings.connections_max = 1;
    fixture server(echo, settings);
    const raw_connection first = server.connect();
    first.send(get());
    cr_assert(contains(first.receive_until("\r\n\r\n"), "200 OK"));
    const raw_connection second = server.connect();
    second.send(get());
    cr_assert(contains(second.receive_all(), " 503 "));
    first.send(get());
    cr_assert(contains(first.receive_until("\r\n\r\n"), "200 OK"));
}

// Guards against a responder or a reader that is used after its server is gone.
Test(server, responders_may_outlive_the_server_and_its_loop)
{
    std::shared_ptr<http::responder> answer;
    std::shared_ptr<http::body_reader> reader;
    {
        std::promise<void> taken;
        fixture server(
            [&](http::request wanted, std::shared_ptr<http::responder> given) {
                answer = std::move(given);
                reader = std::move(wanted.reader);
                taken.set_value();
            },
            {}, [](const http::request&) { return true; });
        const raw_connection client = server.connect();
        client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n");
        cr_assert(taken.get_future().wait_for(10s) == std::future_status::ready);
    }
    answer->send({});
    cr_assert(answer->ended());
    bool failed = false;
    reader->read([&failed](const http::body_piece& piece) { failed = piece.failed; });
    cr_assert(failed);
}
