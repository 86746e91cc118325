#include "edge/admission_client.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using serving::peer_message;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Factor on an instance's equal share of a target's slots for local placement. Callers are not
/// spread evenly over the instances, so plain equal shares would leave slots idle.
constexpr double local_overcommit = 1.5;

/// Without a local placement for so long, what is known about crashing requests is taken anew from
/// the last leader.
constexpr milliseconds crash_marks_lifetime{1000};

/// Refused requests are tried again by the leader alone, since each trial may crash a target.
serving::quarantine_settings local_quarantine()
{
    serving::quarantine_settings settings;
    settings.runs_trials = false;
    return settings;
}

milliseconds time_until(core::time_point end, core::time_point now)
{
    return std::chrono::ceil<milliseconds>(end - now);
}

} // namespace

const char* to_text(admission_source source)
{
    return source == admission_source::leader ? "leader" : "local";
}

admission_client::admission_client(fleet_service& fleet, kernel::logger& logger,
                                   kernel::metrics& metrics, admission_settings settings,
                                   std::uint64_t first_number)
    : fleet_(fleet), logger_(logger), settings_(settings), local_placement_({}, local_quarantine()),
      next_number_(first_number),
      online_metrics_{
          metrics.add_histogram("online_slot_wait", "Time that online requests waited for a slot"),
          {metrics, "online_runs", "Runs of online requests at targets by outcome", "outcome"}},
      batch_metrics_{
          metrics.add_histogram("batch_slot_wait", "Time that batch items waited for a slot"),
          {metrics, "batch_runs", "Runs of batch items at targets by outcome", "outcome"}}
{
}

admission_client::work_metrics& admission_client::metrics_of(const tracked_request& tracked)
{
    return tracked.request.slot.kind == serving::work_kind::batch ? batch_metrics_
                                                                  : online_metrics_;
}

void admission_client::set_state(const serving::desired_state& state)
{
    local_placement_.apply_state(state, steady_clock::now());
}

std::uint64_t admission_client::request_admission(serving::admission_request request,
                                                  decision_callback on_decision,
                                                  std::function<void()> on_preemption)
{
    const core::time_point now = steady_clock::now();
    const std::uint64_t number = next_number_++;
    request.slot.key = {fleet_.self_id(), number};
    tracked_request added;
    added.request = std::move(request);
    added.on_decision = std::move(on_decision);
    added.on_preemption = std::move(on_preemption);
    added.requested_at = now;
    added.objective_at = now + added.request.slot.time_to_objective;
    added.expires_at = now + added.request.slot.time_to_deadline;
    if (const auto& time_to_expiry = added.request.slot.time_to_expiry) {
        added.item_expires_at = now + *time_to_expiry;
    }
    tracked_request& stored = requests_.emplace(number, std::move(added)).first->second;
    send(stored, now);
    return number;
}

void admission_client::send(tracked_request& tracked, core::time_point now)
{
    tracked.sent_at = now;
    const bool online = tracked.request.slot.kind == serving::work_kind::online;
    if (online && !fleet_.leads() && in_leader_backoff(now)) {
        request_locally(tracked, now);
        return;
    }
    tracked.request.slot.time_to_objective = time_until(tracked.objective_at, now);
    tracked.request.slot.time_to_deadline = time_until(tracked.expires_at, now);
    if (tracked.item_expires_at) {
        tracked.request.slot.time_to_expiry = time_until(*tracked.item_expires_at, now);
    }
    if (!fleet_.send_to_leader(tracked.request) && online && !fleet_.expects_leader()) {
        request_locally(tracked, now);
    }
}

void admission_client::request_locally(tracked_request& tracked, core::time_point now)
{
    tracked.source = admission_source::local;
    const auto members = static_cast<double>(fleet_.member_count());
    std::vector<serving::target_entry> targets = fleet_.local_targets(now);
    for (serving::target_entry& target : targets) {
        const double share = target.slots * local_overcommit / members;
        target.slots = std::max(1U, static_cast<std::uint32_t>(share));
    }
    if (now - placed_locally_at_ > crash_marks_lifetime) {
        local_placement_.replace_crash_marks(fleet_.crash_marks(now), now);
    }
    placed_locally_at_ = now;
    local_placement_.set_limit_share(1.0 / members, now);
    local_placement_.set_rate_share(1.0 / members);
    local_placement_.set_cold_rates(fleet_.local_cold_rates());
    local_placement_.set_targets(targets, now);
    tracked.request.slot.time_to_objective = time_until(tracked.objective_at, now);
    tracked.request.slot.time_to_deadline = time_until(tracked.expires_at, now);
    collect_local_replies(local_placement_.on_admission_request(tracked.request, now));
}

void admission_client::collect_local_replies(
    const std::vector<serving::addressed_message>& messages)
{
    for (const auto& [to, message] : messages) {
        if (const auto* reply = std::get_if<serving::admission_reply>(&message)) {
            local_replies_.push_back(*reply);
        }
    }
}

void admission_client::on_message(const peer_message& message)
{
    const auto on_preemption = [this](const serving::preemption_order& order) {
        const auto found = requests_.find(order.number);
        if (found != requests_.end() && found->second.stage == request_stage::running) {
            const std::function<void()> preempt = found->second.on_preemption;
            preempt();
        }
    };
    std::visit(core::visitors{
                   [this](const serving::admission_reply& reply) {
                       on_reply(reply, admission_source::leader);
                   },
                   on_preemption,
                   [this](const serving::admission_pending& pending) {
                       const auto found = requests_.find(pending.number);
                       if (found != requests_.end() &&
                           found->second.stage == request_stage::requested) {
                           found->second.stage = request_stage::queued;
                       }
                   },
                   [](const auto&) {},
               },
               message);
}

void admission_client::on_reply(const serving::admission_reply& reply, admission_source source)
{
    if (source == admission_source::leader) {
        leader_backoff_until_ = {};
    }
    const auto found = requests_.find(reply.number);
    const bool expected = found != requests_.end() &&
                          found->second.stage != request_stage::running &&
                          found->second.source == source;
    const auto* granted = std::get_if<serving::admission_granted>(&reply.result);
    if (!expected) {
        const bool surplus_slot = granted != nullptr && (found == requests_.end() ||
                                                         found->second.target != granted->target);
        if (surplus_slot && source == admission_source::leader) {
            // The grant came after the request had ended or had been granted elsewhere: release it.
            serving::slot_release unused;
            unused.run_result.key.number = reply.number;
            unused.run_result.outcome = serving::slot_outcome::cancelled;
            fleet_.send_to_leader(unused);
        }
        return;
    }
    const decision_callback on_decision = found->second.on_decision;
    if (granted != nullptr) {
        found->second.stage = request_stage::running;
        metrics_of(found->second).wait.record(steady_clock::now() - found->second.requested_at);
        found->second.target = granted->target;
        if (source == admission_source::leader) {
            local_placement_.count_foreign_request(granted->target, steady_clock::now());
        }
        const serving::admission_request& request = found->second.request;
        const bool counts = request.slot.kind == serving::work_kind::online && !request.charged;
        if (counts && !request.slot.team.empty()) {
            spending_window_.record(request.slot.team, steady_clock::now());
        }
    }
    else {
        requests_.erase(found);
    }
    on_decision({reply.result, source});
}

void admission_client::release(std::uint64_t number, serving::slot_outcome outcome,
                               std::optional<milliseconds> first_event, milliseconds duration)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    serving::slot_release released;
    released.run_result.key = found->second.request.slot.key;
    released.run_result.outcome = outcome;
    released.run_result.first_event_delay = first_event;
    released.run_result.duration = duration;
    released.target = found->second.target;
    // Items never crash targets by themselves, so that their cut runs are no evidence.
    const bool batch = found->second.request.slot.kind == serving::work_kind::batch;
    if (!batch || outcome == serving::slot_outcome::completed) {
        released.traits = found->second.request.traits;
    }
    const admission_source source = found->second.source;
    if (found->second.stage == request_stage::running) {
        metrics_of(found->second).runs.increment(serving::to_text(outcome));
    }
    requests_.erase(found);
    if (source == admission_source::local) {
        collect_local_replies(local_placement_.on_slot_release(released, steady_clock::now()));
    }
    // Local runs are released at the leader as well, which knows them from the reports.
    fleet_.send_to_leader(released);
}

void admission_client::set_unresponsive(std::uint64_t number, bool unresponsive)
{
    const auto found = requests_.find(number);
    if (found != requests_.end()) {
        found->second.unresponsive = unresponsive;
    }
}

void admission_client::tick(core::time_point now)
{
    collect_local_replies(local_placement_.tick(now));
    for (const serving::admission_reply& reply : std::exchange(local_replies_, {})) {
        on_reply(reply, admission_source::local);
    }
    std::vector<std::uint64_t> pending;
    for (const auto& [number, tracked] : requests_) {
        if (tracked.stage != request_stage::running && tracked.source == admission_source::leader) {
            pending.push_back(number);
        }
    }
    for (const std::uint64_t number : pending) {
        const auto found = requests_.find(number);
        if (found == requests_.end()) {
            continue;
        }
        tracked_request& tracked = found->second;
        const bool batch = tracked.request.slot.kind == serving::work_kind::batch;
        const bool unacknowledged = tracked.stage == request_stage::requested;
        if (!batch && unacknowledged && !fleet_.leads() &&
            now - tracked.requested_at > settings_.leader_timeout) {
            leader_backoff_until_ = now + settings_.leader_backoff;
            logger_.write(kernel::log_level::warning, "leader_silent",
                          {{"number", std::to_string(number)}});
            request_locally(tracked, now);
            continue;
        }
        const milliseconds wait =
            unacknowledged ? settings_.resend_interval
                           : (batch ? settings_.batch_resend_interval : milliseconds(200));
        if (now - tracked.sent_at >= wait) {
            send(tracked, now);
        }
    }
    for (const serving::admission_reply& reply : std::exchange(local_replies_, {})) {
        on_reply(reply, admission_source::local);
    }
}

void admission_client::drop_all()
{
    // The callbacks keep exchanges alive, which may call back when they end.
    const auto dropped = std::exchange(requests_, {});
}

std::vector<serving::reported_run> admission_client::runs() const
{
    std::vector<serving::reported_run> result;
    for (const auto& [number, tracked] : requests_) {
        if (tracked.stage == request_stage::running) {
            result.push_back(
                {number, tracked.target, tracked.request.slot.kind, tracked.unresponsive});
        }
    }
    return result;
}

} // namespace gooseberryfall::edge
