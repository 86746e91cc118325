/// Tests how an instance handles targets that send bytes without end.

#include "edge/edge_deployment.hpp"
#include "edge/raw_target.hpp"
#include "kernel/kernel.hpp"
#include "platform/names.hpp"

// Included before Criterion, whose macros break Boost's headers.
#include <boost/json.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <future>
#include <string>
#include <vector>

namespace http = gooseberryfall::http;
namespace kernel = gooseberryfall::kernel;
namespace names = gooseberryfall::adapter::names;
namespace stand_ins = gooseberryfall::stand_ins;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint32_t slots = 64;

std::string begin_failure(const std::string& request_head)
{
    return "HTTP/1.1 500 Internal Server Error\r\n" + raw_target::response_headers(request_head) +
           "\r\n";
}

std::string begin_stream(const std::string& request_head)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
           raw_target::response_headers(request_head) + "\r\n";
}

std::string begin_plain(const std::string& request_head)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" +
           raw_target::response_headers(request_head) + "\r\n";
}

std::string begin_nothing(const std::string&)
{
    return {};
}

constexpr const char* interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

/// An endless response in each place that has no length of its own.
struct endless_case {
    const char* name;
    std::string (*begin)(const std::string& request_head);
    const char* repeated;
};

const std::vector<endless_case> endless_cases{
    {"interim responses", begin_nothing, interim_response},
    {"body of a failure", begin_failure, "#"},
    {"event without an empty line", begin_stream, "data: x\n"},
    {"event without a line break", begin_stream, "x"},
};

struct timed_response {
    http::call_result result;
    std::chrono::steady_clock::duration duration;
};

/// Sends requests at the same time and returns their responses.
std::vector<timed_response> send_requests(edge_deployment& deployment, const std::string& prefix,
                                          int count, bool resumable)
{
    std::vector<std::future<timed_response>> pending;
    pending.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        pending.push_back(std::async(std::launch::async, [&, number] {
            const auto begun = steady_clock::now();
            http::call_result result =
                deployment.stream(0, prefix + std::to_string(number), resumable);
            return timed_response{std::move(result), steady_clock::now() - begun};
        }));
    }
    std::vector<timed_response> responses;
    responses.reserve(pending.size());
    for (auto& each : pending) {
        responses.push_back(each.get());
    }
    return responses;
}

/// Samples the memory of this process, in which the instances run, until it is destroyed.
class memory_watch {
public:
    memory_watch()
        : first_(kernel::resident_memory_bytes().value()), peak_(first_),
          sampler_([this](const std::stop_token& stop) {
              while (!stop.stop_requested()) {
                  peak_ = std::max<std::uint64_t>(peak_, kernel::resident_memory_bytes().value());
                  std::this_thread::sleep_for(milliseconds(5));
              }
          })
    {
    }

    /// Stops and returns by how much the memory has grown at most.
    std::uint64_t growth()
    {
        sampler_.request_stop();
        sampler_.join();
        return peak_ - first_;
    }

private:
    std::uint64_t first_;
    std::uint64_t peak_;
    std::jthread sampler_;
};

} // namespace

// Guards against an instance that keeps a response without end and runs out of memory, which cuts
// the requests of all its other callers.
Test(endless_responses, take_no_memory_and_end_at_once, .timeout = 120)
{
    constexpr int concurrent = 48;
    constexpr std::uint64_t growth_max = 8U << 20U;
    edge_deployment deployment({.instances = 1, .engines = 1, .slots = slots});
    deployment.wait_until_idle();
    // Allocates what this many concurrent requests take in any case.
    send_requests(deployment, "warm", concurrent, false);
    deployment.store.put(names::target_topic, "engine-0",
                         deployment.engines[0]->target_entry(true));
    cr_assert(deployment.wait_for_targets(0));
    for (const endless_case& each : endless_cases) {
        const raw_target faulty(each.begin, each.repeated);
        deployment.store.put(names::target_topic, "faulty", faulty.entry());
        cr_assert(deployment.wait_for_targets(1));
        memory_watch memory;
        for (const timed_response& response :
             send_requests(deployment, each.name, concurrent, true)) {
            const bool answered = response.result.outcome == http::call_outcome::completed;
            cr_assert(answered && response.result.head.status >= 500, "%s: %u %s", each.name,
                      response.result.head.status, response.result.reason.c_str());
            cr_assert_lt(response.duration.count(),
                         steady_clock::duration(milliseconds(4000)).count(), "%s", each.name);
        }
        const std::uint64_t growth = memory.growth();
        cr_assert_gt(faulty.request_count(), 0U);
        cr_assert_lt(growth, growth_max, "%s: %llu bytes", each.name,
                     static_cast<unsigned long long>(growth));
        deployment.store.put(names::target_topic, "faulty", "");
        cr_assert(deployment.wait_for_targets(0));
    }
}

// Guards against requests that fail although a sound target could have served them after the one
// that sends without end.
Test(endless_responses, requests_go_on_at_a_sound_target, .timeout = 120)
{
    for (const endless_case& each : endless_cases) {
        edge_deployment deployment({.instances = 1, .engines = 1});
        deployment.wait_until_idle();
        const raw_target faulty(each.begin, each.repeated);
        deployment.store.put(names::target_topic, "faulty", faulty.entry());
        cr_assert(deployment.wait_for_targets(2));
        // More than the sound target has slots.
        for (const timed_response& response : send_requests(deployment, "r", 12, true)) {
            const http::call_result& result = response.result;
            cr_assert_eq(result.head.status, 200U, "%s: %u", each.name, result.head.status);
            cr_assert(result.body == stand_ins::model_engine::complete_stream("/resumable/x", 10),
                      "%s: %s", each.name, result.body.c_str());
        }
        cr_assert_gt(faulty.request_count(), 0U, "%s", each.name);
    }
}

// Guards against batch items that never end, or end as complete with a part of the bytes, at a
// target that sends without end.
Test(endless_responses, items_run_at_a_sound_target, .timeout = 240)
{
    std::vector<endless_case> cases = endless_cases;
    cases.push_back({"plain body", begin_plain, "#"});
    for (const endless_case& each : cases) {
        edge_deployment deployment({.instances = 1, .engines = 1});
        deployment.wait_until_idle();
        const raw_target faulty(each.begin, each.repeated);
        deployment.store.put(names::target_topic, "faulty", faulty.entry());
        cr_assert(deployment.wait_for_targets(2));
        cr_assert_eq(deployment.submit(0, "job", 20), 202U);
        const std::string body = deployment.wait_for_results(0, "job", 20);
        cr_assert_gt(faulty.request_count(), 0U, "%s", each.name);
        const json::array results = json::parse(body).at("results").as_array();
        cr_assert_eq(results.size(), 20U, "%s: %zu", each.name, results.size());
        for (const json::value& entry : results) {
            const std::string item(entry.at("id").as_string());
            const std::string path = "/notes/job/" + item.substr(item.rfind('-') + 1);
            cr_assert(std::string(entry.at("output").as_string()) ==
                          stand_ins::model_engine::complete_text(path, 10),
                      "%s", each.name);
        }
    }
}

// Guards against a large response that is lost because it exceeds what an instance buffers.
Test(endless_responses, large_plain_response_is_streamed, .timeout = 60)
{
    edge_deployment deployment({.instances = 1, .engines = 1});
    deployment.wait_until_idle();
    constexpr std::size_t body_bytes = 20U << 20U;
    const raw_target target([&](const std::string& request_head) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
               std::to_string(body_bytes) + "\r\n" + raw_target::response_headers(request_head) +
               "\r\n" + std::string(body_bytes, 'x');
    });
    deployment.store.put(names::target_topic, "large", target.entry());
    cr_assert(deployment.wait_for_targets(2));
    deployment.store.put(names::target_topic, "engine-0",
                         deployment.engines[0]->target_entry(true));
    cr_assert(deployment.wait_for_targets(1));
    http::event_loop loop("caller");
    http::client client(loop);
    http::client_request request;
    request.address = deployment.callers_address(0);
    request.method = "POST";
    request.target = "/fixed/x";
    request.headers = {{"Host", "proofs.example"},
                       {names::request_id, "r1"},
                       {names::time_limit, "5000"},
                       {"Authorization", "Bearer key-a"}};
    request.body = "prompt";
    request.body_limit = 2 * body_bytes;
    std::promise<http::call_result> ended;
    http::call_observer observer;
    observer.on_done = [&](http::call_result result) { ended.set_value(std::move(result)); };
    client.start(request, observer);
    const http::call_result result = ended.get_future().get();
    cr_assert(result.outcome == http::call_outcome::completed, "%s", result.reason.c_str());
    cr_assert(result.body == std::string(body_bytes, 'x'));
}
