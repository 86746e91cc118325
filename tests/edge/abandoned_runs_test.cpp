/// Tests that a run which goes on at another target has ended at the one before.

#include "edge/edge_deployment.hpp"
#include "edge/raw_server.hpp"
#include "platform/names.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace names = gooseberryfall::adapter::names;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Time that a target may still work on a run after it went on elsewhere.
constexpr milliseconds overlap_max{400};
constexpr int slots = 8;

/// A complete response to another request, after which the connection stays open.
std::string foreign_response()
{
    return std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n") +
           names::request_id + ": another\r\n" + names::signature +
           ": s\r\nContent-Length: 19\r\n\r\nid: 0\ndata: other\n\n";
}

std::string no_response()
{
    return {};
}

/// Work on a request at a target.
struct work {
    std::string request;
    steady_clock::time_point begun_at;
    /// Unset while the target still works.
    std::optional<steady_clock::time_point> ended_at;
};

/// A target that works on the first request of each connection until the connection is reset. It
/// takes the end of the caller's sending side for a caller that still reads. Thread-safe.
class tenacious_target {
public:
    explicit tenacious_target(std::string first_bytes)
        : first_bytes_(std::move(first_bytes)),
          server_([this](const raw_connection& connection) { serve(connection); })
    {
    }

    /// Entry of this target in the store.
    std::string entry() const { return server_.target_entry(slots); }

    std::vector<work> all_work() const
    {
        const std::lock_guard lock(mutex_);
        return work_;
    }

private:
    void serve(const raw_connection& connection)
    {
        const std::string id_line =
            raw_server::request_id_line(connection.receive_until("\r\n\r\n"));
        if (id_line.empty()) {
            return;
        }
        std::size_t index = 0;
        {
            const std::lock_guard lock(mutex_);
            index = work_.size();
            work_.push_back(
                {id_line.substr(id_line.find(' ') + 1), steady_clock::now(), std::nullopt});
        }
        connection.send(first_bytes_);
        while (!server_.is_stopping() && !connection.is_reset()) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        const std::lock_guard lock(mutex_);
        work_[index].ended_at = steady_clock::now();
    }

    std::string first_bytes_;
    mutable std::mutex mutex_;
    std::vector<work> work_;
    raw_server server_;
};

/// A target that rejects the first request on each connection, and on the next one repeats that
/// response before it works. Thread-safe.
class repeating_target {
public:
    repeating_target() : server_([this](const raw_connection& connection) { serve(connection); }) {}

    /// Entry of this target in the store.
    std::string entry() const { return server_.target_entry(slots); }

    /// Number of requests on which it has worked after the repeated response.
    int misled_count() const { return misled_; }
    int rejected_count() const { return rejected_; }

private:
    void serve(const raw_connection& connection)
    {
        const std::string id_line =
            raw_server::request_id_line(connection.receive_until("\r\n\r\n"));
        if (id_line.empty()) {
            return;
        }
        const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\n" + id_line + "\r\n" +
                                      names::not_run + ": 1\r\nContent-Length: 0\r\n\r\n";
        ++rejected_;
        connection.send(rejection);
        if (connection.receive_until("\r\n\r\n").empty()) {
            return;
        }
        ++misled_;
        connection.send(rejection);
    }

    std::atomic<int> rejected_{0};
    std::atomic<int> misled_{0};
    raw_server server_;
};

/// Work of all targets on a request, in the order in which it began.
std::vector<work> work_on(const std::list<tenacious_target>& targets, const std::string& request)
{
    std::vector<work> result;
    for (const tenacious_target& target : targets) {
        for (const work& each : target.all_work()) {
            if (each.request == request) {
                result.push_back(each);
            }
        }
    }
    std::sort(result.begin(), result.end(),
              [](const work& left, const work& right) { return left.begun_at < right.begun_at; });
    return result;
}

/// A deployment whose only targets are tenacious ones.
struct fixture {
    edge_deployment deployment{{.instances = 1, .engines = 1}};
    std::list<tenacious_target> targets;

    explicit fixture(const std::string& first_bytes)
    {
        deployment.wait_until_idle();
        deployment.store.put(names::target_topic, "engine-0",
                             deployment.engines[0]->target_entry(true));
        cr_assert(deployment.wait_for_targets(0));
        for (int number = 0; number < 3; ++number) {
            targets.emplace_back(first_bytes);
            deployment.store.put(names::target_topic, "target-" + std::to_string(number),
                                 targets.back().entry());
        }
        cr_assert(deployment.wait_for_targets(3));
    }

    void expect_no_overlap(const std::string& request) const
    {
        cr_assert(wait_until([&] { return work_on(targets, request).size() >= 2; }));
        std::this_thread::sleep_for(overlap_max);
        const std::vector<work> runs = work_on(targets, request);
        for (std::size_t index = 1; index < runs.size(); ++index) {
            const work& earlier = runs[index - 1];
            if (runs[index].begun_at + overlap_max > steady_clock::now()) {
                break;
            }
            cr_assert(earlier.ended_at.has_value(), "run %zu goes on", index);
            cr_assert(*earlier.ended_at < runs[index].begun_at + overlap_max,
                      "run %zu goes on too long", index);
        }
    }
};

} // namespace

// Guards against a target that goes on working on a request that was sent to another one since no
// response came.
Test(abandoned_runs, silent_target_is_told_before_the_request_goes_on, .timeout = 60)
{
    fixture test(no_response());
    const auto response =
        std::async(std::launch::async, [&] { return test.deployment.stream(0, "r1"); });
    test.expect_no_overlap("r1");
}

// Guards against a target that goes on working on a request that was sent to another one since the
// response belonged to a third request.
Test(abandoned_runs, target_with_a_foreign_response_is_told, .timeout = 60)
{
    fixture test(foreign_response());
    const auto response =
        std::async(std::launch::async, [&] { return test.deployment.stream(0, "r1"); });
    test.expect_no_overlap("r1");
}

// Guards against an item that runs at two targets: a complete response to another request looked
// like the end of the run, and its connection was kept.
Test(abandoned_runs, target_with_a_foreign_response_to_an_item_is_told, .timeout = 60)
{
    fixture test(foreign_response());
    cr_assert_eq(test.deployment.submit(0, "job", 1), 202U);
    cr_assert(wait_until([&] { return !work_on(test.targets, "job-0").empty(); }));
    std::this_thread::sleep_for(overlap_max);
    cr_assert(work_on(test.targets, "job-0").front().ended_at.has_value());
}

// Guards against an item that runs at two targets since the first one was silent.
Test(abandoned_runs, silent_target_is_told_before_the_item_goes_on, .timeout = 60)
{
    fixture test(no_response());
    cr_assert_eq(test.deployment.submit(0, "job", 1), 202U);
    test.expect_no_overlap("job-0");
}

// Guards against an item that goes on elsewhere while its target works on it, since a late extra
// rejection of its earlier run, on the same connection, passed for that of the present one.
Test(abandoned_runs, repeated_rejection_of_an_item_is_not_taken_for_the_next_one, .timeout = 60)
{
    const repeating_target target;
    edge_deployment deployment({.instances = 1, .engines = 1});
    deployment.wait_until_idle();
    deployment.store.put(names::target_topic, "engine-0",
                         deployment.engines[0]->target_entry(true));
    cr_assert(deployment.wait_for_targets(0));
    deployment.store.put(names::target_topic, "repeating", target.entry());
    cr_assert(deployment.wait_for_targets(1));
    cr_assert_eq(deployment.submit(0, "job", 1), 202U);
    cr_assert(wait_until([&] { return target.rejected_count() + target.misled_count() >= 3; }));
    cr_assert_eq(target.misled_count(), 0);
}
