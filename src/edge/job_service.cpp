#include "edge/job_service.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* forwarded_path = "/jobs";
/// Headers of a call that is passed on, beside the caller's own.
constexpr const char* team_header = "Fleet-Team";
constexpr const char* route_header = "Fleet-Route";
constexpr const char* target_header = "Fleet-Target";
constexpr const char* method_header = "Fleet-Method";

/// When a call that found no owner may be tried again: most of a takeover has passed by then.
constexpr milliseconds no_owner_retry{400};

/// When a submission that could not be written may be tried again: outages of the store last some
/// seconds, and each try that fails is one of few.
constexpr milliseconds store_away_retry{1500};

/// Answer of an instance that does not own the partition of a call that was passed on to it.
constexpr unsigned status_misdirected = 421;

/// An owner that takes this long to accept a connection is taken for lost.
constexpr milliseconds owner_connect{200};

} // namespace

job_service::job_service(edge_context& context, store& durable, http::client& peers,
                         job_settings settings)
    : context_(context), store_(durable), peers_(peers), settings_(settings),
      group_(durable, context.logger, settings.group, context.fleet.self_id(),
             [this](const group_assignment& view, bool continuous,
                    const std::function<void()>& released) {
                 return on_view(view, continuous, released);
             }),
      partitions_gauge_(context.metrics.add_gauge("job_partitions", "Job partitions owned")),
      running_gauge_(context.metrics.add_gauge("job_items_running", "Batch items run here")),
      forwarded_(context.metrics.add_counter("job_calls_forwarded", "Job calls passed to owners"))
{
}

job_service::~job_service()
{
    *alive_ = false;
}

void job_service::set_results_kept(std::chrono::milliseconds kept)
{
    settings_.partition.results_kept = kept;
    for (const auto& [number, partition] : partitions_) {
        partition->set_results_kept(kept);
    }
}

std::uint32_t job_service::partition_of(const core::team_id& team) const
{
    const std::uint64_t places = group_.topics().size() * std::uint64_t{settings_.partitions};
    return static_cast<std::uint32_t>(core::stable_hash(team.value()) % places);
}

topic_partition job_service::place_of(std::uint32_t partition) const
{
    return {group_.topics().at(partition / settings_.partitions), partition % settings_.partitions};
}

std::optional<std::uint32_t> job_service::number_of(const topic_partition& place) const
{
    const auto& topics = group_.topics();
    const auto found = std::find(topics.begin(), topics.end(), place.topic);
    if (found == topics.end()) {
        return std::nullopt;
    }
    const auto topic = static_cast<std::uint32_t>(found - topics.begin());
    return topic * settings_.partitions + place.partition;
}

std::vector<serving::owned_partition> job_service::owned() const
{
    std::vector<serving::owned_partition> result;
    for (const auto& [number, partition] : partitions_) {
        if (partition->active()) {
            result.push_back({number, partition->epoch()});
        }
    }
    return result;
}

std::size_t job_service::running() const
{
    std::size_t total = 0;
    for (const auto& [number, partition] : partitions_) {
        total += partition->running();
    }
    return total;
}

void job_service::drop(std::uint32_t partition, const char* reason)
{
    const auto found = partitions_.find(partition);
    if (found == partitions_.end()) {
        return;
    }
    context_.logger.write(kernel::log_level::info, reason,
                          {{"partition", std::to_string(partition)},
                           {"epoch", std::to_string(found->second->epoch())}});
    partitions_.erase(found);
    context_.fleet.trigger_report();
}

void job_service::take_over(std::uint32_t partition, std::uint64_t epoch)
{
    auto added = std::make_unique<job_partition>(context_, store_, place_of(partition), epoch,
                                                 settings_.partition, [this, partition, epoch] {
                                                     const auto lost = partitions_.find(partition);
                                                     if (lost != partitions_.end() &&
                                                         lost->second->epoch() == epoch) {
                                                         drop(partition, "partition_given_up");
                                                     }
                                                 });
    job_partition& started = *added;
    partitions_.emplace(partition, std::move(added));
    started.start();
}

bool job_service::on_view(const group_assignment& view, bool continuous,
                          const std::function<void()>& released)
{
    std::set<std::uint32_t> assigned;
    for (const topic_partition& place : view.topic_partitions) {
        if (const auto number = number_of(place)) {
            assigned.insert(*number);
        }
    }
    std::vector<std::uint32_t> lost;
    for (const auto& [number, partition] : partitions_) {
        if (!assigned.contains(number) || !continuous) {
            lost.push_back(number);
        }
    }
    const auto left = std::make_shared<std::size_t>(lost.size());
    for (const std::uint32_t number : lost) {
        job_partition& partition = *partitions_.at(number);
        // Progress is written before another instance loads it.
        partition.release(
            [this, alive = alive_, left, number, epoch = partition.epoch(), released] {
                if (!*alive) {
                    return;
                }
                const auto found = partitions_.find(number);
                if (found != partitions_.end() && found->second->epoch() == epoch) {
                    drop(number, "partition_reassigned");
                }
                if (--*left == 0) {
                    released();
                }
            });
    }
    for (const std::uint32_t number : assigned) {
        if (!partitions_.contains(number)) {
            take_over(number, view.generation);
        }
    }
    return !lost.empty();
}

bool job_service::is_superseded(std::uint32_t number, const job_partition& partition) const
{
    const serving::partition_owner* owner = context_.fleet.owner_of(number);
    return owner != nullptr && owner->epoch > partition.epoch();
}

void job_service::drop_superseded()
{
    std::vector<std::uint32_t> superseded;
    for (const auto& [number, partition] : partitions_) {
        if (is_superseded(number, *partition)) {
            superseded.push_back(number);
        }
    }
    for (const std::uint32_t number : superseded) {
        drop(number, "partition_superseded");
    }
}

void job_service::tick(core::time_point now)
{
    group_.tick(now);
    drop_superseded();
    for (const auto& [number, partition] : partitions_) {
        partition->tick(now);
    }
    retry_waiting(now);
    partitions_gauge_.set(static_cast<double>(partitions_.size()));
    running_gauge_.set(static_cast<double>(running()));
}

void job_service::answer(const std::shared_ptr<http::responder>& caller, const job_answer& answer,
                         milliseconds retry_after)
{
    caller->send(context_.translator.encode(answer, retry_after));
}

void job_service::refuse(const routed_call& call, const std::string& reason,
                         milliseconds retry_after)
{
    context_.logger.write(
        kernel::log_level::info, "job_call_refused",
        {{"id", call.request.id},
         {"reason", reason},
         {"partition", std::to_string(call.partition)},
         {"owner", call.unreachable ? call.unreachable->instance.value() : std::string()}});
    answer(call.caller, job_outcome::unavailable, retry_after);
}

void job_service::handle(const caller_request& request, const serving::route* route,
                         const core::team_id& team, std::shared_ptr<http::responder> caller)
{
    start_call(request, route != nullptr, route == nullptr ? std::string() : route->name, team,
               false, std::move(caller));
}

void job_service::handle_forwarded(http::request received,
                                   const std::shared_ptr<http::responder>& caller)
{
    const core::team_id team(received.headers.get(team_header));
    const std::string route = received.headers.get(route_header);
    received.method = received.headers.get(method_header);
    received.target = received.headers.get(target_header);
    auto request = context_.translator.decode(std::move(received));
    if (!request) {
        answer(caller, job_outcome::invalid, {});
        return;
    }
    if (leaving_ || !partitions_.contains(partition_of(team))) {
        caller->send({status_misdirected, {}, {}});
        return;
    }
    start_call(*request, !route.empty(), route, team, true, caller);
}

void job_service::start_call(const caller_request& request, bool submits, const std::string& route,
                             const core::team_id& team, bool forwarded,
                             std::shared_ptr<http::responder> caller)
{
    auto decoded = context_.translator.decode_job_call(request, submits);
    if (!decoded) {
        context_.logger.write(kernel::log_level::info, "job_call_refused",
                              {{"id", request.id}, {"reason", decoded.error()}});
        answer(caller, job_outcome::invalid, {});
        return;
    }
    if (auto* submission = std::get_if<submit_job>(&*decoded)) {
        submission->job.team = team;
        submission->job.route = route;
    }
    const auto call = std::make_shared<routed_call>();
    call->request = request;
    call->call = std::move(*decoded);
    call->route = route;
    call->team = team;
    call->partition = partition_of(team);
    call->caller = std::move(caller);
    call->until = steady_clock::now() + settings_.owner_wait;
    call->forwarded = forwarded;
    if (route_call(call)) {
        return;
    }
    if (waiting_.size() >= settings_.waiting_max) {
        refuse(*call, "no owner known, and too many calls wait", no_owner_retry);
        return;
    }
    waiting_.push_back(call);
}

bool job_service::store_is_silent(core::time_point now) const
{
    const auto joined = group_.joined_at();
    return !joined || now - *joined > settings_.store_silence;
}

bool job_service::route_call(const std::shared_ptr<routed_call>& call)
{
    const auto own = partitions_.find(call->partition);
    if (own != partitions_.end() && own->second->serves()) {
        const bool submits = !call->route.empty();
        if (submits && store_is_silent(steady_clock::now())) {
            refuse(*call, "the store is not reached", store_away_retry);
            return true;
        }
        handle_here(*own->second, *call);
        return true;
    }
    const serving::partition_owner* owner = context_.fleet.owner_of(call->partition);
    const bool usable = owner != nullptr && !call->forwarded &&
                        owner->instance != context_.fleet.self_id() &&
                        (!call->unreachable || *owner != *call->unreachable);
    if (usable) {
        forward(*owner, call);
    }
    return usable;
}

void job_service::retry_waiting(core::time_point now)
{
    for (const auto& call : std::exchange(waiting_, {})) {
        if (route_call(call)) {
            continue;
        }
        if (now >= call->until) {
            refuse(*call, "no owner known", no_owner_retry);
            continue;
        }
        waiting_.push_back(call);
    }
}

void job_service::handle_here(job_partition& partition, const routed_call& call)
{
    const auto joined = group_.joined_at();
    const bool certain = joined && steady_clock::now() - *joined < settings_.certainty;
    partition.handle(call.team, call.call, certain,
                     [this, alive = alive_, caller = call.caller](const job_answer& result,
                                                                  milliseconds retry_after) {
                         if (*alive) {
                             answer(caller, result, retry_after);
                         }
                     });
}

void job_service::forward(const serving::partition_owner& owner,
                          const std::shared_ptr<routed_call>& call)
{
    forwarded_.add();
    http::client_request passed;
    passed.address = owner.instance.value();
    passed.method = "POST";
    passed.target = forwarded_path;
    passed.headers = call->request.received.headers;
    passed.headers.set(method_header, call->request.received.method);
    passed.headers.set(target_header, call->request.received.target);
    passed.headers.set(team_header, call->team.value());
    if (!call->route.empty()) {
        passed.headers.set(route_header, call->route);
    }
    passed.body = call->request.received.body;
    passed.timeouts.connect = owner_connect;
    passed.timeouts.first_byte = settings_.forward_wait + std::chrono::seconds(1);
    passed.use = http::connection_use::any;
    http::call_observer observer;
    observer.on_done = [this, alive = alive_, call, owner](const http::call_result& result) {
        if (*alive) {
            on_forwarded(owner, call, result);
        }
    };
    peers_.start(std::move(passed), std::move(observer));
}

void job_service::on_forwarded(const serving::partition_owner& owner,
                               const std::shared_ptr<routed_call>& call,
                               const http::call_result& result)
{
    const bool completed = result.outcome == http::call_outcome::completed;
    const bool misdirected = completed && result.head.status == status_misdirected;
    if (completed && !misdirected) {
        call->caller->send({result.head.status, result.head.headers, result.body});
        return;
    }
    call->unreachable = owner;
    const bool submits = !call->route.empty();
    if (result.sent && submits && !misdirected) {
        // What may have reached the owner may have been accepted.
        context_.logger.write(kernel::log_level::info, "job_call_uncertain",
                              {{"id", call->request.id},
                               {"reason", result.reason},
                               {"owner", owner.instance.value()}});
        answer(call->caller, job_outcome::uncertain, no_owner_retry);
        return;
    }
    if (result.outcome == http::call_outcome::not_sent) {
        context_.fleet.report_instance_exited(owner.instance);
    }
    if (steady_clock::now() >= call->until || waiting_.size() >= settings_.waiting_max) {
        refuse(*call, misdirected ? "the owner has changed" : result.reason, no_owner_retry);
        return;
    }
    waiting_.push_back(call);
}

void job_service::leave(std::function<void()> done)
{
    leaving_ = true;
    const auto left = std::make_shared<std::size_t>(partitions_.size() + 1);
    const auto one_done = [this, alive = alive_, left, done = std::move(done)] {
        if (--*left > 0 || !*alive) {
            return;
        }
        group_.leave([this, alive, done] {
            if (*alive) {
                partitions_.clear();
                done();
            }
        });
    };
    for (const auto& [number, partition] : partitions_) {
        partition->release(one_done);
    }
    one_done();
}

} // namespace gooseberryfall::edge
