#include "kernel/kernel.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kernel = gooseberryfall::kernel;
using namespace std::chrono_literals;

namespace {

/// Appends `+name` on start and `-name` on stop to a shared list. Fails to start if `fails` is set.
class recording_service : public kernel::service {
public:
    recording_service(std::string name, std::vector<std::string>& events, bool fails = false)
        : name_(std::move(name)), events_(events), fails_(fails)
    {
    }

    tl::expected<void, std::string> start(kernel::service_registry& /*registry*/) override
    {
        if (fails_) {
            return tl::make_unexpected(std::string("no port"));
        }
        events_.push_back("+" + name_);
        return {};
    }
    void stop() override { events_.push_back("-" + name_); }

private:
    std::string name_;
    std::vector<std::string>& events_;
    bool fails_;
};

void add_recording(kernel::service_registry& registry, std::vector<std::string>& events,
                   const std::string& name, const std::vector<std::string>& dependencies,
                   bool fails = false)
{
    registry.add(name, dependencies, std::make_unique<recording_service>(name, events, fails));
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a service that starts before, or stops after, one of its dependencies.
Test(service_registry, starts_in_dependency_order_and_stops_in_reverse)
{
    std::vector<std::string> events;
    kernel::service_registry registry;
    add_recording(registry, events, "callers", {"decisions", "targets"});
    add_recording(registry, events, "targets", {"decisions"});
    add_recording(registry, events, "decisions", {});
    cr_assert(registry.start_all().has_value());
    cr_assert(registry.find<recording_service>("targets") != nullptr);
    cr_assert(registry.find<recording_service>("unknown") == nullptr);
    registry.stop_all();
    const std::vector<std::string> expected{"+decisions", "+targets", "+callers",
                                            "-callers",   "-targets", "-decisions"};
    cr_assert(events == expected);
}

// Guards against services that keep running after a service that depends on them failed to start.
Test(service_registry, failed_start_stops_started_services)
{
    std::vector<std::string> events;
    kernel::service_registry registry;
    add_recording(registry, events, "first", {});
    add_recording(registry, events, "second", {"first"}, true);
    const auto result = registry.start_all();
    cr_assert(!result.has_value());
    cr_assert(result.error().service == "second" && result.error().reason == "no port");
    cr_assert((events == std::vector<std::string>{"+first", "-first"}));
}

// Guards against endless recursion on circular dependencies, and against a start that ignores an
// unregistered dependency.
Test(service_registry, start_fails_on_circular_and_unregistered_dependencies)
{
    std::vector<std::string> events;
    kernel::service_registry circular;
    add_recording(circular, events, "a", {"b"});
    add_recording(circular, events, "b", {"a"});
    cr_assert(!circular.start_all().has_value());
    kernel::service_registry unknown;
    add_recording(unknown, events, "a", {"missing"});
    cr_assert(!unknown.start_all().has_value());
    cr_assert(events.empty());
}

// Guards against loss, duplication or reordering of a producer's entries, and against a rejected
// push that moves from its argument.
Test(bounded_ring, keeps_all_entries_of_concurrent_producers_in_order)
{
    constexpr std::uint32_t producers = 4;
    constexpr std::uint32_t count = 20000;
    kernel::bounded_ring<std::unique_ptr<std::pair<std::uint32_t, std::uint32_t>>> ring(64);
    std::vector<std::jthread> threads;
    threads.reserve(producers);
    for (std::uint32_t producer = 0; producer < producers; ++producer) {
        threads.emplace_back([&ring, producer] {
            for (std::uint32_t number = 0; number < count; ++number) {
                auto value =
                    std::make_unique<std::pair<std::uint32_t, std::uint32_t>>(producer, number);
                while (!ring.try_push(std::move(value))) {
                    std::this_thread::yield();
                }
            }
        });
    }
    std::vector<std::uint32_t> next_numbers(producers, 0);
    for (std::uint32_t popped = 0; popped < producers * count; ++popped) {
        const auto value = ring.pop(10s);
        cr_assert(value.has_value() && *value != nullptr);
        cr_assert_eq((*value)->second, next_numbers.at((*value)->first));
        ++next_numbers.at((*value)->first);
    }
    cr_assert(ring.empty());
}

// Guards against a ring that grows or blocks the producer when it is full.
Test(bounded_ring, rejects_push_when_full_or_closed)
{
    kernel::bounded_ring<std::string> ring(2);
    cr_assert(ring.try_push("a") && ring.try_push("b"));
    std::string rejected_value = "c";
    cr_assert(!ring.try_push(std::move(rejected_value)));
    // NOLINTNEXTLINE(bugprone-use-after-move): a rejected push leaves the value unchanged.
    cr_assert(rejected_value == "c");
    ring.close();
    cr_assert(ring.try_pop().value() == "a");
    cr_assert(!ring.try_push("d"));
    cr_assert(ring.pop(1h).value() == "b");
    cr_assert(!ring.pop(1h).has_value());
}

// Guards against a lost wake-up: each push into an empty ring must call the notifier. A pop from an
// empty ring must return after its timeout.
Test(bounded_ring, notifies_the_consumer_for_each_push_into_an_empty_ring)
{
    kernel::bounded_ring<int> ring(8);
    int notification_count = 0;
    ring.set_notifier([&notification_count] { ++notification_count; });
    ring.try_push(1);
    ring.try_push(2);
    cr_assert_eq(notification_count, 1);
    std::vector<int> popped;
    cr_assert_eq(ring.pop_into(popped, 8), 2U);
    ring.try_push(3);
    cr_assert_eq(notification_count, 2);
    cr_assert(!kernel::bounded_ring<int>(1).pop(1ms).has_value());
}

// Guards against log injection: values or names that add a line or a field.
Test(logger, escapes_values_and_names)
{
    const std::string line =
        kernel::format_log_line("T", kernel::log_level::info, "key revoked",
                                {{"team", "a\"b\\c\nlevel=error\x01"}, {"bad key", "v"}});
    cr_assert_str_eq(line.c_str(), "time=T level=info event=key_revoked "
                                   "team=\"a\\\"b\\\\c\\nlevel=error\\u0001\" bad_key=\"v\"");
}

// Guards against lines that are lost on destruction, written by another logger's sink, or written
// although they are below the level.
Test(logger, writes_one_line_per_event)
{
    std::ostringstream info_output;
    std::ostringstream error_output;
    {
        kernel::logger info_logger({kernel::log_level::info, &info_output});
        kernel::logger error_logger({kernel::log_level::error, &error_output});
        for (int number = 0; number < 100; ++number) {
            info_logger.write(kernel::log_level::info, "one", {{"number", std::to_string(number)}});
            error_logger.write(kernel::log_level::warning, "two");
        }
    }
    const std::string text = info_output.str();
    cr_assert_eq(std::count(text.begin(), text.end(), '\n'), 100);
    cr_assert(contains(text, "level=info event=one number=\"99\"\n"));
    cr_assert(!contains(text, "event=two"));
    cr_assert(error_output.str().empty());
}

// Guards against a new series per increment, and against increments of another value's series.
Test(metrics, counter_family_has_one_series_per_label_value)
{
    kernel::metrics all_metrics;
    kernel::counter_family runs(all_metrics, "runs", "Runs.", "outcome");
    runs.increment("done");
    runs.increment("failed");
    runs.increment("done");
    const std::string text = all_metrics.exposition();
    cr_assert(contains(text, "runs{outcome=\"done\"} 2"));
    cr_assert(contains(text, "runs{outcome=\"failed\"} 1"));
}

// Guards against buckets that are not cumulative or exclude their upper bound, and against labels
// that are not escaped.
Test(metrics, exposition_has_cumulative_buckets_and_escaped_labels)
{
    kernel::metrics all_metrics;
    all_metrics.add_counter("requests_total", "Requests.", {{"team", "a\"b"}}).add(3);
    cr_assert(&all_metrics.add_counter("requests_total", "Requests.", {{"team", "a\"b"}}) ==
              &all_metrics.add_counter("requests_total", "", {{"team", "a\"b"}}));
    all_metrics.add_gauge("queued", "Queued.").set(1.5);
    kernel::latency_histogram& wait_time = all_metrics.add_histogram("wait_seconds", "Wait.");
    for (const auto value : {1000us, 1001us, 90000000us}) {
        wait_time.record(value);
    }
    const std::string text = all_metrics.exposition();
    cr_assert(contains(text, "# HELP queued Queued.\n# TYPE queued gauge\nqueued 1.5\n"));
    cr_assert(contains(text, "requests_total{team=\"a\\\"b\"} 3\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"0.0005\"} 0\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"0.001\"} 1\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"60\"} 2\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"+Inf\"} 3\n"));
    cr_assert(contains(text, "wait_seconds_sum 90.002001\nwait_seconds_count 3\n"));
}

// Guards against lost updates when several threads record at the same time.
Test(metrics, concurrent_records_are_all_counted)
{
    kernel::metrics all_metrics;
    kernel::latency_histogram& wait_time = all_metrics.add_histogram("wait_seconds", "Wait.");
    {
        std::vector<std::jthread> threads;
        threads.reserve(4);
        for (int thread = 0; thread < 4; ++thread) {
            threads.emplace_back([&wait_time] {
                for (int number = 0; number < 50000; ++number) {
                    wait_time.record(1ms);
                }
            });
        }
    }
    cr_assert_eq(wait_time.count(), 200000U);
}

// Guards against a destructor that returns while the thread is still running.
Test(worker_thread, is_stopped_and_joined_on_destruction)
{
    std::atomic<bool> thread_finished{false};
    {
        const kernel::worker_thread thread("test", [&thread_finished](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                std::this_thread::yield();
            }
            thread_finished = true;
        });
    }
    cr_assert(thread_finished.load());
}

// Guards against log output that costs more than the logged work because its rate is unlimited, and
// against lines that are dropped without a record of it.
Test(logger, limits_line_rate_and_reports_suppressed_lines)
{
    std::ostringstream out;
    {
        kernel::logger logger({kernel::log_level::info, &out, 50});
        for (int line = 0; line < 500; ++line) {
            logger.write(kernel::log_level::info, "flood");
        }
        logger.write(kernel::log_level::warning, "important");
        std::this_thread::sleep_for(1100ms);
        logger.write(kernel::log_level::info, "after");
    }
    const std::string text = out.str();
    int flood_lines = 0;
    for (std::size_t position = text.find("flood"); position != std::string::npos;
         position = text.find("flood", position + 1)) {
        ++flood_lines;
    }
    // The lines may span two seconds of the rate limit.
    cr_assert_leq(flood_lines, 100);
    cr_assert(contains(text, "event=important"));
    cr_assert(contains(text, "event=lines_suppressed"));
    cr_assert(contains(text, "event=after"));
}
