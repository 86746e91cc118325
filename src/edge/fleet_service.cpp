#include "edge/fleet_service.hpp"

#include "core/visitors.hpp"

#include <algorithm>

namespace gooseberryfall::edge {

namespace {

using serving::peer_message;
using std::chrono::steady_clock;

/// Added to the share of the limits: members that are counted but long gone must not cost the
/// teams much of their rate.
constexpr double limit_share_allowance = 0.05;

/// Changes are told at most this often, so that many at once make few messages.
constexpr std::chrono::milliseconds change_interval{60};

} // namespace

fleet_service::fleet_service(http::event_loop& loop, kernel::logger& logger,
                             kernel::metrics& metrics, fleet_settings settings,
                             serving::fleet_member self, fleet_callbacks callbacks)
    : loop_(loop), logger_(logger), settings_(settings), callbacks_(std::move(callbacks)),
      socket_(loop, metrics),
      leadership_(std::move(self), settings.leadership, steady_clock::now()),
      placement_(settings.scheduler), started_at_(steady_clock::now()),
      leads_gauge_(metrics.add_gauge("fleet_leads", "1 if this instance places for all")),
      waiting_gauge_(metrics.add_gauge("fleet_requests_waiting", "Requests that wait for a slot")),
      running_gauge_(metrics.add_gauge("fleet_slots_used", "Slots in use, as the leader knows"))
{
}

fleet_service::~fleet_service()
{
    *alive_ = false;
}

tl::expected<void, std::string> fleet_service::start()
{
    return socket_.open(leadership_.self().id.value(),
                        [this](const core::instance_id& from, peer_message message) {
                            on_message(from, std::move(message));
                        });
}

void fleet_service::set_state(const serving::desired_state& state)
{
    state_version_ = state.version;
    placement_.set_state(state, steady_clock::now());
}

void fleet_service::set_targets(const std::vector<serving::target_entry>& targets)
{
    if (!wants_targets()) {
        return;
    }
    digest_changed_ = digest_changed_ || targets != targets_;
    targets_ = targets;
    placement_.set_targets(targets_);
}

void fleet_service::set_members(const std::vector<serving::fleet_member>& members)
{
    for (auto& [id, state] : members_) {
        state.registered = false;
    }
    for (const serving::fleet_member& member : members) {
        member_state& state = members_[member.id];
        if (state.heard_at == core::time_point()) {
            state.heard_at = steady_clock::now();
        }
        state.registered = true;
        state.member = member;
    }
    std::erase_if(members_, [](const auto& entry) {
        return !entry.second.registered && !entry.second.alive;
    });
    std::vector<serving::fleet_member> known;
    for (const auto& [id, state] : members_) {
        known.push_back(state.member);
    }
    leadership_.set_members(known);
}

bool fleet_service::has_leader() const
{
    return leadership_.leads() || leadership_.leader(steady_clock::now()).has_value();
}

std::size_t fleet_service::member_count() const
{
    return std::max<std::size_t>(1, members_.size());
}

double fleet_service::limit_share() const
{
    std::size_t living = 1;
    std::size_t all = 1;
    for (const auto& [id, state] : members_) {
        if (id != leadership_.self().id) {
            ++all;
            living += state.alive ? 1 : 0;
        }
    }
    return std::min(1.0,
                    static_cast<double>(living) / static_cast<double>(all) + limit_share_allowance);
}

std::chrono::milliseconds fleet_service::store_age(core::time_point now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - store_read_at_.value_or(core::time_point()));
}

bool fleet_service::others_know_more(core::time_point now) const
{
    const auto own = store_age(now);
    return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
        const member_state& state = entry.second;
        const bool other = entry.first != leadership_.self().id && state.alive;
        return other && state.reported_at &&
               state.store_age + (now - *state.reported_at) + settings_.store_lead < own;
    });
}

void fleet_service::send(const core::instance_id& to, const peer_message& message)
{
    socket_.send(to, message);
}

bool fleet_service::tell_leader(const peer_message& message)
{
    const core::time_point now = steady_clock::now();
    if (leadership_.leads()) {
        std::visit(
            core::visitors{
                [&](const serving::slot_call& call) { deliver(placement_.on_call(call, now)); },
                [&](const serving::slot_end& end) { deliver(placement_.on_end(end, now)); },
                [](const auto&) {},
            },
            message);
        return true;
    }
    const auto leader = leadership_.leader(now);
    if (!leader) {
        return false;
    }
    socket_.send(*leader, message);
    return true;
}

void fleet_service::deliver(const std::vector<serving::addressed_message>& messages)
{
    for (const auto& [to, message] : messages) {
        log_denial(to, message);
        if (to != leadership_.self().id) {
            socket_.send(to, message);
            continue;
        }
        // Not within the call: the receiver may be the one that called.
        loop_.post([this, alive = alive_, message = message] {
            if (*alive) {
                callbacks_.on_work_message(message);
            }
        });
    }
}

void fleet_service::log_denial(const core::instance_id& to, const peer_message& message)
{
    const auto* reply = std::get_if<serving::slot_reply>(&message);
    const auto* denied =
        reply == nullptr ? nullptr : std::get_if<serving::slot_denied>(&reply->result);
    if (denied == nullptr) {
        return;
    }
    const serving::scheduler_state state = placement_.slots().state();
    logger_.write(kernel::log_level::info, "call_denied",
                  {{"call", std::to_string(reply->number)},
                   {"instance", to.value()},
                   {"reason", serving::to_text(denied->reason)},
                   {"slots", std::to_string(state.slots)},
                   {"online_running", std::to_string(state.online_running)},
                   {"batch_running", std::to_string(state.batch_running)},
                   {"online_waiting", std::to_string(state.online_waiting)},
                   {"retry_after_ms", std::to_string(denied->retry_after.count())}});
}

void fleet_service::on_message(const core::instance_id& from, peer_message message)
{
    const core::time_point now = steady_clock::now();
    const bool leads = leadership_.leads();
    std::visit(core::visitors{
                   [&](const serving::slot_call& call) {
                       if (leads) {
                           deliver(placement_.on_call(call, now));
                       }
                   },
                   [&](const serving::slot_end& end) {
                       if (leads) {
                           deliver(placement_.on_end(end, now));
                       }
                   },
                   [&](const serving::instance_report& report) {
                       take_report(from, report, now);
                       check_version(from, report.state_version);
                   },
                   [&](const serving::fleet_digest& digest) { on_digest(digest); },
                   [&](const auto& work) { callbacks_.on_work_message(work); },
               },
               message);
}

void fleet_service::take_report(const core::instance_id& from,
                                const serving::instance_report& report, core::time_point now)
{
    member_state& state = members_[from];
    const bool changed = !state.alive || state.ready != report.ready ||
                         state.leaving != report.leaving || state.partitions != report.partitions;
    digest_changed_ = digest_changed_ || changed;
    state.member = report.self;
    state.ready = report.ready;
    state.leaving = report.leaving;
    state.store_age = report.store_age;
    state.reported_at = now;
    state.spent = report.spent;
    state.spent_is_complete = report.spent_is_complete;
    state.partitions = report.partitions;
    state.heard_at = now;
    state.alive = true;
    state.forgotten = false;
    if (leadership_.leads()) {
        deliver(placement_.on_report(from, report.runs, now));
    }
}

void fleet_service::check_version(const core::instance_id& of, std::uint64_t version)
{
    if (version > state_version_) {
        callbacks_.on_newer_state(of, version);
    }
}

void fleet_service::on_digest(const serving::fleet_digest& digest)
{
    const core::time_point now = steady_clock::now();
    leadership_.on_digest(digest.leader, digest.resigning, now);
    if (digest.resigning || leadership_.leads() ||
        leadership_.leader(now) != std::optional(digest.leader.id)) {
        return;
    }
    check_version(digest.leader.id, digest.state_version);
    if (digest.members.empty()) {
        return;
    }
    for (auto& [id, state] : members_) {
        state.alive = false;
    }
    for (const serving::digest_member& entry : digest.members) {
        member_state& state = members_[entry.member.id];
        state.member = entry.member;
        state.ready = entry.ready;
        state.partitions = entry.partitions;
        state.heard_at = now;
        state.alive = true;
    }
    targets_ = digest.targets;
    placement_.set_targets(targets_);
}

void fleet_service::begin_leading(core::time_point now)
{
    placement_.restart(settings_.tolerance, now);
    learns_until_ = now + settings_.learning_time;
    placement_.set_targets(targets_);
    digest_changed_ = true;
    sent_at_ = {};
    for (auto& [id, state] : members_) {
        // Each has the usual time to report before it counts as silent.
        state.heard_at = now;
        state.reported_at.reset();
    }
    logger_.write(kernel::log_level::info, "leadership_begun",
                  {{"members", std::to_string(members_.size())},
                   {"targets", std::to_string(targets_.size())}});
}

void fleet_service::learn_spending(core::time_point now)
{
    if (!learns_until_ || now < *learns_until_) {
        return;
    }
    learns_until_.reset();
    serving::team_counts spent = callbacks_.condition().spent;
    bool complete = now - started_at_ >= settings_.tolerance.window;
    std::size_t heard = 1;
    for (const auto& [id, state] : members_) {
        if (id == leadership_.self().id || !state.reported_at) {
            continue;
        }
        ++heard;
        complete = complete && state.spent_is_complete;
        for (const auto& [team, count] : state.spent) {
            spent[team] += count;
        }
    }
    // One that died with its counts, such as the leader before, has sent a small part of all.
    complete = complete && heard * 2 > members_.size();
    placement_.learn_spending(spent, complete, settings_.tolerance, now);
    logger_.write(kernel::log_level::info, "limits_learnt",
                  {{"instances", std::to_string(heard)}, {"complete", complete ? "yes" : "no"}});
}

void fleet_service::check_members(core::time_point now)
{
    std::vector<core::instance_id> gone;
    for (auto& [id, state] : members_) {
        if (id == leadership_.self().id) {
            continue;
        }
        const auto silence = now - state.heard_at;
        if (state.alive && silence > settings_.member_silence) {
            state.alive = false;
            digest_changed_ = true;
            logger_.write(kernel::log_level::warning, "instance_silent",
                          {{"instance", state.member.name}, {"address", id.value()}});
        }
        if (!state.alive && !state.forgotten) {
            state.forgotten = true;
            deliver(placement_.forget_instance(id, now));
        }
        if (silence > settings_.member_lifetime) {
            gone.push_back(id);
        }
    }
    for (const core::instance_id& id : gone) {
        callbacks_.on_member_gone(members_.at(id).member);
        members_.erase(id);
        digest_changed_ = true;
    }
}

void fleet_service::tick(core::time_point now)
{
    leadership_.tick(now, store_age(now) < settings_.store_silence, others_know_more(now));
    const bool leads = leadership_.leads();
    if (leads && !led_before_) {
        begin_leading(now);
    }
    if (!leads && led_before_) {
        logger_.write(kernel::log_level::info, "leadership_ended",
                      {{"store_age_ms", std::to_string(store_age(now).count())}});
        // Whoever still follows this instance need not wait for its silence.
        send_digest(true, now);
    }
    led_before_ = leads;
    leads_gauge_.set(leads ? 1 : 0);
    const auto leader = leadership_.leader(now);
    if (leader != followed_) {
        followed_ = leader;
        logger_.write(kernel::log_level::info, "leader_changed",
                      {{"leader", leader ? leader->value() : std::string()}});
    }
    const bool due = now - sent_at_ >= settings_.interval;
    if (leads) {
        check_members(now);
        learn_spending(now);
        placement_.set_limit_share(limit_share(), now);
        deliver(placement_.tick(now));
        if (due) {
            take_report(leadership_.self().id, make_report(now), now);
        }
        if (due || (digest_changed_ && now - sent_at_ >= change_interval)) {
            send_digest(false, now);
        }
        const serving::scheduler_state state = placement_.slots().state();
        waiting_gauge_.set(static_cast<double>(state.online_waiting + state.batch_waiting));
        running_gauge_.set(static_cast<double>(state.online_running + state.batch_running));
    }
    else if (due && leader) {
        sent_at_ = now;
        socket_.send(*leader, make_report(now));
    }
}

serving::instance_report fleet_service::make_report(core::time_point now) const
{
    own_condition own = callbacks_.condition();
    serving::instance_report report;
    report.self = leadership_.self();
    report.ready = own.ready;
    report.leaving = own.leaving;
    report.store_age = store_age(now);
    report.state_version = state_version_;
    report.partitions = std::move(own.partitions);
    report.runs = std::move(own.runs);
    report.spent = std::move(own.spent);
    report.spent_is_complete = now - started_at_ >= settings_.tolerance.window;
    return report;
}

serving::fleet_digest fleet_service::make_digest(bool full) const
{
    serving::fleet_digest digest;
    digest.leader = leadership_.self();
    digest.state_version = state_version_;
    if (!full) {
        return digest;
    }
    for (const auto& [id, state] : members_) {
        if (state.alive) {
            digest.members.push_back(
                {state.member, state.ready && !state.leaving, state.partitions});
        }
    }
    digest.targets = targets_;
    return digest;
}

void fleet_service::send_digest(bool resigning, core::time_point now)
{
    const bool full = digest_changed_ || now - full_sent_at_ >= settings_.full_interval;
    serving::fleet_digest digest = make_digest(full && !resigning);
    digest.resigning = resigning;
    sent_at_ = now;
    if (full) {
        full_sent_at_ = now;
        digest_changed_ = false;
    }
    for (const auto& [id, state] : members_) {
        if (id != leadership_.self().id) {
            socket_.send(id, digest);
        }
    }
}

std::vector<serving::fleet_member> fleet_service::ready_members() const
{
    std::vector<serving::fleet_member> result;
    for (const auto& [id, state] : members_) {
        if (state.alive && state.ready && !state.leaving) {
            result.push_back(state.member);
        }
    }
    return result;
}

std::optional<fleet_service::partition_owner> fleet_service::owner_of(std::uint32_t partition) const
{
    std::optional<partition_owner> owner;
    for (const auto& [id, state] : members_) {
        for (const serving::owned_partition& owned : state.partitions) {
            const bool newer = !owner || owned.epoch > owner->epoch;
            if (state.alive && owned.number == partition && newer) {
                owner = partition_owner{id, owned.epoch};
            }
        }
    }
    return owner;
}

void fleet_service::leave()
{
    if (leadership_.leads()) {
        send_digest(true, steady_clock::now());
        led_before_ = false;
    }
    leadership_.leave();
}

void fleet_service::stop()
{
    socket_.close();
}

} // namespace gooseberryfall::edge
