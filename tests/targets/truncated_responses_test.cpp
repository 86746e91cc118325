#include "http/raw_socket.hpp"
#include "targets/single_dispatch.hpp"
#include "targets/targets.hpp"

#include <criterion/criterion.h>

#include <functional>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace core = gooseberryfall::core;
namespace http = gooseberryfall::http;
namespace targets = gooseberryfall::targets;

namespace {

constexpr core::request_id request_number = 3;

/// Records what a caller gets.
class recording_responder : public http::responder {
public:
    void send(http::response complete) override
    {
        body += complete.body;
        finished = true;
    }
    void start(http::response_head) override {}
    http::write_result write(std::string&& piece) override
    {
        body += std::exchange(piece, {});
        return http::write_result::buffered;
    }
    void when_writable(std::function<void()>) override {}
    void finish() override { finished = true; }
    void abort() override {}
    bool ended() const override { return finished; }
    void when_ended(std::function<void(bool)>) override {}

    std::string body;
    bool finished = false;
};

/// How a dispatch ended, and whether its caller got a complete response.
struct dispatch_result {
    core::dispatch_outcome outcome = core::dispatch_outcome::not_sent;
    bool caller_finished = false;
};

/// Sends a request or an item to a target that responds with this body of events, in one chunk or
/// with a length.
dispatch_result dispatch_to_target(std::variant<core::online_body, core::item_body> order_body,
                                   core::service_kind kind, const std::string& events, bool chunked)
{
    const raw_listener listener;
    auto target = std::async(std::launch::async, [&] {
        const raw_connection connection = listener.accept();
        const std::string request = connection.receive_until("\r\n\r\n");
        const std::string field = "X-Request-Id: ";
        const std::size_t begin = request.find(field);
        const std::string id_line = request.substr(begin, request.find("\r\n", begin) + 2 - begin);
        std::string response = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + id_line;
        if (chunked) {
            std::ostringstream chunk;
            chunk << std::hex << events.size() << "\r\n" << events << "\r\n0\r\n\r\n";
            response += "Transfer-Encoding: chunked\r\n\r\n" + chunk.str();
        }
        else {
            response += "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
        }
        connection.send(response);
        connection.receive_all();
    });
    const auto responder = std::make_shared<recording_responder>();
    targets::exchange_table exchanges;
    http::request received;
    received.method = "POST";
    received.target = "/studio/mix";
    exchanges.add(
        std::make_shared<targets::exchange>(request_number, std::move(received), responder));
    const auto reported = perform_dispatch(listener.port(), kind, std::move(order_body), exchanges);
    dispatch_result result;
    result.outcome = std::get<core::dispatch_finished>(reported.back()).outcome;
    result.caller_finished = responder->finished;
    return result;
}

const std::string token_event = "data: {\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n";
const std::string end_mark = "data: [DONE]\n\n";

} // namespace

// Guards against a stream of a service that isn't a model engine, whose streams have no end mark,
// and that reaches the caller as complete although its target ended it inside an event.
Test(truncated_responses, stream_of_a_plain_service_never_looks_complete)
{
    for (const bool chunked : {false, true}) {
        const std::string whole = "data: a\n\ndata: b\n\n";
        for (std::size_t size = 1; size <= whole.size(); ++size) {
            const bool is_whole = size == whole.size() || size == whole.size() / 2;
            const auto result =
                dispatch_to_target(core::online_body{request_number}, core::service_kind::plain,
                                   whole.substr(0, size), chunked);
            cr_assert(result.caller_finished == is_whole, "%zu bytes", size);
            cr_assert(result.outcome == (is_whole ? core::dispatch_outcome::completed
                                                  : core::dispatch_outcome::connection_lost),
                      "%zu bytes", size);
        }
    }
}

// Guards against a stream of an engine that is passed on, or stored as an item's result, although
// its end mark is cut or followed by a part of another event.
Test(truncated_responses, stream_of_an_engine_ends_with_its_whole_end_mark)
{
    const std::string whole = token_event + end_mark;
    const std::vector<std::string> truncated{token_event, token_event.substr(0, 9),
                                             whole.substr(0, whole.size() - 1),
                                             whole.substr(0, whole.size() - 3), whole + "data: {"};
    for (const bool chunked : {false, true}) {
        for (const std::string& events : truncated) {
            const auto online = dispatch_to_target(core::online_body{request_number},
                                                   core::service_kind::engine, events, chunked);
            cr_assert(online.outcome == core::dispatch_outcome::connection_lost, "%s",
                      events.c_str());
            cr_assert_not(online.caller_finished, "%s", events.c_str());
            const auto item =
                dispatch_to_target(core::item_body(), core::service_kind::engine, events, chunked);
            cr_assert(item.outcome == core::dispatch_outcome::connection_lost, "%s",
                      events.c_str());
        }
        const auto online = dispatch_to_target(core::online_body{request_number},
                                               core::service_kind::engine, whole, chunked);
        cr_assert(online.outcome == core::dispatch_outcome::completed && online.caller_finished);
        const auto item =
            dispatch_to_target(core::item_body(), core::service_kind::engine, whole, chunked);
        cr_assert(item.outcome == core::dispatch_outcome::completed);
    }
}
