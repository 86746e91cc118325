#include "edge/job_service.hpp"

#include "edge/call_verdict.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* forwarded_path = "/jobs";
/// Headers that a forwarded call has in addition to those of the caller.
constexpr const char* team_header = "Fleet-Team";
constexpr const char* route_header = "Fleet-Route";
constexpr const char* target_header = "Fleet-Target";
constexpr const char* method_header = "Fleet-Method";

/// Delay after which callers may retry a call whose partition had no owner; most takeovers are
/// complete by then.
constexpr milliseconds no_owner_retry_after{400};

/// Delay after which callers may retry a submission that couldn't be written. Outages of the store
/// last some seconds, and callers make few attempts.
constexpr milliseconds store_unavailable_retry_after{1500};

/// An owner that takes longer to accept a connection is treated as unreachable.
constexpr milliseconds owner_connect_timeout{200};

/// Time to answer callers, before this instance exits, whose calls their owner hasn't answered.
constexpr milliseconds final_answer_time{200};

} // namespace

job_service::job_service(edge_context& context, store& durable_store, http::client& peers,
                         job_settings settings)
    : context_(context), store_(durable_store), peers_(peers), settings_(settings),
      group_(durable_store, context.logger, settings.group, context.fleet.self_id(),
             [this](const group_assignment& assignment, bool continuous,
                    const std::function<void()>& released) {
                 return on_assignment(assignment, continuous, released);
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

void job_service::set_results_retention(std::chrono::milliseconds retention)
{
    settings_.partition.results_retention = retention;
    for (const auto& [number, partition] : partitions_) {
        partition->set_results_retention(retention);
    }
}

std::uint32_t job_service::partition_of(const core::team_id& team) const
{
    const std::uint64_t partition_count =
        group_.topics().size() * std::uint64_t{settings_.partitions};
    return static_cast<std::uint32_t>(core::stable_hash(team.value()) % partition_count);
}

topic_partition job_service::log_partition_of(std::uint32_t partition) const
{
    return {group_.topics().at(partition / settings_.partitions), partition % settings_.partitions};
}

std::optional<std::uint32_t>
job_service::partition_number(const topic_partition& log_partition) const
{
    const auto& topics = group_.topics();
    const auto found = std::find(topics.begin(), topics.end(), log_partition.topic);
    if (found == topics.end()) {
        return std::nullopt;
    }
    const auto topic = static_cast<std::uint32_t>(found - topics.begin());
    return topic * settings_.partitions + log_partition.partition;
}

std::vector<serving::owned_partition> job_service::owned_partitions() const
{
    std::vector<serving::owned_partition> result;
    for (const auto& [number, partition] : partitions_) {
        if (partition->is_loaded()) {
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

void job_service::remove_partition(std::uint32_t partition, const char* event)
{
    const auto found = partitions_.find(partition);
    if (found == partitions_.end()) {
        return;
    }
    context_.logger.write(kernel::log_level::info, event,
                          {{"partition", std::to_string(partition)},
                           {"epoch", std::to_string(found->second->epoch())}});
    partitions_.erase(found);
    context_.fleet.trigger_report();
}

void job_service::take_over(std::uint32_t partition, std::uint64_t epoch,
                            std::optional<std::uint64_t> fenced_sequence)
{
    auto added = std::make_unique<job_partition>(
        context_, store_, log_partition_of(partition), epoch, settings_.partition,
        [this, partition, epoch] { on_partition_lost(partition, epoch); });
    job_partition& started = *added;
    partitions_.emplace(partition, std::move(added));
    started.start(fenced_sequence);
}

void job_service::on_partition_lost(std::uint32_t partition, std::uint64_t first_epoch)
{
    const auto lost = partitions_.find(partition);
    if (lost == partitions_.end() || lost->second->first_epoch() != first_epoch) {
        return;
    }
    const std::uint64_t epoch = lost->second->epoch();
    const std::optional<std::uint64_t> reload_sequence = lost->second->reload_sequence();
    remove_partition(partition, "partition_given_up");
    if (reload_sequence) {
        take_over(partition, epoch, reload_sequence);
    }
}

bool job_service::on_assignment(const group_assignment& assignment, bool continuous,
                                const std::function<void()>& released)
{
    std::set<std::uint32_t> assigned;
    for (const topic_partition& log_partition : assignment.topic_partitions) {
        if (const auto number = partition_number(log_partition)) {
            assigned.insert(*number);
        }
    }
    std::vector<std::uint32_t> lost;
    for (const auto& [number, partition] : partitions_) {
        if (!assigned.contains(number)) {
            lost.push_back(number);
        }
        else if (!continuous) {
            partition->verify_ownership(assignment.generation);
        }
    }
    const auto remaining = std::make_shared<std::size_t>(lost.size());
    for (const std::uint32_t number : lost) {
        job_partition& partition = *partitions_.at(number);
        // The progress has to be written before another instance loads it.
        partition.release(
            [this, alive = alive_, remaining, number, epoch = partition.first_epoch(), released] {
                if (!*alive) {
                    return;
                }
                const auto found = partitions_.find(number);
                if (found != partitions_.end() && found->second->first_epoch() == epoch) {
                    remove_partition(number, "partition_reassigned");
                }
                if (--*remaining == 0) {
                    released();
                }
            });
    }
    for (const std::uint32_t number : assigned) {
        if (!partitions_.contains(number)) {
            take_over(number, assignment.generation);
        }
    }
    return !lost.empty();
}

bool job_service::is_superseded(std::uint32_t number, const job_partition& partition) const
{
    const serving::partition_owner* owner = context_.fleet.owner_of(number);
    return owner != nullptr && owner->epoch > partition.epoch();
}

void job_service::remove_superseded()
{
    std::vector<std::uint32_t> superseded;
    for (const auto& [number, partition] : partitions_) {
        if (is_superseded(number, *partition)) {
            superseded.push_back(number);
        }
    }
    for (const std::uint32_t number : superseded) {
        remove_partition(number, "partition_superseded");
    }
}

void job_service::tick(core::time_point now)
{
    group_.tick(now);
    remove_superseded();
    const bool confirmed = is_membership_confirmed(now);
    for (const auto& [number, partition] : partitions_) {
        partition->tick(now, confirmed);
    }
    retry_waiting_calls(now);
    partitions_gauge_.set(static_cast<double>(partitions_.size()));
    running_gauge_.set(static_cast<double>(running()));
}

void job_service::on_state_changed()
{
    for (const auto& [number, partition] : partitions_) {
        partition->on_state_changed();
    }
}

void job_service::respond(const std::shared_ptr<http::responder>& caller,
                          const job_response& response, milliseconds retry_after)
{
    caller->send(context_.translator.encode(response, retry_after));
}

void job_service::answer_uncertain(const routed_call& call, const std::string& reason)
{
    context_.logger.write(
        kernel::log_level::info, "job_call_uncertain",
        {{"id", call.request.id},
         {"reason", reason},
         {"owner", call.unreachable ? call.unreachable->instance.value() : std::string()}});
    respond(call.caller, job_outcome::uncertain, no_owner_retry_after);
}

void job_service::reject(const routed_call& call, const std::string& reason,
                         milliseconds retry_after)
{
    if (call.may_have_run) {
        answer_uncertain(call, reason);
        return;
    }
    context_.logger.write(
        kernel::log_level::info, "job_call_refused",
        {{"id", call.request.id},
         {"reason", reason},
         {"partition", std::to_string(call.partition)},
         {"owner", call.unreachable ? call.unreachable->instance.value() : std::string()}});
    respond(call.caller, job_outcome::unavailable, retry_after);
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
        respond(caller, job_outcome::invalid, {});
        return;
    }
    if (leaving_ || !partitions_.contains(partition_of(team))) {
        caller->send({status_misdirected, {}, {}});
        return;
    }
    start_call(*request, !route.empty(), route, team, true, caller);
}

void job_service::start_call(const caller_request& request, bool is_submission,
                             const std::string& route, const core::team_id& team, bool forwarded,
                             std::shared_ptr<http::responder> caller)
{
    if (is_submission && request.received.body.size() > fleet_wire::submission_bytes_max) {
        context_.logger.write(kernel::log_level::info, "job_call_refused",
                              {{"id", request.id},
                               {"reason", "too_large"},
                               {"bytes", std::to_string(request.received.body.size())}});
        respond(caller, job_outcome::too_large, {});
        return;
    }
    auto decoded = context_.translator.decode_job_call(request, is_submission);
    if (!decoded) {
        context_.logger.write(kernel::log_level::info, "job_call_refused",
                              {{"id", request.id}, {"reason", decoded.error()}});
        respond(caller, job_outcome::invalid, {});
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
    call->owner_wait_until = steady_clock::now() + settings_.owner_wait;
    call->forwarded = forwarded;
    if (route_call(call)) {
        return;
    }
    if (waiting_calls_.size() >= settings_.waiting_calls_max) {
        reject(*call, "no owner known, and too many calls are waiting", no_owner_retry_after);
        return;
    }
    waiting_calls_.push_back(call);
}

bool job_service::store_unreachable(core::time_point now) const
{
    const auto joined = group_.last_join_sent_at();
    return !joined || now - *joined > settings_.store_silence_max;
}

bool job_service::route_call(const std::shared_ptr<routed_call>& call)
{
    const auto own = partitions_.find(call->partition);
    if (own != partitions_.end() && own->second->serves()) {
        const auto* submission = std::get_if<submit_job>(&call->call);
        // A job that the ledger holds may be in the log already or be written later, so that it
        // isn't rejected as not run.
        const bool needs_store = submission != nullptr && !own->second->holds(submission->job.id);
        if (needs_store && store_unreachable(steady_clock::now())) {
            reject(*call, "the store is unreachable", store_unavailable_retry_after);
            return true;
        }
        handle_locally(*own->second, *call);
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

void job_service::retry_waiting_calls(core::time_point now)
{
    for (const auto& call : std::exchange(waiting_calls_, {})) {
        if (route_call(call)) {
            continue;
        }
        if (now >= call->owner_wait_until) {
            reject(*call, "no owner known", no_owner_retry_after);
            continue;
        }
        waiting_calls_.push_back(call);
    }
}

bool job_service::is_membership_confirmed(core::time_point now) const
{
    const auto joined = group_.last_join_sent_at();
    return joined && now - *joined < settings_.ownership_validity;
}

void job_service::handle_locally(job_partition& partition, const routed_call& call)
{
    partition.handle(call.team, call.call, is_membership_confirmed(steady_clock::now()),
                     [this, alive = alive_, caller = call.caller](const job_response& result,
                                                                  milliseconds retry_after) {
                         if (*alive) {
                             respond(caller, result, retry_after);
                         }
                     });
}

void job_service::forward(const serving::partition_owner& owner,
                          const std::shared_ptr<routed_call>& call)
{
    forwarded_.add();
    http::client_request request_to_owner;
    request_to_owner.address = owner.instance.value();
    request_to_owner.method = "POST";
    request_to_owner.target = forwarded_path;
    request_to_owner.headers = call->request.received.headers;
    request_to_owner.headers.set(method_header, call->request.received.method);
    request_to_owner.headers.set(target_header, call->request.received.target);
    request_to_owner.headers.set(team_header, call->team.value());
    if (!call->route.empty()) {
        request_to_owner.headers.set(route_header, call->route);
    }
    request_to_owner.body = call->request.received.body;
    // The response may be the body of an item.
    request_to_owner.body_limit = fleet_wire::submission_bytes_max;
    request_to_owner.timeouts.connect = owner_connect_timeout;
    request_to_owner.timeouts.first_byte = owner_response_timeout();
    request_to_owner.use = http::connection_use::any;
    http::call_observer observer;
    observer.on_done = [this, alive = alive_, call, owner](const http::call_result& result) {
        if (*alive) {
            on_forwarded(owner, call, result);
        }
    };
    peers_.start(std::move(request_to_owner), std::move(observer));
}

milliseconds job_service::owner_response_timeout() const
{
    const milliseconds usual = settings_.forward_timeout + std::chrono::seconds(1);
    if (!exit_at_) {
        return usual;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(*exit_at_ - steady_clock::now());
    return std::clamp(left - final_answer_time, milliseconds(1), usual);
}

void job_service::on_forwarded(const serving::partition_owner& owner,
                               const std::shared_ptr<routed_call>& call,
                               const http::call_result& result)
{
    const bool completed = result.outcome == http::call_outcome::completed;
    const bool misdirected = completed && result.head.status == status_misdirected;
    const bool is_submission = std::holds_alternative<submit_job>(call->call);
    const call_verdict verdict =
        is_submission
            ? evaluate_submission(result, call->may_have_run)
            : (completed && !misdirected ? call_verdict::answered : call_verdict::not_run);
    if (verdict == call_verdict::answered) {
        call->caller->send({result.head.status, result.head.headers, result.body});
        return;
    }
    call->unreachable = owner;
    call->may_have_run = verdict == call_verdict::may_have_run;
    // An owner that has given the partition up leaves the question to the next one, whose ledger
    // holds the job if it was accepted.
    if (call->may_have_run && !misdirected) {
        answer_uncertain(*call, completed ? "status " + std::to_string(result.head.status) +
                                                " after a lost connection"
                                          : result.reason);
        return;
    }
    if (result.outcome == http::call_outcome::not_sent) {
        context_.fleet.report_instance_exited(owner.instance);
    }
    if (steady_clock::now() >= call->owner_wait_until ||
        waiting_calls_.size() >= settings_.waiting_calls_max) {
        reject(*call, misdirected ? "the owner has changed" : result.reason, no_owner_retry_after);
        return;
    }
    waiting_calls_.push_back(call);
}

void job_service::stop_joining()
{
    if (!leaving_) {
        leave([this] { leaving_ = false; });
    }
}

void job_service::leave(std::function<void()> done)
{
    leaving_ = true;
    const auto remaining = std::make_shared<std::size_t>(partitions_.size() + 1);
    const auto on_released = [this, alive = alive_, remaining, done = std::move(done)] {
        if (--*remaining > 0 || !*alive) {
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
        partition->release(on_released);
    }
    on_released();
}

} // namespace gooseberryfall::edge
