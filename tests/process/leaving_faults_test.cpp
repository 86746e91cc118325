#include "process/caller_traffic.hpp"

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <future>

namespace http = gooseberryfall::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

/// Time after which a leaving target gets no new work.
constexpr seconds leaving_bound{3};

std::int64_t now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               steady_clock::now().time_since_epoch())
        .count();
}

/// Addresses that an instance's directory lists.
std::vector<std::string> directory(const std::string& address)
{
    std::vector<std::string> result;
    const auto answer = http::call(address, "GET", "/v1/directory",
                                   {{"Authorization", "Bearer key-namur"}}, "", seconds(2));
    boost::system::error_code error;
    const json::value parsed = json::parse(answer.body, error);
    if (error || answer.head.status != 200 || !parsed.is_object()) {
        return result;
    }
    for (const json::value& entry : parsed.at("instances").as_array()) {
        result.emplace_back(entry.at("address").as_string());
    }
    return result;
}

/// Waits until a condition holds; false at the limit.
bool wait_for(seconds limit, const std::function<bool()>& condition)
{
    const auto end = steady_clock::now() + limit;
    while (!condition()) {
        if (steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

std::uint64_t refused_by(const process_deployment& deployment, std::uint32_t engine)
{
    const auto answer = http::call(deployment.engine_address(engine), "POST", "/control?a=1");
    return std::stoull(json_field(answer.body, "refused"));
}

/// A caller that follows the directory and asks again only when its answer has expired.
class directory_follower {
public:
    explicit directory_follower(std::vector<std::string> first) : known_(std::move(first)) {}

    http::call_result ask(const std::string& text)
    {
        if (steady_clock::now() >= refresh_at_) {
            refresh();
        }
        const std::string body = R"({"model":"m","user":"namur","messages":[{"role":"user",)"
                                 R"("content":")" +
                                 text + R"("}],"max_tokens":20})";
        return http::call(known_.at(turn_++ % known_.size()), "POST", "/v1/chat/completions",
                          {{"Authorization", "Bearer key-namur"}}, body, seconds(20));
    }

private:
    void refresh()
    {
        for (const std::string& address : std::vector<std::string>(known_)) {
            auto listed = directory(address);
            if (!listed.empty()) {
                known_ = std::move(listed);
                // Before the validity of 5 s ends, as the answer itself was under way for a while.
                refresh_at_ = steady_clock::now() + milliseconds(4500);
                return;
            }
        }
    }

    std::vector<std::string> known_;
    std::size_t turn_ = 0;
    steady_clock::time_point refresh_at_;
};

} // namespace

// Guards against new work on a target that said that it leaves, or that the platform's list says
// leaves.
Test(leaving_faults, leaving_targets_get_no_new_work)
{
    deployment_options options;
    options.engines = 3;
    options.teams = {{"namur", 1000, 1000}};
    process_deployment deployment(options);
    cr_assert(deployment.start());
    caller_traffic traffic;
    for (std::uint32_t thread = 0; thread < 6; ++thread) {
        traffic.every(milliseconds(20), [&, thread] {
            caller_request request;
            request.text = traffic.next_text();
            traffic.add(send_request(deployment, thread % 3, request));
        });
    }
    std::this_thread::sleep_for(seconds(1));
    deployment.control_engine(0, "leaving=1");
    deployment.control_platform("/control/instance?id=engine-1&state=leaving");
    const std::int64_t bound_us = now_us() + std::chrono::microseconds(leaving_bound).count();
    std::this_thread::sleep_for(leaving_bound);
    const std::uint64_t refused = refused_by(deployment, 0);
    std::this_thread::sleep_for(seconds(3));
    const std::uint64_t refused_after = refused_by(deployment, 0);
    traffic.stop();
    std::size_t before = 0;
    std::size_t late = 0;
    for (const auto& request : deployment.seen()) {
        if (request.engine == 1) {
            (request.at_us > bound_us ? late : before) += 1;
        }
    }
    std::size_t lost = 0;
    for (const caller_answer& answer : traffic.answers()) {
        lost += answer.succeeded() ? 0 : 1;
    }
    std::printf("leaving: own word %llu attempts within 3 s and %llu after; list: %zu requests "
                "before and %zu after; %zu of %zu lost\n",
                static_cast<unsigned long long>(refused),
                static_cast<unsigned long long>(refused_after - refused), before, late, lost,
                traffic.answers().size());
    std::fflush(stdout);
    cr_expect_eq(refused_after, refused);
    cr_expect_gt(before, 0U);
    cr_expect_eq(late, 0U);
    cr_expect_eq(lost, 0U);
}

// Guards against a graceful shutdown cutting off a long stream, taking new requests after the
// directory's cache time, staying in the directory, or failing.
Test(leaving_faults, shutdown_finishes_streams)
{
    deployment_options options;
    options.teams = {{"namur", 1000, 1000}};
    options.engine_flags = {"--token_ms=50"};
    process_deployment deployment(options);
    cr_assert(deployment.start());
    caller_request request;
    request.text = "long";
    // 20 s, four times the directory's cache time.
    request.tokens = 400;
    request.stream = true;
    request.limit = seconds(60);
    const std::string address = deployment.callers(0);
    auto stream =
        std::async(std::launch::async, [&] { return send_request(deployment, 0, request); });
    cr_assert(wait_for(seconds(5), [&] {
        const auto seen = deployment.seen();
        return std::any_of(seen.begin(), seen.end(), [](const auto& one) {
            return one.body.find("\"long\"") != std::string::npos;
        });
    }));
    const auto left_at = steady_clock::now();
    deployment.instance(0).signal(SIGTERM);
    for (const std::uint32_t other : {1U, 2U}) {
        const bool omitted = wait_for(seconds(5), [&] {
            const auto listed = directory(deployment.callers(other));
            return !listed.empty() &&
                   std::find(listed.begin(), listed.end(), address) == listed.end();
        });
        cr_expect(omitted, "instance %u lists the leaving one", other);
    }
    caller_request late;
    late.tokens = 1;
    std::uint32_t number = 0;
    caller_answer last;
    const bool refused = wait_for(seconds(10), [&] {
        late.text = "late-" + std::to_string(++number) + "-end";
        last = send_request(deployment, 0, late);
        // Within the cache time nothing may be refused.
        const bool early = steady_clock::now() - left_at < seconds(4);
        cr_expect(!early || last.succeeded(), "%u %s", last.status, last.body.c_str());
        return !last.succeeded();
    });
    cr_expect(refused);
    cr_expect_str_eq(last.code.c_str(), "leaving", "%s", last.body.c_str());
    cr_expect_str_eq(last.run.c_str(), "not_run");
    target_history history(deployment);
    history.read();
    cr_expect_eq(history.count(late.text), 0U);
    const caller_answer whole = stream.get();
    cr_expect(whole.succeeded() && whole.is_own(), "the stream was cut: %u, %zu bytes",
              whole.status, whole.body.size());
    const auto status = deployment.instance(0).wait(seconds(40));
    cr_expect(status.has_value() && *status == 0, "exit status %d", status.value_or(-1));
}

// Guards against requests that are lost while all instances are replaced one after another.
Test(leaving_faults, rolling_replacement_loses_nothing)
{
    deployment_options options;
    options.engines = 3;
    options.teams = {{"namur", 1000, 1000}};
    process_deployment deployment(options);
    cr_assert(deployment.start());
    caller_traffic traffic;
    std::atomic<std::uint32_t> asked = 0;
    std::atomic<std::uint32_t> lost = 0;
    std::vector<std::unique_ptr<directory_follower>> callers;
    for (std::uint32_t thread = 0; thread < 6; ++thread) {
        callers.push_back(std::make_unique<directory_follower>(
            std::vector<std::string>{deployment.callers(thread % 3)}));
        traffic.every(milliseconds(50), [&, caller = callers.back().get()] {
            const auto answer = caller->ask(traffic.next_text());
            ++asked;
            if (answer.head.status != 200) {
                ++lost;
                std::fprintf(stderr, "lost: %s %u %s\n", answer.reason.c_str(), answer.head.status,
                             answer.body.c_str());
            }
        });
    }
    for (std::uint32_t number = 0; number < 3; ++number) {
        deployment.instance(number).signal(SIGTERM);
        const auto status = deployment.instance(number).wait(seconds(30));
        cr_expect(status.has_value() && *status == 0, "exit status %d", status.value_or(-1));
        cr_assert(deployment.start_instance(number));
        cr_assert(wait_for(seconds(20), [&] {
            const auto ready = deployment.get(number, "key-namur", "/readyz");
            return ready.head.status == 200;
        }));
        // The others' directories list the new one before the next one leaves.
        cr_expect(wait_for(seconds(20), [&] {
            return directory(deployment.callers((number + 1) % 3)).size() == 3;
        }));
    }
    traffic.stop();
    std::printf("rolling replacement: %u asked, %u lost\n", asked.load(), lost.load());
    std::fflush(stdout);
    cr_expect_eq(lost.load(), 0U);
}

// Guards against online work that stops while the log is out, and against instances that cannot
// start then.
Test(leaving_faults, online_work_survives_a_log_outage)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    caller_traffic traffic;
    for (std::uint32_t thread = 0; thread < 2; ++thread) {
        traffic.every(milliseconds(100), [&, thread] {
            caller_request request;
            request.text = traffic.next_text();
            traffic.add(send_request(deployment, thread, request));
        });
    }
    deployment.control_platform("/control/outage?on=true&scope=all&mode=refuse");
    const auto end = steady_clock::now() + seconds(20);
    deployment.instance(2).kill();
    std::this_thread::sleep_for(seconds(4));
    cr_assert(deployment.start_instance(2));
    const auto started = steady_clock::now();
    caller_answer last;
    const bool served = wait_for(seconds(12), [&] {
        caller_request request;
        request.text = traffic.next_text();
        last = send_request(deployment, 2, request);
        return last.succeeded();
    });
    const auto took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started);
    const bool in_outage = steady_clock::now() < end;
    std::this_thread::sleep_until(end);
    deployment.control_platform("/control/outage?on=false");
    std::this_thread::sleep_for(seconds(2));
    traffic.stop();
    std::size_t succeeded = 0;
    std::map<std::string, std::size_t> codes;
    for (const caller_answer& answer : traffic.answers()) {
        succeeded += answer.succeeded() ? 1 : 0;
        if (!answer.succeeded()) {
            ++codes[answer.code];
        }
    }
    std::printf("log outage: %zu of %zu answered; the new instance served after %lld ms\n",
                succeeded, traffic.answers().size(), static_cast<long long>(took.count()));
    for (const auto& [code, count] : codes) {
        std::printf("  refused %s: %zu\n", code.c_str(), count);
    }
    std::fflush(stdout);
    cr_expect(served && in_outage, "the new instance answered %u %s", last.status,
              last.body.c_str());
    // A killed owner's share of a limit is missing for about 5 s.
    cr_expect(succeeded * 100 >= traffic.answers().size() * 95, "%zu of %zu", succeeded,
              traffic.answers().size());
}
