#include "wire/control_conversion.hpp"

#include <utility>

namespace gooseberryfall::wire {

namespace {

core::shard_id read(schema::Shard::Reader reader)
{
    switch (reader.getKind()) {
    case schema::ShardKind::CONTROL:
        return {core::shard_kind::control, reader.getIndex()};
    case schema::ShardKind::LIMITS:
        return {core::shard_kind::limits, reader.getIndex()};
    case schema::ShardKind::BATCH:
        return {core::shard_kind::batch, reader.getIndex()};
    }
    unknown_kind("shard", static_cast<unsigned>(reader.getKind()));
}

schema::ShardKind to_schema(core::shard_kind value)
{
    switch (value) {
    case core::shard_kind::control:
        return schema::ShardKind::CONTROL;
    case core::shard_kind::limits:
        return schema::ShardKind::LIMITS;
    case core::shard_kind::batch:
        break;
    }
    return schema::ShardKind::BATCH;
}

void write(schema::Shard::Builder builder, const core::shard_id& value)
{
    builder.setKind(to_schema(value.kind));
    builder.setIndex(value.index);
}

core::member read(schema::Member::Reader reader)
{
    core::member value;
    value.incarnation = wire::read(reader.getIncarnation());
    value.data_centre = read_id<core::data_centre_id>(reader.getDataCentre());
    value.caller_address = read_text(reader.getCallerAddress());
    value.peer_address = read_text(reader.getPeerAddress());
    return value;
}

void write(schema::Member::Builder builder, const core::member& value)
{
    wire::write(builder.initIncarnation(), value.incarnation);
    builder.setDataCentre(text_of(value.data_centre.value()));
    builder.setCallerAddress(text_of(value.caller_address));
    builder.setPeerAddress(text_of(value.peer_address));
}

core::limit_level read(schema::LimitLevel::Reader reader)
{
    core::limit_level value;
    value.team = read_id<core::team_id>(reader.getTeam());
    value.portion = reader.getPortion();
    value.level = read_number(reader.getLevel());
    value.outstanding = read_number(reader.getOutstanding());
    value.rate = read_number(reader.getRate());
    value.burst = read_number(reader.getBurst());
    return value;
}

void write(schema::LimitLevel::Builder builder, const core::limit_level& value)
{
    builder.setTeam(text_of(value.team.value()));
    builder.setPortion(value.portion);
    builder.setLevel(value.level);
    builder.setOutstanding(value.outstanding);
    builder.setRate(value.rate);
    builder.setBurst(value.burst);
}

std::vector<core::limit_level> read(capnp::List<schema::LimitLevel>::Reader list)
{
    return read_list(list, [](auto element) { return read(element); });
}

void write(capnp::List<schema::LimitLevel>::Builder list,
           const std::vector<core::limit_level>& levels)
{
    write_list(list, levels, [](auto builder, const auto& level) { write(builder, level); });
}

core::config_change read(schema::ConfigChange::Reader reader)
{
    core::config_change value;
    value.author = read_text(reader.getAuthor());
    value.comment = read_text(reader.getComment());
    value.base = reader.getBase();
    value.change.upserts =
        read_list(reader.getUpserts(), [](auto element) { return wire::read(element); });
    value.change.removals =
        read_list(reader.getRemovals(), [](auto element) { return wire::read(element); });
    return value;
}

core::member_join read(schema::MemberJoin::Reader reader)
{
    return {reader.getBase(), read(reader.getJoined())};
}

core::member_leave read(schema::MemberLeave::Reader reader)
{
    return {reader.getBase(), wire::read(reader.getLeft())};
}

core::lease_claim read(schema::LeaseClaim::Reader reader)
{
    core::lease_claim value;
    value.claimant = wire::read(reader.getClaimant());
    value.shards = read_list(reader.getShards(), [](schema::LeaseClaim::Item::Reader element) {
        return core::lease_claim::item{read(element.getShard()), element.getExpected()};
    });
    return value;
}

core::lease_release read(schema::LeaseRelease::Reader reader)
{
    core::lease_release value;
    value.holder = wire::read(reader.getHolder());
    value.shards = read_list(reader.getShards(), [](schema::LeaseRelease::Item::Reader element) {
        return core::lease_release::item{read(element.getShard()), element.getEpoch(),
                                         read(element.getLevels())};
    });
    return value;
}

core::audit_entry read(schema::AuditEntry::Reader reader)
{
    core::audit_entry value;
    value.offset = reader.getOffset();
    value.at = wall_time_of(reader.getAtMs());
    value.author = read_text(reader.getAuthor());
    value.comment = read_text(reader.getComment());
    value.base = reader.getBase();
    value.version = reader.getVersion();
    value.refused = read_text(reader.getRefused());
    value.entries = read_list(reader.getEntries(), [](auto text) { return read_text(text); });
    return value;
}

void write(schema::AuditEntry::Builder builder, const core::audit_entry& value)
{
    builder.setOffset(value.offset);
    builder.setAtMs(milliseconds_of(value.at));
    builder.setAuthor(text_of(value.author));
    builder.setComment(text_of(value.comment));
    builder.setBase(value.base);
    builder.setVersion(value.version);
    builder.setRefused(text_of(value.refused));
    auto entries = builder.initEntries(value.entries.size());
    for (unsigned index = 0; index < entries.size(); ++index) {
        entries.set(index, text_of(value.entries[index]));
    }
}

core::lease read(schema::Lease::Reader reader)
{
    core::lease value;
    value.holder = wire::read(reader.getHolder());
    value.epoch = reader.getEpoch();
    value.claimed_at = reader.getClaimedAt();
    value.released = reader.getReleased();
    return value;
}

/// Adds an entry to the fleet's map of its kind.
struct entry_adder {
    core::fleet& state;

    void operator()(const core::team& entry) { state.teams[entry.id] = entry; }
    void operator()(const core::api_key& entry) { state.keys[entry.id] = entry; }
    void operator()(const core::model& entry) { state.models[entry.id] = entry; }
    void operator()(const core::service& entry) { state.services[entry.id] = entry; }
    void operator()(const core::target& entry) { state.targets[entry.id] = entry; }
};

core::control_checkpoint read_checkpoint(schema::ControlCheckpoint::Reader reader)
{
    core::control_checkpoint value;
    value.covers = reader.getCovers();
    value.state.version = reader.getVersion();
    for (auto entry : reader.getEntries()) {
        std::visit(entry_adder{value.state}, wire::read(entry));
    }
    value.members = read_list(reader.getMembers(), [](auto element) { return read(element); });
    value.members_changed_at = reader.getMembersChangedAt();
    for (auto element : reader.getLeases()) {
        value.leases[read(element.getShard())] = read(element);
    }
    for (auto element : reader.getReleasedLevels()) {
        value.released_levels[read(element.getShard())] = read(element.getLevels());
    }
    value.audit = read_list(reader.getAudit(), [](auto element) { return read(element); });
    value.writers = read_list(reader.getWriters(), [](schema::WriterPosition::Reader element) {
        return core::writer_position{wire::read(element.getWriter()), element.getSequence()};
    });
    return value;
}

/// Entries of all kinds as one list.
std::vector<core::fleet_entry> entries_of(const core::fleet& state)
{
    std::vector<core::fleet_entry> entries;
    const auto add = [&entries](const auto& map) {
        for (const auto& [id, entry] : map) {
            entries.emplace_back(entry);
        }
    };
    add(state.teams);
    add(state.keys);
    add(state.models);
    add(state.services);
    add(state.targets);
    return entries;
}

void write_leases(capnp::List<schema::Lease>::Builder list,
                  const std::map<core::shard_id, core::lease>& leases)
{
    write_list(list, leases, [](schema::Lease::Builder builder, const auto& entry) {
        write(builder.initShard(), entry.first);
        wire::write(builder.initHolder(), entry.second.holder);
        builder.setEpoch(entry.second.epoch);
        builder.setClaimedAt(entry.second.claimed_at);
        builder.setReleased(entry.second.released);
    });
}

void write_released(capnp::List<schema::ControlCheckpoint::ReleasedLevels>::Builder list,
                    const std::map<core::shard_id, std::vector<core::limit_level>>& released)
{
    write_list(list, released, [](auto builder, const auto& entry) {
        write(builder.initShard(), entry.first);
        write(builder.initLevels(entry.second.size()), entry.second);
    });
}

void write_checkpoint(schema::ControlCheckpoint::Builder builder,
                      const core::control_checkpoint& value)
{
    builder.setCovers(value.covers);
    builder.setVersion(value.state.version);
    const std::vector<core::fleet_entry> entries = entries_of(value.state);
    write_list(builder.initEntries(entries.size()), entries,
               [](auto to, const auto& entry) { wire::write(to, entry); });
    write_list(builder.initMembers(value.members.size()), value.members,
               [](auto to, const auto& entry) { write(to, entry); });
    builder.setMembersChangedAt(value.members_changed_at);
    write_leases(builder.initLeases(value.leases.size()), value.leases);
    write_released(builder.initReleasedLevels(value.released_levels.size()), value.released_levels);
    write_list(builder.initAudit(value.audit.size()), value.audit,
               [](auto to, const auto& entry) { write(to, entry); });
    write_list(builder.initWriters(value.writers.size()), value.writers,
               [](schema::WriterPosition::Builder to, const core::writer_position& entry) {
                   wire::write(to.initWriter(), entry.writer);
                   to.setSequence(entry.sequence);
               });
}

/// Writes the body of a control record.
struct body_writer {
    schema::ControlRecord::Builder builder;

    void operator()(const core::config_change& value)
    {
        auto to = builder.initConfigChange();
        to.setAuthor(text_of(value.author));
        to.setComment(text_of(value.comment));
        to.setBase(value.base);
        write_list(to.initUpserts(value.change.upserts.size()), value.change.upserts,
                   [](auto entry, const auto& item) { wire::write(entry, item); });
        write_list(to.initRemovals(value.change.removals.size()), value.change.removals,
                   [](auto entry, const auto& item) { wire::write(entry, item); });
    }

    void operator()(const core::member_join& value)
    {
        auto to = builder.initMemberJoin();
        write(to.initJoined(), value.joined);
        to.setBase(value.base);
    }

    void operator()(const core::member_leave& value)
    {
        auto to = builder.initMemberLeave();
        wire::write(to.initLeft(), value.left);
        to.setBase(value.base);
    }

    void operator()(const core::lease_claim& value)
    {
        auto to = builder.initLeaseClaim();
        wire::write(to.initClaimant(), value.claimant);
        write_list(to.initShards(value.shards.size()), value.shards,
                   [](auto entry, const auto& item) {
                       write(entry.initShard(), item.shard);
                       entry.setExpected(item.expected);
                   });
    }

    void operator()(const core::lease_release& value)
    {
        auto to = builder.initLeaseRelease();
        wire::write(to.initHolder(), value.holder);
        write_list(to.initShards(value.shards.size()), value.shards,
                   [](auto entry, const auto& item) {
                       write(entry.initShard(), item.shard);
                       entry.setEpoch(item.epoch);
                       write(entry.initLevels(item.levels.size()), item.levels);
                   });
    }

    void operator()(const core::control_checkpoint& value)
    {
        write_checkpoint(builder.initCheckpoint(), value);
    }
};

core::control_body read_body(schema::ControlRecord::Reader reader)
{
    switch (reader.which()) {
    case schema::ControlRecord::CONFIG_CHANGE:
        return read(reader.getConfigChange());
    case schema::ControlRecord::MEMBER_JOIN:
        return read(reader.getMemberJoin());
    case schema::ControlRecord::MEMBER_LEAVE:
        return read(reader.getMemberLeave());
    case schema::ControlRecord::LEASE_CLAIM:
        return read(reader.getLeaseClaim());
    case schema::ControlRecord::LEASE_RELEASE:
        return read(reader.getLeaseRelease());
    case schema::ControlRecord::CHECKPOINT:
        return read_checkpoint(reader.getCheckpoint());
    case schema::ControlRecord::UNSET:
        break;
    }
    unknown_kind("control record", static_cast<unsigned>(reader.which()));
}

} // namespace

core::control_checkpoint read(schema::ControlCheckpoint::Reader reader)
{
    return read_checkpoint(reader);
}

void write(schema::ControlCheckpoint::Builder builder, const core::control_checkpoint& value)
{
    write_checkpoint(builder, value);
}

core::control_record read(schema::ControlRecord::Reader reader)
{
    return {read(reader.getWriter()), reader.getSequence(), read_body(reader)};
}

void write(schema::ControlRecord::Builder builder, const core::control_record& value)
{
    write(builder.initWriter(), value.writer);
    builder.setSequence(value.sequence);
    std::visit(body_writer{builder}, value.body);
}

} // namespace gooseberryfall::wire
