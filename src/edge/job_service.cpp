#include "edge/job_service.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* group_name = "jobs";
constexpr const char* forwarded_path = "/jobs";
/// Headers of a call that is passed on, beside the caller's own.
constexpr const char* team_header = "Fleet-Team";
constexpr const char* route_header = "Fleet-Route";
constexpr const char* target_header = "Fleet-Target";
constexpr const char* method_header = "Fleet-Method";

/// When a call that found no owner may be tried again: a takeover lasts about a second.
constexpr milliseconds no_owner_retry{400};

/// An owner that takes this long to accept a connection is taken for lost.
constexpr milliseconds owner_connect{300};

} // namespace

job_service::job_service(edge_context& context, store& durable, http::client& peers,
                         job_settings settings, std::string member_name)
    : context_(context), store_(durable), peers_(peers), settings_(settings),
      member_name_(std::move(member_name)),
      partitions_gauge_(context.metrics.add_gauge("job_partitions", "Job partitions owned")),
      running_gauge_(context.metrics.add_gauge("job_items_running", "Batch items run here")),
      forwarded_(context.metrics.add_counter("job_calls_forwarded", "Job calls passed to owners"))
{
    for (std::uint32_t topic = 0; topic < settings_.topics; ++topic) {
        topics_.push_back("jobs" + std::to_string(topic));
    }
}

job_service::~job_service()
{
    *alive_ = false;
}

void job_service::participate()
{
    participates_ = true;
}

std::uint32_t job_service::partition_of(const core::team_id& team) const
{
    const std::uint32_t count = settings_.topics * settings_.partitions;
    return static_cast<std::uint32_t>(core::stable_hash(team.value()) % count);
}

log_place job_service::place_of(std::uint32_t partition) const
{
    return {topics_.at(partition / settings_.partitions), partition % settings_.partitions};
}

std::uint32_t job_service::number_of(const log_place& place) const
{
    const auto found = std::find(topics_.begin(), topics_.end(), place.topic);
    const auto topic = static_cast<std::uint32_t>(found - topics_.begin());
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

bool job_service::is_superseded(std::uint32_t number, const job_partition& partition) const
{
    const auto owner = context_.fleet.owner_of(number);
    return owner && owner->epoch > partition.epoch();
}

void job_service::drop_superseded()
{
    for (auto partition = partitions_.begin(); partition != partitions_.end();) {
        const auto current = partition++;
        if (is_superseded(current->first, *current->second)) {
            context_.logger.write(kernel::log_level::warning, "partition_superseded",
                                  {{"partition", std::to_string(current->first)},
                                   {"epoch", std::to_string(current->second->epoch())}});
            partitions_.erase(current);
        }
    }
}

std::size_t job_service::running() const
{
    std::size_t total = 0;
    for (const auto& [number, partition] : partitions_) {
        total += partition->running();
    }
    return total;
}

void job_service::tick(core::time_point now)
{
    if (participates_ && !leaving_ && !joining_ && now - join_sent_at_ >= settings_.join_interval) {
        join();
    }
    drop_superseded();
    for (const auto& [number, partition] : partitions_) {
        partition->tick(now);
    }
    partitions_gauge_.set(static_cast<double>(partitions_.size()));
    running_gauge_.set(static_cast<double>(running()));
}

void job_service::join()
{
    joining_ = true;
    const core::time_point sent = steady_clock::now();
    join_sent_at_ = sent;
    store_.join(group_name, member_name_, topics_, settings_.membership, generation_,
                [this, alive = alive_, sent](const store_result<group_view>& result) {
                    if (!*alive) {
                        return;
                    }
                    joining_ = false;
                    if (result && !leaving_) {
                        joined_at_ = sent;
                        on_view(*result);
                    }
                });
}

void job_service::on_view(const group_view& view)
{
    generation_ = view.generation;
    std::set<std::uint32_t> assigned;
    for (const log_place& place : view.places) {
        if (std::find(topics_.begin(), topics_.end(), place.topic) != topics_.end()) {
            assigned.insert(number_of(place));
        }
    }
    for (auto partition = partitions_.begin(); partition != partitions_.end();) {
        const auto current = partition++;
        if (!assigned.contains(current->first)) {
            context_.logger.write(kernel::log_level::info, "partition_reassigned",
                                  {{"partition", std::to_string(current->first)},
                                   {"generation", std::to_string(generation_)}});
            partitions_.erase(current);
        }
    }
    for (const std::uint32_t number : assigned) {
        if (partitions_.contains(number)) {
            continue;
        }
        auto added = std::make_unique<job_partition>(context_, store_, place_of(number),
                                                     generation_, settings_.partition,
                                                     [this, number] { partitions_.erase(number); });
        job_partition& partition = *added;
        partitions_.emplace(number, std::move(added));
        partition.start();
    }
}

void job_service::answer(const std::shared_ptr<http::responder>& caller, const job_answer& answer,
                         milliseconds retry_after)
{
    caller->send(context_.translator.encode(answer, retry_after));
}

void job_service::handle(const caller_request& request, const serving::route* route,
                         const core::team_id& team, std::shared_ptr<http::responder> caller)
{
    auto call = context_.translator.decode_job_call(request, route != nullptr);
    if (!call) {
        context_.logger.write(kernel::log_level::info, "job_call_refused",
                              {{"id", request.id}, {"reason", call.error()}});
        answer(caller, job_outcome::invalid, {});
        return;
    }
    if (auto* submission = std::get_if<submit_job>(&*call)) {
        submission->job.team = team;
        submission->job.route = route->name;
    }
    const std::uint32_t partition = partition_of(team);
    if (partitions_.contains(partition)) {
        handle_here(partition, team, *call, caller);
        return;
    }
    const auto owner = context_.fleet.owner_of(partition);
    if (!owner) {
        context_.logger.write(kernel::log_level::info, "job_call_refused",
                              {{"id", request.id},
                               {"reason", "no owner known"},
                               {"partition", std::to_string(partition)}});
        answer(caller, job_outcome::unavailable, no_owner_retry);
        return;
    }
    forward(owner->instance, request, route, team, std::move(caller));
}

void job_service::handle_here(std::uint32_t partition, const core::team_id& team,
                              const job_call& call, const std::shared_ptr<http::responder>& caller)
{
    const bool certain = steady_clock::now() - joined_at_ < settings_.certainty;
    partitions_.at(partition)->handle(
        team, call, certain,
        [this, alive = alive_, caller](const job_answer& result, milliseconds retry_after) {
            if (*alive) {
                answer(caller, result, retry_after);
            }
        });
}

void job_service::forward(const core::instance_id& owner, const caller_request& request,
                          const serving::route* route, const core::team_id& team,
                          std::shared_ptr<http::responder> caller)
{
    forwarded_.add();
    http::client_request passed;
    passed.address = owner.value();
    passed.method = "POST";
    passed.target = forwarded_path;
    passed.headers = request.received.headers;
    passed.headers.set(method_header, request.received.method);
    passed.headers.set(target_header, request.received.target);
    passed.headers.set(team_header, team.value());
    if (route != nullptr) {
        passed.headers.set(route_header, route->name);
    }
    passed.body = request.received.body;
    passed.timeouts.connect = owner_connect;
    passed.timeouts.first_byte = settings_.forward_wait + std::chrono::seconds(1);
    passed.use = http::connection_use::any;
    const bool submits = route != nullptr;
    http::call_observer observer;
    observer.on_done = [this, alive = alive_, caller = std::move(caller), submits, id = request.id,
                        owner](const http::call_result& result) {
        if (!*alive) {
            return;
        }
        if (result.outcome == http::call_outcome::completed) {
            caller->send({result.head.status, result.head.headers, result.body});
            return;
        }
        context_.logger.write(kernel::log_level::info, "job_call_refused",
                              {{"id", id}, {"reason", result.reason}, {"owner", owner.value()}});
        // What may have reached the owner may have been accepted.
        const bool uncertain = submits && result.sent;
        answer(caller, uncertain ? job_outcome::uncertain : job_outcome::unavailable,
               no_owner_retry);
    };
    peers_.start(std::move(passed), std::move(observer));
}

void job_service::handle_forwarded(http::request received,
                                   const std::shared_ptr<http::responder>& caller)
{
    const core::team_id team(received.headers.get(team_header));
    const std::string route = received.headers.get(route_header);
    received.method = received.headers.get(method_header);
    received.target = received.headers.get(target_header);
    auto request = context_.translator.decode(std::move(received));
    const std::uint32_t partition = partition_of(team);
    if (!request || leaving_ || !partitions_.contains(partition)) {
        answer(caller, job_outcome::unavailable, no_owner_retry);
        return;
    }
    auto call = context_.translator.decode_job_call(*request, !route.empty());
    if (!call) {
        answer(caller, job_outcome::invalid, {});
        return;
    }
    if (auto* submission = std::get_if<submit_job>(&*call)) {
        submission->job.team = team;
        submission->job.route = route;
    }
    handle_here(partition, team, *call, caller);
}

void job_service::leave(std::function<void()> done)
{
    leaving_ = true;
    const auto left = std::make_shared<std::size_t>(partitions_.size() + 1);
    const auto one_done = [this, alive = alive_, left, done = std::move(done)] {
        if (--*left > 0 || !*alive) {
            return;
        }
        if (!participates_) {
            done();
            return;
        }
        store_.leave(group_name, member_name_, [this, alive, done](const store_result<bool>&) {
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
