#include "edge/edge_node.hpp"

#include "http/transport.hpp"

#include <algorithm>
#include <cassert>
#include <iostream>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Between two ticks: a request that became hopeless is refused within this time.
constexpr milliseconds tick_interval{20};

/// Part of the interval of reads by which instances differ: those that have started together would
/// read together for good, and none would know more than the others.
constexpr double read_spread = 0.15;

milliseconds spread_interval(milliseconds longest, const core::instance_id& self)
{
    constexpr std::uint64_t steps = 1000;
    const double draw = static_cast<double>(core::stable_hash(self.value()) % steps) / steps;
    return std::chrono::duration_cast<milliseconds>(longest * (1.0 - read_spread * draw));
}

/// Idle connections, until a desired state tells its limit.
constexpr milliseconds caller_idle{75000};

/// The operator's limit of headers does not include the start line.
constexpr std::size_t start_line_max = 8U << 10U;

/// Messages between instances, and callers' bodies until a desired state is known.
constexpr std::size_t internal_body_limit = 16U << 20U;

/// Three lines for each of some 200 requests in a second, which is more than an instance serves;
/// what floods it beyond that is counted.
constexpr std::uint32_t log_lines_per_second = 600;

constexpr std::size_t caller_answer_buffer = 128U << 10U;

constexpr const char* state_path = "/state";
/// Calls of the store that are passed on for instances that it turns away.
constexpr const char* store_path = "/store";

/// Others have read the store so lately that they can probably still reach it: a little more than
/// the longest interval of their reads.
constexpr milliseconds others_reach_store{1200};
constexpr const char* metrics_path = "/metrics";

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
    settings.pool_size = from.target_pool;
    settings.recent_idle = from.target_recent_idle;
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

edge_node::builder& edge_node::builder::with_store(store_maker make_store)
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
    auto durable = make_store_(*loop, *metrics);
    return std::unique_ptr<edge_node>(
        new edge_node(std::move(settings_), std::move(translator_), std::move(durable),
                      std::move(loop), std::make_unique<kernel::logger>(log_), std::move(metrics)));
}

edge_node::edge_node(edge_settings settings, std::unique_ptr<protocol> translator,
                     std::unique_ptr<store> durable, std::unique_ptr<http::event_loop> loop,
                     std::unique_ptr<kernel::logger> logger,
                     std::unique_ptr<kernel::metrics> metrics)
    : settings_(std::move(settings)), loop_(std::move(loop)), logger_(std::move(logger)),
      metrics_(std::move(metrics)), translator_(std::move(translator)), store_(std::move(durable))
{
    const serving::fleet_member& self = settings_.self;
    state_version_gauge_ =
        &metrics_->add_gauge("state_version", "Version of the desired state in force");
    store_age_gauge_ =
        &metrics_->add_gauge("store_age_seconds", "Age of what was read from the store");
    memory_gauge_ = &metrics_->add_gauge("process_memory_bytes", "Resident memory of the instance");
    targets_client_ = std::make_unique<http::client>(*loop_, target_client_settings(settings_));
    peers_client_ = std::make_unique<http::client>(*loop_, peer_client_settings());
    fleet_callbacks callbacks;
    callbacks.condition = [this] { return condition(); };
    callbacks.on_work_message = [this](const serving::peer_message& message) {
        desk_->on_message(message);
    };
    callbacks.on_newer_state = [this](const core::instance_id& from, std::uint64_t version) {
        fetch_state(from, version);
    };
    callbacks.on_owner_silent = [this](const core::instance_id& instance) {
        jobs_->remove_owner(instance);
    };
    callbacks.on_member_gone = [this](const serving::fleet_member& member) {
        registry_->remove(member);
    };
    fleet_ = std::make_unique<fleet_service>(*loop_, *logger_, *metrics_, settings_.fleet, self,
                                             std::move(callbacks));
    // Numbers of an earlier process at this address are lower: it made fewer than a thousand in
    // each millisecond.
    const auto first_number = static_cast<std::uint64_t>(self.started_at) * 1000;
    desk_ = std::make_unique<slot_desk>(*fleet_, *logger_, *metrics_, settings_.desk, first_number);
    context_ = std::make_unique<edge_context>(
        edge_context{*loop_, *logger_, *metrics_, *translator_, *targets_client_, *desk_, *fleet_,
                     settings_.timeouts, self.data_centre, nullptr});
    jobs_ = std::make_unique<job_service>(*context_, *store_, *peers_client_, settings_.jobs);
    gateway_ = std::make_unique<caller_gateway>(*context_, *jobs_);
    state_follower_ = std::make_unique<log_follower>(
        *store_, translator_->state_place(),
        follower_callbacks{[this](const std::map<std::string, std::string>& all) {
                               const auto found = all.find(translator_->state_key());
                               if (found != all.end()) {
                                   take_state(found->second, "store");
                               }
                           },
                           [this](const std::string& key, const std::string& value) {
                               if (key == translator_->state_key()) {
                                   take_state(value, "store");
                               }
                           },
                           [this](const std::optional<store_error>& failure) {
                               log_reachable("desired_state", failure);
                           }});
    targets_ = std::make_unique<target_list>(*store_, *logger_, *translator_, *fleet_,
                                             settings_.target_interval,
                                             [this](const std::optional<store_error>& failure) {
                                                 log_reachable("target_list", failure);
                                             });
    directory_ =
        std::make_unique<directory_service>(*translator_, settings_.directory_addresses_max);
    store_->use_relay({[this] { return choose_relay(); }, store_path,
                       [this](bool turned_away, const std::string& reason) {
                           logger_->write(turned_away ? kernel::log_level::warning
                                                      : kernel::log_level::info,
                                          turned_away ? "store_turns_away" : "store_serves_again",
                                          {{"reason", reason}});
                       }});
    registry_ = std::make_unique<member_registry>(
        *store_, *logger_, self, [this](const std::vector<serving::fleet_member>& members) {
            for (const serving::fleet_member& member : members) {
                largest_capacity_ = std::max(largest_capacity_, member.capacity);
            }
            fleet_->set_members(members);
        });
    apply_bounds(settings_.bounds);
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
        state_follower_.reset();
        targets_.reset();
        targets_client_.reset();
        peers_client_.reset();
        store_.reset();
    });
    logger_->write(kernel::log_level::info, "stopped", {{"instance", settings_.self.name}});
    // The loop's thread ends before what its tasks refer to.
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
                                                     http::server_handlers handlers)
{
    http::server_settings server;
    const auto endpoint = http::parse_endpoint(address);
    if (!endpoint) {
        return nullptr;
    }
    server.address = endpoint->address().to_string();
    server.port = endpoint->port();
    server.idle_timeout = caller_idle;
    server.answer_buffer = caller_answer_buffer;
    // A submission holds the encoded bodies of its items.
    server.body_limit = internal_body_limit;
    server.header_limit = 64U << 10U;
    return std::make_unique<http::server>(*loop_, std::move(server), std::move(handlers));
}

tl::expected<void, std::string> edge_node::open_listeners()
{
    struct listener {
        std::unique_ptr<http::server>* place;
        std::string address;
        std::function<void(http::request, std::shared_ptr<http::responder>)> handle;
    };
    const auto on_caller = [this](http::request received, std::shared_ptr<http::responder> caller) {
        gateway_->handle(std::move(received), std::move(caller));
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
        {&callers_server_, settings_.self.callers_address, on_caller},
        {&readiness_server_, settings_.readiness_address, on_readiness},
        {&directory_server_, settings_.directory_address, on_directory},
        {&internal_server_, settings_.self.id.value(), on_internal},
    };
    for (const listener& entry : listeners) {
        if (entry.address.empty()) {
            continue;
        }
        *entry.place = make_server(entry.address, {entry.handle, {}});
        if (*entry.place == nullptr) {
            return tl::unexpected("not a numeric address: " + entry.address);
        }
        const auto started = (*entry.place)->start();
        if (!started) {
            return tl::unexpected("cannot listen at " + entry.address + ": " + started.error());
        }
    }
    return {};
}

void edge_node::tick()
{
    const core::time_point now = steady_clock::now();
    watch_store(now);
    fleet_->tick(now);
    desk_->tick(now);
    const bool capable = registry_->known() && settings_.self.capacity >=
                                                   settings_.job_owner_capacity * largest_capacity_;
    if (capable && !leaving_since_) {
        jobs_->participate();
    }
    gateway_->tick(now);
    jobs_->tick(now);
    check_left(now);
    loop_->post_after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
        }
    });
}

void edge_node::watch_store(core::time_point now)
{
    state_follower_->tick(now, state_interval_);
    const bool lone = !fleet_->has_leader();
    if (lone || fleet_->leads()) {
        registry_->tick(now, lone ? settings_.lone_member_interval : settings_.member_interval);
    }
    const auto read_at = std::max(state_follower_->read_at(), jobs_->joined_at());
    fleet_->set_store_read_at(read_at);
    if (read_at) {
        store_age_gauge_->set(std::chrono::duration<double>(now - *read_at).count());
    }
    targets_->tick(now, read_at);
}

void edge_node::log_reachable(const char* what, const std::optional<store_error>& failure)
{
    logger_->write(failure ? kernel::log_level::warning : kernel::log_level::info,
                   failure ? "store_lost" : "store_reached",
                   {{"reading", what},
                    {"failure", failure ? to_text(failure->failure) : "none"},
                    {"reason", failure ? failure->reason : std::string()}});
}

std::optional<std::string> edge_node::choose_relay()
{
    const auto read_at = fleet_->fleet_read_at();
    if (!read_at || steady_clock::now() - *read_at > others_reach_store) {
        return std::nullopt;
    }
    std::vector<serving::fleet_member> others = fleet_->ready_members();
    std::erase_if(others, [this](const auto& member) { return member.id == settings_.self.id; });
    if (others.empty()) {
        return std::nullopt;
    }
    // In turn, because the store may turn some of them away, too.
    return others[++relay_turn_ % others.size()].id.value();
}

void edge_node::take_state(const std::string& value, const char* source)
{
    auto state = translator_->decode_state(value);
    if (!state) {
        logger_->write(kernel::log_level::error, "state_unreadable",
                       {{"reason", state.error()}, {"source", source}});
        return;
    }
    const std::uint64_t current = context_->routes ? context_->routes->state().version : 0;
    if (context_->routes != nullptr && state->version <= current) {
        return;
    }
    state_record_ = value;
    logger_->write(kernel::log_level::info, "state_taken",
                   {{"version", std::to_string(state->version)},
                    {"before", std::to_string(current)},
                    {"source", source},
                    {"routes", std::to_string(state->routes.size())},
                    {"teams", std::to_string(state->teams.size())}});
    state_version_gauge_->set(static_cast<double>(state->version));
    apply_limits(state->limits);
    fleet_->set_state(*state);
    desk_->set_state(*state);
    context_->routes = std::make_shared<const serving::route_table>(std::move(*state));
}

void edge_node::apply_limits(const serving::caller_limits& limits)
{
    if (limits.header_bytes == 0 || limits.body_bytes == 0 || limits.idle_timeout.count() == 0) {
        return;
    }
    http::client_limits applied;
    applied.header_limit = limits.header_bytes + start_line_max;
    applied.body_limit = limits.body_bytes;
    applied.idle_timeout = limits.idle_timeout;
    callers_server_->set_limits(applied);
    // Submissions are handed on to the partition's owner.
    applied.body_limit = std::max(internal_body_limit, limits.body_bytes * 2);
    applied.idle_timeout = caller_idle;
    internal_server_->set_limits(applied);
}

void edge_node::fetch_state(const core::instance_id& from, std::uint64_t version)
{
    state_follower_->hurry();
    if (fetching_state_) {
        return;
    }
    fetching_state_ = true;
    http::client_request request;
    request.address = from.value();
    request.target = state_path;
    request.timeouts.connect = milliseconds(300);
    request.timeouts.first_byte = milliseconds(500);
    http::call_observer observer;
    observer.on_done = [this, alive = alive_, version](const http::call_result& result) {
        if (!*alive) {
            return;
        }
        fetching_state_ = false;
        if (result.outcome == http::call_outcome::completed && result.head.status == 200) {
            take_state(result.body, "instance");
            return;
        }
        logger_->write(kernel::log_level::warning, "state_not_fetched",
                       {{"version", std::to_string(version)}, {"reason", result.reason}});
    };
    peers_client_->start(std::move(request), std::move(observer));
}

own_condition edge_node::condition() const
{
    own_condition own;
    own.ready = ready();
    own.leaving = leaving_since_.has_value();
    own.partitions = jobs_->owned();
    own.runs = desk_->runs();
    own.spent = desk_->spent();
    return own;
}

bool edge_node::ready() const
{
    return context_->routes != nullptr && !leaving_since_;
}

void edge_node::handle_readiness(const http::request& received,
                                 const std::shared_ptr<http::responder>& caller) const
{
    const bool known = translator_->is_readiness(received);
    const unsigned status = ready() ? 200 : 503;
    caller->send({known ? status : 404, {}, {}});
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
    if (received.target == state_path) {
        if (context_->routes == nullptr) {
            caller->send({503, {}, {}});
            return;
        }
        caller->send({200, {}, state_record_});
        return;
    }
    if (received.target.starts_with(store_path)) {
        store_->pass_on(std::move(received), caller);
        return;
    }
    jobs_->handle_forwarded(std::move(received), caller);
}

void edge_node::apply_bounds(const edge_bounds& bounds)
{
    settings_.bounds = bounds;
    state_interval_ = spread_interval(bounds.state_interval, settings_.self.id);
    directory_->set_lifetime(bounds.directory_lifetime);
    fleet_->set_bounds(bounds.fleet);
    desk_->set_limit_window(bounds.fleet.tolerance.window);
    jobs_->set_results_kept(bounds.results_kept);
}

void edge_node::take_reloaded(const tl::expected<reloaded_settings, std::string>& settings)
{
    if (!settings) {
        logger_->write(kernel::log_level::error, "settings_reloaded",
                       {{"outcome", "refused"}, {"faults", settings.error()}});
        return;
    }
    const bool changed = !(settings->bounds == settings_.bounds);
    std::string later;
    for (const std::string& name : settings->needs_restart) {
        later += later.empty() ? name : " " + name;
    }
    logger_->write(later.empty() ? kernel::log_level::info : kernel::log_level::warning,
                   "settings_reloaded",
                   {{"outcome", changed ? "applied" : "unchanged"}, {"needs_restart", later}});
    apply_bounds(settings->bounds);
}

void edge_node::reload(tl::expected<reloaded_settings, std::string> settings)
{
    loop_->post([this, alive = alive_, settings = std::move(settings)] {
        if (*alive) {
            take_reloaded(settings);
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
    jobs_->leave([this] { jobs_left_ = true; });
}

void edge_node::check_left(core::time_point now)
{
    if (!leaving_since_ || left_) {
        return;
    }
    const auto since = now - *leaving_since_;
    if (since >= settings_.bounds.leave_linger && !intake_ended_) {
        intake_ended_ = true;
        logger_->write(kernel::log_level::info, "intake_ended",
                       {{"open_requests", std::to_string(gateway_->open())}});
        gateway_->end_intake();
        callers_server_->drain([this] { callers_gone_ = true; });
    }
    if ((callers_gone_ && jobs_left_) || since >= settings_.bounds.leave_max) {
        left_ = true;
    }
}

} // namespace gooseberryfall::edge
