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
                     std::function<bool(const http::request&)> streams_body = {})
        : http_server(loop, std::move(settings), {std::move(handle), std::move(streams_body)}),
          port(http_server.start().value())
    {
    }

    raw_connection connect(int receive_buffer = 0) const
    {
        return raw_connection::connect_to(port, receive_buffer);
    }

    http::event_loop loop{"test-server"};
    http::server http_server;
    std::uint16_t port;
};

/// Responds with the request's body.
void echo(http::request incoming, const std::shared_ptr<http::responder>& response)
{
    response->send({200, {}, std::move(incoming.body)});
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string get_request(const std::string& extra_headers = "")
{
    return "GET / HTTP/1.1\r\nHost: x\r\n" + extra_headers + "\r\n";
}

template <class T>
T wait_for(std::future<T>& future)
{
    cr_assert(future.wait_for(10s) == std::future_status::ready);
    return future.get();
}

} // namespace

// Guards against invalid input that crashes the process, is accepted as a request, smuggles a
// second request, or gets an error response in another format.
Test(server, rejects_invalid_requests_and_keeps_serving)
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
        [&handled](http::request incoming, const std::shared_ptr<http::responder>& response) {
            ++handled;
            echo(std::move(incoming), response);
        },
        settings);
    for (const auto& [status, request_bytes] : table) {
        const raw_connection client = server.connect();
        client.send(request_bytes);
        const std::string response = client.receive_all();
        cr_assert(response.starts_with("HTTP/1.1 " + status), "%s... for %s",
                  response.substr(0, 40).c_str(), request_bytes.substr(0, 80).c_str());
        cr_assert(contains(response, "Connection: close\r\n") &&
                  contains(response, "Request-Id: id-1"));
        cr_assert(contains(response, "Run-Verdict: not_run\r\n"));
        cr_assert(contains(response, "{\"error\":{\"code\":\"") &&
                  contains(response, "\"run\":\"not_run\"}}"));
    }
    cr_assert_eq(handled.load(), 0);
    cr_assert_eq(server.http_server.counts().bad_requests, table.size());
    const raw_connection client = server.connect();
    client.send(post + "Content-Length: 1000\r\n\r\n" + std::string(1000, 'a'));
    cr_assert(contains(client.receive_until(std::string(1000, 'a')), "200 OK"));
}

// Guards against a crash of the process on random input.
Test(server, survives_random_input)
{
    fixture server(echo);
    std::uint32_t state = 20240501;
    for (int round = 0; round < 300; ++round) {
        std::string random_bytes =
            round % 2 == 0 ? get_request("Transfer-Encoding: chunked\r\n") : "GET / HTTP/1.1\r\n";
        for (int index = 0; index < 200; ++index) {
            state = state * 1664525U + 1013904223U;
            random_bytes += static_cast<char>(state >> 24U);
        }
        const raw_connection client = server.connect();
        client.send(random_bytes);
    }
    const raw_connection client = server.connect();
    client.send(get_request());
    cr_assert(contains(client.receive_until("\r\n\r\n"), "200 OK"));
}

// Guards against responses that are reordered or lost when requests arrive in one packet, split at
// any position, or with a chunked body.
Test(server, pipelined_requests_are_served_in_order_for_any_split)
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
        const std::string response = client.receive_all();
        const auto one = response.find("one");
        const auto two = response.find("two", one);
        cr_assert(two != std::string::npos && response.find("three", two) != std::string::npos);
    }
}

// Guards against clients that occupy a connection by sending or reading slowly.
Test(server, disconnects_slow_clients)
{
    std::promise<bool> ended;
    http::server_settings settings;
    settings.read_timeout = 100ms;
    settings.write_timeout = 200ms;
    settings.idle_timeout = 100ms;
    fixture server(
        [&ended](const http::request&, const std::shared_ptr<http::responder>& response) {
            response->when_ended([&ended](bool complete) { ended.set_value(complete); });
            response->send({200, {}, std::string(32U << 20U, 'a')});
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
    unread.send(get_request());
    auto complete = ended.get_future();
    cr_assert(!wait_for(complete));
}

// Guards against work that continues for a client that disconnected while no byte was being
// written.
Test(server, detects_a_disconnect_while_no_response_is_written)
{
    for (const bool reset : {false, true}) {
        std::promise<std::shared_ptr<http::responder>> request_promise;
        fixture server(
            [&request_promise](const http::request&, std::shared_ptr<http::responder> response) {
                request_promise.set_value(std::move(response));
            });
        raw_connection client = server.connect();
        client.send(get_request());
        auto request_future = request_promise.get_future();
        const std::shared_ptr<http::responder> response = wait_for(request_future);
        std::promise<bool> ended;
        response->when_ended([&ended](bool complete) { ended.set_value(complete); });
        cr_assert(!response->ended());
        if (reset) {
            client.reset();
        }
        else {
            client.close();
        }
        auto complete = ended.get_future();
        cr_assert(!wait_for(complete));
        response->start({});
        cr_assert(response->write("late") == http::write_result::closed);
        response->finish();
    }
}

// Guards against a stream that loses, reorders or buffers without limit the bytes that a slow
// client does not read, and against a writer that is never notified of free buffer space.
Test(server, streams_with_a_bounded_buffer)
{
    constexpr std::size_t total = 8U << 20U;
    http::server_settings settings;
    settings.response_buffer_bytes = 64U << 10U;
    std::atomic<int> buffer_full_count{0};
    std::promise<std::shared_ptr<http::responder>> request_promise;
    fixture server(
        [&request_promise](const http::request&, std::shared_ptr<http::responder> response) {
            request_promise.set_value(std::move(response));
        },
        settings);
    const raw_connection client = server.connect(4096);
    client.send(get_request());
    auto request_future = request_promise.get_future();
    const std::shared_ptr<http::responder> response = wait_for(request_future);
    std::jthread producer([&buffer_full_count, response] {
        response->start({200, {{"Content-Type", "text/plain"}}});
        for (std::size_t sent = 0; sent < total;) {
            std::string piece(1024, static_cast<char>('a' + (sent >> 10U) % 26));
            const http::write_result result = response->write(std::move(piece));
            cr_assert(result != http::write_result::closed);
            if (result == http::write_result::buffer_full) {
                ++buffer_full_count;
                std::promise<void> room;
                response->when_writable([&room] { room.set_value(); });
                room.get_future().wait();
                continue;
            }
            sent += 1024;
        }
        response->finish();
    });
    while (buffer_full_count == 0) {
        std::this_thread::yield();
    }
    std::string text = client.receive_until("0\r\n\r\n");
    cr_assert(text.ends_with("\r\n0\r\n\r\n"));
    cr_assert_gt(text.size(), total);
    cr_assert(contains(text, "Transfer-Encoding: chunked\r\n"));
    // The connection remains open for another request.
    cr_assert_eq(server.http_server.connections(), 1U);
}

// Guards against a truncated response that looks complete, and against the loss of the pieces that
// were written before the abort.
Test(server, aborted_or_dropped_stream_has_no_last_chunk)
{
    for (const bool drop : {false, true}) {
        fixture server(
            [drop](const http::request&, const std::shared_ptr<http::responder>& response) {
                response->start({});
                response->write("data: {\"error\": {}}\n\n");
                if (!drop) {
                    response->abort();
                }
            });
        const raw_connection client = server.connect();
        client.send(get_request());
        const std::string text = client.receive_all();
        cr_assert(text.ends_with("data: {\"error\": {}}\n\n\r\n"));
    }
}

// Guards against a client that waits forever because the handler threw an exception or dropped the
// responder.
Test(server, request_without_a_response_gets_500)
{
    fixture server([](const http::request& incoming, const std::shared_ptr<http::responder>&) {
        if (incoming.target == "/throw") {
            throw std::runtime_error("fault in a handler");
        }
    });
    for (const std::string target : {"/throw", "/drop"}) {
        const raw_connection client = server.connect();
        client.send("GET " + target + " HTTP/1.1\r\nConnection: close\r\n\r\n");
        const std::string response = client.receive_all();
        cr_assert(contains(response, " 500 ") && contains(response, "\"run\":\"may_have_run\""));
    }
}

// Guards against header injection by line breaks in header values.
Test(server, header_values_cannot_contain_line_breaks)
{
    fixture server([](const http::request&, const std::shared_ptr<http::responder>& response) {
        response->send({200, {{"X-Value", "a\r\nSet-Cookie: b"}, {"Content-Length", "1"}}, "body"});
    });
    const raw_connection client = server.connect();
    client.send(get_request("Connection: close\r\n"));
    const std::string response = client.receive_all();
    cr_assert(!contains(response, "\nSet-Cookie"));
    cr_assert(contains(response, "Content-Length: 4\r\n") &&
              !contains(response, "Content-Length: 1\r\n"));
}

// Guards against a connection that is closed without a response because one field exceeds the
// maximum of the library, although the header is within the configured limit.
Test(server, rejects_an_oversized_header_field)
{
    http::server_settings settings;
    settings.header_limit = 200000;
    const fixture server(echo, settings);
    const raw_connection client = server.connect();
    client.send("GET / HTTP/1.1\r\nHost: a\r\nA: " + std::string(100000, 'a') + "\r\n\r\n");
    const std::string response = client.receive_all();
    cr_assert(response.starts_with("HTTP/1.1 431"), "%s", response.substr(0, 100).c_str());
}

// Guards against an upload that is collected in memory, is truncated at the limit for bodies that
// are not read in pieces, or is reported as complete when the client disconnected before its end.
Test(server, reads_large_uploads_in_pieces_with_backpressure)
{
    constexpr std::size_t total = 64U << 20U;
    std::promise<std::pair<http::request, std::shared_ptr<http::responder>>> request_promise;
    fixture server(
        [&request_promise](http::request incoming, std::shared_ptr<http::responder> response) {
            request_promise.set_value({std::move(incoming), std::move(response)});
        },
        {}, [](const http::request& incoming) { return incoming.method == "POST"; });
    const auto read = [](const http::request& incoming) {
        std::promise<http::body_piece> promise;
        incoming.reader->read(
            [&promise](http::body_piece piece) { promise.set_value(std::move(piece)); });
        auto future = promise.get_future();
        return wait_for(future);
    };
    raw_connection client = server.connect();
    client.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " +
                std::to_string(total) + "\r\n\r\n");
    cr_assert(contains(client.receive_until("\r\n\r\n"), "100 Continue"));
    auto request_future = request_promise.get_future();
    auto [incoming, response] = wait_for(request_future);

    // Backpressure must stop the client well before the complete body is sent.
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
        const http::body_piece piece = read(incoming);
        cr_assert(!piece.failed && !piece.end);
        received += piece.bytes.size();
    }
    sender.join();
    client.close();
    cr_assert(read(incoming).failed);
    cr_assert(read(incoming).failed);
}

// Guards against a graceful stop that truncates responses, waits for idle clients or accepts new
// connections.
Test(server, drain_completes_the_response_in_progress)
{
    std::promise<std::shared_ptr<http::responder>> request_promise;
    fixture server(
        [&request_promise](const http::request&, std::shared_ptr<http::responder> response) {
            request_promise.set_value(std::move(response));
        });
    const raw_connection idle = server.connect();
    const raw_connection running = server.connect();
    running.send(get_request());
    auto request_future = request_promise.get_future();
    const std::shared_ptr<http::responder> response = wait_for(request_future);
    std::promise<void> drained;
    server.http_server.drain([&drained] { drained.set_value(); });
    cr_assert(idle.receive_all().empty());
    auto done = drained.get_future();
    cr_assert(done.wait_for(0s) == std::future_status::timeout);
    cr_assert_throw(raw_connection::connect_to(server.port), std::runtime_error);
    response->send({200, {}, "whole"});
    const std::string text = running.receive_all();
    cr_assert(contains(text, "Connection: close") && text.ends_with("whole"));
    cr_assert(done.wait_for(10s) == std::future_status::ready);
}

// Guards against a flood of connections that exhausts the file descriptors of the process or gets
// no response.
Test(server, rejects_connections_beyond_the_limit)
{
    http::server_settings settings;
    settings.connections_max = 1;
    fixture server(echo, settings);
    const raw_connection first = server.connect();
    first.send(get_request());
    cr_assert(contains(first.receive_until("\r\n\r\n"), "200 OK"));
    const raw_connection second = server.connect();
    second.send(get_request());
    cr_assert(contains(second.receive_all(), " 503 "));
    first.send(get_request());
    cr_assert(contains(first.receive_until("\r\n\r\n"), "200 OK"));
}

// Guards against a use after free when a responder or a body reader is used after its server was
// destroyed.
Test(server, responders_and_readers_may_outlive_the_server_and_its_loop)
{
    std::shared_ptr<http::responder> response;
    std::shared_ptr<http::body_reader> reader;
    {
        std::promise<void> request_promise;
        fixture server(
            [&](http::request incoming, std::shared_ptr<http::responder> new_responder) {
                response = std::move(new_responder);
                reader = std::move(incoming.reader);
                request_promise.set_value();
            },
            {}, [](const http::request&) { return true; });
        const raw_connection client = server.connect();
        client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n");
        cr_assert(request_promise.get_future().wait_for(10s) == std::future_status::ready);
    }
    response->send({});
    cr_assert(response->ended());
    bool failed = false;
    reader->read([&failed](const http::body_piece& piece) { failed = piece.failed; });
    cr_assert(failed);
}
