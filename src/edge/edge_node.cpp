#include "edge/edge_node.hpp"

#include "http/transport.hpp"

#include <algorithm>
#include <cassert>
#include <iostream>
#include <set>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Interval of ticks. A request that can no longer be served in time is rejected within it.
constexpr milliseconds tick_interval{20};

/// Fraction by which the read intervals of instances differ at most. Without jitter, instances that
/// start together would always read together, and none would have newer records than the others.
constexpr double read_jitter = 0.15;

milliseconds jittered_interval(milliseconds interval_max, const core::instance_id& self)
{
    constexpr std::uint64_t steps = 1000;
    const double fraction = static_cast<double>(core::stable_hash(self.value()) % steps) / steps;
    return std::chrono::duration_cast<milliseconds>(interval_max * (1.0 - read_jitter * fraction));
}

/// Timeout of idle connections, until a desired state sets one.
constexpr milliseconds idle_timeout_default{75000};

/// Allowance for the start line, which the operator's header limit does not include.
constexpr std::size_t start_line_bytes_max = 8U << 10U;

/// Body limit until a desired state is known.
constexpr std::size_t initial_body_limit = 16U << 20U;

/// Three lines for each of about 200 requests per second, which is more than an instance serves.
/// Lines beyond that are only counted.
constexpr std::uint32_t log_lines_per_second = 600;

/// Retry time of a request that is refused for lack of memory. Longer than the time for which
/// reading is paused, within which a running request usually ends.
constexpr milliseconds overload_retry_after{1000};

constexpr std::size_t answer_buffer_bytes = 128U << 10U;

/// Store calls that this instance relays for instances whose calls the store rejects.
constexpr const char* store_relay_path = "/store";

/// Other instances are used as relays only if one has read the store within this time, so that
/// they can probably still reach it. Slightly longer than their maximum read interval.
constexpr milliseconds relay_read_age_max{1200};
constexpr const char* metrics_path = "/metrics";

/// Interval at which an instance checks whether it is to own jobs.
constexpr milliseconds job_owner_check_interval{100};

/// Time after the start at which followers begin to read the list of instances, when the reads that
/// serving depends on are over.
constexpr milliseconds follower_list_delay{1000};

http::client_settings peer_client_settings()
{
    http::client_settings settings;
    settings.pool_size = 8;
    settings.unacknowledged_max = milliseconds(1500);
    return settings;
}

http::client_settings target_client_settings(const edge_settings& from)
{
    http::client_settings settings;
    settings.pool_size = from.target_pool_size;
    settings.recent_idle_max = from.target_recent_idle;
    settings.idle_max = from.target_recent_idle * 2;
    settings.unacknowledged_max = milliseconds(1500);
    settings.accept_unframed = true;
    return settings;
}

} // namespace

edge_node::builder& edge_node::builder::with_settings(edge_settings settings)
{
    settings_ = std::move(settings);
    return *this;
}

edge_node::builder& edge_node::builder::with_protocol(std::unique_ptr<protocol> translator)
{
    translator_ = std::move(translator);
    return *this;
}

edge_node::builder& edge_node::builder::with_store(store_factory make_store)
{
    make_store_ = std::move(make_store);
    return *this;
}

edge_node::builder& edge_node::builder::with_log(kernel::logger_settings settings)
{
    log_ = settings;
    return *this;
}

std::unique_ptr<edge_node> edge_node::builder::build()
{
    assert(translator_ != nullptr && make_store_ != nullptr);
    if (log_.out == nullptr) {
        log_.out = &std::cout;
    }
    log_.lines_per_second = log_lines_per_second;
    auto loop = std::make_unique<http::event_loop>("edge");
    auto metrics = std::make_unique<kernel::metrics>();
    auto durable_store = make_store_(*loop, *metrics);
    return std::unique_ptr<edge_node>(
        new edge_node(std::move(settings_), std::move(translator_), std::move(durable_store),
                      std::move(loop), std::make_unique<kernel::logger>(log_), std::move(metrics)));
}

edge_node::edge_node(edge_settings settings, std::unique_ptr<protocol> translator,
                     std::unique_ptr<store> durable_store, std::unique_ptr<http::event_loop> loop,
                     std::unique_ptr<kernel::logger> logger,
                     std::unique_ptr<kernel::metrics> metrics)
    : settings_(std::move(settings)), loop_(std::move(loop)), logger_(std::move(logger)),
      metrics_(std::move(metrics)), translator_(std::move(translator)),
      store_(std::move(durable_store)), job_owner_policy_(settings_.job_owners)
{
    const serving::fleet_member& self = settings_.self;
    state_version_gauge_ =
        &metrics_->add_gauge("state_version", "Version of the desired state in force");
    store_age_gauge_ =
        &metrics_->add_gauge("store_age_seconds", "Age of what was read from the store");
    memory_gauge_ = &metrics_->add_gauge("process_memory_bytes", "Resident memory of the instance");
    client_memory_ = std::make_unique<client_memory>(settings_.machine, *metrics_, *logger_);
    targets_client_ = std::make_unique<http::client>(*loop_, target_client_settings(settings_));
    peers_client_ = std::make_unique<http::client>(*loop_, peer_client_settings());
    fleet_callbacks callbacks;
    callbacks.local_status = [this] { return local_status(); };
    callbacks.on_admission_message = [this](const serving::peer_message& message) {
        admission_->on_message(message);
    };
    callbacks.on_newer_state = [this](const core::instance_id& from, std::uint64_t version) {
        state_sync_->on_announcement(from, version, fleet_->member_count());
    };
    callbacks.on_owner_unresponsive = [this](const core::instance_id& instance) {
        jobs_->remove_instance(instance);
    };
    callbacks.on_member_removed = [this](const serving::fleet_member& member) {
        registry_->remove(member);
    };
    fleet_ = std::make_unique<fleet_service>(*loop_, *logger_, *metrics_, settings_.fleet, self,
                                             std::move(callbacks));
    // Higher than all numbers of an earlier process at this address, which used fewer than a
    // thousand per millisecond.
    const auto first_number = static_cast<std::uint64_t>(self.started_at) * 1000;
    admission_ = std::make_unique<admission_client>(*fleet_, *logger_, *metrics_,
                                                    settings_.admission, first_number);
    context_ = std::make_unique<edge_context>(edge_context{
        *loop_, *logger_, *metrics_, *translator_, *targets_client_, *admission_, *fleet_,
        settings_.timeouts, self.data_centre,
        metrics_->add_counter("target_answers_truncated",
                              "Answers of targets that ended properly inside an event"),
        nullptr});
    jobs_ = std::make_unique<job_service>(*context_, *store_, *peers_client_, settings_.jobs);
    gateway_ = std::make_unique<caller_gateway>(*context_, *jobs_);
    state_sync_ = std::make_unique<state_sync>(
        *logger_, *store_, *peers_client_, translator_->state_partition(), translator_->state_key(),
        self.id,
        state_sync_callbacks{
            [this](const std::string& value, const char* source) {
                return apply_state(value, source);
            },
            [this](const std::optional<store_error>& failure) {
                log_reachability("desired_state", failure);
            },
            [this](std::uint64_t offset, const auto& records) {
                apply_evacuation_snapshot(offset, records);
            },
            [this](std::uint64_t offset, const std::string& key, const std::string& record) {
                apply_evacuation_record(offset, key, record);
            },
            [this] { return fleet_->evacuations().knowledge().offset; }});
    crash_backup_ = std::make_unique<crash_mark_backup>(
        *store_, *logger_, core::stable_hash(self.id.value()),
        [this] { return fleet_->crash_marks(steady_clock::now()); },
        [this](const serving::crash_marks& marks) {
            fleet_->merge_crash_marks(marks, steady_clock::now());
        });
    targets_ = std::make_unique<target_list>(*store_, *logger_, *translator_, *fleet_,
                                             settings_.target_poll_interval,
                                             [this](const std::optional<store_error>& failure) {
                                                 log_reachability("target_list", failure);
                                             });
    directory_ =
        std::make_unique<directory_service>(*translator_, settings_.directory_addresses_max);
    store_->use_relay({[this] { return choose_relay(); }, store_relay_path,
                       [this](bool rejecting, const std::string& reason) {
                           logger_->write(rejecting ? kernel::log_level::warning
                                                    : kernel::log_level::info,
                                          rejecting ? "store_turns_away" : "store_serves_again",
                                          {{"reason", reason}});
                       }});
    registry_ = std::make_unique<member_registry>(
        *store_, *logger_, self, [this](const std::vector<serving::fleet_member>& members) {
            fleet_->set_members(members);
        });
    apply_dynamic_settings(settings_.dynamic);
}

edge_node::~edge_node()
{
    loop_->run_and_wait([this] {
        *alive_ = false;
        fleet_->stop();
        callers_server_.reset();
        internal_server_.reset();
        directory_server_.reset();
        readiness_server_.reset();
        jobs_.reset();
        registry_.reset();
        state_sync_.reset();
        crash_backup_.reset();
        targets_.reset();
        targets_client_.reset();
        peers_client_.reset();
        store_.reset();
        admission_->drop_all();
    });
    logger_->write(kernel::log_level::info, "stopped", {{"instance", settings_.self.name}});
    // End the loop's thread before the objects that its tasks refer to are destroyed.
    loop_.reset();
}

tl::expected<void, std::string> edge_node::start()
{
    tl::expected<void, std::string> result;
    loop_->run_and_wait([this, &result] {
        result = fleet_->start();
        if (result) {
            result = open_listeners();
        }
        if (result) {
            tick();
        }
    });
    if (result) {
        logger_->write(kernel::log_level::info, "started",
                       {{"instance", settings_.self.name},
                        {"address", settings_.self.id.value()},
                        {"data_centre", settings_.self.data_centre.value()},
                        {"capacity", std::to_string(settings_.self.capacity)}});
    }
    return result;
}

std::unique_ptr<http::server> edge_node::make_server(const std::string& address,
                                                     std::size_t connections_max,
                                                     http::server_handlers handlers)
{
    http::server_settings server;
    const auto endpoint = http::parse_endpoint(address);
    if (!endpoint) {
        return nullptr;
    }
    server.address = endpoint->address().to_string();
    server.port = endpoint->port();
    server.idle_timeout = idle_timeout_default;
    server.response_buffer_bytes = answer_buffer_bytes;
    // A job submission contains the encoded bodies of its items.
    server.body_limit = client_memory_->fit_body_limit(initial_body_limit);
    server.header_limit = 64U << 10U;
    server.connections_max = connections_max;
    server.admission = client_memory_->admission();
    return std::make_unique<http::server>(*loop_, std::move(server), std::move(handlers));
}

tl::expected<void, std::string> edge_node::open_listeners()
{
    struct listener {
        std::unique_ptr<http::server>* destination;
        std::string address;
        std::size_t connections_max;
        http::server_handlers handlers;
    };
    const client_bounds& bounds = client_memory_->bounds();
    const auto on_caller = [this](http::request received, std::shared_ptr<http::responder> caller) {
        gateway_->handle(std::move(received), std::move(caller));
    };
    const auto on_caller_head = [this](const http::request& received) {
        return gateway_->examine_head(received);
    };
    const auto on_overload = [this] {
        return translator_->encode_rejection(rejection_reason::overloaded, {},
                                             overload_retry_after);
    };
    const auto on_readiness = [this](const http::request& received,
                                     const std::shared_ptr<http::responder>& caller) {
        handle_readiness(received, caller);
    };
    const auto on_directory = [this](const http::request& received,
                                     const std::shared_ptr<http::responder>& caller) {
        directory_->handle(received, caller, fleet_->ready_members(),
                           ready() ? settings_.self.callers_address : std::string());
    };
    const auto on_internal = [this](http::request received,
                                    const std::shared_ptr<http::responder>& caller) {
        handle_internal(std::move(received), caller);
    };
    const std::vector<listener> listeners{
        {&callers_server_,
         settings_.self.callers_address,
         bounds.caller_connections,
         {on_caller, {}, on_caller_head, on_overload}},
        {&readiness_server_,
         settings_.readiness_address,
         bounds.other_connections,
         {on_readiness, {}}},
        {&directory_server_,
         settings_.directory_address,
         bounds.other_connections,
         {on_directory, {}}},
        {&internal_server_,
         settings_.self.id.value(),
         bounds.instance_connections,
         {on_internal, {}}},
    };
    for (const listener& entry : listeners) {
        if (entry.address.empty()) {
            continue;
        }
        *entry.destination = make_server(entry.address, entry.connections_max, entry.handlers);
        if (*entry.destination == nullptr) {
            return tl::unexpected("invalid listener address, expected a numeric ip:port: " +
                                  entry.address);
        }
        const auto started = (*entry.destination)->start();
        if (!started) {
            return tl::unexpected("cannot listen at " + entry.address + ": " + started.error());
        }
    }
    return {};
}

void edge_node::tick()
{
    const core::time_point now = steady_clock::now();
    poll_store(now);
    fleet_->tick(now);
    crash_backup_->tick(fleet_->leads(), now);
    admission_->tick(now);
    update_job_ownership(now);
    gateway_->tick(now);
    client_memory_->tick(now);
    jobs_->tick(now);
    advance_leaving(now);
    loop_->post_after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
        }
    });
}

void edge_node::update_job_ownership(core::time_point now)
{
    if (leaving_since_ || now < job_owner_check_at_) {
        return;
    }
    job_owner_check_at_ = now + job_owner_check_interval;
    const std::optional<double> largest = fleet_->largest_owner_capacity();
    const bool joined = jobs_->joining();
    const bool owns = job_owner_policy_.update(settings_.self.capacity, joined, largest, now);
    if (owns == joined) {
        return;
    }
    logger_->write(kernel::log_level::info, owns ? "job_ownership_begun" : "job_ownership_ended",
                   {{"capacity", std::to_string(settings_.self.capacity)},
                    {"largest", largest ? std::to_string(*largest) : std::string()}});
    if (owns) {
        jobs_->start_joining();
    }
    else {
        jobs_->stop_joining();
    }
}

void edge_node::poll_store(core::time_point now)
{
    const bool leaderless = !fleet_->has_leader();
    state_sync_->tick(
        now, state_poll_interval_,
        {fleet_->leads(), registry_->loaded() || !leaderless, fleet_->member_count()});
    // A follower reads the list once, since it ranks the instances by it when the leader is lost.
    const bool list_due =
        !registry_->loaded() &&
        now - started_at_ > follower_list_delay + serving::first_read_delay(settings_.self.id,
                                                                            fleet_->member_count());
    if (leaderless || fleet_->leads() || list_due) {
        registry_->tick(now, leaderless ? settings_.leaderless_poll_interval
                                        : settings_.member_poll_interval);
    }
    const auto read_at = std::max({state_sync_->last_read_sent_at(), jobs_->last_join_sent_at(),
                                   registry_->last_read_sent_at()});
    fleet_->set_store_read_at(read_at);
    if (read_at) {
        store_age_gauge_->set(std::chrono::duration<double>(now - *read_at).count());
    }
    targets_->tick(now, read_at);
}

void edge_node::log_reachability(const char* reader, const std::optional<store_error>& failure)
{
    logger_->write(failure ? kernel::log_level::warning : kernel::log_level::info,
                   failure ? "store_lost" : "store_reached",
                   {{"reading", reader},
                    {"failure", failure ? to_text(failure->failure) : "none"},
                    {"reason", failure ? failure->reason : std::string()}});
}

std::optional<std::string> edge_node::choose_relay()
{
    const auto read_at = fleet_->fleet_store_read_at();
    if (!read_at || steady_clock::now() - *read_at > relay_read_age_max) {
        return std::nullopt;
    }
    std::vector<serving::fleet_member> others = fleet_->ready_members();
    std::erase_if(others, [this](const auto& member) { return member.id == settings_.self.id; });
    if (others.empty()) {
        return std::nullopt;
    }
    // Round robin, because the store may reject calls of some of them as well.
    return others[++relay_index_ % others.size()].id.value();
}

std::optional<std::uint64_t> edge_node::apply_state(const std::string& value, const char* source)
{
    auto state = translator_->decode_state(value);
    if (!state) {
        logger_->write(kernel::log_level::error, "state_unreadable",
                       {{"reason", state.error()}, {"source", source}});
        return std::nullopt;
    }
    const std::uint64_t current = context_->routes ? context_->routes->state().version : 0;
    if (context_->routes != nullptr && state->version <= current) {
        return std::nullopt;
    }
    const std::uint64_t version = state->version;
    logger_->write(kernel::log_level::info, "state_taken",
                   {{"version", std::to_string(version)},
                    {"before", std::to_string(current)},
                    {"source", source},
                    {"routes", std::to_string(state->routes.size())},
                    {"teams", std::to_string(state->teams.size())}});
    state_version_gauge_->set(static_cast<double>(version));
    apply_limits(state->limits);
    fleet_->set_state(*state);
    admission_->set_state(*state);
    context_->routes = std::make_shared<const serving::route_table>(std::move(*state));
    jobs_->on_state_changed();
    gateway_->on_state_changed();
    return version;
}

void edge_node::apply_evacuation_snapshot(std::uint64_t offset,
                                          const std::map<std::string, std::string>& records)
{
    std::set<core::data_centre_id> evacuated;
    for (const auto& [key, value] : records) {
        const auto data_centre = translator_->decode_evacuation_key(key);
        if (data_centre && !value.empty()) {
            evacuated.insert(*data_centre);
        }
    }
    fleet_->evacuations().apply_snapshot(offset, evacuated);
}

void edge_node::apply_evacuation_record(std::uint64_t offset, const std::string& key,
                                        const std::string& value)
{
    if (const auto data_centre = translator_->decode_evacuation_key(key)) {
        fleet_->evacuations().apply_record(offset, *data_centre, !value.empty());
        return;
    }
    fleet_->evacuations().advance(offset);
}

void edge_node::apply_limits(const serving::caller_limits& limits)
{
    if (limits.header_bytes == 0 || limits.body_bytes == 0 || limits.idle_timeout.count() == 0) {
        return;
    }
    http::client_limits applied;
    applied.header_limit = limits.header_bytes + start_line_bytes_max;
    applied.body_limit = client_memory_->fit_body_limit(limits.body_bytes);
    if (applied.body_limit < limits.body_bytes) {
        logger_->write(kernel::log_level::warning, "body_limit_lowered",
                       {{"limit", std::to_string(limits.body_bytes)},
                        {"fits", std::to_string(applied.body_limit)},
                        {"reason", "the memory of the machine is too small"}});
    }
    applied.idle_timeout = limits.idle_timeout;
    callers_server_->set_limits(applied);
    // Job submissions are forwarded to the owner of the partition.
    applied.body_limit = std::max(fleet_wire::submission_bytes_max, limits.body_bytes * 2);
    if (const auto& admission = client_memory_->admission()) {
        applied.body_limit = std::min(applied.body_limit, admission->request_bytes_max());
    }
    applied.idle_timeout = idle_timeout_default;
    internal_server_->set_limits(applied);
}

instance_status edge_node::local_status() const
{
    instance_status current_status;
    current_status.ready = ready();
    current_status.leaving = leaving_since_.has_value();
    current_status.partitions = jobs_->owned_partitions();
    current_status.runs = admission_->runs();
    current_status.recent_requests = admission_->recent_requests();
    return current_status;
}

bool edge_node::ready() const
{
    return context_->routes != nullptr && !leaving_since_;
}

void edge_node::handle_readiness(const http::request& received,
                                 const std::shared_ptr<http::responder>& caller) const
{
    const bool is_readiness_request = translator_->is_readiness_check(received);
    const unsigned status = ready() ? 200 : 503;
    caller->send({is_readiness_request ? status : 404, {}, {}});
}

void edge_node::handle_internal(http::request received,
                                const std::shared_ptr<http::responder>& caller)
{
    if (received.target == metrics_path) {
        if (const auto memory = kernel::resident_memory_bytes()) {
            memory_gauge_->set(static_cast<double>(*memory));
        }
        caller->send(
            {200, {{"Content-Type", kernel::metrics::content_type}}, metrics_->exposition()});
        return;
    }
    if (received.target.starts_with(state_sync::path)) {
        state_sync_->handle(received, caller);
        return;
    }
    if (received.target.starts_with(store_relay_path)) {
        store_->handle_relayed(std::move(received), caller);
        return;
    }
    jobs_->handle_forwarded(std::move(received), caller);
}

void edge_node::apply_dynamic_settings(const dynamic_edge_settings& dynamic)
{
    settings_.dynamic = dynamic;
    state_poll_interval_ = jittered_interval(dynamic.state_poll_interval, settings_.self.id);
    directory_->set_ttl(dynamic.directory_ttl);
    fleet_->set_dynamic_settings(dynamic.fleet);
    admission_->set_limit_window(dynamic.fleet.tolerance.window);
    jobs_->set_results_retention(dynamic.results_retention);
}

void edge_node::apply_reloaded_settings(
    const tl::expected<reloaded_settings, std::string>& settings)
{
    if (!settings) {
        logger_->write(kernel::log_level::error, "settings_reloaded",
                       {{"outcome", "refused"}, {"faults", settings.error()}});
        return;
    }
    const bool changed = !(settings->dynamic == settings_.dynamic);
    std::string restart_names;
    for (const std::string& name : settings->needs_restart) {
        restart_names += restart_names.empty() ? name : " " + name;
    }
    logger_->write(
        restart_names.empty() ? kernel::log_level::info : kernel::log_level::warning,
        "settings_reloaded",
        {{"outcome", changed ? "applied" : "unchanged"}, {"needs_restart", restart_names}});
    apply_dynamic_settings(settings->dynamic);
}

void edge_node::reload(tl::expected<reloaded_settings, std::string> settings)
{
    loop_->post([this, alive = alive_, settings = std::move(settings)] {
        if (*alive) {
            apply_reloaded_settings(settings);
        }
    });
}

void edge_node::begin_leaving()
{
    loop_->post([this, alive = alive_] {
        if (*alive) {
            start_leaving();
        }
    });
}

void edge_node::start_leaving()
{
    if (leaving_since_) {
        return;
    }
    leaving_since_ = steady_clock::now();
    logger_->write(kernel::log_level::info, "leaving", {{"instance", settings_.self.name}});
    registry_->remove_self();
    fleet_->leave();
    callers_server_->announce_closing();
    // Later changes of the settings do not move it, since requests are taken by it.
    exit_at_ = *leaving_since_ + settings_.dynamic.leave_timeout;
    gateway_->set_exit_time(exit_at_);
    jobs_->set_exit_time(exit_at_);
    jobs_->leave([this] { jobs_handed_over_ = true; });
}

void edge_node::advance_leaving(core::time_point now)
{
    if (!leaving_since_ || has_left_) {
        return;
    }
    const auto elapsed = now - *leaving_since_;
    if (elapsed >= settings_.dynamic.intake_grace && !intake_ended_) {
        intake_ended_ = true;
        logger_->write(kernel::log_level::info, "intake_ended",
                       {{"open_requests", std::to_string(gateway_->open_requests())}});
        gateway_->begin_drain();
        callers_server_->drain([this] { callers_drained_ = true; });
    }
    if ((callers_drained_ && jobs_handed_over_) || now >= exit_at_) {
        has_left_ = true;
    }
}

} // namespace gooseberryfall::edge
