#include "process/process_deployment.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>
#include <thread>

namespace http = gooseberryfall::http;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::uint32_t instances = 3;
constexpr std::chrono::milliseconds poll_step{50};
/// Time within which an accepted change is in force everywhere, by docs/design.md.
constexpr std::chrono::seconds in_force_limit{6};
/// Time within which a withdrawn key stops working.
constexpr std::chrono::seconds withdrawal_limit{3};

/// The deployment's fleet file with another rate for both teams.
std::string fleet_with_rate(const process_deployment& deployment, std::uint32_t rate)
{
    std::string text = deployment.fleet_text();
    const std::string old = "rate = " + std::to_string(100.0);
    const std::string changed = "rate = " + std::to_string(rate);
    for (std::size_t at = text.find(old); at != std::string::npos; at = text.find(old, at + 1)) {
        text.replace(at, old.size(), changed);
    }
    return text;
}

/// The fleet that an instance has in force, as JSON.
std::string fleet_at(const process_deployment& deployment, std::uint32_t number)
{
    return http::call(deployment.operators(number), "GET", "/v1/fleet",
                      {{"Authorization", "Bearer operator-token"}})
        .body;
}

/// How many teams of an instance's fleet have this rate.
std::uint32_t teams_with_rate(const std::string& fleet, std::uint32_t rate)
{
    std::uint32_t count = 0;
    const std::string mark = "\"rate\":" + std::to_string(rate);
    for (std::size_t at = fleet.find(mark); at != std::string::npos;
         at = fleet.find(mark, at + 1)) {
        const char next = at + mark.size() < fleet.size() ? fleet[at + mark.size()] : ',';
        const bool whole = next == ',' || next == '}' || next == '.' || next == 'E';
        count += whole ? 1 : 0;
    }
    return count;
}

std::uint64_t version_at(const process_deployment& deployment, std::uint32_t number)
{
    const std::string version = json_field(fleet_at(deployment, number), "version");
    return version.empty() ? 0 : std::stoull(version);
}

/// Waits until all instances that run show the same version; returns it, or 0 at the limit.
std::uint64_t wait_for_agreement(process_deployment& deployment, std::uint64_t at_least)
{
    const auto end = clock_type::now() + in_force_limit;
    while (clock_type::now() < end) {
        const std::uint64_t first = version_at(deployment, 0);
        bool same = first >= at_least;
        for (std::uint32_t number = 1; number < instances && same; ++number) {
            same = version_at(deployment, number) == first;
        }
        if (same) {
            return first;
        }
        std::this_thread::sleep_for(poll_step);
    }
    return 0;
}

/// A connection that stays open between requests, and streams on further ones.
class kept_alive {
public:
    kept_alive() : loop_("kept_alive"), client_(loop_) {}

    /// Status of one request on the connection that is kept.
    unsigned ask(const std::string& address, const std::string& key)
    {
        auto status = std::make_shared<std::atomic<int>>(-1);
        http::call_observer observer;
        observer.on_done = [status](const http::call_result& done) {
            *status = static_cast<int>(done.head.status);
        };
        client_.start(request(address, key, false, 1), std::move(observer));
        while (*status < 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return static_cast<unsigned>(*status);
    }

    /// What has become of a stream.
    struct stream {
        std::atomic<std::uint32_t> pieces = 0;
        std::atomic<bool> ended = false;
        std::atomic<bool> whole = false;
        std::atomic<std::int64_t> last_piece_us = 0;
    };

    std::shared_ptr<stream> open_stream(const std::string& address, const std::string& key,
                                        std::uint32_t tokens)
    {
        auto state = std::make_shared<stream>();
        http::call_observer observer;
        observer.on_piece = [state](const std::string& piece) {
            ++state->pieces;
            if (piece.find("\"content\"") != std::string::npos) {
                state->last_piece_us = std::chrono::duration_cast<std::chrono::microseconds>(
                                           clock_type::now().time_since_epoch())
                                           .count();
            }
            if (piece.find("[DONE]") != std::string::npos) {
                state->whole = true;
            }
            return http::flow::proceed;
        };
        observer.on_done = [state](const http::call_result&) { state->ended = true; };
        client_.start(request(address, key, true, tokens), std::move(observer));
        return state;
    }

private:
    static http::client_request request(const std::string& address, const std::string& key,
                                        bool stream, std::uint32_t tokens)
    {
        http::client_request made;
        made.address = address;
        made.method = "POST";
        made.target = "/v1/chat/completions";
        made.headers.set("Authorization", "Bearer " + key);
        made.headers.set("Content-Type", "application/json");
        made.body = std::string(R"({"model":"m","messages":[{"role":"user","content":"hi"}],)") +
                    "\"stream\":" + (stream ? "true" : "false") +
                    ",\"max_tokens\":" + std::to_string(tokens) + "}";
        return made;
    }

    http::event_loop loop_;
    http::client client_;
};

/// Text of the fleet file without a team's key.
std::string without_key(const process_deployment& deployment, const std::string& team)
{
    std::string text = deployment.fleet_text();
    const std::size_t begin = text.find("[[key]]\nname = \"" + team + "-1\"");
    const std::size_t end = text.find("[[", begin + 2);
    text.erase(begin, end == std::string::npos ? end : end - begin);
    return text;
}

} // namespace

// Guards against two conflicting changes that both take effect, or mix, and against a refusal
// that the loser and the audit trail do not see.
Test(configuration, two_operators_race)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    for (std::uint32_t round = 0; round < 3; ++round) {
        const std::uint32_t rates[2] = {200 + round, 300 + round};
        // A slow append lets both commands read the fleet before either change is in the log.
        deployment.control_platform("/control/append_delay?ms=1500");
        std::pair<int, std::string> results[2];
        std::vector<std::thread> operators;
        for (std::uint32_t number = 0; number < 2; ++number) {
            const std::string file = deployment.write_file(
                "fleet-" + std::to_string(number), fleet_with_rate(deployment, rates[number]));
            operators.emplace_back([&, number, file] {
                results[number] = deployment.command(
                    number, {"apply", file, "--comment=rate-" + std::to_string(rates[number])});
            });
        }
        for (std::thread& each : operators) {
            each.join();
        }
        deployment.control_platform("/control/append_delay?ms=0");
        const std::uint32_t wins =
            (results[0].first == 0 ? 1 : 0) + (results[1].first == 0 ? 1 : 0);
        cr_assert_eq(wins, 1U, "%d %s\n%d %s", results[0].first, results[0].second.c_str(),
                     results[1].first, results[1].second.c_str());
        const std::uint32_t winner = results[0].first == 0 ? 0 : 1;
        const auto& loser = results[1 - winner];
        cr_assert(loser.first == 4 || (loser.first == 1 && !loser.second.empty()), "%d %s",
                  loser.first, loser.second.c_str());
        cr_assert(wait_for_agreement(deployment, 1) > 0, "the instances disagree");
        for (std::uint32_t number = 0; number < instances; ++number) {
            const std::string fleet = fleet_at(deployment, number);
            cr_assert_eq(teams_with_rate(fleet, rates[winner]), 2U, "%s", fleet.c_str());
            cr_assert_eq(teams_with_rate(fleet, rates[1 - winner]), 0U);
            const auto trail = deployment.command(number, {"audit"});
            cr_assert_eq(trail.first, 0);
            for (const std::uint32_t rate : rates) {
                cr_assert_neq(trail.second.find("rate-" + std::to_string(rate)), std::string::npos,
                              "the audit trail of instance %u lacks rate-%u:\n%s", number, rate,
                              trail.second.c_str());
            }
        }
    }
}

// Guards against a change that is applied in part because the operators' command was killed.
Test(configuration, command_killed_during_apply)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    const std::string token = deployment.write_file("operator", "operator-token");
    deployment.control_platform("/control/append_delay?ms=100");
    std::uint32_t old_rate = 100;
    std::uint32_t taken = 0;
    for (std::uint32_t round = 0; round < 8; ++round) {
        const std::uint32_t rate = 200 + round;
        const std::string file =
            deployment.write_file("changed", fleet_with_rate(deployment, rate));
        child_process command;
        // The command prints no ready line; it runs on after start has returned.
        command.start(GOOSEBERRYFALL_COMMAND,
                      {"--instance=" + deployment.operators(round % instances),
                       "--token_file=" + token, "--author=tester", "apply", file},
                      std::chrono::seconds(0));
        std::this_thread::sleep_for(std::chrono::milliseconds(2 + 4 * round));
        command.kill();
        // A later change of another entry tells that all before it has been decided.
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        cr_assert(wait_for_agreement(deployment, 1) > 0, "the instances disagree");
        const std::uint32_t changed = teams_with_rate(fleet_at(deployment, 0), rate);
        cr_assert(changed == 0 || changed == 2, "%u teams changed", changed);
        cr_assert_eq(teams_with_rate(fleet_at(deployment, 0), old_rate), 2 - changed);
        taken += changed / 2;
        old_rate = changed == 2 ? rate : old_rate;
        for (std::uint32_t number = 1; number < instances; ++number) {
            cr_assert_eq(teams_with_rate(fleet_at(deployment, number), old_rate), 2U);
        }
    }
    std::fprintf(stderr, "killed commands: %u of 8 changes were accepted\n", taken);
    cr_assert(deployment.wait_until_serving(std::chrono::seconds(30)));
}

// Guards against an instance that starts with an earlier state of the log and serves it.
Test(configuration, restarted_instance_serves_the_change)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    cr_assert_eq(deployment.command(0, {"key", "withdraw", "leuven-1"}).first, 0);
    for (std::uint32_t round = 0; round < 4; ++round) {
        const std::uint32_t number = round % instances;
        deployment.fault("log-" + std::to_string(number),
                         "delay_ms=" + std::to_string(round * 100));
        deployment.instance(number).kill();
        cr_assert(deployment.start_instance(number));
        const auto end = clock_type::now() + std::chrono::seconds(40);
        unsigned known = 0;
        while (known != 200 && clock_type::now() < end) {
            const auto withdrawn = deployment.ask(number, "key-leuven", "early", 1);
            cr_assert_neq(withdrawn.head.status, 200U, "a withdrawn key works after a restart");
            known = deployment.ask(number, "key-namur", "early", 1).head.status;
        }
        cr_assert_eq(known, 200U, "the instance does not serve");
        cr_assert_eq(deployment.ask(number, "key-leuven", "late", 1).head.status, 401U);
        deployment.fault("log-" + std::to_string(number), "delay_ms=0");
    }
    for (const auto& request : deployment.seen()) {
        cr_assert(request.body.find("early") == std::string::npos ||
                      request.body.find("key-leuven") == std::string::npos,
                  "a request with a withdrawn key reached an engine");
    }
}

// Guards against an instance that serves an old configuration because it cannot read the log.
Test(configuration, instance_without_log_gets_the_change)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    deployment.fault("log-2", "mode=cut");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    cr_assert_eq(deployment.ask(2, "key-namur").head.status, 200U);
    const std::string file = deployment.write_file("changed", without_key(deployment, "leuven"));
    const auto applied = deployment.command(0, {"apply", file});
    cr_assert_eq(applied.first, 0, "%s", applied.second.c_str());
    const auto end = clock_type::now() + in_force_limit;
    unsigned status = 200;
    while (status != 401 && clock_type::now() < end) {
        status = deployment.ask(2, "key-leuven", "cut off", 1).head.status;
        std::this_thread::sleep_for(poll_step);
    }
    cr_assert_eq(status, 401U, "status %u", status);
    for (std::uint32_t turn = 0; turn < 60; ++turn) {
        cr_assert_neq(deployment.ask(2, "key-leuven", "cut off", 1).head.status, 200U,
                      "the configuration reverted");
        std::this_thread::sleep_for(poll_step);
    }
    cr_assert_eq(deployment.ask(2, "key-namur").head.status, 200U, "the instance stopped serving");
    cr_assert_eq(version_at(deployment, 2), version_at(deployment, 0));
    deployment.fault("log-2", "mode=pass");
}

// Guards against a withdrawn key that goes on working on connections that are kept alive and
// streams that are open.
Test(configuration, withdrawn_key_stops)
{
    process_deployment deployment({});
    cr_assert(deployment.start());
    kept_alive callers;
    std::vector<std::shared_ptr<kept_alive::stream>> streams;
    std::vector<std::shared_ptr<kept_alive::stream>> others;
    for (std::uint32_t number = 0; number < instances; ++number) {
        cr_assert_eq(callers.ask(deployment.callers(number), "key-leuven"), 200U);
        streams.push_back(callers.open_stream(deployment.callers(number), "key-leuven", 4000));
        others.push_back(callers.open_stream(deployment.callers(number), "key-namur", 1000));
    }
    const auto begun = clock_type::now() + std::chrono::seconds(20);
    for (const auto& stream : streams) {
        while (stream->pieces < 10 && clock_type::now() < begun) {
            std::this_thread::sleep_for(poll_step);
        }
        cr_assert(stream->pieces >= 10, "a stream did not begin");
    }
    const auto withdrawn_at = clock_type::now();
    const auto withdrawn = deployment.command(1, {"key", "withdraw", "leuven-1"});
    cr_assert_eq(withdrawn.first, 0, "%s", withdrawn.second.c_str());
    for (std::uint32_t number = 0; number < instances; ++number) {
        unsigned status = 200;
        while (status != 401 && clock_type::now() < withdrawn_at + withdrawal_limit) {
            status = callers.ask(deployment.callers(number), "key-leuven");
        }
        cr_assert_eq(status, 401U, "instance %u answers %u", number, status);
    }
    for (const auto& stream : streams) {
        while (!stream->ended && clock_type::now() < withdrawn_at + withdrawal_limit) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        cr_assert(stream->ended, "a stream of the withdrawn key is open");
        cr_assert(!stream->whole, "a stream of the withdrawn key ended as if whole");
    }
    const auto took =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - withdrawn_at);
    std::fprintf(stderr, "withdrawn everywhere after %lld ms\n",
                 static_cast<long long>(took.count()));
    const auto end = clock_type::now() + std::chrono::seconds(40);
    for (const auto& other : others) {
        while (!other->ended && clock_type::now() < end) {
            std::this_thread::sleep_for(poll_step);
        }
        cr_assert(other->whole, "a stream of another key was cut");
    }
}
