#include "edge/slot_desk.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using serving::peer_message;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Part of a target's slots that one instance takes by itself, in equal shares of all instances.
/// Callers are not spread evenly, so that equal shares would leave slots empty.
constexpr double local_overcommit = 1.5;

milliseconds until(core::time_point end, core::time_point now)
{
    return std::chrono::ceil<milliseconds>(end - now);
}

} // namespace

const char* to_text(slot_basis basis)
{
    return basis == slot_basis::leader ? "leader" : "local";
}

slot_desk::slot_desk(fleet_service& fleet, kernel::logger& logger, kernel::metrics& metrics,
                     desk_settings settings, std::uint64_t first_number)
    : fleet_(fleet), logger_(logger), settings_(settings), next_number_(first_number),
      online_metrics_{
          metrics.add_histogram("online_slot_wait", "Time that online requests waited for a slot"),
          {metrics, "online_runs", "Runs of online requests at targets by outcome", "outcome"}},
      batch_metrics_{
          metrics.add_histogram("batch_slot_wait", "Time that batch items waited for a slot"),
          {metrics, "batch_runs", "Runs of batch items at targets by outcome", "outcome"}}
{
}

slot_desk::work_metrics& slot_desk::metrics_of(const entry& of)
{
    return of.call.question.kind == serving::work_kind::batch ? batch_metrics_ : online_metrics_;
}

void slot_desk::set_state(const serving::desired_state& state)
{
    local_.set_state(state, steady_clock::now());
}

std::uint64_t slot_desk::ask(serving::slot_call call, on_answer answer,
                             std::function<void()> on_yield)
{
    const core::time_point now = steady_clock::now();
    const std::uint64_t number = next_number_++;
    call.question.key = {fleet_.self_id(), number};
    entry added;
    added.call = std::move(call);
    added.answer = std::move(answer);
    added.on_yield = std::move(on_yield);
    added.begun_at = now;
    added.objective_at = now + added.call.question.until_objective;
    added.end_at = now + added.call.question.until_end;
    entry& stored = entries_.emplace(number, std::move(added)).first->second;
    send(stored, now);
    return number;
}

void slot_desk::send(entry& of, core::time_point now)
{
    of.sent_at = now;
    const bool online = of.call.question.kind == serving::work_kind::online;
    if (online && !fleet_.leads() && leader_doubted(now)) {
        place_locally(of, now);
        return;
    }
    of.call.question.until_objective = until(of.objective_at, now);
    of.call.question.until_end = until(of.end_at, now);
    if (!fleet_.tell_leader(of.call) && online && !fleet_.expects_leader()) {
        place_locally(of, now);
    }
}

void slot_desk::place_locally(entry& of, core::time_point now)
{
    of.basis = slot_basis::local;
    const auto members = static_cast<double>(fleet_.member_count());
    std::vector<serving::target_entry> targets = fleet_.known_targets();
    for (serving::target_entry& target : targets) {
        const double share = target.slots * local_overcommit / members;
        target.slots = std::max(1U, static_cast<std::uint32_t>(share));
    }
    local_.set_limit_share(1.0 / members, now);
    local_.set_targets(targets);
    of.call.question.until_objective = until(of.objective_at, now);
    of.call.question.until_end = until(of.end_at, now);
    handle_local(local_.on_call(of.call, now));
}

void slot_desk::handle_local(const std::vector<serving::addressed_message>& messages)
{
    for (const auto& [to, message] : messages) {
        if (const auto* reply = std::get_if<serving::slot_reply>(&message)) {
            local_replies_.push_back(*reply);
        }
    }
}

void slot_desk::on_message(const peer_message& message)
{
    const auto on_yield = [this](const serving::yield_order& order) {
        const auto found = entries_.find(order.number);
        if (found != entries_.end() && found->second.where == stage::running) {
            const std::function<void()> yield = found->second.on_yield;
            yield();
        }
    };
    std::visit(
        core::visitors{
            [this](const serving::slot_reply& reply) { on_reply(reply, slot_basis::leader); },
            on_yield,
            [this](const serving::slot_waiting& waiting) {
                const auto found = entries_.find(waiting.number);
                if (found != entries_.end() && found->second.where == stage::asked) {
                    found->second.where = stage::queued;
                }
            },
            [](const auto&) {},
        },
        message);
}

void slot_desk::on_reply(const serving::slot_reply& reply, slot_basis basis)
{
    if (basis == slot_basis::leader) {
        doubted_until_ = {};
    }
    const auto found = entries_.find(reply.number);
    const bool wanted = found != entries_.end() && found->second.where != stage::running &&
                        found->second.basis == basis;
    const auto* granted = std::get_if<serving::slot_granted>(&reply.result);
    if (!wanted) {
        const bool other_slot = granted != nullptr && (found == entries_.end() ||
                                                       found->second.target != granted->target);
        if (other_slot && basis == slot_basis::leader) {
            // The slot came too late and is not used.
            serving::slot_end unused;
            unused.ended.key.number = reply.number;
            unused.ended.outcome = serving::slot_outcome::cancelled;
            fleet_.tell_leader(unused);
        }
        return;
    }
    const on_answer answer = found->second.answer;
    if (granted != nullptr) {
        found->second.where = stage::running;
        metrics_of(found->second).wait.record(steady_clock::now() - found->second.begun_at);
        found->second.target = granted->target;
        if (!found->second.call.team.empty()) {
            spent_.record(found->second.call.team, steady_clock::now());
        }
    }
    else {
        entries_.erase(found);
    }
    answer({reply.result, basis});
}

void slot_desk::end(std::uint64_t number, serving::slot_outcome outcome,
                    std::optional<milliseconds> first_event, milliseconds duration)
{
    const auto found = entries_.find(number);
    if (found == entries_.end()) {
        return;
    }
    serving::slot_end ended;
    ended.ended.key = found->second.call.question.key;
    ended.ended.outcome = outcome;
    ended.ended.first_event = first_event;
    ended.ended.duration = duration;
    ended.fingerprint = found->second.call.fingerprint;
    const slot_basis basis = found->second.basis;
    if (found->second.where == stage::running) {
        metrics_of(found->second).runs.increment(serving::to_text(outcome));
    }
    entries_.erase(found);
    if (basis == slot_basis::local) {
        handle_local(local_.on_end(ended, steady_clock::now()));
    }
    // The leader hears of local runs, too: it learnt of them by the reports.
    fleet_.tell_leader(ended);
}

void slot_desk::set_silent(std::uint64_t number, bool silent)
{
    const auto found = entries_.find(number);
    if (found != entries_.end()) {
        found->second.silent = silent;
    }
}

void slot_desk::tick(core::time_point now)
{
    handle_local(local_.tick(now));
    for (const serving::slot_reply& reply : std::exchange(local_replies_, {})) {
        on_reply(reply, slot_basis::local);
    }
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, of] : entries_) {
        if (of.where != stage::running && of.basis == slot_basis::leader) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        const auto found = entries_.find(number);
        if (found == entries_.end()) {
            continue;
        }
        entry& of = found->second;
        const bool batch = of.call.question.kind == serving::work_kind::batch;
        const bool unheard = of.where == stage::asked;
        if (!batch && unheard && !fleet_.leads() && now - of.begun_at > settings_.doubt_after) {
            doubted_until_ = now + settings_.doubt_time;
            logger_.write(kernel::log_level::warning, "leader_silent",
                          {{"number", std::to_string(number)}});
            place_locally(of, now);
            continue;
        }
        const milliseconds wait =
            unheard ? settings_.repeat_after : (batch ? settings_.batch_repeat : milliseconds(200));
        if (now - of.sent_at >= wait) {
            send(of, now);
        }
    }
    for (const serving::slot_reply& reply : std::exchange(local_replies_, {})) {
        on_reply(reply, slot_basis::local);
    }
}

std::vector<serving::reported_run> slot_desk::runs() const
{
    std::vector<serving::reported_run> result;
    for (const auto& [number, of] : entries_) {
        if (of.where == stage::running) {
            result.push_back({number, of.target, of.call.question.kind, of.silent});
        }
    }
    return result;
}

} // namespace gooseberryfall::edge
