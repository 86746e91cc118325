/// Tests what a caller gets when a stream has begun, breaks off, and the next target fails.

#include "edge/edge_deployment.hpp"
#include "edge/raw_target.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace http = gooseberryfall::http;
namespace names = gooseberryfall::adapter::names;
namespace stand_ins = gooseberryfall::stand_ins;

namespace {

/// Whether the text consists of the first events of the complete stream and nothing else.
bool is_prefix_of_events(const std::string& text)
{
    const std::string complete = stand_ins::model_engine::complete_stream("/resumable/x", 10);
    return complete.starts_with(text) && (text.empty() || text.ends_with("\n\n"));
}

struct failing_answer {
    const char* name;
    /// Status line and headers besides those that make it the answer to the request.
    const char* head;
    bool has_own_headers;
    const char* body;
};

const std::vector<failing_answer> failing_answers{
    {"error with a length", "500 Internal Server Error\r\nContent-Length: 6\r\n", true, "failed"},
    {"error that ends with its connection", "500 Internal Server Error\r\n", true, "failed"},
    {"error as events", "500 Internal Server Error\r\nContent-Type: text/event-stream\r\n", true,
     "data: failed\n\n"},
    {"client error", "400 Bad Request\r\nContent-Length: 6\r\n", true, "failed"},
    {"error of a proxy", "502 Bad Gateway\r\nContent-Length: 6\r\n", false, "failed"},
    {"rejection", "503 Service Unavailable\r\nContent-Length: 6\r\n", true, "failed"},
    {"plain success", "200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n", true,
     "failed"},
    {"success without events", "200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 6\r\n",
     true, "failed"},
    {"unsigned stream", "200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n", false,
     ""},
    {"no answer in the protocol", "\r\n", false, "failed"},
};

} // namespace

// Guards against an error of the next target that a caller finds in the middle of its stream, and
// against a stream that ends as complete before its last event.
Test(resumed_streams, error_of_the_next_target_is_not_passed_on, .timeout = 240)
{
    for (const failing_answer& each : failing_answers) {
        edge_deployment deployment({.instances = 1, .engines = 1});
        deployment.wait_until_idle();
        deployment.engines[0]->truncate_after(3);
        const raw_target failing([&](const std::string& request_head) {
            const std::string own =
                each.has_own_headers ? raw_target::response_headers(request_head) : std::string();
            return "HTTP/1.1 " + std::string(each.head) + own + "\r\n" + each.body;
        });
        deployment.store.put(names::target_topic, "failing", failing.entry());
        cr_assert(deployment.wait_for_targets(2));
        int broken_off = 0;
        for (int number = 0; number < 8; ++number) {
            const auto response = deployment.stream(0, "r" + std::to_string(number));
            // Others were answered by the failing target alone.
            const bool began = response.head.status == 200 && response.body.starts_with("id: 0\n");
            if (!began) {
                continue;
            }
            cr_assert(is_prefix_of_events(response.body), "%s: %s", each.name,
                      response.body.c_str());
            cr_assert(response.outcome == http::call_outcome::connection_lost, "%s", each.name);
            ++broken_off;
        }
        cr_assert_gt(broken_off, 0, "%s: no stream has begun", each.name);
        cr_assert_gt(failing.request_count(), 0U, "%s", each.name);
    }
}
