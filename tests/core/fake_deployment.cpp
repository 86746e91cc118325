#include "core/fake_deployment.hpp"

#include "core/batch_partition.hpp"

#include <algorithm>
#include <cstring>

namespace core = gooseberryfall::core;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval{20};
constexpr milliseconds network_delay{1};
constexpr milliseconds poll_interval{400};
constexpr milliseconds append_delay{4};
constexpr milliseconds append_retry{50};
constexpr milliseconds list_interval{1000};

std::string stream_name(std::uint32_t partition)
{
    return "batch-" + std::to_string(partition);
}

std::string instance_name(std::uint32_t instance, std::uint32_t replaced)
{
    const std::string name = "i-" + std::to_string(instance);
    return replaced == 0 ? name : name + "-" + std::to_string(replaced);
}

core::wall_time wall_of(core::time_point at)
{
    return core::wall_time(std::chrono::duration_cast<milliseconds>(at.time_since_epoch()));
}

} // namespace

core::digest fake_deployment::fake_digest(const std::string& text)
{
    core::digest result{};
    for (std::uint64_t block = 0; block < 4; ++block) {
        const std::uint64_t hash = core::stable_hash(text, block + 1);
        std::memcpy(result.data() + block * sizeof(hash), &hash, sizeof(hash));
    }
    return result;
}

core::fleet fake_deployment::make_fleet(const std::vector<core::team>& teams, std::uint32_t targets,
                                        std::uint32_t slots)
{
    core::fleet state;
    for (const core::team& team : teams) {
        state.teams[team.id] = team;
        const core::key_id key("key-" + team.id.value());
        state.keys[key] = {key, team.id, fake_digest(key.value())};
    }
    state.models[core::model_id("m")] = {core::model_id("m"), 100};
    core::service service;
    service.id = core::service_id("s");
    service.model = core::model_id("m");
    state.services[service.id] = service;
    for (std::uint32_t number = 0; number < targets; ++number) {
        core::target target;
        target.id = core::target_id("engine-" + std::to_string(number));
        target.service = service.id;
        target.address = "127.0.0.1";
        target.port = static_cast<std::uint16_t>(20000 + number);
        target.data_centre = core::data_centre_id("dc-0");
        target.slots = slots;
        state.targets[target.id] = target;
    }
    return state;
}

fake_deployment::fake_deployment(std::uint64_t seed, std::uint32_t instances,
                                 std::uint32_t batch_partitions, std::uint32_t limit_shards)
    : random_(seed), instances_(instances), batch_partitions_(batch_partitions),
      limit_shards_(limit_shards)
{
}

fake_deployment::~fake_deployment() = default;

void fake_deployment::schedule(duration delay, std::function<void()> act)
{
    queue_.push({now_ + delay, next_order_++, std::move(act)});
}

void fake_deployment::run_for(duration length)
{
    run_until([] { return false; }, length);
}

bool fake_deployment::run_until(const std::function<bool()>& condition, duration limit)
{
    const time_point end = now_ + limit;
    while (!condition()) {
        if (queue_.empty() || queue_.top().at > end) {
            now_ = end;
            return condition();
        }
        const scheduled next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.act();
    }
    return true;
}

bool fake_deployment::start(const core::fleet& state)
{
    for (std::uint32_t instance = 0; instance < size(); ++instance) {
        begin_run(instance);
    }
    for (const auto& [id, target] : state.targets) {
        engines_[id.value()].slots = target.slots;
    }
    const bool current = run_until(
        [&] {
            return node_of(0).is_current(now_) && node_of(0).state().members().size() == size();
        },
        std::chrono::seconds(60));
    if (!current) {
        return false;
    }
    const std::uint64_t call = apply(0, 0, core::difference(core::fleet{}, state));
    run_until([&] { return result(call).ended; }, std::chrono::seconds(10));
    // Shards are claimed and waited out by now.
    run_for(std::chrono::seconds(12));
    return result(call).applied.version != 0;
}

void fake_deployment::begin_run(std::uint32_t instance)
{
    instance_state& state = instances_[instance];
    core::node_settings settings;
    settings.self = {core::instance_id(instance_name(instance, state.replaced)), ++state.run};
    settings.data_centre = core::data_centre_id("dc-" + std::to_string(instance % 3));
    settings.caller_address = "127.0.0.1:" + std::to_string(10000 + instance);
    settings.peer_address = std::to_string(instance);
    for (std::uint32_t other = 0; other < size(); ++other) {
        settings.seeds.push_back(std::to_string(other));
    }
    settings.limit_shards = limit_shards_;
    settings.batch_partitions = batch_partitions_;
    state.node = std::make_unique<core::node>(settings);
    state.frozen = false;
    state.stopped = false;
    state.control_next = 0;
    state.batch_next.clear();
    state.appends.clear();
    state.appending.clear();
    state.backlog.clear();
    tick(instance, state.run);
    poll_control(instance, state.run);
    list_instances(instance, state.run);
}

void fake_deployment::list_instances(std::uint32_t instance, std::uint64_t run)
{
    if (instances_[instance].run != run || !instances_[instance].node) {
        return;
    }
    core::instance_list list;
    for (std::uint32_t other = 0; other < size(); ++other) {
        if (instances_[other].node) {
            const std::string name = instance_name(other, instances_[other].replaced);
            list.instances.push_back({core::instance_id(name), false});
        }
    }
    deliver(instance, list);
    schedule(list_interval, [=, this] { list_instances(instance, run); });
}

void fake_deployment::tick(std::uint32_t instance, std::uint64_t run)
{
    instance_state& state = instances_[instance];
    if (state.run != run || !state.node) {
        return;
    }
    if (!state.frozen) {
        deliver(instance, core::tick{wall_of(now_)});
    }
    schedule(tick_interval, [=, this] { tick(instance, run); });
}

bool fake_deployment::readable(std::uint32_t instance) const
{
    const instance_state& state = instances_[instance];
    return state.node && !outage_ && !state.cut_log;
}

void fake_deployment::poll_control(std::uint32_t instance, std::uint64_t run)
{
    if (instances_[instance].run != run || !instances_[instance].node) {
        return;
    }
    if (readable(instance)) {
        read_control(instance);
    }
    schedule(poll_interval, [=, this] { poll_control(instance, run); });
}

void fake_deployment::read_control(std::uint32_t instance)
{
    instance_state& state = instances_[instance];
    core::control_read read;
    read.asked_at = now_;
    read.head = control_.size();
    for (std::uint64_t offset = state.control_next; offset < control_.size(); ++offset) {
        read.groups.push_back(control_[offset]);
    }
    state.control_next = control_.size();
    deliver(instance, read);
}

void fake_deployment::poll_batch(std::uint32_t instance, std::uint64_t run, std::uint32_t partition)
{
    instance_state& state = instances_[instance];
    if (state.run != run || !state.node || !state.batch_next.contains(partition)) {
        return;
    }
    if (readable(instance)) {
        read_batch(instance, partition);
    }
    schedule(poll_interval, [=, this] { poll_batch(instance, run, partition); });
}

void fake_deployment::read_batch(std::uint32_t instance, std::uint32_t partition)
{
    instance_state& state = instances_[instance];
    const auto& groups = batch_[partition];
    core::batch_read read;
    read.partition = partition;
    read.head = groups.size();
    std::uint64_t& next = state.batch_next.at(partition);
    for (std::uint64_t offset = next; offset < groups.size(); ++offset) {
        read.groups.push_back(groups[offset]);
    }
    next = groups.size();
    deliver(instance, read);
}

void fake_deployment::deliver(std::uint32_t instance, const core::event& what)
{
    instance_state& state = instances_[instance];
    if (!state.node) {
        return;
    }
    if (state.frozen) {
        state.backlog.push_back(what);
        return;
    }
    core::actions actions = state.node->handle(what, now_);
    const std::uint64_t run = state.run;
    for (core::action& action : actions) {
        if (state.node && state.run == run) {
            perform(instance, action);
        }
    }
}

template <class Store>
void fake_deployment::end_call(std::uint64_t call, bool completed, const Store& store)
{
    const auto found = results_.find(call);
    if (found == results_.end() || found->second.ended) {
        return;
    }
    found->second.ended = true;
    found->second.completed = completed;
    found->second.at = now_;
    store(found->second);
}

void fake_deployment::perform(std::uint32_t instance, core::action& what)
{
    const std::uint64_t run = instances_[instance].run;
    if (const auto* sent = std::get_if<core::dispatch>(&what)) {
        begin_dispatch(instance, *sent);
    }
    else if (const auto* cancel = std::get_if<core::cancel_dispatch>(&what)) {
        const auto found = dispatch_keys_.find({instance, cancel->dispatch});
        if (found != dispatch_keys_.end()) {
            const std::uint64_t key = found->second;
            schedule(network_delay, [=, this] { finish(key, core::dispatch_outcome::cancelled); });
        }
    }
    else if (const auto* refused = std::get_if<core::refuse>(&what)) {
        end_call(refused->request, false, [&](call_result& r) { r.reason = refused->reason; });
    }
    else if (const auto* answered = std::get_if<core::finish_answer>(&what)) {
        end_call(answered->request, true, [](call_result&) {});
    }
    else if (std::holds_alternative<core::append_control>(what)) {
        queue_append(instance, "control", what);
    }
    else if (const auto* batch = std::get_if<core::append_batch>(&what)) {
        queue_append(instance, stream_name(batch->partition), what);
    }
    else if (const auto* open = std::get_if<core::open_batch_stream>(&what)) {
        const std::uint32_t partition = open->partition;
        instances_[instance].batch_next[partition] = 0;
        schedule(network_delay, [=, this] { poll_batch(instance, run, partition); });
    }
    else if (const auto* close = std::get_if<core::close_batch_stream>(&what)) {
        instances_[instance].batch_next.erase(close->partition);
    }
    else if (const auto* message = std::get_if<core::send_peer>(&what)) {
        const auto to = static_cast<std::uint32_t>(std::stoul(message->address));
        const core::peer_received received{message->envelope};
        schedule(network_delay, [=, this] {
            if (!instances_[instance].cut_peers && !instances_[to].cut_peers) {
                deliver(to, received);
            }
        });
    }
    else if (const auto* upload = std::get_if<core::upload_continue>(&what)) {
        auto& rest = uploads_[upload->request];
        if (!rest.empty()) {
            const core::event next = rest.front();
            rest.pop_front();
            schedule(network_delay, [=, this] { deliver(instance, next); });
        }
    }
    else if (const auto* job = std::get_if<core::job_reply>(&what)) {
        end_call(job->request, true, [&](call_result& r) { r.status = job->status; });
    }
    else if (const auto* list = std::get_if<core::results_reply>(&what)) {
        end_call(list->request, true, [&](call_result& r) {
            r.status = list->status;
            r.results = list->results;
        });
    }
    else if (const auto* applied = std::get_if<core::apply_reply>(&what)) {
        end_call(applied->request, applied->refused.empty(),
                 [&](call_result& r) { r.applied = *applied; });
    }
    else if (std::holds_alternative<core::stopped>(what)) {
        instances_[instance].stopped = true;
        schedule(duration(0), [=, this] {
            if (instances_[instance].run == run) {
                instances_[instance].node.reset();
            }
        });
    }
}

void fake_deployment::queue_append(std::uint32_t instance, const std::string& stream,
                                   const core::action& what)
{
    instance_state& state = instances_[instance];
    state.appends[stream].push_back(what);
    if (state.appending.insert(stream).second) {
        const std::uint64_t run = state.run;
        schedule(append_delay, [=, this] { try_append(instance, run, stream); });
    }
}

void fake_deployment::try_append(std::uint32_t instance, std::uint64_t run,
                                 const std::string& stream)
{
    instance_state& state = instances_[instance];
    if (state.run != run || !state.node) {
        return;
    }
    if (!readable(instance) || state.frozen) {
        schedule(append_retry, [=, this] { try_append(instance, run, stream); });
        return;
    }
    const core::action& what = state.appends[stream].front();
    std::uint64_t append = 0;
    std::uint64_t offset = 0;
    if (const auto* control = std::get_if<core::append_control>(&what)) {
        append = control->append;
        offset = control_.size();
        control_.push_back({offset, wall_of(now_), control->records});
        for (std::uint32_t reader = 0; reader < size(); ++reader) {
            schedule(network_delay, [=, this] {
                if (readable(reader)) {
                    read_control(reader);
                }
            });
        }
    }
    else if (const auto* batch = std::get_if<core::append_batch>(&what)) {
        append = batch->append;
        const std::uint32_t partition = batch->partition;
        auto& groups = batch_[partition];
        offset = groups.size();
        groups.push_back({offset, wall_of(now_), batch->records});
        for (std::uint32_t reader = 0; reader < size(); ++reader) {
            schedule(network_delay, [=, this] {
                if (readable(reader) && instances_[reader].batch_next.contains(partition)) {
                    read_batch(reader, partition);
                }
            });
        }
    }
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < lost_answers_;
    if (!lost) {
        state.appends[stream].pop_front();
        schedule(network_delay, [=, this] {
            deliver(instance, core::append_acknowledged{append, offset});
        });
    }
    if (state.appends[stream].empty()) {
        state.appending.erase(stream);
        return;
    }
    schedule(lost ? append_retry : append_delay, [=, this] { try_append(instance, run, stream); });
}

core::digest fake_deployment::body_of(const running_dispatch& running) const
{
    if (const auto* online = std::get_if<core::online_body>(&running.sent.body)) {
        return online_calls_.at(online->request).body;
    }
    const auto& item = std::get<core::item_body>(running.sent.body);
    const auto& group = batch_.at(item.partition).at(item.position.position.offset);
    const auto& record = group.records.at(item.position.position.record);
    const auto* chunk = std::get_if<core::upload_chunk>(&record.body);
    return fake_digest(chunk == nullptr ? "" : chunk->items.at(item.position.index));
}

void fake_deployment::begin_dispatch(std::uint32_t instance, const core::dispatch& sent)
{
    const std::uint64_t key = next_dispatch_++;
    running_dispatch running{instance, instances_[instance].run, sent, {}, false};
    running.body = body_of(running);
    dispatches_.emplace(key, running);
    dispatch_keys_[{instance, sent.dispatch}] = key;
    schedule(network_delay, [=, this] {
        if (!dispatches_.contains(key)) {
            return;
        }
        engine& target = engines_[sent.target.value()];
        if (!target.alive) {
            finish(key, core::dispatch_outcome::not_sent);
            return;
        }
        door_entry entry;
        entry.at = now_;
        entry.target = sent.target.value();
        if (const auto* online = std::get_if<core::online_body>(&sent.body)) {
            entry.online = true;
            entry.team = online_calls_.at(online->request).team;
        }
        else {
            const auto& item = std::get<core::item_body>(sent.body);
            entry.job = item.job.value();
            entry.index = item.index;
        }
        doors_.push_back(entry);
        if (crashing_.contains(dispatches_.at(key).body)) {
            target.running.insert(key);
            crash_target(sent.target.value());
            return;
        }
        target.waiting.push_back(key);
        admit(sent.target.value());
    });
}

void fake_deployment::admit(const std::string& target)
{
    engine& state = engines_[target];
    while (state.alive && !state.waiting.empty() && state.running.size() < state.slots) {
        const std::uint64_t key = state.waiting.front();
        state.waiting.pop_front();
        state.running.insert(key);
        schedule(service_time, [=, this] { finish(key, core::dispatch_outcome::completed); });
    }
}

void fake_deployment::finish(std::uint64_t key, core::dispatch_outcome outcome)
{
    const auto found = dispatches_.find(key);
    if (found == dispatches_.end()) {
        return;
    }
    const running_dispatch running = found->second;
    dispatches_.erase(found);
    dispatch_keys_.erase({running.instance, running.sent.dispatch});
    const std::string target = running.sent.target.value();
    engine& state = engines_[target];
    state.running.erase(key);
    std::erase(state.waiting, key);
    admit(target);
    if (instances_[running.instance].run != running.run) {
        return;
    }
    core::dispatch_finished finished;
    finished.dispatch = running.sent.dispatch;
    finished.outcome = outcome;
    finished.status = 200;
    finished.body = "answer";
    schedule(network_delay, [=, this] {
        if (instances_[running.instance].run == running.run) {
            deliver(running.instance, finished);
        }
    });
}

void fake_deployment::crash_target(const std::string& target)
{
    engine& state = engines_[target];
    std::vector<std::uint64_t> lost(state.running.begin(), state.running.end());
    lost.insert(lost.end(), state.waiting.begin(), state.waiting.end());
    state.alive = false;
    for (const std::uint64_t key : lost) {
        finish(key, core::dispatch_outcome::connection_lost);
    }
    schedule(std::chrono::milliseconds(500), [=, this] { engines_[target].alive = true; });
}

void fake_deployment::kill_target(const std::string& target)
{
    crash_target(target);
}

void fake_deployment::revive_target(const std::string& target)
{
    engines_[target].alive = true;
}

void fake_deployment::set_crashing(const core::digest& body)
{
    crashing_.insert(body);
}

void fake_deployment::kill(std::uint32_t instance)
{
    instance_state& state = instances_[instance];
    state.node.reset();
    for (auto& [key, running] : std::map(dispatches_)) {
        if (running.instance == instance) {
            finish(key, core::dispatch_outcome::cancelled);
        }
    }
}

void fake_deployment::restart(std::uint32_t instance)
{
    begin_run(instance);
}

void fake_deployment::replace(std::uint32_t instance)
{
    ++instances_[instance].replaced;
    begin_run(instance);
}

void fake_deployment::freeze(std::uint32_t instance)
{
    instances_[instance].frozen = true;
}

void fake_deployment::thaw(std::uint32_t instance)
{
    instance_state& state = instances_[instance];
    state.frozen = false;
    std::deque<core::event> backlog;
    backlog.swap(state.backlog);
    for (const core::event& what : backlog) {
        deliver(instance, what);
    }
}

void fake_deployment::cut_from_log(std::uint32_t instance, bool cut)
{
    instances_[instance].cut_log = cut;
}

void fake_deployment::cut_from_peers(std::uint32_t instance, bool cut)
{
    instances_[instance].cut_peers = cut;
}

void fake_deployment::set_log_outage(bool outage)
{
    outage_ = outage;
}

void fake_deployment::set_lost_append_answers(double probability)
{
    lost_answers_ = probability;
}

std::uint64_t fake_deployment::call_online(std::uint32_t instance, const std::string& key,
                                           const std::string& body)
{
    const std::uint64_t call = next_call_++;
    results_[call] = {};
    core::online_arrival arrival;
    arrival.request = call;
    arrival.key = fake_digest(key);
    arrival.method = "POST";
    arrival.path = "/v1/chat/completions";
    arrival.model = core::model_id("m");
    arrival.body = fake_digest(body.empty() ? "body-" + std::to_string(call) : body);
    arrival.prefix = call;
    online_calls_[call] = {key.substr(std::string("key-").size()), arrival.body};
    deliver(instance, arrival);
    return call;
}

std::uint64_t fake_deployment::submit(std::uint32_t instance, const std::string& key,
                                      const std::string& job_key,
                                      const std::vector<std::string>& items, bool repeatable)
{
    const std::uint64_t call = next_call_++;
    results_[call] = {};
    std::string content;
    std::deque<core::event> rest;
    core::upload_items chunk{call, {}};
    constexpr std::size_t chunk_items = 100;
    for (const std::string& item : items) {
        content += item + "\n";
        chunk.items.push_back(item);
        if (chunk.items.size() == chunk_items) {
            rest.emplace_back(chunk);
            chunk.items.clear();
        }
    }
    if (!chunk.items.empty()) {
        rest.emplace_back(chunk);
    }
    rest.emplace_back(core::upload_end{call, fake_digest(content)});
    uploads_[call] = std::move(rest);
    core::upload_begin begin;
    begin.request = call;
    begin.key = fake_digest(key);
    begin.idempotency_key = job_key;
    begin.model = core::model_id("m");
    begin.options.repeatable = repeatable;
    deliver(instance, begin);
    return call;
}

std::uint64_t fake_deployment::ask_job(std::uint32_t instance, const std::string& key,
                                       core::job_call kind, const core::job_id& job)
{
    const std::uint64_t call = next_call_++;
    results_[call] = {};
    core::job_request request;
    request.request = call;
    request.key = fake_digest(key);
    request.call = kind;
    request.job = job;
    request.result_limit = 100000;
    deliver(instance, request);
    return call;
}

std::uint64_t fake_deployment::apply(std::uint32_t instance, core::config_version base,
                                     const core::fleet_difference& change)
{
    const std::uint64_t call = next_call_++;
    results_[call] = {};
    core::operator_apply apply;
    apply.request = call;
    apply.author = "operator";
    apply.base = base;
    apply.change = change;
    deliver(instance, apply);
    return call;
}

void fake_deployment::request_leave(std::uint32_t instance)
{
    deliver(instance, core::leave_requested{});
}
