#include "http/raw_socket.hpp"
#include "targets/single_dispatch.hpp"
#include "targets/targets.hpp"

#include <criterion/criterion.h>

#include <future>
#include <string>

namespace core = gooseberryfall::core;
namespace http = gooseberryfall::http;
namespace targets = gooseberryfall::targets;

namespace {

/// Sends one item to a target that answers with this head, in which `ID` stands for the request's
/// id, and returns how many times the decisions were told that the target leaves.
std::size_t leaving_told(const std::string& head)
{
    const raw_listener listener;
    auto target = std::async(std::launch::async, [&] {
        const raw_connection connection = listener.accept();
        const std::string request = connection.receive_until("\r\n\r\n");
        const std::string field = "X-Request-Id: ";
        const std::size_t begin = request.find(field) + field.size();
        const std::string id = request.substr(begin, request.find('\r', begin) - begin);
        std::string answer = head;
        if (const std::size_t place = answer.find("ID"); place != std::string::npos) {
            answer.replace(place, 2, id);
        }
        connection.send(answer);
        connection.receive_all();
    });
    targets::exchange_table exchanges;
    const auto events =
        perform_dispatch(listener.port(), core::service_kind::engine, core::item_body(), exchanges);
    std::size_t told = 0;
    for (const core::event& event : events) {
        told += std::holds_alternative<core::target_said_leaving>(event) ? 1U : 0U;
    }
    return told;
}

constexpr const char* answer_of = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                  "Content-Length: 2\r\nConnection: close\r\n";

} // namespace

// Guards against new work for a target that says in an answer, not only in a refusal, that it
// leaves.
Test(dispatcher, answer_tells_that_its_target_leaves)
{
    cr_assert_eq(
        leaving_told(std::string(answer_of) + "X-Request-Id: ID\r\nLeaving: true\r\n\r\n{}"), 1U);
    cr_assert_eq(leaving_told(std::string(answer_of) + "X-Request-Id: ID\r\n\r\n{}"), 0U);
}

// Guards against a faulty target that takes another one away by the answer to another request.
Test(dispatcher, leaving_in_an_answer_to_another_request_is_ignored)
{
    cr_assert_eq(
        leaving_told(std::string(answer_of) + "X-Request-Id: other\r\nLeaving: true\r\n\r\n{}"),
        0U);
    cr_assert_eq(leaving_told(std::string(answer_of) + "Leaving: true\r\n\r\n{}"), 0U);
}
