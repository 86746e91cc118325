// Plays one script of the review: `driver NAME FOLDER`. Exit status 1: the rule was broken, 0: it
// held, 2: the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
#include "fleet-3.hpp"

#include <atomic>

#include <exception>

namespace gooseberryfall::review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

bool with_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void sleep_until(steady_clock::time_point at)
{
    std::this_thread::sleep_until(at);
}

int finish(record_file& record, std::size_t violations, const std::string& rule)
{
    record.write(violations == 0 ? "the rule held: " + rule
                                 : std::to_string(violations) + " violations of " + rule);
    return violations == 0 ? held : broken;
}

/// The operator removes a batch route whose jobs are complete; their results are read afterwards.
int removed_route(record_file& record)
{
    platform_store store(8);
    stand_ins::model_engine engine({.id = "engine-0", .slots = 8, .events = 10});
    store.put(names::target_topic, engine.id(), engine_entry(engine, "lm"));
    const json::array services{json::object{{"name", "lm"}}};
    const json::object chat = make_route("chat", "streaming", "lm");
    const json::object notes = make_route("notes", "batch", "lm");
    store.put(names::state_topic, names::state_key, make_config(1, {chat, notes}, services, 1));
    daemons fleet({0.5, 0.5}, store, record);
    fleet.start_all();
    const job_client client(record, 0);
    if (!fleet.wait_until_ready()) {
        return not_run;
    }
    std::this_thread::sleep_for(seconds(4));
    if (client.submit(fleet.front(0), "notes", "job-1",
                      make_items("job-1", 5, "/notes/x", "shared:30,")) != 202 ||
        !client.read_all(fleet.front(1), "job-1", seconds(10))) {
        return not_run;
    }
    if (with_trouble()) {
        store.put(names::state_topic, names::state_key, make_config(4, {chat}, services, 1));
        record.write("version 4 of the desired state confirmed: the batch route is removed");
    }
    std::this_thread::sleep_for(config_apply + stable_window + settle);
    std::size_t violations = 0;
    for (int round = 0; round < 5; ++round) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            const auto page = client.read(fleet.front(index), "job-1");
            violations += page.status == 404 || page.status == 410 ? 1 : 0;
        }
        std::this_thread::sleep_for(milliseconds(500));
    }
    client.remove(fleet.front(0), "job-1");
    return finish(record, violations, "LOST (404 or 410 for an accepted job)");
}

/// The operator moves a batch route to another service while items wait for engines of the old one,
/// and then takes the old engines away.
int moved_route(record_file& record)
{
    platform_store store(8);
    const stand_ins::engine_options options{
        .id = "engine-old", .slots = 2, .events = 10, .event_interval = milliseconds(150)};
    stand_ins::engine_options new_options = options;
    new_options.id = "engine-new";
    new_options.slots = 8;
    stand_ins::model_engine old_engine(options);
    stand_ins::model_engine new_engine(new_options);
    store.put(names::target_topic, old_engine.id(), engine_entry(old_engine, "lm-old"));
    store.put(names::target_topic, new_engine.id(), engine_entry(new_engine, "lm-new"));
    const json::array services{json::object{{"name", "lm-old"}}, json::object{{"name", "lm-new"}}};
    const json::object chat = make_route("chat", "streaming", "lm-new");
    store.put(names::state_topic, names::state_key,
              make_config(1, {chat, make_route("notes", "batch", "lm-old")}, services, 1));
    daemons fleet({0.5, 0.5}, store, record);
    fleet.start_all();
    const job_client client(record, 0);
    if (!fleet.wait_until_ready()) {
        return not_run;
    }
    std::this_thread::sleep_for(seconds(4));
    constexpr std::size_t items = 16;
    if (client.submit(fleet.front(0), "notes", "job-1",
                      make_items("job-1", items, "/notes/x", "shared:30,")) != 202) {
        return not_run;
    }
    const auto accepted_at = steady_clock::now();
    std::this_thread::sleep_for(seconds(1));
    if (with_trouble()) {
        store.put(names::state_topic, names::state_key,
                  make_config(4, {chat, make_route("notes", "batch", "lm-new")}, services, 1));
        record.write("version 4 of the desired state confirmed: the batch route is on lm-new");
        std::this_thread::sleep_for(seconds(3));
        json::object leaving = json::parse(engine_entry(old_engine, "lm-old")).as_object();
        leaving["state"] = "draining";
        store.put(names::target_topic, old_engine.id(), json::serialize(leaving));
        record.write("engine-old reports draining");
        std::this_thread::sleep_for(seconds(4));
        store.put(names::target_topic, old_engine.id(), {});
        record.write("the entry of engine-old is gone");
    }
    // The job is the only traffic, so that `finish_s` begins when it is accepted.
    sleep_until(accepted_at + finish_time);
    const auto page = client.read(fleet.front(0), "job-1");
    for (const auto* engine : {&old_engine, &new_engine}) {
        for (const stand_ins::engine_run& run : engine->runs()) {
            record.write("item " + run.run_id + " reached " + engine->id() + " at " +
                         std::to_string(record.since_start(run.arrived_at)) + " ms" +
                         (run.finished ? ", finished" : ""));
        }
    }
    if (page.status != 200) {
        return not_run;
    }
    return finish(record, items - page.results,
                  "LOST (items of an open job that are not listed when finish_s is over)");
}

/// The only machine that owns job partitions, the larger one, is lost for good.
int lost_machine(record_file& record)
{
    platform_store store(8);
    stand_ins::model_engine engine(
        {.id = "engine-0", .slots = 8, .events = 10, .event_interval = milliseconds(100)});
    store.put(names::target_topic, engine.id(), engine_entry(engine, "lm"));
    const json::array services{json::object{{"name", "lm"}}};
    store.put(
        names::state_topic, names::state_key,
        make_config(1, {make_route("chat", "streaming", "lm"), make_route("notes", "batch", "lm")},
                    services, 1));
    daemons fleet({0.5, 0.12, 0.12}, store, record);
    fleet.start_all();
    const job_client client(record, 0);
    if (!fleet.wait_until_ready()) {
        return not_run;
    }
    std::this_thread::sleep_for(seconds(6));
    constexpr std::size_t items = 24;
    if (client.submit(fleet.front(1), "notes", "job-1",
                      make_items("job-1", items, "/notes/x", "shared:30,")) != 202) {
        return not_run;
    }
    const auto accepted_at = steady_clock::now();
    std::this_thread::sleep_for(milliseconds(500));
    if (with_trouble()) {
        fleet.kill(0);
    }
    // The job is the only traffic, so that `finish_s` begins when it is accepted;
    // `stable_window_ms` is allowed on top.
    const auto end = accepted_at + finish_time + stable_window;
    std::size_t listed = 0;
    while (steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(500));
        for (const std::size_t index : {1U, 2U}) {
            listed = std::max(listed, client.read(fleet.front(index), "job-1").results);
        }
    }
    std::size_t late_runs = 0;
    for (const stand_ins::engine_run& run : engine.runs()) {
        late_runs += run.arrived_at > end - seconds(5) ? 1 : 0;
    }
    record.write(std::to_string(engine.runs().size()) + " runs at the engine, " +
                 std::to_string(late_runs) + " in the last 5 s");
    return finish(record, items - listed,
                  "LOST (items of an open job that are not listed when finish_s is over)");
}

/// The leading daemon is frozen; its partitions pass to others, which accept jobs and are lost for
/// good before it wakes.
int frozen_owner(record_file& record)
{
    constexpr int tenants = 12;
    platform_store store(8);
    stand_ins::model_engine engine({.id = "engine-0", .slots = 32, .events = 10});
    store.put(names::target_topic, engine.id(), engine_entry(engine, "lm"));
    const json::array services{json::object{{"name", "lm"}}};
    store.put(
        names::state_topic, names::state_key,
        make_config(1, {make_route("chat", "streaming", "lm"), make_route("notes", "batch", "lm")},
                    services, tenants));
    daemons fleet({0.5, 0.5, 0.5}, store, record);
    fleet.start_all();
    if (!fleet.wait_until_ready()) {
        return not_run;
    }
    std::this_thread::sleep_for(seconds(5));
    const std::optional<std::size_t> leader = fleet.leader();
    if (!leader) {
        return not_run;
    }
    const std::size_t frozen = *leader;
    const std::size_t first = (frozen + 1) % fleet.size();
    const std::size_t second = (frozen + 2) % fleet.size();
    const auto begin = steady_clock::now();
    if (with_trouble()) {
        fleet.signal(frozen, SIGSTOP, "frozen");
    }
    sleep_until(begin + milliseconds(1500));
    std::vector<int> accepted;
    for (int tenant = 0; tenant < tenants; ++tenant) {
        const std::string job = "job-" + std::to_string(tenant);
        const std::string items = make_items(job, 2, "/notes/x", "shared:30,");
        if (job_client(record, tenant).submit(fleet.front(first), "notes", job, items) == 202) {
            accepted.push_back(tenant);
        }
    }
    for (const int tenant : accepted) {
        const std::string job = "job-" + std::to_string(tenant);
        if (!job_client(record, tenant).read_all(fleet.front(second), job, seconds(1))) {
            return not_run;
        }
    }
    const auto read_at = steady_clock::now();
    if (accepted.empty() || read_at > begin + milliseconds(2400)) {
        record.write("the jobs were not complete in time");
        return not_run;
    }
    if (with_trouble()) {
        sleep_until(begin + milliseconds(2400));
        fleet.kill(first);
        fleet.kill(second);
        sleep_until(begin + milliseconds(4000));
        fleet.signal(frozen, SIGCONT, "awake");
    }
    sleep_until(begin + milliseconds(4000) + stable_window + settle);
    std::size_t violations = 0;
    for (int round = 0; round < 3; ++round) {
        for (const int tenant : accepted) {
            const auto page = job_client(record, tenant)
                                  .read(fleet.front(frozen), "job-" + std::to_string(tenant));
            violations += page.status == 404 || page.status == 410 ? 1 : 0;
            violations += page.status == 200 && page.results < 2 ? 1 : 0;
        }
        std::this_thread::sleep_for(seconds(2));
    }
    return finish(record, violations, "LOST (404, or no result at a position that was read)");
}

/// Sends streaming requests of one tenant, one after the other. Once told so, one of twenty has the
/// part that crashes engines; the others are sound.
class online_traffic {
public:
    struct sent_request {
        std::string id;
        bool sound = true;
        steady_clock::time_point sent_at;
        unsigned status = 0;
        bool whole = false;
    };

    explicit online_traffic(const daemons& fleet)
        : fleet_(fleet), thread_([this] {
              for (int number = 0; !stopping_; ++number) {
                  send(number);
                  std::this_thread::sleep_for(milliseconds(100));
              }
          })
    {
    }

    ~online_traffic()
    {
        stopping_ = true;
        thread_.join();
    }

    online_traffic(const online_traffic&) = delete;
    online_traffic& operator=(const online_traffic&) = delete;
    online_traffic(online_traffic&&) = delete;
    online_traffic& operator=(online_traffic&&) = delete;

    void begin_crashing() { crashing_ = true; }

    std::vector<sent_request> requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    void send(int number)
    {
        constexpr int crashing_period = 20;
        sent_request request;
        request.id = "request-" + std::to_string(number);
        request.sound = !crashing_ || number % crashing_period != 0;
        request.sent_at = steady_clock::now();
        const std::string part = request.sound ? "other:30," : "deadly:30,";
        const auto result = http::call(
            fleet_.front(static_cast<std::size_t>(number) % fleet_.size()), "POST", "/chat/x",
            {{"Host", host},
             {"Authorization", "Bearer " + tenant_key(0)},
             {names::request_id, request.id},
             {names::time_limit, "5000"},
             {names::token_usage, "100,60"},
             {names::prompt_prefixes, "system:30," + part + request.id + ":50"}},
            "prompt", seconds(6));
        request.status = result.head.status;
        request.whole = result.outcome == http::call_outcome::completed && request.status == 200;
        const std::lock_guard lock(mutex_);
        requests_.push_back(std::move(request));
    }

    const daemons& fleet_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> crashing_{false};
    mutable std::mutex mutex_;
    std::vector<sent_request> requests_;
    std::thread thread_;
};

/// Requests of a streaming route have a part that crashes engines, and so have the items of a job.
int crashing_items(record_file& record)
{
    platform_store store(8);
    std::vector<std::unique_ptr<stand_ins::model_engine>> engines;
    for (int index = 0; index < 4; ++index) {
        engines.push_back(std::make_unique<stand_ins::model_engine>(
            stand_ins::engine_options{.id = "engine-" + std::to_string(index),
                                      .slots = 8,
                                      .events = 20,
                                      .event_interval = milliseconds(20)}));
        store.put(names::target_topic, engines.back()->id(), engine_entry(*engines.back(), "lm"));
    }
    const json::array services{json::object{{"name", "lm"}}};
    store.put(
        names::state_topic, names::state_key,
        make_config(1, {make_route("chat", "streaming", "lm"), make_route("notes", "batch", "lm")},
                    services, 2));
    daemons fleet({0.5, 0.5}, store, record);
    fleet.start_all();
    const job_client client(record, 1);
    if (!fleet.wait_until_ready()) {
        return not_run;
    }
    std::this_thread::sleep_for(seconds(4));
    online_traffic online(fleet);
    std::this_thread::sleep_for(seconds(15));
    const auto begin = steady_clock::now();
    if (with_trouble()) {
        for (const auto& engine : engines) {
            engine->crash_on_part("deadly", seconds(2));
        }
    }
    online.begin_crashing();
    if (client.submit(fleet.front(0), "notes", "job-1",
                      make_items("job-1", 10, "/notes/x", "shared:30,deadly:30,")) != 202) {
        return not_run;
    }
    std::this_thread::sleep_for(seconds(40));
    std::vector<steady_clock::time_point> crashes;
    std::set<std::string> begun;
    for (const auto& engine : engines) {
        for (const stand_ins::engine_run& run : engine->runs()) {
            begun.insert(run.run_id);
            if (run.crashed) {
                crashes.push_back(run.arrived_at);
                record.write(run.run_id + " crashed " + engine->id() + " at " +
                             std::to_string(record.since_start(run.arrived_at)) + " ms");
            }
        }
    }
    std::ranges::sort(crashes);
    const auto settled =
        (crashes.empty() ? begin : crashes[std::min<std::size_t>(4, crashes.size() - 1)]) +
        2 * stable_window;
    struct counts {
        int sent = 0;
        int begun = 0;
        int whole = 0;
    };
    counts before;
    counts after;
    for (const online_traffic::sent_request& request : online.requests()) {
        if (!request.sound || (request.sent_at >= begin && request.sent_at < settled)) {
            continue;
        }
        counts& counted = request.sent_at < begin ? before : after;
        ++counted.sent;
        counted.begun += begun.contains(request.id) ? 1 : 0;
        counted.whole += request.whole ? 1 : 0;
    }
    const auto describe = [](const counts& counted) {
        return std::to_string(counted.sent) + " sound requests, " + std::to_string(counted.begun) +
               " begun, " + std::to_string(counted.whole) + " served whole";
    };
    record.write("before: " + describe(before));
    record.write("from 2 x stable_window_ms after the fifth crash: " + describe(after));
    const auto late = std::ranges::count_if(crashes, [&](const auto at) {
        return crashes.size() >= 5 && at > crashes[4] + stable_window;
    });
    record.write(std::to_string(crashes.size()) + " crashes, " + std::to_string(late) +
                 " later than stable_window_ms after the fifth");
    if (before.sent < 20 || after.sent < 20 || before.begun == 0) {
        return not_run;
    }
    const double share_before = static_cast<double>(before.begun) / before.sent;
    const double share_after = static_cast<double>(after.begun) / after.sent;
    const bool lost = share_after < share_before / 2;
    return finish(record, (lost ? 1 : 0) + (late > 3 ? 1 : 0),
                  "LOST (sound requests begin less than half as often) and BUDGET (more than three "
                  "runs after the fifth crash)");
}

int play(const std::string& name, const std::string& folder)
{
    record_file record(folder + "/record.txt");
    const std::map<std::string, std::function<int(record_file&)>> cases{
        {"removed_route", removed_route},   {"moved_route", moved_route},
        {"lost_machine", lost_machine},     {"frozen_owner", frozen_owner},
        {"crashing_items", crashing_items},
    };
    const auto found = cases.find(name);
    return found == cases.end() ? not_run : found->second(record);
}

} // namespace

} // namespace gooseberryfall::review

namespace {

/// Ends the daemons as well, which are in the process group of the driver.
void end_group(int /*signal_number*/)
{
    ::kill(0, SIGKILL);
}

} // namespace

int main(int argc, char** argv)
{
    ::setpgid(0, 0);
    std::signal(SIGTERM, end_group);
    std::signal(SIGINT, end_group);
    try {
        return argc == 3 ? gooseberryfall::review::play(argv[1], argv[2]) : 2;
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
