#include "soak/soak_run.hpp"

#include "http/http.hpp"
#include "platform/names.hpp"

#include <boost/json.hpp>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace gooseberryfall::soak {

namespace {

namespace json = boost::json;
namespace names = adapter::names;
using stand_ins::door_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr const char* host = "soak.example";
constexpr const char* team = "studio";
constexpr int internal_port = 7460;
constexpr int callers_port = 7461;
constexpr int readiness_port = 7462;
constexpr int directory_port = 7463;
constexpr std::uint32_t events = 12;
constexpr int items_of_a_job = 4;

/// Values of `link_fault`.
constexpr std::size_t link_faults = 6;

/// Between two looks for daemons that have ended.
constexpr milliseconds supervision{150};

/// Time after the last fault in which everything has to work again: a takeover of all partitions,
/// the pauses of targets, and the longest stream.
constexpr seconds recovery{25};

json::object route(const std::string& name, const std::string& kind)
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", "/" + name + "/"},
            {"kind", kind},
            {"service", "lm"},
            {"timeout_ms", 5000},
            {"goal_ms", 300},
            {"attempts", 3},
            {"resumable", name == "resumable"},
            {"retention_s", 600},
            {"result_target_ms", 18000}};
}

template <class Random>
std::size_t draw(Random& random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

} // namespace

soak_run::soak_run(soak_options options) : options_(std::move(options)), history_(team)
{
    for (std::size_t index = 0; index < options_.engines; ++index) {
        stand_ins::engine_options engine;
        engine.id = "engine-" + std::to_string(index);
        engine.events = events;
        engine.event_gap = milliseconds(15);
        engines_.push_back(std::make_unique<stand_ins::model_engine>(engine));
        engine_links_.push_back(links_.open(engines_.back()->address()));
        store_.put(names::target_topic, engine.id,
                   engines_.back()->entry(false, links_.address(engine_links_.back())));
    }
    put_state(1);
    for (std::size_t index = 0; index < options_.instances; ++index) {
        doors_.push_back(store_.open_door());
        store_links_.push_back(links_.open(store_.address(doors_.back())));
        caller_links_.push_back(links_.open(address(index, callers_port)));
        daemons_.push_back(std::make_unique<daemon_process>());
        write_settings(index, settings_text(index, 0));
    }
}

soak_run::~soak_run() = default;

std::string soak_run::address(std::size_t instance, int port) const
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(201 + process % 50) + '.' + std::to_string(process / 50 % 250) +
           '.' + std::to_string(instance + 1) + ':' + std::to_string(port);
}

std::string soak_run::caller_address(std::size_t instance) const
{
    return links_.address(caller_links_[instance]);
}

std::string soak_run::current_key() const
{
    return "key-" + std::to_string(version_.load());
}

void soak_run::put_state(std::uint64_t version)
{
    // The key of the version before stays, so that callers are never without one.
    const json::array keys{"key-" + std::to_string(version), "key-" + std::to_string(version - 1)};
    const json::object customer{
        {"name", team}, {"api_keys", keys}, {"rate_per_s", 0}, {"burst", 0}};
    const json::object state{
        {"version", version},
        {"routes",
         {route("fixed", "streaming"), route("resumable", "streaming"), route("notes", "batch")}},
        {"services", json::array{json::object{{"name", "lm"}}}},
        {"tenants", json::array{customer}}};
    store_.put(names::state_topic, names::state_key, json::serialize(state));
    version_ = version;
}

std::string soak_run::settings_text(std::size_t instance, std::uint64_t variant) const
{
    std::ostringstream out;
    out << "[instance]\nname = \"soak-" << instance
        << "\"\ndata_centre = \"a\"\ncapacity = 1.0\n[listen]\ncallers = \""
        << address(instance, callers_port) << "\"\nreadiness = \""
        << address(instance, readiness_port) << "\"\ndirectory = \""
        << address(instance, directory_port) << "\"\ninstances = \""
        << address(instance, internal_port) << "\"\n[store]\naddress = \""
        << links_.address(store_links_[instance])
        << "\"\npartitions = 2\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
           "membership_min_ms = 1000\n[bounds]\nstate_in_force_ms = "
        << 2000 - variant % 3 * 500 << "\nlimit_window_s = " << 5 + variant % 2
        << "\nlimit_overage = 0.1\nlimit_slack = 20\nresults_kept_s = " << 3600 + variant % 7
        << "\ndirectory_lifetime_max_s = 5\nleave_s = " << 8 - variant % 2 << "\n";
    return out.str();
}

std::string soak_run::file_of(std::size_t instance, const char* ending) const
{
    return options_.folder + "/" + std::to_string(instance) + ending;
}

void soak_run::write_settings(std::size_t instance, const std::string& text) const
{
    std::ofstream(file_of(instance, ".toml")) << text;
}

void soak_run::change_settings()
{
    // Its own generator, so that the other faults of a seed stay as they are.
    std::mt19937_64 random(options_.seed * 1000 + 997);
    while (!faults_over_) {
        std::this_thread::sleep_for(milliseconds(200 + draw(random, 2000)));
        const std::size_t instance = draw(random, options_.instances);
        const std::string text = settings_text(instance, random());
        const bool in_steps = draw(random, 3) == 0;
        const bool announced = draw(random, 2) == 0;
        if (in_steps) {
            write_settings(instance, text.substr(0, draw(random, text.size())));
            if (announced) {
                signal(instance, SIGHUP);
            }
            std::this_thread::sleep_for(milliseconds(draw(random, 300)));
        }
        write_settings(instance, text);
        if (announced) {
            signal(instance, SIGHUP);
        }
        note(std::string(announced ? "announced" : "silent") + " change of the settings" +
             (in_steps ? " in two steps" : "") + " of instance " + std::to_string(instance));
    }
}

void soak_run::start(std::size_t instance)
{
    if (!daemons_[instance]->start(options_.daemon, file_of(instance, ".toml"),
                                   file_of(instance, ".log"))) {
        note("cannot start " + options_.daemon);
    }
}

void soak_run::supervise()
{
    while (!ends_) {
        {
            const std::lock_guard lock(daemons_mutex_);
            for (std::size_t index = 0; index < options_.instances; ++index) {
                if (!daemons_[index]->running()) {
                    start(index);
                }
            }
        }
        std::this_thread::sleep_for(supervision);
    }
}

void soak_run::signal(std::size_t instance, int number)
{
    const std::lock_guard lock(daemons_mutex_);
    daemons_[instance]->signal(number);
}

void soak_run::note(const std::string& text)
{
    const std::lock_guard lock(notes_mutex_);
    const auto at = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun_at_);
    std::cout << static_cast<double>(at.count()) / 1000 << " s  " << text << std::endl;
}

void soak_run::send_request(std::size_t instance, const std::string& id, bool repeatable)
{
    // Both routes have the same path length, so that one body is expected of all.
    const std::string path = repeatable ? "/resumable/x" : "/fixed/x";
    const auto answer = http::call(caller_address(instance), "POST", path,
                                   {{"Host", host},
                                    {names::request_id, id},
                                    {names::time_limit, "5000"},
                                    {names::token_usage, "100,60"},
                                    {"Authorization", "Bearer " + current_key()}},
                                   "prompt", seconds(7));
    request_seen seen;
    seen.id = id;
    seen.repeatable = repeatable;
    seen.status = answer.head.status;
    seen.whole = answer.outcome == http::call_outcome::completed;
    seen.signature = answer.head.headers.get(names::signature);
    // Paths differ in the events' data; the check compares one form.
    seen.body = answer.body == stand_ins::model_engine::whole_stream(path, events) ? "expected"
                                                                                   : answer.body;
    history_.add_request(seen);
}

void soak_run::call_all_day(std::size_t caller)
{
    std::mt19937_64 random(options_.seed * 1000 + caller);
    for (int number = 0; !ends_; ++number) {
        const std::string id = "r" + std::to_string(caller) + "-" + std::to_string(number);
        send_request(draw(random, options_.instances), id, number % 3 == 0);
        std::this_thread::sleep_for(milliseconds(20 + draw(random, 60)));
    }
}

bool soak_run::submit(std::size_t instance, const std::string& job, int items)
{
    json::array list;
    for (int index = 0; index < items; ++index) {
        list.push_back(json::object{{"id", job + "-" + std::to_string(index)},
                                    {"path", "/notes/x"},
                                    {"headers", json::object{{names::token_usage, "10,60"}}},
                                    {"body", "cHJvbXB0"},
                                    {"tokens", 70}});
    }
    const auto answer = http::call(
        caller_address(instance), "POST", "/notes/" + job,
        {{"Host", host}, {names::request_id, job}, {"Authorization", "Bearer " + current_key()}},
        json::serialize(json::object{{"items", std::move(list)}}), seconds(6));
    history_.add_submission(job, items, answer.head.status);
    return answer.head.status == 202;
}

bool soak_run::read_results(std::size_t instance, const std::string& job, int items)
{
    const auto answer =
        http::call(caller_address(instance), "GET", names::job_path_prefix + job,
                   {{"Host", host}, {"Authorization", "Bearer " + current_key()}}, {}, seconds(5));
    if (answer.head.status != 200 || answer.outcome != http::call_outcome::completed) {
        return false;
    }
    const json::value page = json::parse(answer.body);
    std::vector<std::pair<std::string, std::string>> results;
    for (const json::value& entry : page.at("results").as_array()) {
        results.emplace_back(entry.at("id").as_string(), entry.at("output").as_string());
    }
    history_.add_results(job, 0, results);
    return results.size() == static_cast<std::size_t>(items);
}

void soak_run::submit_all_day()
{
    std::mt19937_64 random(options_.seed * 1000 + 999);
    for (int number = 0; !faults_over_; ++number) {
        const std::string job = "j" + std::to_string(number);
        for (int attempt = 0; attempt < 4; ++attempt) {
            if (submit(draw(random, options_.instances), job, items_of_a_job)) {
                break;
            }
            std::this_thread::sleep_for(milliseconds(300));
        }
        for (int earlier = std::max(0, number - 3); earlier <= number; ++earlier) {
            read_results(draw(random, options_.instances), "j" + std::to_string(earlier),
                         items_of_a_job);
        }
        std::this_thread::sleep_for(milliseconds(100 + draw(random, 400)));
    }
}

std::string soak_run::inject_one(std::mt19937_64& random)
{
    const std::size_t instance = draw(random, options_.instances);
    const std::size_t engine = draw(random, options_.engines);
    const std::string which = " of instance " + std::to_string(instance);
    const std::string at = " at engine " + std::to_string(engine);
    switch (draw(random, 13)) {
    case 0:
        signal(instance, SIGKILL);
        return "kill and restart" + which;
    case 1:
        signal(instance, SIGSTOP);
        std::this_thread::sleep_for(milliseconds(300 + draw(random, 3500)));
        signal(instance, SIGCONT);
        return "pause" + which;
    case 2:
        signal(instance, SIGTERM);
        return "termination" + which;
    case 3:
        store_.set_mode(doors_[instance], door_mode::busy);
        return "store refuses calls" + which;
    case 4:
        store_.set_mode(doors_[instance], door_mode::silent);
        return "store is silent for calls" + which;
    case 5:
        store_.set_mode_of_all(door_mode::lossy);
        return "store loses answers to writes";
    case 6:
        store_.set_mode_of_all(door_mode::busy);
        return "store refuses all";
    case 7:
        store_.set_mode_of_all(door_mode::open);
        return "store is back";
    case 8:
        store_.forget_history();
        return "store forgets its history";
    case 9:
        engines_[engine]->cut_after(1 + static_cast<std::uint32_t>(draw(random, events - 1)));
        return "cut streams" + at;
    case 10:
        engines_[engine]->refuse(true);
        return "refusals" + at;
    case 11:
        engines_[engine]->be_silent(true);
        return "silence" + at;
    default:
        put_state(version_ + 1);
        return "desired state " + std::to_string(version_.load());
    }
}

void soak_run::inject_faults()
{
    std::mt19937_64 random(options_.seed);
    const auto end = steady_clock::now() + options_.length;
    while (steady_clock::now() < end) {
        note(inject_one(random));
        std::this_thread::sleep_for(milliseconds(200 + draw(random, 1500)));
        // Engines are hurt one at a time, so that the service never ends for all.
        for (const auto& engine : engines_) {
            engine->refuse(false);
            engine->be_silent(false);
            engine->cut_after(0);
        }
    }
}

void soak_run::inject_link_faults()
{
    // Its own generator, so that the other faults of a seed stay as they are.
    std::mt19937_64 random(options_.seed * 1000 + 998);
    struct choice {
        const std::vector<std::size_t>* links;
        const char* name;
    };
    const std::array<choice, 3> choices{{{&caller_links_, " to instance "},
                                         {&store_links_, " to the store of instance "},
                                         {&engine_links_, " to engine "}}};
    while (!faults_over_) {
        const choice& chosen = choices[draw(random, choices.size())];
        const std::size_t number = draw(random, chosen.links->size());
        const auto fault = static_cast<link_fault>(draw(random, link_faults));
        links_.inject((*chosen.links)[number], fault, milliseconds(50 + draw(random, 400)));
        note(to_text(fault) + std::string(chosen.name) + std::to_string(number));
        std::this_thread::sleep_for(milliseconds(200 + draw(random, 2500)));
        links_.mend((*chosen.links)[number]);
        std::this_thread::sleep_for(milliseconds(draw(random, 800)));
    }
}

void soak_run::heal()
{
    links_.mend_all();
    store_.set_mode_of_all(door_mode::open);
    faults_over_ = true;
}

std::vector<std::string> soak_run::check_recovery()
{
    std::vector<std::string> broken;
    const auto end = steady_clock::now() + recovery;
    const auto within = [end](const auto& condition) {
        while (steady_clock::now() < end) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
        return condition();
    };
    put_state(version_ + 2);
    const std::string withdrawn = "key-" + std::to_string(version_ - 2);
    for (std::size_t index = 0; index < options_.instances; ++index) {
        const auto status = [&](const std::string& key) {
            return http::call(caller_address(index), "POST", "/resumable/x",
                              {{"Host", host}, {"Authorization", "Bearer " + key}}, "p", seconds(6))
                .head.status;
        };
        if (!within([&] { return status(current_key()) == 200; })) {
            broken.push_back("instance " + std::to_string(index) + " does not serve in the end");
        }
        if (!within([&] { return status(withdrawn) == 401; })) {
            broken.push_back("instance " + std::to_string(index) + " takes a withdrawn key");
        }
    }
    // An instance that was told to leave just before the end does so within eight seconds.
    std::size_t reader = 0;
    for (const auto& [job, items] : history_.accepted()) {
        within([&, id = job, count = items] {
            return read_results(++reader % options_.instances, id, count);
        });
    }
    return broken;
}

std::vector<std::string> soak_run::run()
{
    begun_at_ = steady_clock::now();
    std::vector<std::thread> threads;
    threads.emplace_back([this] { supervise(); });
    for (std::size_t caller = 0; caller < options_.callers; ++caller) {
        threads.emplace_back([this, caller] { call_all_day(caller); });
    }
    if (options_.link_faults) {
        threads.emplace_back([this] { inject_link_faults(); });
    }
    threads.emplace_back([this] { change_settings(); });
    std::thread submissions([this] { submit_all_day(); });
    inject_faults();
    heal();
    note("faults end");
    // The last job may be accepted after the last fault.
    submissions.join();
    std::vector<std::string> broken = check_recovery();
    ends_ = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    std::vector<run_seen> runs;
    for (const auto& engine : engines_) {
        for (const stand_ins::engine_run& run : engine->runs()) {
            // The recovery check's own calls have no id.
            if (!run.request.empty()) {
                runs.push_back({run.request, run.team, run.had_key});
            }
        }
    }
    for (const std::string& sentence : history_.check(runs, "expected")) {
        broken.push_back(sentence);
    }
    for (const auto& [name, count] : history_.totals()) {
        note(name + ": " + std::to_string(count));
    }
    return broken;
}

} // namespace gooseberryfall::soak
