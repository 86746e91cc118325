#include "edge/fleet_service.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using serving::peer_message;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Added to the alive share of the fleet when limits are scaled by it: members that are still
/// registered but long gone must not cost the teams much of their rate.
constexpr double limit_share_allowance = 0.05;

/// View updates are sent at most this often, so that many simultaneous changes make few messages.
constexpr milliseconds update_interval_min{60};

/// A new leader sends no view updates for this long: the other instances report when they receive
/// its first heartbeat, which takes a round trip and a tick.
constexpr milliseconds first_report_wait{60};

/// Interval of heartbeats to instances that have not reported to a new leader: after all processes
/// have ended, many start just after its first heartbeat.
constexpr milliseconds term_announcement_interval{60};

/// Time from the begin of a term in which instances that have not reported get more heartbeats.
constexpr milliseconds term_announcement_time{3000};

/// Time from the begin of a term after which the leader has usually read the list of all targets.
constexpr milliseconds target_list_wait{3000};

/// View blocks in one datagram: about 8 kB, which network links take without queueing.
constexpr std::size_t update_blocks_max = 4;

/// Interval of the report of the teams' shares.
constexpr milliseconds share_report_interval{1000};

/// Teams in one log line about shares.
constexpr std::size_t share_log_teams_max = 5;

/// Marks in one message. Few requests crash targets; those with the most crashes are sent.
constexpr std::size_t crash_marks_max = 16;

} // namespace

fleet_service::fleet_service(http::event_loop& loop, kernel::logger& logger,
                             kernel::metrics& metrics, fleet_settings settings,
                             serving::fleet_member self, fleet_callbacks callbacks)
    : loop_(loop), logger_(logger), settings_(settings), callbacks_(std::move(callbacks)),
      socket_(loop, metrics),
      leadership_(std::move(self), settings.leadership, steady_clock::now()),
      placement_(settings.scheduler), roster_(leadership_.self().id, settings.roster),
      evacuations_(logger, metrics, [this] { on_evacuations_changed(); }),
      started_at_(steady_clock::now()), report_interval_(settings.leadership.heartbeat_interval),
      leads_gauge_(metrics.add_gauge("fleet_leads", "1 if this instance places for all")),
      waiting_gauge_(metrics.add_gauge("fleet_requests_waiting", "Requests that wait for a slot")),
      running_gauge_(metrics.add_gauge("fleet_slots_used", "Slots in use, as the leader knows")),
      slots_gauge_(metrics.add_gauge("fleet_slots", "Slots of the targets, as the leader knows")),
      targets_gauge_(metrics.add_gauge("fleet_targets", "Targets that the leader places to")),
      refused_traits_gauge_(metrics.add_gauge(
          "fleet_refused_traits", "Traits whose requests are refused because they crash targets")),
      limited_targets_gauge_(metrics.add_gauge("fleet_limited_targets",
                                               "Targets that name a rate limit in their answers")),
      cold_targets_gauge_(
          metrics.add_gauge("fleet_cold_targets", "Targets that are cold or may be so")),
      leaving_heard_counter_(metrics.add_counter(
          "targets_heard_leaving", "Targets that have said in an answer that they leave")),
      teams_over_share_gauge_(metrics.add_gauge(
          "fleet_teams_over_share", "Teams that asked for more than their share of the slots")),
      share_refusals_(metrics, "fleet_share_refusals",
                      "Requests refused for want of slots, by when that was decided", "reason")
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

void fleet_service::set_dynamic_settings(const dynamic_fleet_settings& dynamic)
{
    dynamic_ = dynamic;
    placement_.set_limit_window(dynamic.tolerance.window, steady_clock::now());
    cold_limits_.set_tolerance(dynamic.cold);
    apply_cold_limits();
}

void fleet_service::set_state(const serving::desired_state& state)
{
    state_version_ = state.version;
    heartbeat_triggered_ = true;
    placement_.apply_state(state, steady_clock::now());
    cold_limits_.set_services(state.services);
    apply_cold_limits();
}

void fleet_service::set_members(const std::vector<serving::fleet_member>& members)
{
    members_listed_ = true;
    roster_.set_registered(members, steady_clock::now());
    leadership_.set_members(members);
}

bool fleet_service::has_leader() const
{
    return leadership_.leads() || leadership_.leader(steady_clock::now()).has_value();
}

std::optional<double> fleet_service::largest_owner_capacity() const
{
    const core::time_point now = steady_clock::now();
    if (leadership_.leads()) {
        // Instances that report first are often the smaller ones, of which there are more.
        return members_listed_ ? std::optional(roster_.largest_owner_capacity(
                                     leadership_.heartbeat_interval(), now))
                               : std::nullopt;
    }
    return leadership_.leader(now) ? announced_owner_capacity_ : std::nullopt;
}

bool fleet_service::expects_leader() const
{
    const auto search_time = leadership_.leaderless_for(steady_clock::now());
    return !leadership_.leads() && search_time < settings_.leader_wait;
}

std::size_t fleet_service::member_count() const
{
    return std::max(announced_members_, roster_.size());
}

std::vector<serving::fleet_member> fleet_service::ready_members() const
{
    return roster_.ready();
}

double fleet_service::limit_share() const
{
    return std::min(1.0, roster_.alive_share() + limit_share_allowance);
}

milliseconds fleet_service::store_age(core::time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now -
                                                    store_read_at_.value_or(core::time_point()));
}

milliseconds fleet_service::uptime(core::time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now - started_at_);
}

bool fleet_service::is_store_readable(core::time_point now) const
{
    return store_age(now) < dynamic_.store_age_max;
}

void fleet_service::record_store_read(core::time_point read_at)
{
    fleet_store_read_at_ = std::max(fleet_store_read_at_.value_or(read_at), read_at);
}

bool fleet_service::peers_have_newer_read() const
{
    const auto peer_read_at = roster_.latest_peer_store_read();
    return peer_read_at &&
           *peer_read_at > store_read_at_.value_or(core::time_point()) + dynamic_.store_age_margin;
}

void fleet_service::send(const core::instance_id& to, const peer_message& message)
{
    socket_.send(to, message);
}

void fleet_service::report_instance_exited(const core::instance_id& instance)
{
    send_to_leader(serving::instance_exited{instance});
}

void fleet_service::end_stalled_leadership(core::time_point now)
{
    // After a stall, messages and requests that have waited may be handled before the next tick.
    if (leadership_.leads() && leadership_.has_stalled(now)) {
        update_leadership(now);
    }
}

bool fleet_service::send_to_leader(const peer_message& message)
{
    const core::time_point now = steady_clock::now();
    end_stalled_leadership(now);
    if (leadership_.leads()) {
        std::visit(core::visitors{
                       [&](const serving::admission_request& admission) {
                           deliver(placement_.on_admission_request(admission, now));
                       },
                       [&](const serving::slot_release& release) {
                           note_lost_connection(release, now);
                           deliver(placement_.on_slot_release(release, now));
                       },
                       [&](const serving::instance_exited& exited) {
                           roster_.mark_exited(exited.instance);
                       },
                       [](const auto&) {},
                   },
                   message);
        return true;
    }
    if (const auto* release = std::get_if<serving::slot_release>(&message)) {
        note_lost_connection(*release, now);
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
        log_rejection(to, message);
        if (to != leadership_.self().id) {
            socket_.send(to, message);
            continue;
        }
        // Deferred, because the receiver may be the caller of this function.
        loop_.post([this, alive = alive_, message = message] {
            if (*alive) {
                callbacks_.on_admission_message(message);
            }
        });
    }
}

void fleet_service::log_rejection(const core::instance_id& to, const peer_message& message)
{
    const auto* reply = std::get_if<serving::admission_reply>(&message);
    const auto* rejected =
        reply == nullptr ? nullptr : std::get_if<serving::admission_rejected>(&reply->result);
    if (rejected == nullptr) {
        return;
    }
    const serving::scheduler_stats slot_stats = placement_.request_scheduler().stats();
    const auto team = placement_.find_rejected_team({to, reply->number})
                          .value_or(serving::fleet_placement::rejected_team());
    logger_.write(kernel::log_level::info, "call_denied",
                  {{"call", std::to_string(reply->number)},
                   {"instance", to.value()},
                   {"reason", serving::to_text(rejected->reason)},
                   {"team", team.team.value()},
                   {"trait", team.trait ? serving::to_text(*team.trait) : std::string()},
                   {"rate", std::to_string(team.bucket.limit.rate)},
                   {"burst", std::to_string(team.bucket.limit.burst)},
                   {"level", std::to_string(team.bucket.level)},
                   {"slots", std::to_string(slot_stats.slots)},
                   {"online_running", std::to_string(slot_stats.online_running)},
                   {"batch_running", std::to_string(slot_stats.batch_running)},
                   {"online_waiting", std::to_string(slot_stats.online_waiting)},
                   {"retry_after_ms", std::to_string(rejected->retry_after.count())}});
}

void fleet_service::log_quarantine_events()
{
    for (const serving::quarantine_event& event : placement_.take_quarantine_events()) {
        std::string traits;
        for (const serving::crash_mark& mark : event.marks) {
            traits += (traits.empty() ? "" : " ") + serving::to_text(mark.trait) + "=" +
                      std::to_string(mark.crashes);
        }
        logger_.write(event.kind == serving::quarantine_change::cleared
                          ? kernel::log_level::info
                          : kernel::log_level::warning,
                      serving::to_text(event.kind),
                      {{"target", event.target.value()},
                       {"runs", std::to_string(event.runs)},
                       {"begun", std::to_string(event.runs_begun)},
                       {"crashes", traits}});
    }
}

void fleet_service::on_message(const core::instance_id& from, peer_message message)
{
    const core::time_point now = steady_clock::now();
    end_stalled_leadership(now);
    const bool leads = leadership_.leads();
    std::visit(core::visitors{
                   [&](const serving::admission_request& admission) {
                       if (leads) {
                           deliver(placement_.on_admission_request(admission, now));
                       }
                   },
                   [&](const serving::slot_release& release) {
                       if (leads) {
                           note_lost_connection(release, now);
                           deliver(placement_.on_slot_release(release, now));
                       }
                   },
                   [&](const serving::instance_report& report) {
                       if (leads) {
                           apply_report(from, report, now);
                           send_update(from, now);
                       }
                       check_state_version(from, report.state_version);
                   },
                   [&](const serving::leader_heartbeat& heartbeat) { on_heartbeat(heartbeat); },
                   [&](serving::fleet_update& update) { on_update(std::move(update)); },
                   [&](const serving::leader_query& query) { on_leader_query(from, query); },
                   [&](const serving::leader_hint& hint) { on_leader_hint(hint); },
                   [&](const serving::instance_exited& exited) {
                       if (leads) {
                           roster_.mark_exited(exited.instance);
                       }
                   },
                   [&](const auto& other) { callbacks_.on_admission_message(other); },
               },
               message);
}

void fleet_service::apply_report(const core::instance_id& from,
                                 const serving::instance_report& report, core::time_point now)
{
    // Only once in a term: what is known here may be newer from then on.
    if (from != leadership_.self().id && !roster_.has_reported(from)) {
        placement_.merge_crash_marks(report.crash_marks_known, now);
    }
    roster_.apply_report(from, report, now);
    record_store_read(now - report.store_age);
    if (from != leadership_.self().id) {
        apply_statements(report.statements, serving::statement_source::report, "report", now);
        evacuations_.merge(report.evacuations);
    }
    deliver(placement_.on_run_report(from, report.runs, now));
}

void fleet_service::check_state_version(const core::instance_id& sender, std::uint64_t version)
{
    if (version > state_version_) {
        callbacks_.on_newer_state(sender, version);
    }
}

void fleet_service::on_heartbeat(const serving::leader_heartbeat& heartbeat)
{
    const core::time_point now = steady_clock::now();
    leadership_.on_heartbeat(heartbeat.leader, heartbeat.resigning, heartbeat.interval, now);
    if (heartbeat.resigning || leadership_.leads() ||
        leadership_.leader(now) != std::optional(heartbeat.leader.id)) {
        return;
    }
    if (reported_to_ == std::optional(heartbeat.leader.id)) {
        placement_.replace_crash_marks(heartbeat.crash_marks_known, now);
    }
    else {
        // The leader does not have this instance's marks yet.
        placement_.merge_crash_marks(heartbeat.crash_marks_known, now);
    }
    report_interval_ = std::max(heartbeat.interval, settings_.leadership.heartbeat_interval);
    announced_members_ = heartbeat.alive_members;
    announced_owner_capacity_ = heartbeat.largest_capacity;
    evacuations_.merge(heartbeat.evacuations);
    record_store_read(now - heartbeat.store_age);
    check_state_version(heartbeat.leader.id, heartbeat.state_version);
}

void fleet_service::on_update(serving::fleet_update update)
{
    const core::time_point now = steady_clock::now();
    if (leadership_.leader(now) != std::optional(update.leader)) {
        return;
    }
    for (serving::fleet_block& block : update.blocks) {
        leader_view_.apply(std::move(block));
    }
    roster_.apply_view(leader_view_, now);
    conditions_.adopt(leader_view_.targets(), now);
    apply_targets(leader_view_.targets());
    report_triggered_ = true;
}

void fleet_service::on_leader_query(const core::instance_id& from,
                                    const serving::leader_query& query)
{
    const core::time_point now = steady_clock::now();
    if (leadership_.leads()) {
        socket_.send(from, make_heartbeat(now));
        return;
    }
    if (const auto leader = leadership_.recent_leader(now)) {
        socket_.send(from, serving::leader_hint{*leader});
        return;
    }
    leadership_.on_candidate(query.from, query.store_readable, now);
}

void fleet_service::on_leader_hint(const serving::leader_hint& hint)
{
    const core::time_point now = steady_clock::now();
    if (leadership_.leads() || leadership_.leader(now)) {
        return;
    }
    leadership_.on_leader_hint(now);
    socket_.send(hint.leader.id, serving::leader_query{leadership_.self(), is_store_readable(now)});
}

void fleet_service::become_leader(core::time_point now)
{
    leading_since_ = now;
    reported_to_.reset();
    placement_.begin_term(dynamic_.tolerance, now);
    limit_recovery_deadline_ = now + settings_.limit_recovery_time;
    updates_allowed_at_ = now + first_report_wait;
    roster_.start_leading(now);
    if (!listed_targets_.empty()) {
        apply_targets(listed_targets_);
    }
    last_sent_at_ = {};
    logger_.write(kernel::log_level::info, "leadership_begun",
                  {{"members", std::to_string(roster_.size())},
                   {"targets", std::to_string(targets_.size())}});
}

void fleet_service::recover_limits(core::time_point now)
{
    const bool enough_reports = now >= updates_allowed_at_ && roster_.majority_reported();
    if (!limit_recovery_deadline_ || (!enough_reports && now < *limit_recovery_deadline_)) {
        return;
    }
    limit_recovery_deadline_.reset();
    const serving::team_spending spending = roster_.fleet_spending(
        callbacks_.local_status().recent_requests, uptime(now), dynamic_.tolerance.window, now);
    placement_.apply_fleet_spending(spending, dynamic_.tolerance, now);
    logger_.write(kernel::log_level::info, "limits_learnt",
                  {{"instances", std::to_string(spending.reporting_instances)},
                   {"scope", serving::to_text(spending.scope)},
                   {"since_restart_ms", std::to_string(spending.since_restart.count())}});
}

void fleet_service::remove_expired_members(core::time_point now)
{
    const auto departures = roster_.expire_members(leadership_.heartbeat_interval(), now);
    for (const auto& [member, owns_partitions] : departures.unresponsive) {
        logger_.write(kernel::log_level::warning, "instance_silent",
                      {{"instance", member.name},
                       {"address", member.id.value()},
                       {"owner", owns_partitions ? "yes" : "no"}});
        deliver(placement_.remove_instance(member.id, now));
        if (owns_partitions) {
            callbacks_.on_owner_unresponsive(member.id);
        }
    }
    for (const serving::fleet_member& member : departures.removed) {
        callbacks_.on_member_removed(member);
    }
}

void fleet_service::update_leadership(core::time_point now)
{
    const bool store_readable = is_store_readable(now);
    leadership_.tick(now, store_readable, leadership_.leads() && peers_have_newer_read());
    for (const core::instance_id& recipient : leadership_.take_queries(now)) {
        socket_.send(recipient, serving::leader_query{leadership_.self(), store_readable});
    }
    const bool leads = leadership_.leads();
    if (leads && !was_leader_) {
        become_leader(now);
    }
    if (!leads && was_leader_) {
        logger_.write(kernel::log_level::info, "leadership_ended",
                      {{"store_age_ms", std::to_string(store_age(now).count())}});
        // Followers then need not wait for the heartbeats to time out.
        send_heartbeat(true, now);
    }
    was_leader_ = leads;
    leads_gauge_.set(leads ? 1 : 0);
    const auto leader = leadership_.leader(now);
    if (leader != followed_leader_) {
        followed_leader_ = leader;
        report_triggered_ = true;
        logger_.write(kernel::log_level::info, "leader_changed",
                      {{"leader", leader ? leader->value() : std::string()}});
    }
}

void fleet_service::tick(core::time_point now)
{
    if (store_read_at_) {
        record_store_read(*store_read_at_);
    }
    update_leadership(now);
    if (next_warm_at_ && now >= *next_warm_at_) {
        apply_targets(listed_targets_);
    }
    if (leadership_.leads()) {
        tick_leader(now);
    }
    else if (const auto leader = leadership_.leader(now)) {
        tick_follower(*leader, now);
    }
    // A new leader needs some time to read the list of all targets.
    evacuations_.log_events(leadership_.leads() && now - leading_since_ > target_list_wait);
}

void fleet_service::tick_leader(core::time_point now)
{
    const bool due = now - last_sent_at_ >= leadership_.heartbeat_interval();
    if (due || report_triggered_) {
        report_triggered_ = false;
        apply_report(leadership_.self().id, make_report(now), now);
    }
    remove_expired_members(now);
    recover_limits(now);
    placement_.set_limit_share(limit_share(), now);
    deliver(placement_.tick(now));
    log_quarantine_events();
    if (due || std::exchange(heartbeat_triggered_, false)) {
        send_heartbeat(false, now);
    }
    announce_to_unreported_peers(now);
    send_updates(now);
    const serving::scheduler_stats slot_stats = placement_.request_scheduler().stats();
    waiting_gauge_.set(static_cast<double>(slot_stats.online_waiting + slot_stats.batch_waiting));
    running_gauge_.set(static_cast<double>(slot_stats.online_running + slot_stats.batch_running));
    slots_gauge_.set(static_cast<double>(slot_stats.slots));
    targets_gauge_.set(static_cast<double>(slot_stats.targets));
    limited_targets_gauge_.set(static_cast<double>(
        std::count_if(targets_.begin(), targets_.end(), [](const serving::target_entry& each) {
            return each.rate_limit.has_value();
        })));
    cold_targets_gauge_.set(static_cast<double>(
        std::count_if(targets_.begin(), targets_.end(),
                      [](const serving::target_entry& each) { return each.cold; })));
    refused_traits_gauge_.set(static_cast<double>(placement_.quarantine().refused_count()));
    report_shares(now);
}

void fleet_service::report_shares(core::time_point now)
{
    if (now - shares_reported_at_ < share_report_interval) {
        return;
    }
    shares_reported_at_ = now;
    std::size_t over_share = 0;
    std::string teams;
    std::size_t listed = 0;
    for (const auto& [service, kind, shares] : placement_.report_shares(now)) {
        for (const serving::team_share& team : shares) {
            share_refusals_.add("arrival", team.refused_on_arrival);
            share_refusals_.add("displaced", team.refused_displaced);
            share_refusals_.add("waited", team.refused_after_wait);
            if (!team.is_over_share()) {
                continue;
            }
            ++over_share;
            if (++listed > share_log_teams_max) {
                continue;
            }
            teams += (teams.empty() ? "" : " ") + service.value() + "/" +
                     (kind == serving::work_kind::online ? "online/" : "batch/") +
                     team.team.value() + ":share=" + std::to_string(team.share_slots) +
                     ",used=" + std::to_string(team.used_slots) +
                     ",asked=" + std::to_string(team.asked_slots) +
                     ",arrival=" + std::to_string(team.refused_on_arrival) +
                     ",displaced=" + std::to_string(team.refused_displaced) +
                     ",waited=" + std::to_string(team.refused_after_wait);
        }
    }
    teams_over_share_gauge_.set(static_cast<double>(over_share));
    if (over_share > 0) {
        logger_.write(kernel::log_level::info, "teams_over_share",
                      {{"count", std::to_string(over_share)}, {"teams", teams}});
    }
}

void fleet_service::tick_follower(const core::instance_id& leader, core::time_point now)
{
    if (report_triggered_ || now - last_sent_at_ >= report_interval_) {
        report_triggered_ = false;
        last_sent_at_ = now;
        reported_to_ = leader;
        socket_.send(leader, make_report(now));
    }
}

serving::crash_marks fleet_service::crash_marks(core::time_point now) const
{
    return placement_.quarantine().marks(crash_marks_max, now);
}

serving::instance_report fleet_service::make_report(core::time_point now) const
{
    instance_status status = callbacks_.local_status();
    serving::instance_report report;
    report.self = leadership_.self();
    report.ready = status.ready;
    report.leaving = status.leaving;
    report.store_age = store_age(now);
    report.state_version = state_version_;
    report.partitions = std::move(status.partitions);
    report.runs = std::move(status.runs);
    report.recent_requests = std::move(status.recent_requests);
    report.uptime = uptime(now);
    report.held_blocks = leader_view_.versions();
    report.crash_marks_known = crash_marks(now);
    report.statements = conditions_.to_report(listed_targets_, now);
    report.evacuations = evacuations_.knowledge();
    return report;
}

serving::leader_heartbeat fleet_service::make_heartbeat(core::time_point now) const
{
    serving::leader_heartbeat heartbeat;
    heartbeat.leader = leadership_.self();
    heartbeat.interval = leadership_.heartbeat_interval();
    heartbeat.state_version = state_version_;
    heartbeat.store_age = std::chrono::duration_cast<milliseconds>(
        now - fleet_store_read_at_.value_or(core::time_point()));
    heartbeat.alive_members = static_cast<std::uint32_t>(roster_.alive_count());
    heartbeat.crash_marks_known = crash_marks(now);
    heartbeat.evacuations = evacuations_.knowledge();
    heartbeat.largest_capacity = largest_owner_capacity();
    return heartbeat;
}

void fleet_service::send_heartbeat(bool resigning, core::time_point now)
{
    serving::leader_heartbeat heartbeat = make_heartbeat(now);
    heartbeat.resigning = resigning;
    last_sent_at_ = now;
    for (const core::instance_id& id : roster_.peers()) {
        socket_.send(id, heartbeat);
    }
}

void fleet_service::announce_to_unreported_peers(core::time_point now)
{
    if (now - leading_since_ > term_announcement_time ||
        now - term_announced_at_ < term_announcement_interval) {
        return;
    }
    term_announced_at_ = now;
    const serving::leader_heartbeat heartbeat = make_heartbeat(now);
    for (const core::instance_id& id : roster_.unreported_peers()) {
        socket_.send(id, heartbeat);
    }
}

void fleet_service::send_updates(core::time_point now)
{
    const bool changed = roster_.revision() != sent_revision_;
    if (!changed || now < updates_allowed_at_ || now - updates_sent_at_ < update_interval_min) {
        return;
    }
    sent_revision_ = roster_.revision();
    updates_sent_at_ = now;
    for (const core::instance_id& id : roster_.peers()) {
        send_update(id, now);
    }
}

void fleet_service::send_update(const core::instance_id& to, core::time_point now)
{
    if (now < updates_allowed_at_ || !roster_.has_reported(to)) {
        return;
    }
    serving::fleet_update update{leadership_.self().id, {}};
    for (const serving::fleet_block* block : roster_.take_blocks_to_send(to, now)) {
        update.blocks.push_back(*block);
        if (update.blocks.size() == update_blocks_max) {
            socket_.send(to, update);
            update.blocks.clear();
        }
    }
    if (!update.blocks.empty()) {
        socket_.send(to, update);
    }
}

void fleet_service::leave()
{
    if (leadership_.leads()) {
        send_heartbeat(true, steady_clock::now());
        was_leader_ = false;
    }
    leadership_.resign();
}

void fleet_service::stop()
{
    socket_.close();
}

} // namespace gooseberryfall::edge
