#include "core/control_log.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>

namespace gooseberryfall::core {

namespace {

/// Groups kept for relays. An instance that lacks more gets a snapshot.
constexpr std::size_t recent_limit = 256;

/// Groups in one relay message.
constexpr std::size_t relay_limit = 64;

/// Time between two requests for missing groups.
constexpr std::chrono::milliseconds request_interval{100};

/// Time between two questions to the seeds.
constexpr std::chrono::milliseconds seed_interval{500};

/// Time after which a membership record that had no effect is written again.
constexpr std::chrono::seconds membership_interval{1};

constexpr std::chrono::seconds checkpoint_interval{5};

/// Groups after which a checkpoint is written, so that a new instance reads little.
constexpr log_offset checkpoint_groups = 2000;

/// Time that an operator waits for the log and for a majority.
constexpr std::chrono::seconds apply_wait{6};

/// Time after which an instance stops although its departure could not be recorded.
constexpr std::chrono::seconds leave_wait{5};

} // namespace

control_log::control_log(node_parts& parts, state_changed changed)
    : parts_(parts), changed_(std::move(changed))
{
}

bool control_log::is_member() const
{
    const auto found = parts_.state.members().find(parts_.settings.self.instance);
    return found != parts_.state.members().end() &&
           found->second.incarnation == parts_.settings.self;
}

void control_log::on_read(const control_read& read, time_point now)
{
    const bool fell_behind = parts_.state.next_offset() < read.earliest;
    if (fell_behind) {
        // Groups that are gone cannot be applied; the next checkpoint holds their effect.
        parts_.state = control_state();
        parts_.state.start_at(read.earliest);
        recent_.clear();
    }
    apply_groups(read.groups, now);
    if (parts_.state.complete()) {
        parts_.freshness.log_answered(read.asked_at, read.head);
    }
}

void control_log::apply_groups(const std::vector<control_group>& groups, time_point now)
{
    control_changes all;
    for (const control_group& group : groups) {
        if (group.offset != parts_.state.next_offset()) {
            continue;
        }
        const control_changes changes = parts_.state.apply(group);
        all.config = all.config || changes.config;
        all.members = all.members || changes.members;
        all.leases = all.leases || changes.leases;
        all.ignored += changes.ignored;
        const bool has_checkpoint =
            std::any_of(group.records.begin(), group.records.end(), [](const auto& record) {
                return std::holds_alternative<control_checkpoint>(record.body);
            });
        if (has_checkpoint && changes.ignored == 0) {
            checkpoint_offset_ = group.offset;
            checkpoint_wall_ = group.appended_at;
        }
        resolve_applies(group);
        recent_.push_back(group);
        if (recent_.size() > recent_limit) {
            recent_.pop_front();
        }
    }
    parts_.counters.records_ignored += all.ignored;
    if (!parts_.state.complete()) {
        return;
    }
    parts_.freshness.set_applied(parts_.state.next_offset());
    if (all.any()) {
        changed_(all, now);
    }
}

void control_log::resolve_applies(const control_group& group)
{
    for (const control_record& record : group.records) {
        if (record.writer != parts_.settings.self ||
            !std::holds_alternative<config_change>(record.body)) {
            continue;
        }
        const auto found =
            std::find_if(applies_.begin(), applies_.end(), [&](const pending_apply& pending) {
                return pending.sequence == record.sequence && !pending.offset;
            });
        if (found == applies_.end() || parts_.state.audit().empty()) {
            continue;
        }
        const audit_entry& entry = parts_.state.audit().back();
        found->offset = group.offset;
        found->version = entry.refused.empty() ? entry.version : parts_.state.current().version;
        found->refused = entry.refused;
    }
}

void control_log::on_request(const incarnation_id& from, const control_request& request)
{
    control_relay relay;
    if (request.from >= parts_.state.next_offset()) {
        return;
    }
    const bool available = !recent_.empty() && recent_.front().offset <= request.from;
    if (!available) {
        if (!parts_.state.complete()) {
            return;
        }
        relay.snapshot = parts_.state.checkpoint();
        parts_.send(from.instance, std::move(relay));
        return;
    }
    for (const control_group& group : recent_) {
        if (group.offset >= request.from && relay.groups.size() < relay_limit) {
            relay.groups.push_back(group);
        }
    }
    parts_.send(from.instance, std::move(relay));
}

void control_log::on_relay(const control_relay& relay, time_point now)
{
    if (relay.snapshot && parts_.state.adopt(*relay.snapshot)) {
        recent_.clear();
        parts_.freshness.set_applied(parts_.state.next_offset());
        control_changes all;
        all.config = true;
        all.members = true;
        all.leases = true;
        changed_(all, now);
    }
    apply_groups(relay.groups, now);
}

void control_log::on_member_next(const instance_id& member, log_offset next, time_point now)
{
    if (next <= parts_.state.next_offset()) {
        return;
    }
    if (requested_at_ && now < *requested_at_ + request_interval) {
        return;
    }
    requested_at_ = now;
    parts_.send(member, control_request{parts_.state.next_offset()});
}

void control_log::on_apply(const operator_apply& apply, time_point now)
{
    if (!parts_.is_current(now)) {
        parts_.refuse(apply.request, not_current(std::chrono::seconds(2)));
        return;
    }
    config_change change;
    change.author = apply.author;
    change.comment = apply.comment;
    change.base = apply.base;
    change.change = apply.change;
    pending_apply pending;
    pending.request = apply.request;
    pending.sequence = parts_.append_control(std::move(change));
    pending.deadline = now + apply_wait;
    applies_.push_back(pending);
}

void control_log::on_gone(request_id request)
{
    std::erase_if(applies_, [&](const auto& pending) { return pending.request == request; });
}

void control_log::answer(const pending_apply& pending)
{
    apply_reply reply;
    reply.request = pending.request;
    reply.version = pending.version;
    reply.refused = pending.refused;
    reply.applied =
        static_cast<std::uint32_t>(parts_.freshness.applied_count(pending.offset.value_or(0)));
    reply.members = static_cast<std::uint32_t>(parts_.state.members().size());
    parts_.emit(reply);
}

void control_log::answer_applies(time_point now)
{
    std::vector<pending_apply> open;
    for (const pending_apply& pending : applies_) {
        const bool everywhere = pending.offset && parts_.freshness.applied_count(*pending.offset) >=
                                                      parts_.state.members().size();
        const bool late = now >= pending.deadline;
        if (everywhere || (late && pending.offset)) {
            answer(pending);
            continue;
        }
        if (late) {
            parts_.refuse(pending.request,
                          {refusal_code::log_unavailable,
                           "the log did not confirm the change in time; look at the audit trail "
                           "before applying it again",
                           run_verdict::may_have_run, std::chrono::seconds(5)});
            continue;
        }
        open.push_back(pending);
    }
    applies_ = std::move(open);
}

bool control_log::awaiting_majority() const
{
    const bool settled = parts_.freshness.members_settled(parts_.state.members_changed_at());
    return !applies_.empty() || !settled || !is_member();
}

void control_log::ask_seeds(time_point now)
{
    const bool has_state = parts_.state.complete() && parts_.state.next_offset() > 0;
    if (has_state || parts_.freshness.log_readable(now)) {
        return;
    }
    if (seeds_asked_at_ && now < *seeds_asked_at_ + seed_interval) {
        return;
    }
    seeds_asked_at_ = now;
    for (const std::string& address : parts_.settings.seeds) {
        send_peer asking;
        asking.address = address;
        asking.envelope.from = parts_.settings.self;
        asking.envelope.from_address = parts_.settings.peer_address;
        asking.envelope.messages.emplace_back(control_request{parts_.state.next_offset()});
        parts_.emit(std::move(asking));
    }
}

void control_log::maintain_membership(time_point now)
{
    if (!parts_.state.complete() || !parts_.freshness.log_readable(now)) {
        return;
    }
    if (membership_written_at_ && now < *membership_written_at_ + membership_interval) {
        return;
    }
    const log_offset base = parts_.state.members_changed_at();
    // A new run of a member replaces the earlier one without waiting: the number of members stays.
    const bool replaces =
        !is_member() && parts_.state.members().contains(parts_.settings.self.instance);
    if (!replaces && !parts_.freshness.members_settled(base)) {
        return;
    }
    if (leaving_since_) {
        if (is_member()) {
            membership_written_at_ = now;
            parts_.append_control(member_leave{base, parts_.settings.self});
        }
        return;
    }
    if (!is_member()) {
        membership_written_at_ = now;
        member self;
        self.incarnation = parts_.settings.self;
        self.data_centre = parts_.settings.data_centre;
        self.caller_address = parts_.settings.caller_address;
        self.peer_address = parts_.settings.peer_address;
        parts_.append_control(member_join{base, std::move(self)});
        return;
    }
    // No lease decides who removes ended members: while they are most of the members, no lease can
    // be taken over. If two instances try, the base of the second record is wrong and it is
    // ignored.
    const std::vector<instance_id> serving = parts_.members.serving(now);
    if (rendezvous("ended members", serving) != parts_.settings.self.instance) {
        return;
    }
    for (const incarnation_id& ended : parts_.members.ended(now)) {
        membership_written_at_ = now;
        parts_.append_control(member_leave{base, ended});
        return;
    }
}

void control_log::write_checkpoint(time_point now)
{
    const bool holder = parts_.shards.held_epoch({shard_kind::control, 0}).has_value();
    const log_offset next = parts_.state.next_offset();
    if (!holder || next == 0 || !parts_.freshness.log_readable(now)) {
        return;
    }
    if (checkpoint_written_at_ && now < *checkpoint_written_at_ + checkpoint_interval) {
        return;
    }
    constexpr int parts_of_retention = 4;
    const bool old =
        parts_.wall - checkpoint_wall_ > parts_.settings.batch.log_retention / parts_of_retention;
    const bool many = next - checkpoint_offset_ > checkpoint_groups;
    if ((old && next - 1 != checkpoint_offset_) || many) {
        checkpoint_written_at_ = now;
        parts_.append_control(parts_.state.checkpoint());
    }
}

void control_log::tick(time_point now)
{
    ask_seeds(now);
    maintain_membership(now);
    write_checkpoint(now);
    answer_applies(now);
}

void control_log::leave(time_point now)
{
    leaving_since_ = now;
    membership_written_at_.reset();
}

bool control_log::left(time_point now) const
{
    if (!leaving_since_) {
        return false;
    }
    return !is_member() || now >= *leaving_since_ + leave_wait;
}

} // namespace gooseberryfall::core
