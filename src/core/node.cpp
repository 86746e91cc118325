#include "core/node.hpp"

#include "core/batch_runner.hpp"
#include "core/control_log.hpp"
#include "core/job_calls.hpp"
#include "core/limit_exchange.hpp"
#include "core/node_parts.hpp"
#include "core/online_requests.hpp"

#include <algorithm>
#include <cassert>
#include <deque>
#include <type_traits>

namespace gooseberryfall::core {

class node::implementation {
public:
    explicit implementation(node_settings settings);

    actions handle(const event& what, time_point now);

    node_settings settings_;
    node_parts parts_;

private:
    void on(const tick& what);
    void on(const online_arrival& what) { online_.on_arrival(what, parts_.event_time); }
    void on(const caller_gone& what);
    void on(const answer_started& what) { online_.on_started(what.dispatch); }
    void on(const dispatch_finished& what);
    void on(const target_said_leaving& what) { parts_.targets.on_leaving(what.target); }
    void on(const load_report& what);
    void on(const load_report_failed& what);
    void on(const control_read& what) { control_.on_read(what, parts_.event_time); }
    void on(const batch_read& what) { batch_.on_read(what, parts_.event_time); }
    void on(const body_read& what);
    void on(const log_failed&) {}
    void on(const append_acknowledged& what);
    void on(const instance_list& what);
    void on(const peer_received& what);
    void on(const upload_begin& what) { jobs_.on_begin(what, parts_.event_time); }
    void on(const upload_items& what) { jobs_.on_items(what, parts_.event_time); }
    void on(const upload_end& what) { jobs_.on_end(what, parts_.event_time); }
    void on(const job_request& what) { jobs_.on_request(what, parts_.event_time); }
    void on(const directory_request& what);
    void on(const operator_apply& what) { control_.on_apply(what, parts_.event_time); }
    void on(const operator_query& what);
    void on(const operator_job_cancel& what) { jobs_.on_operator_cancel(what, parts_.event_time); }
    void on(const leave_requested&);

    void on_message(const incarnation_id& from, const probe& message);
    void on_message(const incarnation_id& from, const probe_answer& message);
    void on_message(const incarnation_id& from, const control_request& message);
    void on_message(const incarnation_id& from, const control_relay& message);
    void on_message(const incarnation_id& from, const limit_request& message);
    void on_message(const incarnation_id& from, const limit_grant& message);
    void on_message(const incarnation_id& from, const capacity_report& message);
    void on_message(const incarnation_id& from, const capacity_permit& message);
    void on_message(const incarnation_id& from, const crash_notice& message);
    void on_message(const incarnation_id& from, const job_query& message);
    void on_message(const incarnation_id& from, const job_answer& message);

    void on_state_changed(const control_changes& changes);
    void apply_orders(const shard_orders& orders);
    void update_shards();
    void release_shards(std::vector<lease_release::item> items);
    void update_currency();
    void check_stopped();
    void send_probes(std::vector<send_peer>& probes);
    void settle();
    status_view make_status() const;
    void log(const std::string& name, std::vector<std::pair<std::string, std::string>> fields);

    online_requests online_;
    batch_runner batch_;
    job_calls jobs_;
    control_log control_;
    limit_exchange limits_;
    /// Queries and answers between parts of this instance, handled after the event so that no part
    /// is entered again while it works.
    std::deque<job_query> local_queries_;
    std::deque<job_answer> local_answers_;
    currency_basis last_basis_ = currency_basis::none;
    bool awaiting_majority_ = false;
    bool left_ = false;
    bool stopped_ = false;
};

node::implementation::implementation(node_settings settings)
    : settings_(std::move(settings)), parts_(settings_),
      online_(parts_, [this](const target_id& id, time_point now) { batch_.make_room(id, now); }),
      batch_(parts_), jobs_(parts_, [this](const job_query& query,
                                           time_point) { local_queries_.push_back(query); }),
      control_(parts_,
               [this](const control_changes& changes, time_point) { on_state_changed(changes); }),
      limits_(parts_)
{
    batch_.on_local_answer = [this](const job_answer& answer) { local_answers_.push_back(answer); };
}

actions node::implementation::handle(const event& what, time_point now)
{
    assert(now >= parts_.event_time);
    parts_.event_time = now;
    std::visit([this](const auto& specific) { on(specific); }, what);
    settle();
    parts_.flush_messages();
    actions result;
    result.swap(parts_.out);
    return result;
}

void node::implementation::settle()
{
    update_currency();
    limits_.ask(parts_.event_time);
    online_.pump(parts_.event_time);
    // Requests that still lack a token may get one from a shard held here without a message.
    if (limits_.ask(parts_.event_time)) {
        online_.pump(parts_.event_time);
    }
    while (!local_queries_.empty() || !local_answers_.empty()) {
        if (!local_queries_.empty()) {
            const job_query query = local_queries_.front();
            local_queries_.pop_front();
            batch_.on_query(settings_.self.instance, query, parts_.event_time);
            continue;
        }
        const job_answer answer = local_answers_.front();
        local_answers_.pop_front();
        jobs_.on_answer(answer, parts_.event_time);
    }
    batch_.pump(parts_.event_time);
}

void node::implementation::on(const tick& what)
{
    parts_.wall = what.wall;
    std::vector<send_peer> probes;
    const bool ask_all = !parts_.freshness.log_readable(parts_.event_time) || awaiting_majority_ ||
                         control_.awaiting_majority();
    parts_.members.tick(parts_.event_time, parts_.state.next_offset(), ask_all, probes);
    send_probes(probes);
    parts_.freshness.set_ended(parts_.members.ended(parts_.event_time));
    update_shards();
    control_.tick(parts_.event_time);
    jobs_.tick(parts_.event_time);
    online_.check_waiting(parts_.event_time);
    check_stopped();
}

void node::implementation::on(const caller_gone& what)
{
    online_.on_gone(what.request, parts_.event_time);
    jobs_.on_gone(what.request);
    control_.on_gone(what.request);
}

void node::implementation::on(const dispatch_finished& what)
{
    if (online_.owns(what.dispatch)) {
        online_.on_finished(what, parts_.event_time);
        return;
    }
    batch_.on_finished(what, parts_.event_time);
}

void node::implementation::on(const load_report& what)
{
    parts_.targets.on_report(what.target, what.running, what.waiting, what.leaving,
                             parts_.event_time);
    parts_.governor.on_target_report(what.target, what.running, parts_.event_time);
}

void node::implementation::on(const load_report_failed& what)
{
    parts_.targets.on_failure(what.target, parts_.event_time);
}

void node::implementation::on(const body_read& what)
{
    batch_.provide_body(what.partition, what.position, what.body);
}

void node::implementation::on(const append_acknowledged& what)
{
    if (!batch_.on_append(what.append)) {
        jobs_.on_append(what, parts_.event_time);
    }
}

void node::implementation::on(const instance_list& what)
{
    parts_.members.set_list(what.instances, parts_.event_time);
    std::set<target_id> leaving;
    for (const listed_instance& listed : what.instances) {
        // The list names instances of every kind; the router only looks up its targets.
        if (listed.leaving) {
            leaving.insert(target_id(listed.id.value()));
        }
    }
    parts_.targets.set_leaving(leaving);
}

void node::implementation::on(const peer_received& what)
{
    const peer_envelope& envelope = what.envelope;
    const bool for_this_run =
        envelope.to.number == 0 || envelope.to.number == settings_.self.number;
    if (!for_this_run || envelope.from.instance == settings_.self.instance) {
        return;
    }
    parts_.remember_address(envelope.from, envelope.from_address);
    parts_.members.on_heard(envelope.from, parts_.event_time);
    for (const peer_message& message : envelope.messages) {
        std::visit([&](const auto& specific) { on_message(envelope.from, specific); }, message);
    }
}

void node::implementation::send_probes(std::vector<send_peer>& probes)
{
    for (send_peer& sending : probes) {
        for (peer_message& message : sending.envelope.messages) {
            parts_.send(sending.envelope.to.instance, std::move(message));
        }
    }
}

void node::implementation::on_message(const incarnation_id& from, const probe& message)
{
    control_.on_member_next(from.instance, message.applied_next, parts_.event_time);
    // An instance that restarted may not know yet what its earlier run confirmed; its answer must
    // not count in a majority before it has caught up.
    if (!parts_.freshness.vouches()) {
        return;
    }
    std::vector<send_peer> answers;
    parts_.members.on_probe(from, message, parts_.state.next_offset(), parts_.event_time, answers);
    send_probes(answers);
}

void node::implementation::on_message(const incarnation_id& from, const probe_answer& message)
{
    const auto matched = parts_.members.on_answer(from, message, parts_.event_time);
    if (!matched) {
        return;
    }
    parts_.freshness.member_answered(matched->member, matched->asked_at, matched->applied_next);
    control_.on_member_next(matched->member, matched->applied_next, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id& from, const control_request& message)
{
    control_.on_request(from, message);
}

void node::implementation::on_message(const incarnation_id&, const control_relay& message)
{
    control_.on_relay(message, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id& from, const limit_request& message)
{
    limits_.on_request(from, message, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id&, const limit_grant& message)
{
    limits_.on_grant(message, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id& from, const capacity_report& message)
{
    batch_.on_report(from.instance, message, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id& from, const capacity_permit& message)
{
    batch_.on_permit(from.instance, message, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id&, const crash_notice& message)
{
    parts_.crashes.on_notice(message, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id& from, const job_query& message)
{
    batch_.on_query(from.instance, message, parts_.event_time);
}

void node::implementation::on_message(const incarnation_id&, const job_answer& message)
{
    jobs_.on_answer(message, parts_.event_time);
}

void node::implementation::on_state_changed(const control_changes& changes)
{
    if (changes.members) {
        parts_.freshness.set_members(parts_.state.members());
        parts_.members.set_members(parts_.state.members(), parts_.event_time);
    }
    if (changes.config) {
        parts_.on_fleet_changed(parts_.event_time);
        online_.on_fleet_changed(parts_.event_time);
        jobs_.on_fleet_changed();
        log("config_applied", {{"version", std::to_string(parts_.state.current().version)}});
    }
    if (changes.leases || changes.members) {
        update_shards();
    }
}

void node::implementation::update_shards()
{
    const shard_orders orders = parts_.shards.update(
        parts_.state, parts_.freshness, parts_.members.serving(parts_.event_time),
        parts_.members.reachable(parts_.event_time),
        [this](const shard_id& shard) { return batch_.is_busy(shard); }, parts_.event_time);
    awaiting_majority_ = orders.awaiting_majority;
    apply_orders(orders);
}

void node::implementation::apply_orders(const shard_orders& orders)
{
    for (const shard_id& shard : orders.lost) {
        log("lease_lost", {{"shard", to_text(shard)}});
        if (shard.kind == shard_kind::limits) {
            parts_.owner.drop(shard);
        }
        if (shard.kind == shard_kind::batch) {
            batch_.drop(shard.index);
        }
    }
    for (const shard_id& shard : orders.acquired) {
        const lease_epoch epoch = parts_.shards.held_epoch(shard).value_or(0);
        log("lease_held", {{"shard", to_text(shard)}, {"epoch", std::to_string(epoch)}});
        if (shard.kind == shard_kind::limits) {
            parts_.owner.acquire(shard, parts_.state.released_levels(shard), parts_.event_time);
        }
        if (shard.kind == shard_kind::batch) {
            batch_.acquire(shard.index, epoch);
        }
    }
    if (!orders.claims.empty()) {
        parts_.append_control(lease_claim{settings_.self, orders.claims});
    }
    if (!orders.releases.empty()) {
        release_shards(orders.releases);
    }
}

void node::implementation::release_shards(std::vector<lease_release::item> items)
{
    for (lease_release::item& item : items) {
        log("lease_released", {{"shard", to_text(item.shard)}});
        if (item.shard.kind == shard_kind::limits) {
            item.levels = parts_.owner.levels(item.shard, parts_.event_time);
            parts_.owner.drop(item.shard);
        }
        if (item.shard.kind == shard_kind::batch) {
            batch_.drop(item.shard.index);
        }
    }
    parts_.append_control(lease_release{settings_.self, std::move(items)});
}

void node::implementation::update_currency()
{
    const currency_basis basis = parts_.freshness.basis(parts_.event_time);
    if (basis == last_basis_) {
        return;
    }
    const auto text = [](currency_basis value) {
        switch (value) {
        case currency_basis::log:
            return "log";
        case currency_basis::majority:
            return "majority";
        case currency_basis::none:
            return "none";
        }
        return "none";
    };
    log("currency_changed", {{"from", text(last_basis_)}, {"to", text(basis)}});
    last_basis_ = basis;
}

void node::implementation::on(const directory_request& what)
{
    if (!parts_.is_current(parts_.event_time) && !parts_.state.complete()) {
        parts_.refuse(what.request, *parts_.check_open(parts_.event_time));
        return;
    }
    std::set<instance_id> preferred;
    std::uint64_t spread = what.request;
    const auto [key, reason] = parts_.find_key(what.key);
    if (key) {
        for (const shard_id& shard : parts_.borrower.shards_of(key->team)) {
            if (const auto holder = parts_.holder_of(shard, parts_.event_time)) {
                preferred.insert(*holder);
            }
        }
        spread = stable_hash(key->team.value());
    }
    const data_centre_id near = what.data_centre.empty() ? settings_.data_centre : what.data_centre;
    directory_reply reply;
    reply.request = what.request;
    reply.valid_for = settings_.directory_validity;
    for (const member* info :
         parts_.members.directory(near, preferred, spread, parts_.event_time)) {
        reply.entries.push_back(
            {info->incarnation.instance, info->data_centre, info->caller_address});
    }
    parts_.emit(std::move(reply));
}

status_view node::implementation::make_status() const
{
    status_view view;
    view.self = settings_.self;
    view.current = parts_.is_current(parts_.event_time);
    view.leaving = parts_.leaving();
    const currency_basis basis = parts_.freshness.basis(parts_.event_time);
    view.basis = basis == currency_basis::log        ? "log"
                 : basis == currency_basis::majority ? "majority"
                                                     : "none";
    view.version = parts_.state.current().version;
    view.applied_next = parts_.state.next_offset();
    for (const auto& [id, info] : parts_.state.members()) {
        member_view entry;
        entry.info = info;
        const bool self = info.incarnation == settings_.self;
        entry.condition =
            self ? member_condition::alive : parts_.members.condition(id, parts_.event_time);
        entry.applied_next = self ? parts_.state.next_offset() : parts_.freshness.member_next(id);
        for (const auto& [shard, held] : parts_.state.leases()) {
            if (held.holder == info.incarnation && !held.released) {
                entry.shards.push_back(shard);
            }
        }
        view.members.push_back(std::move(entry));
    }
    view.targets = parts_.targets.view(parts_.event_time);
    view.queued = static_cast<std::uint32_t>(online_.queued());
    view.running_online = static_cast<std::uint32_t>(online_.running());
    view.running_batch = static_cast<std::uint32_t>(batch_.running());
    return view;
}

void node::implementation::on(const operator_query& what)
{
    if (what.view == operator_view::jobs) {
        jobs_.on_operator_list(what.request, parts_.event_time);
        return;
    }
    operator_reply reply;
    reply.request = what.request;
    switch (what.view) {
    case operator_view::status:
        reply.status = make_status();
        break;
    case operator_view::fleet:
        reply.state = parts_.state.current();
        break;
    case operator_view::audit:
        reply.audit.assign(parts_.state.audit().begin(), parts_.state.audit().end());
        break;
    case operator_view::jobs:
        break;
    }
    parts_.emit(std::move(reply));
}

void node::implementation::on(const leave_requested&)
{
    if (parts_.leaving()) {
        return;
    }
    parts_.leaving_since = parts_.event_time;
    parts_.members.set_leaving();
    parts_.shards.set_leaving();
    log("leaving", {});
}

void node::implementation::check_stopped()
{
    if (!parts_.closed_to_new(parts_.event_time) || stopped_) {
        return;
    }
    const bool work_done =
        online_.live() == 0 && jobs_.live() == 0 && batch_.running() == 0 && parts_.shards.idle();
    if (!work_done) {
        return;
    }
    if (!left_) {
        left_ = true;
        control_.leave(parts_.event_time);
    }
    if (control_.left(parts_.event_time)) {
        stopped_ = true;
        parts_.emit(stopped{});
    }
}

void node::implementation::log(const std::string& name,
                               std::vector<std::pair<std::string, std::string>> fields)
{
    parts_.emit(log_line{name, std::move(fields)});
}

node::node(node_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings)))
{
}

node::~node() = default;

actions node::handle(const event& what, time_point now)
{
    return implementation_->handle(what, now);
}

const node_counters& node::counters() const
{
    return implementation_->parts_.counters;
}

bool node::is_current(time_point now) const
{
    return implementation_->parts_.is_current(now);
}

const control_state& node::state() const
{
    return implementation_->parts_.state;
}

} // namespace gooseberryfall::core
