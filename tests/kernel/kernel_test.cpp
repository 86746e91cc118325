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

/// Records starts and stops in a list, and fails to start if told to.
class recorder : public kernel::service {
public:
    recorder(std::string name, std::vector<std::string>& events, bool fails = false)
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

void add(kernel::service_registry& registry, std::vector<std::string>& events,
         const std::string& name, const std::vector<std::string>& dependencies, bool fails = false)
{
    registry.add(name, dependencies, std::make_unique<recorder>(name, events, fails));
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a service that starts before, or stops after, one that it needs.
Test(service_registry, starts_in_dependency_order_and_stops_in_reverse)
{
    std::vector<std::string> events;
    kernel::service_registry registry;
    add(registry, events, "callers", {"decisions", "targets"});
    add(registry, events, "targets", {"decisions"});
    add(registry, events, "decisions", {});
    cr_assert(registry.start_all().has_value());
    cr_assert(registry.find<recorder>("targets") != nullptr);
    cr_assert(registry.find<recorder>("unknown") == nullptr);
    registry.stop_all();
    const std::vector<std::string> expected{"+decisions", "+targets", "+callers",
                                            "-callers",   "-targets", "-decisions"};
    cr_assert(events == expected);
}

// Guards against services that keep running after another one failed to start.
Test(service_registry, a_failed_start_stops_what_has_started)
{
    std::vector<std::string> events;
    kernel::service_registry registry;
    add(registry, events, "first", {});
    add(registry, events, "second", {"first"}, true);
    const auto result = registry.start_all();
    cr_assert(!result.has_value());
    cr_assert(result.error().service == "second" && result.error().reason == "no port");
    cr_assert((events == std::vector<std::string>{"+first", "-first"}));
}

// Guards against endless recursion or a silent start with dependencies that cannot be met.
Test(service_registry, circular_and_unknown_dependencies_are_errors)
{
    std::vector<std::string> events;
    kernel::service_registry circular;
    add(circular, events, "a", {"b"});
    add(circular, events, "b", {"a"});
    cr_assert(!circular.start_all().has_value());
    kernel::service_registry unknown;
    add(unknown, events, "a", {"missing"});
    cr_assert(!unknown.start_all().has_value());
    cr_assert(events.empty());
}

// Guards against loss, duplication or reordering of one producer's entries, and against a value
// that is moved away by a push that was refused.
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
    std::vector<std::uint32_t> next(producers, 0);
    for (std::uint32_t taken = 0; taken < producers * count; ++taken) {
        const auto value = ring.pop(10s);
        cr_assert(value.has_value() && *value != nullptr);
        cr_assert_eq((*value)->second, next.at((*value)->first));
        ++next.at((*value)->first);
    }
    cr_assert(ring.empty());
}

// Guards against a ring that grows or waits when it is full.
Test(bounded_ring, refuses_when_full_or_closed)
{
    kernel::bounded_ring<std::string> ring(2);
    cr_assert(ring.try_push("a") && ring.try_push("b"));
    std::string third = "c";
    cr_assert(!ring.try_push(std::move(third)));
    // NOLINTNEXTLINE(bugprone-use-after-move): a refused push leaves the value as it is.
    cr_assert(third == "c");
    ring.close();
    cr_assert(ring.try_pop().value() == "a");
    cr_assert(!ring.try_push("d"));
    cr_assert(ring.pop(1h).value() == "b");
    cr_assert(!ring.pop(1h).has_value());
}

// Guards against a lost wake-up: each push into an empty ring must notify, and a wait must end.
Test(bounded_ring, notifies_the_consumer_for_each_push_into_an_empty_ring)
{
    kernel::bounded_ring<int> ring(8);
    int notified = 0;
    ring.set_notifier([&notified] { ++notified; });
    ring.try_push(1);
    ring.try_push(2);
    cr_assert_eq(notified, 1);
    std::vector<int> taken;
    cr_assert_eq(ring.pop_into(taken, 8), 2U);
    ring.try_push(3);
    cr_assert_eq(notified, 2);
    cr_assert(!kernel::bounded_ring<int>(1).pop(1ms).has_value());
}

// Guards against values that forge a line or a field.
Test(logger, escapes_values_and_names)
{
    const std::string line =
        kernel::format_log_line("T", kernel::log_level::info, "key revoked",
                                {{"team", "a\"b\\c\nlevel=error\x01"}, {"bad key", "v"}});
    cr_assert_str_eq(line.c_str(), "time=T level=info event=key_revoked "
                                   "team=\"a\\\"b\\\\c\\nlevel=error\\u0001\" bad_key=\"v\"");
}

// Guards against lines that are lost at the end, mixed between loggers or below the level.
Test(logger, writes_one_line_per_event)
{
    std::ostringstream first;
    std::ostringstream second;
    {
        kernel::logger one({kernel::log_level::info, &first});
        kernel::logger two({kernel::log_level::error, &second});
        for (int number = 0; number < 100; ++number) {
            one.write(kernel::log_level::info, "one", {{"number", std::to_string(number)}});
            two.write(kernel::log_level::warning, "two");
        }
    }
    const std::string text = first.str();
    cr_assert_eq(std::count(text.begin(), text.end(), '\n'), 100);
    cr_assert(contains(text, "level=info event=one number=\"99\"\n"));
    cr_assert(!contains(text, "event=two"));
    cr_assert(second.str().empty());
}

// Guards against a series for each count, and against values that are mixed up.
Test(metrics, a_family_has_a_series_for_each_value)
{
    kernel::metrics all;
    kernel::counter_family runs(all, "runs", "Runs.", "outcome");
    runs.count("done");
    runs.count("failed");
    runs.count("done");
    const std::string text = all.exposition();
    cr_assert(contains(text, "runs{outcome=\"done\"} 2"));
    cr_assert(contains(text, "runs{outcome=\"failed\"} 1"));
}

// Guards against buckets that are not cumulative, or that exclude their own bound.
Test(metrics, exposition_has_cumulative_buckets_and_escaped_labels)
{
    kernel::metrics all;
    all.add_counter("requests_total", "Requests.", {{"team", "a\"b"}}).add(3);
    cr_assert(&all.add_counter("requests_total", "Requests.", {{"team", "a\"b"}}) ==
              &all.add_counter("requests_total", "", {{"team", "a\"b"}}));
    all.add_gauge("queued", "Queued.").set(1.5);
    kernel::latency_histogram& wait = all.add_histogram("wait_seconds", "Wait.");
    for (const auto value : {1000us, 1001us, 90000000us}) {
        wait.record(value);
    }
    const std::string text = all.exposition();
    cr_assert(contains(text, "# HELP queued Queued.\n# TYPE queued gauge\nqueued 1.5\n"));
    cr_assert(contains(text, "requests_total{team=\"a\\\"b\"} 3\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"0.0005\"} 0\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"0.001\"} 1\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"60\"} 2\n"));
    cr_assert(contains(text, "wait_seconds_bucket{le=\"+Inf\"} 3\n"));
    cr_assert(contains(text, "wait_seconds_sum 90.002001\nwait_seconds_count 3\n"));
}

// Guards against counts lost by concurrent writers.
Test(metrics, concurrent_records_are_all_counted)
{
    kernel::metrics all;
    kernel::latency_histogram& wait = all.add_histogram("wait_seconds", "Wait.");
    {
        std::vector<std::jthread> threads;
        threads.reserve(4);
        for (int thread = 0; thread < 4; ++thread) {
            threads.emplace_back([&wait] {
                for (int number = 0; number < 50000; ++number) {
                    wait.record(1ms);
                }
            });
        }
    }
    cr_assert_eq(wait.count(), 200000U);
}

// Guards against a destructor that returns while the thread still runs.
Test(duty_thread, is_stopped_and_joined_on_destruction)
{
    std::atomic<bool> ended{false};
    {
        const kernel::duty_thread thread("test", [&ended](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                std::this_thread::yield();
            }
            ended = true;
        });
    }
    cr_assert(ended.load());
}

// Guards against a flood of lines that costs more than the work that it tells of, and against a cut
// that nobody notices.
Test(logger, cuts_a_flood_and_says_so)
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
    int floods = 0;
    for (std::size_t at = text.find("flood"); at != std::string::npos;
         at = text.find("flood", at + 1)) {
        ++floods;
    }
    // The lines may fall into two seconds.
    cr_assert_leq(floods, 100);
    cr_assert(contains(text, "event=important"));
    cr_assert(contains(text, "event=lines_suppressed"));
    cr_assert(contains(text, "event=after"));
}
