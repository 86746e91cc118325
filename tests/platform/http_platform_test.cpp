#include "platform/platform.hpp"
#include "support/child_process.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace core = gooseberryfall::core;
namespace http = gooseberryfall::http;
namespace kernel = gooseberryfall::kernel;
namespace platform = gooseberryfall::platform;
using namespace std::chrono_literals;

namespace {

/// Collects what a platform client reports, and waits for conditions on it.
class recorder {
public:
    template <class Change>
    void change(Change apply)
    {
        const std::lock_guard lock(mutex_);
        apply(*this);
        changed_.notify_all();
    }

    /// Waits until the condition holds, at most ten seconds.
    template <class Condition>
    void wait(Condition holds)
    {
        std::unique_lock lock(mutex_);
        cr_assert(changed_.wait_for(lock, 10s, [this, &holds] { return holds(*this); }));
    }

    std::vector<core::log_offset> acknowledged;
    std::vector<platform::stream_read> reads;
    std::vector<std::string> records;
    std::vector<core::log_offset> offsets;
    std::vector<core::instance_list> lists;
    std::map<platform::platform_operation, unsigned> failures;
    std::vector<std::string> reasons;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
};

/// The stand-in as a child process, with a client.
struct fixture {
    explicit fixture(std::vector<std::string> options = {}) : process(command(std::move(options)))
    {
        platform::http_platform_settings settings;
        settings.address = process.address();
        settings.read_wait = 100ms;
        settings.list_interval = 50ms;
        settings.answer_first = 200ms;
        settings.backoff_first = 10ms;
        settings.backoff_limit = 100ms;
        settings.metrics = &metrics;
        platform::platform_observer observer;
        observer.on_instances = [this](core::instance_list list) {
            seen.change([&list](recorder& all) { all.lists.push_back(std::move(list)); });
        };
        observer.on_failure = [this](const platform::platform_failure& failure) {
            seen.change([&failure](recorder& all) {
                ++all.failures[failure.operation];
                all.reasons.push_back(failure.reason);
            });
        };
        client = std::make_unique<platform::http_platform>(settings, observer);
    }

    static std::vector<std::string> command(std::vector<std::string> options)
    {
        options.insert(options.begin(), {PLATFORM_STAND_IN, "--end_with_parent"});
        return options;
    }

    void control(const std::string& call) const
    {
        const auto result = http::call(process.address(), "POST", "/control/" + call);
        cr_assert_eq(result.head.status, 200U);
    }

    void append(const std::string& bytes, const std::string& stream = "control")
    {
        client->append(stream, bytes, [this](core::log_offset offset) {
            seen.change([offset](recorder& all) { all.acknowledged.push_back(offset); });
        });
    }

    void follow(core::log_offset from, const std::string& stream = "control")
    {
        client->follow(stream, from, [this](platform::stream_read read) {
            seen.change([&read](recorder& all) {
                for (const platform::log_record& record : read.records) {
                    all.records.push_back(record.bytes);
                    all.offsets.push_back(record.offset);
                }
                all.reads.push_back(std::move(read));
            });
        });
    }

    tl::expected<platform::log_record, platform::record_error> read(core::log_offset offset)
    {
        std::promise<tl::expected<platform::log_record, platform::record_error>> promise;
        client->read_record("control", offset,
                            [&promise](auto result) { promise.set_value(std::move(result)); });
        auto future = promise.get_future();
        cr_assert(future.wait_for(10s) == std::future_status::ready);
        return future.get();
    }

    child_process process;
    kernel::metrics metrics;
    recorder seen;
    std::unique_ptr<platform::http_platform> client;
};

} // namespace

// Guards against records lost, reordered or skipped between append and read, and against offsets
// that do not belong to the record.
Test(http_platform, appends_in_order_and_reads_back)
{
    fixture test;
    test.follow(0);
    std::vector<std::string> sent;
    for (int number = 0; number < 30; ++number) {
        sent.push_back("record " + std::to_string(number) + std::string(1, '\0'));
        test.append(sent.back());
    }
    test.seen.wait([](const recorder& all) {
        return all.records.size() >= 30 && all.acknowledged.size() >= 30;
    });
    cr_assert(test.seen.records == sent);
    cr_assert(test.seen.acknowledged == test.seen.offsets);
    cr_assert_eq(test.read(7).value().bytes, sent[7]);
    cr_assert(test.read(30).error() == platform::record_error::absent);
    cr_assert_eq(test.process.terminate(), 0);
}

// Guards against an idle stream whose head is no longer confirmed, and against a time that is taken
// after the question was sent.
Test(http_platform, an_idle_stream_confirms_its_head_at_least_once_a_second)
{
    fixture test;
    const auto begin = std::chrono::steady_clock::now();
    test.follow(0);
    test.seen.wait([](const recorder& all) { return all.reads.size() >= 5; });
    auto last = begin;
    for (const platform::stream_read& read : test.seen.reads) {
        cr_assert(read.head == 0 && read.earliest == 0 && read.records.empty());
        cr_assert(read.asked_at >= last);
        cr_assert(read.asked_at - last < 1s);
        last = read.asked_at;
    }
}

// Guards against an append that is given up, acknowledged without effect, or overtaken by a later
// one when its answer is lost.
Test(http_platform, a_lost_append_answer_is_repeated_in_order)
{
    fixture test;
    test.follow(0);
    test.append("first");
    test.seen.wait([](const recorder& all) { return !all.acknowledged.empty(); });
    test.control("drop_answers?count=3");
    test.append("second");
    test.append("third");
    test.seen.wait([](const recorder& all) {
        return all.acknowledged.size() >= 3 && !all.records.empty() &&
               all.records.back() == "third";
    });
    const auto& records = test.seen.records;
    cr_assert_eq(std::count(records.begin(), records.end(), "first"), 1);
    cr_assert_geq(std::count(records.begin(), records.end(), "second"), 2);
    cr_assert_eq(std::count(records.begin(), records.end(), "third"), 1);
    cr_assert(std::is_sorted(records.begin(), records.end()));
}

// Guards against a client that stops reading or appending for good, or does not tell, when the log
// is away for a while; in the silent mode it also never answers what it was asked.
Test(http_platform, goes_on_after_an_outage)
{
    for (const std::string mode : {"refuse", "silent"}) {
        fixture test;
        test.follow(0);
        test.seen.wait([](const recorder& all) { return !all.reads.empty(); });
        test.control("outage?on=true&mode=" + mode);
        test.append("kept");
        test.seen.wait([](recorder& all) {
            return all.failures[platform::platform_operation::append] >= 2 &&
                   all.failures[platform::platform_operation::follow] >= 2 &&
                   all.failures[platform::platform_operation::list] >= 2;
        });
        cr_assert(test.read(0).error() == platform::record_error::unavailable);
        cr_assert(test.seen.acknowledged.empty());
        test.control("outage?on=false");
        test.seen.wait(
            [](const recorder& all) { return !all.acknowledged.empty() && !all.records.empty(); });
        cr_assert_eq(test.seen.records.front(), "kept");
        cr_assert(test.metrics.exposition().find(
                      "platform_failures_total{operation=\"append\"} ") != std::string::npos);
    }
}

// Guards against readers that depend on appends: with reads down alone, appends must go on.
Test(http_platform, appends_go_on_while_reads_are_down)
{
    fixture test;
    test.control("outage?on=true&scope=reads");
    test.append("a");
    test.seen.wait([](const recorder& all) { return !all.acknowledged.empty(); });
}

// Guards against a log that is slower than the first time limit and therefore never acknowledges
// anything, although every try takes effect.
Test(http_platform, waits_longer_for_a_slow_log)
{
    fixture test({"--append_delay_ms=700"});
    test.append("slow");
    test.append("slow too");
    test.seen.wait([](const recorder& all) { return all.acknowledged.size() == 2; });
    cr_assert_geq(test.seen.failures[platform::platform_operation::append], 2U);
}

// Guards against appends that are lost when the log limits their rate.
Test(http_platform, a_rate_limit_delays_appends)
{
    fixture test({"--append_rate=50"});
    test.follow(0);
    std::vector<std::string> sent;
    for (int number = 0; number < 30; ++number) {
        sent.push_back(std::to_string(number));
        test.append(sent.back());
    }
    test.seen.wait([](const recorder& all) { return all.acknowledged.size() >= 30; });
    cr_assert_gt(test.seen.failures[platform::platform_operation::append], 0U);
    test.seen.wait([](const recorder& all) { return all.records.size() >= 30; });
    cr_assert(test.seen.records == sent);
}

// Guards against a reader that is stuck below the retention, or skips without telling.
Test(http_platform, goes_on_at_the_earliest_offset_after_expiry)
{
    fixture test;
    for (int number = 0; number < 10; ++number) {
        test.append(std::to_string(number));
    }
    test.seen.wait([](const recorder& all) { return all.acknowledged.size() == 10; });
    test.control("expire?stream=control&below=6");
    test.follow(2);
    test.seen.wait([](const recorder& all) { return all.records.size() >= 4; });
    cr_assert_eq(test.seen.reads.front().from, 6U);
    cr_assert_eq(test.seen.reads.front().earliest, 6U);
    cr_assert(test.seen.offsets == std::vector<core::log_offset>({6, 7, 8, 9}));
    cr_assert(test.read(3).error() == platform::record_error::expired);
}

// Guards against large records that never fit into one read.
Test(http_platform, reads_records_of_the_largest_size)
{
    fixture test;
    test.follow(0);
    const std::string large(1U << 20U, 'r');
    test.append(large);
    test.append(large);
    test.append("end");
    test.seen.wait([](const recorder& all) { return all.records.size() >= 3; });
    cr_assert(test.seen.records[0] == large && test.seen.records[1] == large);
}

// Guards against reads that go on after their end, or that start twice.
Test(http_platform, stops_following)
{
    fixture test;
    test.follow(0);
    test.follow(0);
    test.append("a");
    test.seen.wait([](const recorder& all) { return !all.records.empty(); });
    test.client->stop_following("control");
    // The list is asked by the same thread, so that two more answers show that the stop is done.
    std::size_t lists = 0;
    test.seen.change([&lists](const recorder& all) { lists = all.lists.size(); });
    test.seen.wait([&lists](const recorder& all) { return all.lists.size() >= lists + 2; });
    test.append("b");
    test.seen.wait([&lists](const recorder& all) {
        return all.acknowledged.size() == 2 && all.lists.size() >= lists + 4;
    });
    cr_assert(test.seen.records == std::vector<std::string>({"a"}));
}

// Guards against an instance list that is not renewed, or that loses the state of an instance.
Test(http_platform, polls_the_instance_list)
{
    fixture test;
    test.control("instance?id=one&state=live");
    test.control("instance?id=two&state=leaving");
    test.seen.wait([](const recorder& all) {
        return !all.lists.empty() && all.lists.back().instances.size() == 2;
    });
    const auto& two = test.seen.lists.back().instances[1];
    cr_assert(two.id.value() == "two" && two.leaving);
    test.control("instance?id=one&state=removed");
    test.seen.wait([](const recorder& all) { return all.lists.back().instances.size() == 1; });
}

// Guards against an answer of the log that is believed although it contradicts itself.
Test(log_wire, refuses_malformed_answers)
{
    const auto entry = [](char offset, const std::string& bytes) {
        return std::string(7, '\0') + offset + std::string(8, '\0') + std::string(3, '\0') +
               static_cast<char>(bytes.size()) + bytes;
    };
    const std::string two = entry(5, "a") + entry(6, "");
    cr_assert_eq(platform::parse_records(two, 5, 7).value().size(), 2U);
    cr_assert_eq(platform::parse_records("", 5, 7).value().size(), 0U);
    cr_assert(!platform::parse_records(two, 4, 7).has_value());
    cr_assert(!platform::parse_records(two, 5, 6).has_value());
    cr_assert(!platform::parse_records(entry(5, "a") + entry(7, "b"), 5, 9).has_value());
    for (std::size_t size = 1; size < two.size(); ++size) {
        const auto parsed = platform::parse_records(two.substr(0, size), 5, 7);
        cr_assert(parsed.has_value() == (size == 21));
    }
    for (const char* text : {"", "{", "[]", "{}", "{\"offset\": -1}", "{\"offset\": \"1\"}"}) {
        cr_assert(!platform::parse_append_answer(text).has_value());
    }
    cr_assert_eq(platform::parse_append_answer("{\"offset\": 3}").value(), 3U);
    for (const char* text : {"{}", "{\"instances\": [1]}", "{\"instances\": [{\"id\": \"a\"}]}",
                             "{\"instances\": [{\"id\": \"a\", \"state\": \"x\"}]}"}) {
        cr_assert(!platform::parse_instances(text).has_value());
    }
    for (const char* text : {"", "-1", "1x", "99999999999999999999"}) {
        cr_assert(!platform::parse_offset(text).has_value());
    }
}
