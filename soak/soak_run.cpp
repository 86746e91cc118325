#include "soak/soak_run.hpp"

#include "http/http.hpp"
#include "platform/names.hpp"

#include <boost/json.hpp>

#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <utility>

namespace gooseberryfall::soak {

namespace {

namespace json = boost::json;
namespace names = adapter::names;
using stand_ins::listener_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr const char* host = "soak.example";
constexpr const char* team = "studio";
constexpr int internal_port = 7460;
constexpr int callers_port = 7461;
constexpr int readiness_port = 7462;
constexpr int directory_port = 7463;
constexpr std::uint32_t events_per_stream = 12;
constexpr int items_per_job = 4;
constexpr const char* item_path = "/notes/x";

/// Number of values of `link_fault`.
constexpr std::size_t link_fault_count = 6;

/// Time for which an engine is down after a crash.
constexpr milliseconds crash_down_time{700};

/// Time for which requests with a part that crashes engines come after all other faults: twice
/// `settle_time`, and some seconds in which sound requests are counted.
constexpr seconds crashing_part_duration{12};

/// One of so many requests of a caller has the part that crashes engines.
constexpr int crashing_part_period = 8;

/// The pace of so many runs is drawn from slow ones; the others have `usual_event_interval`.
constexpr std::size_t slow_run_period = 6;
constexpr milliseconds usual_event_interval{15};

/// Half of the engines end one of so many runs properly, but inside an event.
constexpr std::size_t truncated_run_period = 16;

/// Links to engines connect from `127.0.0.N`, where N is the number of the sending instance and
/// this one.
constexpr unsigned sender_address_base = 100;

boost::asio::ip::address make_sender_address(std::optional<std::size_t> instance)
{
    const auto last = instance ? sender_address_base + static_cast<unsigned>(*instance) : 1U;
    return boost::asio::ip::make_address("127.0.0." + std::to_string(last));
}

std::optional<std::size_t> parse_sender_address(const std::string& endpoint)
{
    const std::size_t begin = endpoint.find_last_of('.') + 1;
    const unsigned long last = std::stoul(endpoint.substr(begin));
    if (last < sender_address_base) {
        return std::nullopt;
    }
    return last - sender_address_base;
}

std::string crashing_part_name(unsigned number)
{
    return "deadly-" + std::to_string(number);
}

/// Service of a further engine, to which the batch route goes in some versions of the state.
constexpr const char* second_service = "lm-next";
/// In one of so many versions the batch route goes to that service, and in one there is none.
constexpr std::uint64_t route_cycle = 6;
constexpr std::uint64_t moved_route_version = 2;
constexpr std::uint64_t removed_route_version = 5;

/// Capacity of an instance beside one that owns all jobs.
constexpr double small_capacity = 0.25;

/// Interval at which daemons that have exited are restarted.
constexpr milliseconds supervision_interval{150};

/// Time after the last fault within which the service must have recovered. Covers the takeover of
/// all partitions, the pauses of targets after failures, and the longest stream.
constexpr seconds recovery_timeout{25};

json::object make_route(const std::string& name, const std::string& kind,
                        const std::string& service = "lm")
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", "/" + name + "/"},
            {"kind", kind},
            {"service", service},
            {"timeout_ms", 5000},
            {"goal_ms", 300},
            {"attempts", 3},
            {"resumable", name == "resumable"},
            {"retention_s", 600},
            {"result_target_ms", 18000}};
}

/// Random number from 0 to `count` - 1.
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
        engine.events = events_per_stream;
        engine.pace = [this, index](const std::string& run_id) { return draw_pace(index, run_id); };
        engines_.push_back(std::make_unique<stand_ins::model_engine>(engine));
        engine_links_.push_back(links_.open_to_engine(
            engines_.back()->address(),
            [this](const boost::asio::ip::tcp::endpoint& client, std::uint16_t link_port) {
                return make_sender_address(find_sender(client.port(), link_port));
            }));
        store_.put(names::target_topic, engine.id,
                   engines_.back()->target_entry(false, links_.address(engine_links_.back())));
    }
    const auto& further = engines_.emplace_back(std::make_unique<stand_ins::model_engine>(
        stand_ins::engine_options{.id = "engine-next",
                                  .events = events_per_stream,
                                  .event_interval = usual_event_interval}));
    json::object entry = json::parse(further->target_entry()).as_object();
    entry["service"] = second_service;
    store_.put(names::target_topic, further->id(), json::serialize(entry));
    publish_state(1);
    for (std::size_t index = 0; index < options_.instances; ++index) {
        store_listeners_.push_back(store_.open_listener());
        store_links_.push_back(links_.open(store_.address(store_listeners_.back())));
        caller_links_.push_back(links_.open(address(index, callers_port)));
        daemons_.push_back(std::make_unique<daemon_process>());
        write_settings(index, settings_text(index, 0));
    }
}

soak_run::~soak_run() = default;

stand_ins::run_pace soak_run::draw_pace(std::size_t engine, const std::string& run_id) const
{
    // A separate generator keeps the faults of a seed unchanged.
    std::mt19937_64 random(options_.seed * 1000 + 994 +
                           std::hash<std::string>()(run_id + '@' + std::to_string(engine)));
    stand_ins::run_pace pace{.event_interval = usual_event_interval};
    pace.truncated_after = draw_truncation(engine, run_id);
    if (run_id.empty() || draw(random, slow_run_period) != 0) {
        return pace;
    }
    switch (draw(random, 3)) {
    case 0:
        pace.prefill = milliseconds(400 + draw(random, 1800));
        break;
    case 1:
        pace.event_interval = milliseconds(50 + draw(random, 150));
        break;
    default:
        pace.pause = milliseconds(1000 + draw(random, 1500));
    }
    return pace;
}

std::optional<std::uint32_t> soak_run::draw_truncation(std::size_t engine,
                                                       const std::string& run_id) const
{
    const bool is_faulty = engine < options_.engines / 2;
    if (!is_faulty || faults_over_) {
        return std::nullopt;
    }
    std::mt19937_64 random(options_.seed * 1000 + 993 +
                           std::hash<std::string>()(run_id + '#' + std::to_string(engine)));
    if (draw(random, truncated_run_period) != 0) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(draw(random, events_per_stream));
}

std::optional<std::size_t> soak_run::find_sender(std::uint16_t sender_port, std::uint16_t link_port)
{
    const std::lock_guard lock(daemons_mutex_);
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
        if (daemons_[index]->holds_connection(sender_port, link_port)) {
            return index;
        }
    }
    return std::nullopt;
}

void soak_run::disturb_store(std::optional<std::size_t> instance, listener_mode mode)
{
    store_disturbances_.push_back(
        history_.begin_disturbance({.instance = instance}, steady_clock::now()));
    if (instance) {
        store_.set_mode(store_listeners_[*instance], mode);
    }
    else {
        store_.set_all_modes(mode);
    }
}

void soak_run::restore_store()
{
    store_.set_all_modes(listener_mode::normal);
    for (const std::size_t number : std::exchange(store_disturbances_, {})) {
        history_.end_disturbance(number, steady_clock::now());
    }
}

std::string soak_run::address(std::size_t instance, int port) const
{
    // The process id selects the addresses, so that concurrent runs use different ones.
    const auto process_id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(201 + process_id % 50) + '.' +
           std::to_string(process_id / 50 % 250) + '.' + std::to_string(instance + 1) + ':' +
           std::to_string(port);
}

std::string soak_run::caller_address(std::size_t instance) const
{
    return links_.address(caller_links_[instance]);
}

std::string soak_run::current_key() const
{
    return "key-" + std::to_string(state_version_.load());
}

void soak_run::publish_state(std::uint64_t version)
{
    // The previous version's key stays valid, so that callers always have a valid key.
    const json::array keys{"key-" + std::to_string(version), "key-" + std::to_string(version - 1)};
    const json::object customer{
        {"name", team}, {"api_keys", keys}, {"rate_per_s", 0}, {"burst", 0}};
    json::array routes{make_route("fixed", "streaming"), make_route("resumable", "streaming")};
    if (version % route_cycle != removed_route_version) {
        const bool moved = version % route_cycle == moved_route_version;
        routes.push_back(make_route("notes", "batch", moved ? second_service : "lm"));
    }
    const json::object state{{"version", version},
                             {"routes", std::move(routes)},
                             {"services", json::array{json::object{{"name", "lm"}},
                                                      json::object{{"name", second_service}}}},
                             {"tenants", json::array{customer}}};
    store_.put(names::state_topic, names::state_key, json::serialize(state));
    state_version_ = version;
}

std::string soak_run::settings_text(std::size_t instance, std::uint64_t variant) const
{
    std::ostringstream toml;
    toml << "[instance]\nname = \"soak-" << instance << "\"\ndata_centre = \"a\"\ncapacity = "
         << (has_large_instance() && instance != 0 ? small_capacity : 1.0)
         << "\n[listen]\ncallers = \"" << address(instance, callers_port) << "\"\nreadiness = \""
         << address(instance, readiness_port) << "\"\ndirectory = \""
         << address(instance, directory_port) << "\"\ninstances = \""
         << address(instance, internal_port) << "\"\n[store]\naddress = \""
         << links_.address(store_links_[instance])
         << "\"\npartitions = 2\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
            "membership_min_ms = 1000\n[bounds]\nstate_in_force_ms = "
         << 2000 - variant % 3 * 500 << "\nlimit_window_s = " << 5 + variant % 2
         << "\nlimit_overage = 0.1\nlimit_slack = 20\nresults_kept_s = " << 3600 + variant % 7
         << "\ndirectory_lifetime_max_s = 5\nleave_s = " << 8 - variant % 2 << "\n";
    return toml.str();
}

std::string soak_run::instance_file(std::size_t instance, const char* extension) const
{
    return options_.folder + "/" + std::to_string(instance) + extension;
}

void soak_run::write_settings(std::size_t instance, const std::string& text) const
{
    std::ofstream(instance_file(instance, ".toml")) << text;
}

void soak_run::inject_settings_changes()
{
    // A separate generator keeps the other faults of a seed unchanged.
    std::mt19937_64 random(options_.seed * 1000 + 997);
    while (!faults_over_) {
        std::this_thread::sleep_for(milliseconds(200 + draw(random, 2000)));
        const std::size_t instance = draw(random, options_.instances);
        const std::string text = settings_text(instance, random());
        const bool in_two_steps = draw(random, 3) == 0;
        const bool with_signal = draw(random, 2) == 0;
        if (in_two_steps) {
            write_settings(instance, text.substr(0, draw(random, text.size())));
            if (with_signal) {
                send_signal(instance, SIGHUP);
            }
            std::this_thread::sleep_for(milliseconds(draw(random, 300)));
        }
        write_settings(instance, text);
        if (with_signal) {
            send_signal(instance, SIGHUP);
        }
        log_event(std::string(with_signal ? "signalled" : "unsignalled") +
                  " change of the settings" + (in_two_steps ? " in two writes" : "") +
                  " of instance " + std::to_string(instance));
    }
}

void soak_run::inject_leaving_engines()
{
    // A separate generator keeps the other faults of a seed unchanged.
    std::mt19937_64 random(options_.seed * 1000 + 996);
    std::vector<std::int64_t> started_at(options_.engines, stand_ins::model_engine::first_start);
    while (!faults_over_) {
        std::this_thread::sleep_for(milliseconds(300 + draw(random, 2500)));
        if (faults_over_) {
            return;
        }
        const std::size_t index = draw(random, options_.engines);
        stand_ins::model_engine& engine = *engines_[index];
        const std::string link = links_.address(engine_links_[index]);
        engine.set_leaving(true);
        log_event("engine " + std::to_string(index) + " leaves");
        std::this_thread::sleep_for(milliseconds(500 + draw(random, 4000)));
        if (draw(random, 2) == 0) {
            store_.put(names::target_topic, engine.id(),
                       engine.target_entry(true, link, started_at[index]));
            std::this_thread::sleep_for(milliseconds(draw(random, 1000)));
        }
        started_at[index] = engine.replace_process();
        store_.put(names::target_topic, engine.id(),
                   engine.target_entry(false, link, started_at[index]));
        log_event("engine " + std::to_string(index) + " replaced");
    }
}

void soak_run::set_crashing_part(unsigned number)
{
    for (const auto& engine : engines_) {
        engine->crash_on_part(number == 0 ? std::string() : crashing_part_name(number),
                              crash_down_time);
    }
    crashing_part_ = number;
}

void soak_run::inject_crashing_parts()
{
    // A separate generator keeps the other faults of a seed unchanged.
    std::mt19937_64 random(options_.seed * 1000 + 995);
    for (unsigned number = 1; !faults_over_; ++number) {
        std::this_thread::sleep_for(milliseconds(500 + draw(random, 4000)));
        if (faults_over_) {
            return;
        }
        set_crashing_part(number);
        log_event("requests with " + crashing_part_name(number) + " crash engines");
        std::this_thread::sleep_for(milliseconds(1000 + draw(random, 4000)));
        set_crashing_part(0);
        log_event(crashing_part_name(number) + " crashes no engine any more");
    }
}

std::vector<std::string> soak_run::check_crashing_part()
{
    const auto begin = steady_clock::now();
    // A number that was not used before.
    set_crashing_part(1000);
    std::this_thread::sleep_for(crashing_part_duration);
    const auto end = steady_clock::now();
    set_crashing_part(0);
    return history_.check_crashing_part(observed_runs(), begin, end);
}

std::vector<observed_run> soak_run::observed_runs() const
{
    std::vector<observed_run> runs;
    for (const auto& engine : engines_) {
        for (const stand_ins::engine_run& run : engine->runs()) {
            // Requests of check_recovery() have no id and are not part of the history.
            if (run.run_id.empty()) {
                continue;
            }
            runs.push_back({run.run_id, run.team, run.had_key, engine->id(), run.process_started_at,
                            run.arrived_at, run.said_leaving, run.crashed,
                            run.ended_at.value_or(steady_clock::now()),
                            parse_sender_address(run.caller_address)});
        }
    }
    return runs;
}

void soak_run::start(std::size_t instance)
{
    if (!daemons_[instance]->start(options_.daemon_program, instance_file(instance, ".toml"),
                                   instance_file(instance, ".log"))) {
        log_event("cannot start " + options_.daemon_program);
    }
}

void soak_run::supervise()
{
    while (!stopping_) {
        {
            const std::lock_guard lock(daemons_mutex_);
            for (std::size_t index = 0; index < options_.instances; ++index) {
                if (!held_down_.contains(index) && !daemons_[index]->is_running()) {
                    history_.add_interruption(index, steady_clock::now());
                    start(index);
                }
            }
        }
        std::this_thread::sleep_for(supervision_interval);
    }
}

void soak_run::send_signal(std::size_t instance, int signal_number)
{
    const std::lock_guard lock(daemons_mutex_);
    daemons_[instance]->send_signal(signal_number);
    if (signal_number != SIGHUP) {
        history_.add_interruption(instance, steady_clock::now());
    }
}

void soak_run::hold_down(std::size_t instance, bool down)
{
    const std::lock_guard lock(daemons_mutex_);
    history_.add_interruption(instance, steady_clock::now());
    if (down) {
        held_down_.insert(instance);
        daemons_[instance]->kill();
    }
    else {
        held_down_.erase(instance);
    }
}

void soak_run::inject_owner_losses()
{
    // A separate generator keeps the other faults of a seed unchanged.
    std::mt19937_64 random(options_.seed * 1000 + 992);
    milliseconds earliest(2000);
    while (!faults_over_) {
        std::this_thread::sleep_for(earliest + milliseconds(draw(random, 6000)));
        if (faults_over_) {
            return;
        }
        // Most faults need several instances.
        earliest = milliseconds(10000);
        const std::size_t sleeper = draw(random, options_.instances);
        log_event("all but instance " + std::to_string(sleeper) +
                  " are lost while it is suspended");
        // Longer than a membership, so that the others own all partitions for a while.
        const auto losses = std::async(std::launch::async, [&, delay = 1800 + draw(random, 1000)] {
            std::this_thread::sleep_for(milliseconds(delay));
            for (std::size_t index = 0; index < options_.instances; ++index) {
                if (index != sleeper) {
                    hold_down(index, true);
                }
            }
        });
        pause(sleeper, milliseconds(4000));
        losses.wait();
        std::this_thread::sleep_for(settle_time + milliseconds(1500));
        for (std::size_t index = 0; index < options_.instances; ++index) {
            if (index != sleeper) {
                hold_down(index, false);
            }
        }
    }
}

void soak_run::lose_largest_instance()
{
    if (has_large_instance()) {
        log_event("instance 0 is lost for good");
        hold_down(0, true);
    }
}

void soak_run::log_event(const std::string& text)
{
    const std::lock_guard lock(log_mutex_);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_at_);
    std::cout << static_cast<double>(elapsed.count()) / 1000 << " s  " << text << std::endl;
}

void soak_run::send_request(std::size_t instance, const std::string& id, bool repeatable,
                            unsigned crashing_part)
{
    const std::string path = repeatable ? "/resumable/x" : "/fixed/x";
    const std::string part =
        crashing_part == 0 ? std::string() : crashing_part_name(crashing_part) + ":30,";
    observed_request observed;
    observed.sent_at = steady_clock::now();
    const auto response = http::call(caller_address(instance), "POST", path,
                                     {{"Host", host},
                                      {names::request_id, id},
                                      {names::time_limit, "5000"},
                                      {names::token_usage, "100,60"},
                                      {names::prompt_prefixes, "common:50," + part + id + ":20"},
                                      {"Authorization", "Bearer " + current_key()}},
                                     "prompt " + id, seconds(7));
    observed.answered_at = steady_clock::now();
    observed.id = id;
    observed.instance = instance;
    observed.has_crashing_part = crashing_part != 0;
    observed.repeatable = repeatable;
    observed.status = response.head.status;
    observed.complete = response.outcome == http::call_outcome::completed;
    observed.signature = response.head.headers.get(names::signature);
    // The body of a stream depends on the path, so a matching body is recorded as one fixed text
    // that the check compares.
    observed.body =
        response.body == stand_ins::model_engine::complete_stream(path, events_per_stream)
            ? "expected"
            : response.body;
    history_.add_request(observed);
}

void soak_run::run_caller(std::size_t caller)
{
    std::mt19937_64 random(options_.seed * 1000 + caller);
    for (int sequence = 0; !stopping_; ++sequence) {
        const std::string id = "r" + std::to_string(caller) + "-" + std::to_string(sequence);
        const bool crashes = sequence % crashing_part_period == crashing_part_period / 2;
        const std::size_t instance = draw(random, options_.instances);
        if (!is_lost(instance)) {
            send_request(instance, id, sequence % 3 == 0, crashes ? crashing_part_.load() : 0);
        }
        std::this_thread::sleep_for(milliseconds(20 + draw(random, 60)));
    }
}

bool soak_run::submit(std::size_t instance, const std::string& job, int items)
{
    json::array item_list;
    for (int index = 0; index < items; ++index) {
        item_list.push_back(json::object{{"id", job + "-" + std::to_string(index)},
                                         {"path", item_path},
                                         {"headers", json::object{{names::token_usage, "10,60"}}},
                                         {"body", "cHJvbXB0"},
                                         {"tokens", 70}});
    }
    const auto response = http::call(
        caller_address(instance), "POST", "/notes/" + job,
        {{"Host", host}, {names::request_id, job}, {"Authorization", "Bearer " + current_key()}},
        json::serialize(json::object{{"items", std::move(item_list)}}), seconds(6));
    history_.add_submission(job, items, response.head.status, steady_clock::now());
    return response.head.status == 202;
}

bool soak_run::read_results(std::size_t instance, const std::string& job, int items)
{
    observed_job_read observed{.job = job, .instance = instance, .sent_at = steady_clock::now()};
    const auto response =
        http::call(caller_address(instance), "GET", names::job_path_prefix + job,
                   {{"Host", host}, {"Authorization", "Bearer " + current_key()}}, {}, seconds(5));
    observed.answered_at = steady_clock::now();
    observed.status = response.head.status;
    if (response.head.status != 200 || response.outcome != http::call_outcome::completed) {
        history_.add_job_read(observed);
        return false;
    }
    const json::value page = json::parse(response.body);
    const std::string whole = stand_ins::model_engine::complete_text(item_path, events_per_stream);
    std::vector<observed_result> results;
    for (const json::value& entry : page.at("results").as_array()) {
        observed_result result;
        result.item = entry.at("id").as_string();
        result.output = entry.at("output").as_string();
        result.is_truncated = entry.at("state") == "complete" && result.output != whole;
        results.push_back(std::move(result));
    }
    observed.result_count = results.size();
    history_.add_job_read(observed);
    history_.add_results(job, 0, results);
    return results.size() == static_cast<std::size_t>(items);
}

void soak_run::submit_jobs()
{
    std::mt19937_64 random(options_.seed * 1000 + 999);
    for (int sequence = 0; !faults_over_; ++sequence) {
        const std::string job = "j" + std::to_string(sequence);
        for (int attempt = 0; attempt < 4; ++attempt) {
            if (submit(draw(random, options_.instances), job, items_per_job)) {
                break;
            }
            std::this_thread::sleep_for(milliseconds(300));
        }
        for (int earlier = std::max(0, sequence - 3); earlier <= sequence; ++earlier) {
            read_results(draw(random, options_.instances), "j" + std::to_string(earlier),
                         items_per_job);
        }
        std::this_thread::sleep_for(milliseconds(100 + draw(random, 400)));
    }
}

void soak_run::pause(std::size_t instance, milliseconds duration)
{
    const std::size_t disturbance =
        history_.begin_disturbance({.instance = instance}, steady_clock::now());
    send_signal(instance, SIGSTOP);
    std::this_thread::sleep_for(duration);
    send_signal(instance, SIGCONT);
    history_.end_disturbance(disturbance, steady_clock::now());
}

std::string soak_run::inject_random_fault(std::mt19937_64& random)
{
    const std::size_t instance = draw(random, options_.instances);
    const std::size_t engine = draw(random, options_.engines);
    const std::string of_instance = " of instance " + std::to_string(instance);
    const std::string at_engine = " at engine " + std::to_string(engine);
    switch (draw(random, 13)) {
    case 0:
        send_signal(instance, SIGKILL);
        return "kill and restart" + of_instance;
    case 1:
        pause(instance, milliseconds(300 + draw(random, 3500)));
        return "pause" + of_instance;
    case 2:
        send_signal(instance, SIGTERM);
        return "termination" + of_instance;
    case 3:
        disturb_store(instance, listener_mode::rejecting);
        return "store rejects calls" + of_instance;
    case 4:
        disturb_store(instance, listener_mode::unresponsive);
        return "store does not respond to calls" + of_instance;
    case 5:
        disturb_store(std::nullopt, listener_mode::dropping_responses);
        return "store drops responses to writes";
    case 6:
        disturb_store(std::nullopt, listener_mode::rejecting);
        return "store rejects all calls";
    case 7:
        restore_store();
        return "store is available again";
    case 8:
        store_.compact();
        return "store drops its history";
    case 9:
        engines_[engine]->truncate_after(
            1 + static_cast<std::uint32_t>(draw(random, events_per_stream - 1)));
        return "truncated streams" + at_engine;
    case 10:
        engines_[engine]->reject_requests(true);
        return "rejections" + at_engine;
    case 11:
        engines_[engine]->set_unresponsive(true);
        return "no responses" + at_engine;
    default:
        publish_state(state_version_ + 1);
        return "desired state " + std::to_string(state_version_.load());
    }
}

void soak_run::inject_faults()
{
    std::mt19937_64 random(options_.seed);
    const auto faults_end = steady_clock::now() + options_.fault_duration;
    while (steady_clock::now() < faults_end) {
        log_event(inject_random_fault(random));
        std::this_thread::sleep_for(milliseconds(200 + draw(random, 1500)));
        // At most one engine has such a fault at any time, so that the service always has a working
        // target.
        for (const auto& engine : engines_) {
            engine->reject_requests(false);
            engine->set_unresponsive(false);
            engine->truncate_after(0);
        }
    }
}

void soak_run::inject_link_faults()
{
    // A separate generator keeps the other faults of a seed unchanged.
    std::mt19937_64 random(options_.seed * 1000 + 998);
    struct link_group {
        const std::vector<std::size_t>* links;
        const char* description;
        /// What isn't in touch while a link is disturbed.
        std::function<std::optional<disturbed_part>(std::size_t link_index)> disturbed;
    };
    const std::array<link_group, 3> groups{
        {{&caller_links_, " to instance ", [](std::size_t) { return std::nullopt; }},
         {&store_links_, " to the store of instance ",
          [](std::size_t index) { return disturbed_part{.instance = index}; }},
         {&engine_links_, " to engine ",
          [this](std::size_t index) { return disturbed_part{.engine = engines_[index]->id()}; }}}};
    while (!faults_over_) {
        const link_group& group = groups[draw(random, groups.size())];
        const std::size_t link_index = draw(random, group.links->size());
        const auto fault = static_cast<link_fault>(draw(random, link_fault_count));
        std::optional<std::size_t> disturbance;
        if (const auto part = group.disturbed(link_index)) {
            disturbance = history_.begin_disturbance(*part, steady_clock::now());
        }
        links_.inject((*group.links)[link_index], fault, milliseconds(50 + draw(random, 400)));
        log_event(to_text(fault) + std::string(group.description) + std::to_string(link_index));
        std::this_thread::sleep_for(milliseconds(200 + draw(random, 2500)));
        links_.clear_fault((*group.links)[link_index]);
        if (disturbance) {
            history_.end_disturbance(*disturbance, steady_clock::now());
        }
        std::this_thread::sleep_for(milliseconds(draw(random, 800)));
    }
}

void soak_run::clear_faults()
{
    links_.clear_all_faults();
    restore_store();
    faults_over_ = true;
}

std::vector<std::string> soak_run::check_recovery()
{
    std::vector<std::string> violations;
    const auto deadline = steady_clock::now() + recovery_timeout;
    const auto wait_until = [deadline](const auto& condition) {
        while (steady_clock::now() < deadline) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
        return condition();
    };
    // Jobs are read with and without their route.
    publish_state(state_version_ + 2);
    const std::string withdrawn_key = "key-" + std::to_string(state_version_ - 2);
    for (std::size_t index = 0; index < options_.instances; ++index) {
        if (is_lost(index)) {
            continue;
        }
        const auto status = [&](const std::string& key) {
            return http::call(caller_address(index), "POST", "/resumable/x",
                              {{"Host", host}, {"Authorization", "Bearer " + key}}, "p", seconds(6))
                .head.status;
        };
        if (!wait_until([&] { return status(current_key()) == 200; })) {
            violations.push_back("instance " + std::to_string(index) +
                                 " does not serve requests after recovery");
        }
        if (!wait_until([&] { return status(withdrawn_key) == 401; })) {
            violations.push_back("instance " + std::to_string(index) + " accepts a withdrawn key");
        }
    }
    // An instance that was terminated shortly before the end of the faults exits within eight
    // seconds.
    std::size_t read_count = 0;
    for (const auto& [job, items] : history_.accepted_job_sizes()) {
        wait_until([&, id = job, count = items] {
            const std::size_t instance = ++read_count % options_.instances;
            return !is_lost(instance) && read_results(instance, id, count);
        });
    }
    return violations;
}

std::vector<std::string> soak_run::run()
{
    started_at_ = steady_clock::now();
    std::vector<std::thread> threads;
    threads.emplace_back([this] { supervise(); });
    for (std::size_t caller = 0; caller < options_.callers; ++caller) {
        threads.emplace_back([this, caller] { run_caller(caller); });
    }
    if (options_.link_faults) {
        threads.emplace_back([this] { inject_link_faults(); });
    }
    threads.emplace_back([this] { inject_settings_changes(); });
    std::thread losses_thread([this] { inject_owner_losses(); });
    std::thread leaving_thread([this] { inject_leaving_engines(); });
    std::thread crashing_thread([this] { inject_crashing_parts(); });
    std::thread job_thread([this] { submit_jobs(); });
    inject_faults();
    clear_faults();
    log_event("faults ended");
    // The last job may be accepted after the last fault, so wait for it before the check.
    job_thread.join();
    losses_thread.join();
    leaving_thread.join();
    crashing_thread.join();
    lose_largest_instance();
    std::vector<std::string> violations = check_recovery();
    for (std::string& violation : check_crashing_part()) {
        violations.push_back(std::move(violation));
    }
    stopping_ = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    const std::vector<observed_run> runs = observed_runs();
    for (const std::string& violation : history_.check(runs, "expected")) {
        violations.push_back(violation);
    }
    for (const auto& [name, count] : history::run_counts(runs)) {
        log_event(name + ": " + std::to_string(count));
    }
    for (const auto& [name, count] : history_.outcome_counts()) {
        log_event(name + ": " + std::to_string(count));
    }
    return violations;
}

} // namespace gooseberryfall::soak
