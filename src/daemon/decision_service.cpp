#include "daemon/decision_service.hpp"

#include "daemon/callers_service.hpp"
#include "daemon/operators_service.hpp"
#include "daemon/peers_service.hpp"
#include "daemon/platform_service.hpp"
#include "daemon/targets_service.hpp"

#include <algorithm>
#include <cassert>
#include <thread>

namespace gooseberryfall::daemon {

namespace {

constexpr std::size_t ring_capacity = 16384;

/// Events taken from the ring at a time.
constexpr std::size_t batch_limit = 256;

constexpr std::chrono::milliseconds tick_interval{10};
constexpr std::chrono::milliseconds publish_interval{200};
constexpr std::chrono::milliseconds full_ring_pause{1};

core::wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

/// The core's counters as metrics.
struct decision_service::counters {
    explicit counters(kernel::metrics& numbers)
        : online_received(numbers.add_counter("gooseberryfall_online_requests_total",
                                              "Online requests received.")),
          online_completed(numbers.add_counter("gooseberryfall_online_completed_total",
                                               "Online requests answered by a target.")),
          online_retried(numbers.add_counter("gooseberryfall_online_retries_total",
                                             "Online requests sent to a target again.")),
          batch_dispatched(numbers.add_counter("gooseberryfall_batch_dispatches_total",
                                               "Batch items sent to a target.")),
          batch_yielded(numbers.add_counter("gooseberryfall_batch_yields_total",
                                            "Batch streams cancelled, mostly for online work.")),
          batch_completed(numbers.add_counter("gooseberryfall_batch_completed_total",
                                              "Batch items answered by a target.")),
          records_ignored(numbers.add_counter("gooseberryfall_records_ignored_total",
                                              "Log records without effect.")),
          peer_messages(numbers.add_counter("gooseberryfall_peer_messages_total",
                                            "Messages sent to other instances.")),
          events_refused(numbers.add_counter("gooseberryfall_events_refused_total",
                                             "Events refused because the ring was full.")),
          current(numbers.add_gauge("gooseberryfall_current",
                                    "1 if the instance may serve keyed traffic.")),
          version(numbers.add_gauge("gooseberryfall_config_version",
                                    "Version of the configuration in force.")),
          handling(numbers.add_histogram("gooseberryfall_decision_seconds",
                                         "Time that the decision core takes for one event."))
    {
        for (std::size_t code = 0; code < std::size(core::node_counters{}.refused_by_code);
             ++code) {
            const std::string text = core::to_text(static_cast<core::refusal_code>(code));
            refused.push_back(&numbers.add_counter("gooseberryfall_refusals_total",
                                                   "Requests refused, by code.", {{"code", text}}));
        }
    }

    static void raise(kernel::counter& metric, std::uint64_t value)
    {
        const std::uint64_t before = metric.value();
        if (value > before) {
            metric.add(value - before);
        }
    }

    void update(const core::node_counters& values)
    {
        raise(online_received, values.online_received);
        raise(online_completed, values.online_completed);
        raise(online_retried, values.online_retried);
        raise(batch_dispatched, values.batch_dispatched);
        raise(batch_yielded, values.batch_yielded);
        raise(batch_completed, values.batch_completed);
        raise(records_ignored, values.records_ignored);
        raise(peer_messages, values.peer_messages_sent);
        for (std::size_t code = 0; code < refused.size(); ++code) {
            raise(*refused[code], values.refused_by_code[code]);
        }
    }

    kernel::counter& online_received;
    kernel::counter& online_completed;
    kernel::counter& online_retried;
    kernel::counter& batch_dispatched;
    kernel::counter& batch_yielded;
    kernel::counter& batch_completed;
    kernel::counter& records_ignored;
    kernel::counter& peer_messages;
    kernel::counter& events_refused;
    kernel::gauge& current;
    kernel::gauge& version;
    kernel::latency_histogram& handling;
    std::vector<kernel::counter*> refused;
};

decision_service::decision_service(kernel::logger& log, kernel::metrics& numbers)
    : log_(log), counters_(std::make_unique<counters>(numbers)), ring_(ring_capacity)
{
}

decision_service::~decision_service() = default;

void decision_service::configure_at_start(std::function<core::node_settings()> make_settings)
{
    assert(!thread_);
    make_settings_ = std::move(make_settings);
}

tl::expected<void, std::string> decision_service::start(kernel::service_registry& registry)
{
    if (!make_settings_) {
        return tl::unexpected<std::string>("the decision core has no settings");
    }
    callers_ = &registry.get<callers_service>(callers_service::name);
    operators_ = &registry.get<operators_service>(operators_service::name);
    peers_ = &registry.get<peers_service>(peers_service::name);
    platform_ = &registry.get<platform_service>(platform_service::name);
    targets_ = &registry.get<targets_service>(targets_service::name);
    node_ = std::make_unique<core::node>(make_settings_());
    thread_ = std::make_unique<kernel::worker_thread>(
        name, [this](const std::stop_token& token) { run(token); });
    return {};
}

void decision_service::stop()
{
    closed_ = true;
    ring_.close();
    thread_.reset();
}

bool decision_service::try_post(core::event what)
{
    if (ring_.try_push(std::move(what))) {
        return true;
    }
    counters_->events_refused.add();
    return false;
}

void decision_service::post(core::event what)
{
    // An event is moved from only if the ring takes it.
    while (!ring_.try_push(std::move(what))) { // NOLINT(bugprone-use-after-move)
        if (closed_) {
            return;
        }
        std::this_thread::sleep_for(full_ring_pause);
    }
}

callers::health_state decision_service::health() const
{
    return {current_, leaving_};
}

void decision_service::run(const std::stop_token& token)
{
    auto next_tick = std::chrono::steady_clock::now();
    std::vector<core::event> events;
    while (!token.stop_requested()) {
        const auto wait = next_tick - std::chrono::steady_clock::now();
        events.clear();
        if (auto first = ring_.pop(std::max(wait, std::chrono::steady_clock::duration(0)))) {
            events.push_back(std::move(*first));
            ring_.pop_into(events, batch_limit);
        }
        for (const core::event& what : events) {
            handle(what);
        }
        const auto now = std::chrono::steady_clock::now();
        if (now >= next_tick) {
            next_tick = now + tick_interval;
            handle(core::tick{wall_now()});
            publish();
        }
    }
}

void decision_service::handle(const core::event& what)
{
    if (std::holds_alternative<core::leave_requested>(what)) {
        leaving_ = true;
        callers_->announce_closing();
    }
    const auto before = std::chrono::steady_clock::now();
    core::actions actions = node_->handle(what, before);
    counters_->handling.record(std::chrono::steady_clock::now() - before);
    perform(std::move(actions));
}

void decision_service::publish()
{
    const auto now = std::chrono::steady_clock::now();
    current_ = node_->is_current(now);
    if (now < next_publish_) {
        return;
    }
    next_publish_ = now + publish_interval;
    counters_->update(node_->counters());
    counters_->current.set(current_ ? 1 : 0);
    counters_->version.set(static_cast<double>(node_->state().current().version));
}

void decision_service::perform(core::actions actions)
{
    for (core::action& what : actions) {
        perform(what);
    }
}

namespace {

/// Hands each kind of action to the service that carries it out.
struct action_router {
    kernel::logger& log;
    std::atomic<bool>& stopped;
    callers_service& callers;
    operators_service& operators;
    peers_service& peers;
    platform_service& platform;
    targets_service& targets;

    template <class Reply>
    void answer(Reply& reply) const
    {
        if (operators_service::owns(reply.request)) {
            operators.perform(reply);
            return;
        }
        callers.perform(reply);
    }

    void operator()(core::dispatch& what) const { targets.perform(std::move(what)); }
    void operator()(core::cancel_dispatch& what) const { targets.cancel(what.dispatch); }
    void operator()(core::poll_load& what) const { targets.poll(std::move(what.targets)); }
    void operator()(core::refuse& what) const { answer(what); }
    void operator()(core::finish_answer& what) const { callers.perform(what); }
    void operator()(core::append_control& what) const { platform.append(what); }
    void operator()(core::append_batch& what) const { platform.append(what); }
    void operator()(core::open_batch_stream& what) const { platform.open(what.partition); }
    void operator()(core::close_batch_stream& what) const { platform.close(what.partition); }
    void operator()(core::read_body& what) const { platform.carry_body(what); }
    void operator()(core::send_peer& what) const { peers.send(what); }
    void operator()(core::upload_continue& what) const { callers.perform(what); }
    void operator()(core::job_reply& what) const { answer(what); }
    void operator()(core::results_reply& what) const { callers.perform(what); }
    void operator()(core::directory_reply& what) const { callers.perform(what); }
    void operator()(core::apply_reply& what) const { operators.perform(what); }
    void operator()(core::operator_reply& what) const { operators.perform(what); }
    void operator()(core::log_line& what) const
    {
        log.write(kernel::log_level::info, what.event, what.fields);
    }
    void operator()(core::stopped&) const { stopped = true; }
};

} // namespace

void decision_service::perform(core::action& what)
{
    const action_router route{log_,    stopped_,   *callers_, *operators_,
                              *peers_, *platform_, *targets_};
    std::visit(route, what);
}

} // namespace gooseberryfall::daemon
