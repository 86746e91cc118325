#include "platform/base64.hpp"
#include "platform/job_call_codec.hpp"
#include "platform/log_store.hpp"
#include "platform/names.hpp"
#include "platform/platform_protocol.hpp"
#include "platform/request_codec.hpp"
#include "platform/settings.hpp"
#include "platform/state_codec.hpp"

#include <criterion/criterion.h>

#include <string>

namespace adapter = gooseberryfall::adapter;
namespace config = gooseberryfall::config;
namespace edge = gooseberryfall::edge;
namespace http = gooseberryfall::http;
namespace names = gooseberryfall::adapter::names;
namespace serving = gooseberryfall::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string settings_text = R"([instance]
name = "edge-1"
data_centre = "a"
capacity = 0.5

[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
directory = "127.0.0.1:3"
instances = "127.0.0.1:4"

[store]
address = "127.0.0.1:5"
partitions = 8
record_bytes = 262144
call_bytes = 2097152
membership_min_ms = 1000

[bounds]
state_in_force_ms = 2000
limit_window_s = 5
limit_overage = 0.1
limit_slack = 20
results_kept_s = 120
directory_lifetime_max_s = 5
leave_s = 8
)";

http::request caller_request()
{
    http::request request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.headers = {{"Host", "h.example:80"},
                       {"Authorization", "Bearer k"},
                       {names::request_id, "id"},
                       {names::time_limit, "1500"},
                       {names::tokens, "100,60"},
                       {names::length_hint, "40"},
                       {names::prompt_parts, "aa:10,bb:20,cc:30"},
                       {names::team, "forged"},
                       {"Connection", "close"},
                       {"X-Other", "kept"}};
    request.body = "prompt";
    return request;
}

/// First problem of a changed settings file.
std::string first_problem(const std::string& from, const std::string& to)
{
    std::string text = settings_text;
    text.replace(text.find(from), from.size(), to);
    const auto settings = adapter::parse_settings(text, "edge.toml");
    cr_assert_not(settings.has_value());
    return config::to_text(settings.error().front());
}

} // namespace

// Guards against a wrong reading of the operator's desired state.
Test(state_codec, reads_a_desired_state)
{
    const auto state = adapter::decode_state(
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"streaming",
        "timeout_ms":5000,"goal_ms":300,"split":[{"service":"a","weight":90},
        {"service":"b","weight":10}],"attempts":2,"public":true,"resumable":true},
        {"name":"b","host":"h","path_prefix":"/n/","kind":"batch","goal_ms":400,"service":"a",
        "result_target_ms":18000,"retention_s":60,"cap":1000}],
        "services":[{"name":"a","max_conns":290}],"limits":{"max_body_bytes":10},
        "tenants":[{"name":"t","api_keys":["k","l"],"rate_per_s":46,"burst":40}]})");
    cr_assert(state.has_value());
    cr_assert_eq(state->version, 7U);
    const serving::route& route = state->routes.front();
    cr_assert(route.kind == serving::request_kind::streaming && route.resumable && route.open);
    cr_assert(route.repeatable());
    cr_assert_eq(route.services.size(), 2U);
    cr_assert(route.objective == milliseconds(300));
    const serving::route& batch = state->routes.back();
    cr_assert(batch.batch.retention == seconds(60));
    cr_assert_eq(batch.batch.waiting_tokens_max, 1000U);
    cr_assert(state->keyed);
    cr_assert_eq(state->teams.front().keys.size(), 2U);
    cr_assert_eq(state->limits.body_bytes, 10U);
}

// Guards against a process that ends, or takes half a state, because the record is malformed.
Test(state_codec, malformed_states_and_entries_are_errors)
{
    cr_assert_not(adapter::decode_state("{").has_value());
    cr_assert_not(adapter::decode_state("[]").has_value());
    cr_assert_not(adapter::decode_state(R"({"routes":[]})").has_value());
    cr_assert_not(adapter::decode_state(R"({"version":1,"routes":[{"name":3}]})").has_value());
    cr_assert_not(adapter::decode_state(R"({"version":1,"routes":7})").has_value());
    const std::string good = R"({"service":"a","address":"1.2.3.4:5","zone":"z","slots":8,)"
                             R"("state":"draining","born":12})";
    const auto entry = adapter::decode_target("i", good);
    cr_assert(entry.has_value() && entry->draining && entry->started_at == 12);
    for (const char* bad : {R"({"service":"a","address":"x","slots":8,"state":"odd"})",
                            R"({"service":7,"address":"x","slots":8,"state":"ready"})",
                            R"({"service":"a","address":"x","slots":"8","state":"ready"})",
                            R"({"service":"a","slots":8,"state":"ready"})", "\xff", ""}) {
        cr_assert_not(adapter::decode_target("i", bad).has_value(), "%s", bad);
    }
}

// Guards against a caller that sets what only the system may set, and against keys at targets.
Test(request_codec, only_the_system_sets_its_headers)
{
    const auto request = adapter::decode_request(caller_request());
    cr_assert(request.has_value());
    cr_assert(request->host == "h.example" && request->path == "/a/b");
    cr_assert(request->key == std::optional<std::string>("k"));
    cr_assert(request->time_limit == std::optional(milliseconds(1500)));
    cr_assert_eq(request->tokens, 40U);
    cr_assert_eq(request->prefixes.size(), 2U);
    edge::target_send send;
    send.target = gooseberryfall::core::target_id("i");
    send.time_left = milliseconds(900);
    send.last_event = 4;
    const auto sent = adapter::encode_target_request(*request, send);
    cr_assert(sent.target == "/a/b?c=d" && sent.body == "prompt");
    cr_assert_null(sent.headers.find("Authorization"));
    cr_assert_null(sent.headers.find(names::team));
    cr_assert_null(sent.headers.find("Connection"));
    cr_assert(sent.headers.get("X-Other") == "kept");
    cr_assert(sent.headers.get(names::time_limit) == "900");
    cr_assert(sent.headers.get(names::expected_target) == "i");
    cr_assert(sent.headers.get(names::last_event) == "4");
}

// Guards against answers of other requests and against false promises.
Test(platform_protocol, tells_answers_apart)
{
    const adapter::platform_protocol protocol;
    http::response_head head{200, {{names::request_id, "id"}, {names::signature, "s"}}};
    cr_assert(protocol.read_answer(head, "id").ours);
    cr_assert(protocol.read_answer(head, "id").authentic);
    cr_assert_not(protocol.read_answer(head, "other").ours);
    head.headers.set("Content-Encoding", "gzip");
    cr_assert_not(protocol.read_answer(head, "id").authentic);
    const http::response_head unsure{503, {{names::request_id, "id"}}};
    cr_assert_not(protocol.read_answer(unsure, "id").not_run);
    const http::response_head sure{503, {{names::request_id, "id"}, {names::not_run, "1"}}};
    cr_assert(protocol.read_answer(sure, "id").not_run);
    const http::response_head elsewhere{421, {}};
    cr_assert(protocol.read_answer(elsewhere, "id").not_run);
    const auto failed =
        protocol.encode_refusal(edge::refusal_reason::target_failed, "id", milliseconds(100));
    cr_assert_eq(failed.status, 502U);
    cr_assert(failed.headers.get(names::retry_after).empty());
}

// Guards against calls about jobs that are misread.
Test(job_call_codec, reads_the_calls)
{
    http::request received = caller_request();
    received.body =
        R"({"items":[{"id":"i","path":"/p","headers":{"A":"b"},"body":"cHJv","tokens":9}]})";
    auto request = adapter::decode_request(received);
    auto call = adapter::decode_job_call(*request, true);
    cr_assert(call.has_value());
    const auto& job = std::get<edge::submit_job>(*call).job;
    cr_assert(job.id == "id" && job.items.front().body == "pro" && job.items.front().tokens == 9);

    received.method = "GET";
    received.target = std::string(names::results_prefix) + "j?after=12";
    received.headers.set(names::wait, "5000");
    request = adapter::decode_request(received);
    call = adapter::decode_job_call(*request, false);
    const auto& read = std::get<edge::read_results>(*call);
    cr_assert(read.job == "j" && read.from == 12 && read.wait == seconds(1));

    received.method = "POST";
    received.body = R"({"items":[{"id":"i","path":"/p","body":"%%%%"}]})";
    request = adapter::decode_request(received);
    cr_assert_not(adapter::decode_job_call(*request, true).has_value());
}

// Guards against delays that callers read as whole seconds.
Test(job_call_codec, delays_have_fractions)
{
    cr_assert(adapter::retry_after_text(milliseconds(350)) == "0.350");
    cr_assert(adapter::retry_after_text(milliseconds(-5)) == "0.001");
}

// Guards against records that are read at other borders than they were written.
Test(log_store, records_survive_the_framing)
{
    const std::string body = adapter::encode_records({{"key", "value"}, {"k", ""}});
    const std::string head = std::string(7, '\0') + '\x05' + std::string(8, '\0');
    const auto page = adapter::decode_read(head + body);
    cr_assert(page.has_value());
    cr_assert_eq(page->end_offset, 5U);
    cr_assert_eq(page->records.size(), 2U);
    cr_assert(page->records[0].key == "key" && page->records[0].value == "value");
    cr_assert(page->records[1].value.empty());
    cr_assert_not(adapter::decode_read("short").has_value());
    cr_assert_not(adapter::decode_read(head + body.substr(0, body.size() - 1)).has_value());
}

Test(base64, decodes_and_rejects)
{
    cr_assert(adapter::decode_base64("cHJvbXB0") == std::optional<std::string>("prompt"));
    cr_assert(adapter::decode_base64("YQ==") == std::optional<std::string>("a"));
    cr_assert(adapter::decode_base64("") == std::optional<std::string>(""));
    cr_assert_not(adapter::decode_base64("abc").has_value());
    cr_assert_not(adapter::decode_base64("%%%%").has_value());
}

// Guards against settings that are misread or silently ignored.
Test(settings, reads_and_checks_the_file)
{
    const auto settings = adapter::parse_settings(settings_text, "edge.toml");
    cr_assert(settings.has_value());
    cr_assert(settings->edge.self.name == "edge-1");
    cr_assert(settings->edge.dynamic.state_poll_interval < milliseconds(1000));
    cr_assert(settings->edge.dynamic.leave_timeout < seconds(8));
    cr_assert(settings->edge.dynamic.fleet.tolerance.window == seconds(5));
    cr_assert_eq(settings->edge.dynamic.fleet.tolerance.slack, 20);
    cr_assert(settings->edge.dynamic.directory_ttl <= seconds(5));
    cr_assert(first_problem("capacity = 0.5", "capacity = \"x\"") ==
              "edge.toml:4: instance.capacity: a number from 0.001 to 1024 is expected");
    cr_assert(first_problem("leave_s = 8", "leave_s = 8\nodd = 1") ==
              "edge.toml:27: bounds.odd: is not a known setting");
    cr_assert(first_problem("address = \"127.0.0.1:5\"", "") ==
              "edge.toml: store.address: is missing");
}

// Guards against changed settings that are silently left out: each one takes effect at once or is
// named as one that needs a restart.
Test(settings, changes_take_effect_or_need_a_restart)
{
    const auto before = adapter::parse_settings(settings_text, "edge.toml");
    const auto changed = [&](const std::string& from, const std::string& to) {
        std::string text = settings_text;
        text.replace(text.find(from), from.size(), to);
        const auto after = adapter::parse_settings(text, "edge.toml");
        cr_assert(after.has_value());
        return adapter::compare_settings(*before, *after);
    };
    const auto same = changed("leave_s = 8", "leave_s = 8");
    cr_assert(same.dynamic == before->edge.dynamic);
    cr_assert(same.needs_restart.empty());
    const auto bounds = changed("limit_window_s = 5", "limit_window_s = 7");
    cr_assert(bounds.dynamic.fleet.tolerance.window == seconds(7));
    cr_assert(bounds.needs_restart.empty());
    const auto fixed = changed("capacity = 0.5", "capacity = 0.25");
    cr_assert(fixed.dynamic == before->edge.dynamic);
    cr_assert_eq(fixed.needs_restart.size(), 1U);
    cr_assert(fixed.needs_restart.front() == "instance.capacity");
}
