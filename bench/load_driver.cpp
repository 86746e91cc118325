/// Runs a deployment's workload against real processes that it starts on loopback, and prints a
/// table and a JSON file. docs/MEASURES.md defines the cases, figures and scores.

#include "added_latency.hpp"
#include "case_result.hpp"
#include "engine_usage.hpp"
#include "online_load.hpp"
#include "process/process_deployment.hpp"
#include "workload.hpp"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <sys/resource.h>

DEFINE_string(deployment, "verbeke", "Workload: verbeke or torsyq");
DEFINE_string(cases, "online,batch,noisy,random,log_down,engine_killed,instance_killed",
              "Cases in their order: online, batch, noisy, random, log_down, engine_killed, "
              "instance_killed, added");
DEFINE_int32(seconds, 12, "Duration of a case");
DEFINE_int32(warm_up, 2, "First seconds of a case, which are not counted");
DEFINE_int32(instances, 9, "Instances of the daemon");
DEFINE_int32(token_ms, 60, "Time between the engines' tokens, in milliseconds");
DEFINE_int32(prefill_ms, 60, "Time to an engine's first token, in milliseconds");
DEFINE_int32(prefill_cached_ms, 15, "The same with a cached prompt prefix, in milliseconds");
DEFINE_int32(cache_entries, 64, "Prompt prefixes that fit into an engine's cache");
DEFINE_uint64(seed, 1, "Seed of the arrivals");
DEFINE_int32(added_requests, 1000, "Requests of the case `added`");
DEFINE_string(settings, "",
              "Text added to the instances' settings, for example "
              "'[governor]\\nhold_back_batch = false'; \\n stands for a new line");
DEFINE_string(json, "", "File for the results as JSON");

namespace http = gooseberryfall::http;
namespace json = boost::json;

namespace {

constexpr std::uint32_t batch_jobs = 16;

/// Time between cases in which streams end and buckets fill.
constexpr std::chrono::seconds pause{4};

/// Time after the start of a case at which its fault begins.
constexpr std::chrono::seconds fault_after{4};

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double machine_load()
{
    double average = 0;
    return getloadavg(&average, 1) == 1 ? average : 0;
}

std::string settings_text()
{
    std::string text = FLAGS_settings;
    for (std::size_t at = text.find("\\n"); at != std::string::npos; at = text.find("\\n")) {
        text.replace(at, 2, "\n");
    }
    return text.empty() ? text : text + "\n";
}

deployment_options options_of(const workload& load)
{
    deployment_options options;
    options.instances = static_cast<std::uint32_t>(FLAGS_instances);
    options.engines = load.engines;
    options.slots = load.slots;
    options.data_centres = load.data_centres;
    options.limit_shards = 32;
    options.batch_partitions = 16;
    options.settings = settings_text();
    options.engine_flags = {"--token_ms=" + std::to_string(FLAGS_token_ms),
                            "--prefill_ms=" + std::to_string(FLAGS_prefill_ms),
                            "--prefill_cached_ms=" + std::to_string(FLAGS_prefill_cached_ms),
                            "--cache_entries=" + std::to_string(FLAGS_cache_entries)};
    options.teams.clear();
    for (const team_load& team : load.teams) {
        options.teams.push_back({team.name, team.rate, team.burst, team.weight});
    }
    return options;
}

/// Runs cases one after another on one deployment.
class case_runner {
public:
    case_runner(workload load, process_deployment& deployment)
        : load_(std::move(load)), deployment_(deployment)
    {
    }

    case_result run(const std::string& name)
    {
        const bool with_batch = name != "online" && name != "random";
        if (with_batch) {
            submit_jobs(name);
        }
        online_load_options options;
        options.duration = std::chrono::seconds(FLAGS_seconds);
        options.warm_up = std::chrono::seconds(FLAGS_warm_up);
        options.follow_directory = name != "random";
        options.flooding_team = name == "noisy" ? load_.teams.front().name : "";
        options.seed = FLAGS_seed;
        const double cpu_before = processor_seconds();
        http::event_loop loop("load");
        online_load online(loop, load_, addresses(), options);
        online.start();
        std::vector<process_deployment::seen_request> lost;
        std::this_thread::sleep_for(fault_after);
        begin_fault(name, lost);
        const auto teams = online.wait();
        const double cpu = processor_seconds() - cpu_before;
        end_fault(name);
        case_result result = summarize(name, teams, options.flooding_team);
        result.driver_cpu = cpu / static_cast<double>(FLAGS_seconds);
        result.machine_load = machine_load();
        auto records = deployment_.seen();
        records.insert(records.end(), lost.begin(), lost.end());
        result.usage = evaluate_usage(records, load_, online.measured_from(), online.measured_to());
        if (with_batch) {
            cancel_jobs();
        }
        std::this_thread::sleep_for(pause);
        return result;
    }

private:
    std::vector<std::string> addresses() const
    {
        std::vector<std::string> all;
        for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(FLAGS_instances);
             ++number) {
            all.push_back(deployment_.callers(number));
        }
        return all;
    }

    /// Submits more items than the idle slots can run in the case.
    void submit_jobs(const std::string& name)
    {
        const double item_seconds = load_.batch_tokens * FLAGS_token_ms / 1000.0;
        const double most = load_.engines * load_.slots * (FLAGS_seconds + 5) / item_seconds;
        const auto items = static_cast<std::uint32_t>(1.2 * most / batch_jobs);
        for (std::uint32_t job = 0; job < batch_jobs; ++job) {
            const std::string key = "key-" + load_.teams[job % load_.teams.size()].name;
            const auto instance = job % static_cast<std::uint32_t>(FLAGS_instances);
            const auto submitted = deployment_.submit(instance, key, name + std::to_string(job),
                                                      items, true, load_.batch_tokens);
            if (submitted.head.status != 200) {
                std::fprintf(stderr, "job not accepted: %s\n", submitted.body.c_str());
                continue;
            }
            jobs_.emplace_back(key, json_field(submitted.body, "id"));
        }
    }

    void cancel_jobs()
    {
        for (const auto& [key, job] : jobs_) {
            deployment_.post(0, key, "/v1/batches/" + job + "/cancel");
        }
        jobs_.clear();
    }

    void fault_logs(const std::string& change)
    {
        for (int number = 0; number < FLAGS_instances; ++number) {
            deployment_.fault("log-" + std::to_string(number), change);
        }
    }

    void begin_fault(const std::string& name,
                     std::vector<process_deployment::seen_request>& records)
    {
        if (name == "log_down") {
            fault_logs("mode=cut&close=1");
        }
        if (name == "engine_killed") {
            const std::uint32_t victim = load_.engines - 1;
            for (auto& request : deployment_.seen()) {
                if (request.engine == victim) {
                    records.push_back(std::move(request));
                }
            }
            deployment_.engine(victim).kill();
        }
        if (name == "instance_killed") {
            deployment_.instance(static_cast<std::uint32_t>(FLAGS_instances) - 1).kill();
        }
    }

    void end_fault(const std::string& name)
    {
        if (name == "log_down") {
            fault_logs("mode=pass");
            deployment_.wait_until_serving(std::chrono::seconds(20));
        }
        if (name == "engine_killed") {
            deployment_.restart_engine(load_.engines - 1);
        }
    }

    workload load_;
    process_deployment& deployment_;
    std::vector<std::pair<std::string, std::string>> jobs_;
};

bool run_added(json::object& output)
{
    deployment_options options;
    options.instances = 1;
    options.engines = 1;
    options.settings = settings_text();
    options.engine_flags = {"--prefill_ms=0", "--prefill_cached_ms=0", "--token_ms=1"};
    options.teams = {{"captions", 100000, 100000}};
    process_deployment deployment(options);
    added_latency added;
    const bool measured =
        deployment.start() &&
        added.measure(deployment.callers(0), deployment.engine_address(0), "key-captions",
                      static_cast<std::uint32_t>(FLAGS_added_requests));
    if (!measured) {
        return false;
    }
    json::object figures;
    for (const double part : {0.5, 0.95, 0.99}) {
        const double through = added.through().quantile_ms(part);
        const double direct = added.direct().quantile_ms(part);
        std::printf("added to the first token, p%.0f: %.3f ms (%.3f through, %.3f directly)\n",
                    part * 100, through - direct, through, direct);
        figures["p" + std::to_string(static_cast<int>(part * 100))] =
            json::object{{"through_ms", through}, {"direct_ms", direct}};
    }
    std::printf("machine load %.1f\n", machine_load());
    output["added"] = std::move(figures);
    return true;
}

bool run_cases(const std::vector<std::string>& names, json::object& output)
{
    const workload load = workload_of(FLAGS_deployment);
    process_deployment deployment(options_of(load));
    if (!deployment.start()) {
        return false;
    }
    std::this_thread::sleep_for(pause);
    case_runner runner(load, deployment);
    std::map<std::string, case_result> results;
    std::printf("%s", table_header().c_str());
    for (const std::string& name : names) {
        const case_result result = runner.run(name);
        std::printf("%s", table_row(result).c_str());
        std::fflush(stdout);
        output[name] = to_json(result);
        results[name] = result;
    }
    if (const auto scored = score_of(results)) {
        std::printf("online tail %.3f, worst team %.3f, batch use %.3f, no wrongful refusals "
                    "%.3f: verbeke %.3f, torsyq %.3f\n",
                    scored->online_tail, scored->worst_team, scored->batch_use,
                    scored->no_wrongful_refusals, scored->verbeke(), scored->torsyq());
        output["score"] = FLAGS_deployment == "verbeke" ? scored->verbeke() : scored->torsyq();
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures a deployment's workload on real processes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<std::string> names;
    bool added = false;
    std::stringstream list(FLAGS_cases);
    for (std::string name; std::getline(list, name, ',');) {
        if (name == "added") {
            added = true;
            continue;
        }
        names.push_back(name);
    }
    json::object output{{"deployment", FLAGS_deployment},
                        {"seed", FLAGS_seed},
                        {"seconds", FLAGS_seconds},
                        {"settings", FLAGS_settings}};
    const bool complete =
        (names.empty() || run_cases(names, output)) && (!added || run_added(output));
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << json::serialize(output) << "\n";
    }
    return complete ? EXIT_SUCCESS : EXIT_FAILURE;
}
