#include "edge/edge_deployment.hpp"

#include "platform/log_store.hpp"
#include "platform/names.hpp"
#include "platform/platform_protocol.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace adapter = gooseberryfall::adapter;
namespace core = gooseberryfall::core;
namespace edge = gooseberryfall::edge;
namespace http = gooseberryfall::http;
namespace names = gooseberryfall::adapter::names;
namespace stand_ins = gooseberryfall::stand_ins;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr const char* host = "proofs.example";
/// Job whose acceptance shows that an instance serves.
constexpr const char* warm_job = "warm";
constexpr int internal_port = 7360;
constexpr int callers_port = 7361;
constexpr int readiness_port = 7362;
constexpr int directory_port = 7363;

/// Loopback address of an instance of this process. Ids of test processes that run in parallel
/// differ in their lower bits.
std::string address_of(std::size_t instance)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + process % 200) + '.' + std::to_string(process / 200 % 250) +
           '.' + std::to_string(instance + 1);
}

std::string endpoint(std::size_t instance, int port)
{
    return address_of(instance) + ':' + std::to_string(port);
}

json::object route(const std::string& name, const std::string& prefix, const std::string& kind)
{
    return {{"name", name},    {"host", host},       {"path_prefix", prefix},
            {"kind", kind},    {"timeout_ms", 5000}, {"goal_ms", 300},
            {"service", "lm"}, {"attempts", 3},      {"public", false}};
}

json::object batch_route(const std::string& name, const std::string& prefix,
                         const std::string& service, std::chrono::seconds item_lifetime)
{
    json::object batch = route(name, prefix, "batch");
    batch["service"] = service;
    batch["result_target_ms"] = 18000;
    batch["retention_s"] = item_lifetime.count();
    batch["cap"] = 100000;
    return batch;
}

} // namespace

std::size_t result_count(const std::string& body)
{
    return body.empty() ? 0 : json::parse(body).at("results").as_array().size();
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit)
{
    const auto end = steady_clock::now() + limit;
    while (steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
}

edge_deployment::edge_deployment(options deployment_options)
    : options_(std::move(deployment_options))
{
    for (std::size_t index = 0; index < options_.engines; ++index) {
        stand_ins::engine_options engine;
        engine.id = "engine-" + std::to_string(index);
        engine.slots = options_.slots;
        engine.events = options_.events;
        engine.event_interval = options_.event_interval;
        if (index < options_.engine_data_centres.size()) {
            engine.data_centre = options_.engine_data_centres[index];
        }
        engines.push_back(std::make_unique<stand_ins::model_engine>(engine));
        store.put(names::target_topic, engine.id, engines.back()->target_entry());
    }
    put_state(1, {"key-a"});
    nodes.resize(options_.instances);
    logs_.resize(options_.instances);
    loops_.resize(options_.instances);
    for (std::size_t index = 0; index < options_.instances; ++index) {
        store_listeners_.push_back(store.open_listener());
    }
    for (std::size_t index = 0; index < options_.instances; ++index) {
        start(index);
    }
}

edge_deployment::~edge_deployment()
{
    // The nodes write to the log streams, so destroy them first.
    nodes.clear();
}

void edge_deployment::put_state(std::uint64_t version, const std::vector<std::string>& keys,
                                const route_changes& changes)
{
    json::object fixed = route("fixed", "/fixed/", "streaming");
    json::object resumable = route("resumable", "/resumable/", "streaming");
    resumable["resumable"] = true;
    json::array routes{fixed, resumable,
                       batch_route("notes", "/notes/", "lm", options_.item_lifetime)};
    json::object engine_service{{"name", "lm"}};
    if (options_.cold_rate > 0) {
        engine_service["cold_start_s"] = 3.0;
        engine_service["cold_per_s"] = options_.cold_rate;
    }
    json::array services{std::move(engine_service)};
    if (options_.has_idle_service) {
        routes.push_back(batch_route("idle", "/idle/", "idle", options_.item_lifetime));
        services.push_back(json::object{{"name", "idle"}});
    }
    for (const auto& entry : changes) {
        const route_change& change = entry.second;
        const auto changed = std::find_if(routes.begin(), routes.end(), [&](const auto& each) {
            return each.at("name").as_string() == entry.first;
        });
        if (change.removed) {
            routes.erase(changed);
            continue;
        }
        changed->as_object()["service"] = change.service;
        if (!change.kind.empty()) {
            changed->as_object()["kind"] = change.kind;
        }
        if (change.service != "lm") {
            services.push_back(json::object{{"name", change.service}});
        }
    }
    const json::object team{{"name", "studio"},
                            {"api_keys", json::array(keys.begin(), keys.end())},
                            {"rate_per_s", options_.rate},
                            {"burst", options_.burst}};
    const json::object state{{"version", version},
                             {"routes", std::move(routes)},
                             {"services", std::move(services)},
                             {"limits",
                              {{"max_header_bytes", options_.header_bytes},
                               {"max_body_bytes", options_.body_bytes},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", 15000}}},
                             {"tenants", json::array{team}}};
    store.put(names::state_topic, names::state_key, json::serialize(state));
}

void edge_deployment::list_engine(std::size_t engine, const std::string& service)
{
    json::object entry = json::parse(engines.at(engine)->target_entry()).as_object();
    entry["service"] = service;
    store.put(names::target_topic, engines[engine]->id(), json::serialize(entry));
}

void edge_deployment::remove_engine(std::size_t engine)
{
    store.put(names::target_topic, engines.at(engine)->id(), {});
}

void edge_deployment::evacuate(const std::string& data_centre, bool evacuated)
{
    store.put(names::state_topic, std::string(names::evacuation_key_prefix) + data_centre,
              evacuated ? "{}" : "");
}

std::optional<double> edge_deployment::metric(std::size_t instance, const std::string& name) const
{
    const std::string body = http::call(internal_address(instance), "GET", "/metrics").body;
    const auto begin = body.find("\n" + name + " ");
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    return std::stod(body.substr(begin + name.size() + 2));
}

void edge_deployment::disturb_store(std::size_t instance, stand_ins::listener_mode mode)
{
    store.set_mode(store_listeners_.at(instance), mode);
}

void edge_deployment::start(std::size_t instance)
{
    edge::edge_settings settings;
    settings.self.id = core::instance_id(endpoint(instance, internal_port));
    settings.self.name = "instance-" + std::to_string(instance);
    settings.self.data_centre = core::data_centre_id("a");
    settings.self.callers_address = callers_address(instance);
    settings.self.started_at = 1'000'000 + ++start_count_;
    if (instance < options_.capacities.size()) {
        settings.self.capacity = options_.capacities[instance];
    }
    settings.readiness_address = readiness_address(instance);
    settings.directory_address = directory_address(instance);
    settings.jobs.group.topics = 1;
    settings.jobs.partitions = 2;
    settings.dynamic.results_retention = options_.results_retention;
    settings.jobs.partition.results_retention_margin = milliseconds(0);
    settings.dynamic.intake_grace = milliseconds(500);
    settings.dynamic.leave_timeout = options_.leave_timeout;
    settings.dynamic.state_poll_interval = options_.state_poll_interval;
    settings.dynamic.fleet.cold = {1.5, 5};
    const std::string store_address = store.address(store_listeners_.at(instance));
    gooseberryfall::kernel::logger_settings log;
    logs_.at(instance) = std::make_unique<std::ostringstream>();
    log.out = logs_.at(instance).get();
    nodes.at(instance) =
        edge::edge_node::builder()
            .with_settings(settings)
            .with_protocol(std::make_unique<adapter::platform_protocol>())
            .with_store([&node_loop = loops_.at(instance), store_address](
                            http::event_loop& loop, gooseberryfall::kernel::metrics& metrics) {
                node_loop = &loop;
                adapter::log_store_settings client;
                client.address = store_address;
                return std::make_unique<adapter::log_store>(loop, metrics, client);
            })
            .with_log(log)
            .build();
    const auto started = nodes.at(instance)->start();
    if (!started) {
        throw std::runtime_error(started.error());
    }
}

void edge_deployment::kill(std::size_t instance)
{
    nodes.at(instance).reset();
}

std::string edge_deployment::log_output(std::size_t instance) const
{
    assert(nodes.at(instance) == nullptr);
    return logs_.at(instance)->str();
}

void edge_deployment::restart(std::size_t instance)
{
    start(instance);
}

void edge_deployment::freeze(std::size_t instance, milliseconds duration)
{
    loops_.at(instance)->post([duration] { std::this_thread::sleep_for(duration); });
}

std::string edge_deployment::callers_address(std::size_t instance) const
{
    return endpoint(instance, callers_port);
}

std::string edge_deployment::readiness_address(std::size_t instance) const
{
    return endpoint(instance, readiness_port);
}

std::string edge_deployment::directory_address(std::size_t instance) const
{
    return endpoint(instance, directory_port);
}

std::string edge_deployment::internal_address(std::size_t instance) const
{
    return endpoint(instance, internal_port);
}

http::call_result edge_deployment::call(std::size_t instance, const std::string& method,
                                        const std::string& target,
                                        const http::header_fields& headers, const std::string& body)
{
    http::header_fields all = headers;
    all.set("Host", host);
    return http::call(callers_address(instance), method, target, all, body);
}

http::call_result edge_deployment::stream(std::size_t instance, const std::string& id,
                                          bool resumable, const std::string& key)
{
    return call(instance, "POST", resumable ? "/resumable/x" : "/fixed/x",
                {{names::request_id, id},
                 {names::time_limit, "5000"},
                 {names::token_usage, "100,50"},
                 {"Authorization", "Bearer " + key}},
                "prompt");
}

unsigned edge_deployment::submit(std::size_t instance, const std::string& job, int items,
                                 const std::string& route)
{
    json::array list;
    for (int index = 0; index < items; ++index) {
        list.push_back(json::object{{"id", job + "-" + std::to_string(index)},
                                    {"path", route + job + "/" + std::to_string(index)},
                                    {"headers", json::object{{names::token_usage, "10,50"}}},
                                    {"body", "cHJvbXB0"},
                                    {"tokens", 60}});
    }
    return call(instance, "POST", route + job,
                {{names::request_id, job}, {"Authorization", "Bearer key-a"}},
                json::serialize(json::object{{"items", std::move(list)}}))
        .head.status;
}

http::call_result edge_deployment::results(std::size_t instance, const std::string& job, int after)
{
    return call(instance, "GET", names::job_path_prefix + job + "?after=" + std::to_string(after),
                {{"Authorization", "Bearer key-a"}});
}

std::string edge_deployment::wait_for_results(std::size_t instance, const std::string& job,
                                              int items, std::chrono::seconds limit)
{
    std::string body;
    wait_until(
        [&] {
            const auto page = results(instance, job);
            body = page.body;
            return page.head.status == 200 && result_count(body) == static_cast<std::size_t>(items);
        },
        limit);
    return body;
}

unsigned edge_deployment::cancel_job(std::size_t instance, const std::string& job)
{
    return call(instance, "DELETE", names::job_path_prefix + job,
                {{"Authorization", "Bearer key-a"}})
        .head.status;
}

void edge_deployment::wait_until_serving()
{
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        const bool serves = wait_until([&] {
            return stream(index, "warm-" + std::to_string(index)).head.status == 200 &&
                   submit(index, warm_job, 1) == 202;
        });
        if (!serves) {
            throw std::runtime_error("instance " + std::to_string(index) +
                                     " does not serve within the time limit");
        }
    }
}

void edge_deployment::wait_until_idle()
{
    wait_until_serving();
    if (result_count(wait_for_results(0, warm_job, 1)) != 1) {
        throw std::runtime_error("the first job does not end within the time limit");
    }
}

bool edge_deployment::wait_for_targets(int count) const
{
    const std::string expected = "\nfleet_targets " + std::to_string(count) + "\n";
    return wait_until([&] {
        return http::call(internal_address(0), "GET", "/metrics").body.find(expected) !=
               std::string::npos;
    });
}

std::vector<stand_ins::engine_run> edge_deployment::runs_of(const std::string& request) const
{
    std::vector<stand_ins::engine_run> result;
    for (const auto& engine : engines) {
        for (const stand_ins::engine_run& run : engine->runs()) {
            if (run.run_id == request) {
                result.push_back(run);
            }
        }
    }
    return result;
}
