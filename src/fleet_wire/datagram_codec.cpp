#include "fleet_wire/datagram_codec.hpp"

#include "core/visitors.hpp"
#include "wire/message_bytes.hpp"

#include "generated/fleet.capnp.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gooseberryfall::fleet_wire {

namespace {

using std::chrono::milliseconds;

/// Value of `untilExpiryMs` for a request without expiry.
constexpr std::int32_t no_expiry = -1;

/// Milliseconds as stored in a message, limited to the range of the field.
std::int32_t to_wire(milliseconds value)
{
    constexpr std::int64_t limit = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(value.count(), -limit, limit));
}

/// Stands for a target without a rate limit.
constexpr double no_rate_limit = -1;

double to_wire(const std::optional<double>& rate)
{
    return rate.value_or(no_rate_limit);
}

/// Stands for the largest capacity while the leader doesn't know all instances.
constexpr double unknown_capacity = std::numeric_limits<double>::infinity();

std::optional<double> read_rate(double value)
{
    return value >= 0 ? std::optional(value) : std::nullopt;
}

std::string text(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

void write(schema::Member::Builder out, const serving::fleet_member& in)
{
    out.setId(in.id.value());
    out.setName(in.name);
    out.setDataCentre(in.data_centre.value());
    out.setCallersAddress(in.callers_address);
    out.setCapacity(in.capacity);
    out.setStartedAt(in.started_at);
}

serving::fleet_member read(schema::Member::Reader in)
{
    serving::fleet_member out;
    out.id = core::instance_id(text(in.getId()));
    out.name = text(in.getName());
    out.data_centre = core::data_centre_id(text(in.getDataCentre()));
    out.callers_address = text(in.getCallersAddress());
    out.capacity = in.getCapacity();
    out.started_at = in.getStartedAt();
    return out;
}

template <class Builder>
void write_partitions(Builder out, const std::vector<serving::owned_partition>& in)
{
    auto list = out.initPartitions(static_cast<unsigned>(in.size()));
    for (unsigned index = 0; index < in.size(); ++index) {
        list[index].setNumber(in[index].number);
        list[index].setEpoch(in[index].epoch);
    }
}

template <class Reader>
std::vector<serving::owned_partition> read_partitions(Reader in)
{
    std::vector<serving::owned_partition> out;
    for (const auto partition : in.getPartitions()) {
        out.push_back({partition.getNumber(), partition.getEpoch()});
    }
    return out;
}

template <class List>
void write_numbers(List out, const std::vector<std::uint64_t>& in)
{
    for (unsigned index = 0; index < in.size(); ++index) {
        out.set(index, in[index]);
    }
}

template <class List>
std::vector<std::uint64_t> read_numbers(List in)
{
    std::vector<std::uint64_t> out;
    for (const std::uint64_t number : in) {
        out.push_back(number);
    }
    return out;
}

void write(schema::SlotCall::Builder out, const serving::admission_request& in)
{
    const serving::slot_request& request = in.slot;
    out.setNumber(request.key.number);
    out.setService(request.service.value());
    out.setBatch(request.kind == serving::work_kind::batch);
    out.setDataCentre(request.data_centre.value());
    write_numbers(out.initPrefixes(static_cast<unsigned>(request.prefixes.size())),
                  request.prefixes);
    out.setTokens(request.tokens);
    out.setPromptTokens(request.prompt_tokens);
    out.setUntilObjectiveMs(to_wire(request.time_to_objective));
    out.setUntilEndMs(to_wire(request.time_to_deadline));
    out.setUntilExpiryMs(request.time_to_expiry ? std::max(0, to_wire(*request.time_to_expiry))
                                                : no_expiry);
    out.setReturning(request.is_retry);
    auto excluded = out.initExcluded(static_cast<unsigned>(request.excluded.size()));
    for (unsigned index = 0; index < request.excluded.size(); ++index) {
        excluded.set(index, request.excluded[index].value());
    }
    out.setTeam(request.team.value());
    out.setCharged(in.charged);
    out.setFingerprint(in.traits.fingerprint);
    write_numbers(out.initParts(static_cast<unsigned>(in.traits.parts.size())), in.traits.parts);
}

serving::admission_request read(schema::SlotCall::Reader in, const core::instance_id& sender)
{
    serving::admission_request out;
    serving::slot_request& request = out.slot;
    request.key = {sender, in.getNumber()};
    request.service = core::service_id(text(in.getService()));
    request.kind = in.getBatch() ? serving::work_kind::batch : serving::work_kind::online;
    request.data_centre = core::data_centre_id(text(in.getDataCentre()));
    request.prefixes = read_numbers(in.getPrefixes());
    request.tokens = in.getTokens();
    request.prompt_tokens = in.getPromptTokens();
    request.time_to_objective = milliseconds(in.getUntilObjectiveMs());
    request.time_to_deadline = milliseconds(in.getUntilEndMs());
    if (in.getUntilExpiryMs() != no_expiry) {
        request.time_to_expiry = milliseconds(in.getUntilExpiryMs());
    }
    request.is_retry = in.getReturning();
    for (const auto excluded_target : in.getExcluded()) {
        request.excluded.emplace_back(text(excluded_target));
    }
    request.team = core::team_id(text(in.getTeam()));
    out.charged = in.getCharged();
    out.traits = {in.getFingerprint(), read_numbers(in.getParts())};
    return out;
}

void write(schema::SlotReply::Builder out, const serving::admission_reply& in)
{
    out.setNumber(in.number);
    const auto on_grant = [&](const serving::admission_granted& grant) {
        auto granted = out.initGranted();
        granted.setTarget(grant.target.value());
        granted.setAddress(grant.address);
    };
    const auto on_rejection = [&](const serving::admission_rejected& rejection) {
        auto rejected = out.initDenied();
        rejected.setReason(static_cast<std::uint8_t>(rejection.reason));
        rejected.setRetryAfterMs(to_wire(rejection.retry_after));
    };
    std::visit(core::visitors{on_grant, on_rejection}, in.result);
}

serving::admission_reply read(schema::SlotReply::Reader in)
{
    serving::admission_reply out;
    out.number = in.getNumber();
    if (in.isGranted()) {
        out.result = serving::admission_granted{core::target_id(text(in.getGranted().getTarget())),
                                                text(in.getGranted().getAddress())};
        return out;
    }
    constexpr auto last_value =
        static_cast<std::uint8_t>(serving::admission_rejection_reason::crashes_targets);
    const std::uint8_t reason = std::min(in.getDenied().getReason(), last_value);
    out.result =
        serving::admission_rejected{static_cast<serving::admission_rejection_reason>(reason),
                                    milliseconds(in.getDenied().getRetryAfterMs())};
    return out;
}

void write(schema::SlotEnd::Builder out, const serving::slot_release& in)
{
    out.setNumber(in.run_result.key.number);
    out.setOutcome(static_cast<std::uint8_t>(in.run_result.outcome));
    out.setFirstEventMs(to_wire(in.run_result.first_event_delay.value_or(milliseconds(-1))));
    out.setDurationMs(to_wire(in.run_result.duration));
    out.setTarget(in.target.value());
    out.setFingerprint(in.traits.fingerprint);
    write_numbers(out.initParts(static_cast<unsigned>(in.traits.parts.size())), in.traits.parts);
}

serving::slot_release read(schema::SlotEnd::Reader in, const core::instance_id& sender)
{
    serving::slot_release out;
    out.run_result.key = {sender, in.getNumber()};
    constexpr auto last_value = static_cast<std::uint8_t>(serving::slot_outcome::cancelled);
    out.run_result.outcome =
        static_cast<serving::slot_outcome>(std::min(in.getOutcome(), last_value));
    if (in.getFirstEventMs() >= 0) {
        out.run_result.first_event_delay = milliseconds(in.getFirstEventMs());
    }
    out.run_result.duration = milliseconds(in.getDurationMs());
    out.target = core::target_id(text(in.getTarget()));
    out.traits = {in.getFingerprint(), read_numbers(in.getParts())};
    return out;
}

void write(schema::Target::Builder out, const serving::target_entry& in)
{
    out.setId(in.id.value());
    out.setService(in.service.value());
    out.setAddress(in.address);
    out.setDataCentre(in.data_centre.value());
    out.setSlots(in.slots);
    out.setStartedAt(in.started_at);
    out.setRateLimit(to_wire(in.rate_limit));
    out.setCold(in.cold);
}

serving::target_entry read(schema::Target::Reader in)
{
    serving::target_entry out;
    out.id = core::target_id(text(in.getId()));
    out.service = core::service_id(text(in.getService()));
    out.address = text(in.getAddress());
    out.data_centre = core::data_centre_id(text(in.getDataCentre()));
    out.slots = in.getSlots();
    out.started_at = in.getStartedAt();
    out.rate_limit = read_rate(in.getRateLimit());
    out.cold = in.getCold();
    return out;
}

void write(schema::Owner::Builder out, const serving::partition_owner& in)
{
    out.setPartition(in.partition);
    out.setEpoch(in.epoch);
    out.setInstance(in.instance.value());
}

serving::partition_owner read(schema::Owner::Reader in)
{
    return {in.getPartition(), in.getEpoch(), core::instance_id(text(in.getInstance()))};
}

void write(schema::Trait::Builder out, const serving::request_trait& in)
{
    out.setKind(static_cast<std::uint8_t>(in.kind));
    out.setHash(in.hash);
}

serving::request_trait read(schema::Trait::Reader in)
{
    constexpr auto last_kind = static_cast<std::uint8_t>(serving::trait_kind::prompt_part);
    return {static_cast<serving::trait_kind>(std::min(in.getKind(), last_kind)), in.getHash()};
}

void write(schema::CrashMark::Builder out, const serving::crash_mark& in)
{
    write(out.initTrait(), in.trait);
    out.setCrashes(in.crashes);
    out.setCrashesOfSoundTargets(in.crashes_of_sound_targets);
    auto companions = out.initCompanions(static_cast<unsigned>(in.companions.size()));
    for (unsigned index = 0; index < in.companions.size(); ++index) {
        write(companions[index], in.companions[index]);
    }
    out.setRefused(in.refused);
    out.setAgeMs(to_wire(in.age));
}

serving::crash_mark read(schema::CrashMark::Reader in)
{
    serving::crash_mark out;
    out.trait = read(in.getTrait());
    out.crashes = in.getCrashes();
    out.crashes_of_sound_targets = in.getCrashesOfSoundTargets();
    for (const auto companion : in.getCompanions()) {
        out.companions.push_back(read(companion));
    }
    out.refused = in.getRefused();
    out.age = std::max(milliseconds(in.getAgeMs()), milliseconds(0));
    return out;
}

void write(schema::TargetStatement::Builder out, const serving::target_statement& in)
{
    out.setId(in.process.id.value());
    out.setStartedAt(in.process.started_at);
    out.setAgeMs(to_wire(in.age));
    std::visit(
        core::visitors{
            [&](const serving::target_leaves&) { out.setLeaving(); },
            [&](const serving::target_takes& said) { out.setRateLimit(to_wire(said.rate)); },
            [&](const serving::target_cold_for& said) { out.setColdForMs(to_wire(said.time)); },
        },
        in.condition);
}

serving::target_statement read(schema::TargetStatement::Reader in)
{
    serving::target_statement out;
    out.process = {core::target_id(text(in.getId())), in.getStartedAt()};
    out.age = std::max(milliseconds(in.getAgeMs()), milliseconds(0));
    switch (in.which()) {
    case schema::TargetStatement::LEAVING:
        out.condition = serving::target_leaves{};
        break;
    case schema::TargetStatement::RATE_LIMIT:
        out.condition = serving::target_takes{read_rate(in.getRateLimit())};
        break;
    case schema::TargetStatement::COLD_FOR_MS:
        out.condition =
            serving::target_cold_for{std::max(milliseconds(in.getColdForMs()), milliseconds(0))};
        break;
    }
    return out;
}

void write(schema::Evacuations::Builder out, const serving::evacuation_knowledge& in)
{
    out.setOffset(in.offset);
    auto list = out.initDataCentres(static_cast<unsigned>(in.data_centres.size()));
    unsigned index = 0;
    for (const core::data_centre_id& data_centre : in.data_centres) {
        list.set(index++, data_centre.value());
    }
}

serving::evacuation_knowledge read(schema::Evacuations::Reader in)
{
    serving::evacuation_knowledge out;
    out.offset = in.getOffset();
    for (const auto data_centre : in.getDataCentres()) {
        out.data_centres.insert(core::data_centre_id(text(data_centre)));
    }
    return out;
}

template <class List, class Entry>
void write_entries(List out, const std::vector<Entry>& in)
{
    for (unsigned index = 0; index < in.size(); ++index) {
        write(out[index], in[index]);
    }
}

template <class List>
auto read_entries(List in)
{
    std::vector<decltype(read(in[0]))> out;
    for (const auto entry : in) {
        out.push_back(read(entry));
    }
    return out;
}

void write_requests(schema::Report::Builder out, const serving::team_sent_requests& in)
{
    auto teams = out.initSpent(static_cast<unsigned>(in.size()));
    unsigned index = 0;
    for (const auto& [team, steps] : in) {
        schema::TeamCount::Builder entry = teams[index++];
        entry.setTeam(team.value());
        auto sent = entry.initSent(static_cast<unsigned>(steps.size()));
        std::uint32_t sum = 0;
        for (unsigned step = 0; step < steps.size(); ++step) {
            sent[step].setAgeMs(static_cast<std::uint32_t>(to_wire(steps[step].age)));
            sent[step].setCount(steps[step].count);
            sum += steps[step].count;
        }
        entry.setCount(sum);
    }
}

serving::team_sent_requests read_requests(schema::Report::Reader in)
{
    serving::team_sent_requests out;
    for (const auto entry : in.getSpent()) {
        std::vector<serving::sent_requests>& steps = out[core::team_id(text(entry.getTeam()))];
        for (const auto sent : entry.getSent()) {
            steps.push_back({milliseconds(sent.getAgeMs()), sent.getCount()});
        }
        if (steps.empty()) {
            steps.push_back({milliseconds(0), entry.getCount()});
        }
    }
    return out;
}

void write(schema::Report::Builder out, const serving::instance_report& in)
{
    write(out.initSelf(), in.self);
    out.setReady(in.ready);
    out.setLeaving(in.leaving);
    out.setStoreAgeMs(to_wire(in.store_age));
    out.setStateVersion(in.state_version);
    write_partitions(out, in.partitions);
    auto runs = out.initRuns(static_cast<unsigned>(in.runs.size()));
    for (unsigned index = 0; index < in.runs.size(); ++index) {
        runs[index].setNumber(in.runs[index].number);
        runs[index].setTarget(in.runs[index].target.value());
        runs[index].setBatch(in.runs[index].kind == serving::work_kind::batch);
        runs[index].setSilent(in.runs[index].unresponsive);
    }
    write_requests(out, in.recent_requests);
    out.setUptimeMs(to_wire(in.uptime));
    auto held = out.initHeldBlocks(static_cast<unsigned>(in.held_blocks.size()));
    for (unsigned position = 0; position < in.held_blocks.size(); ++position) {
        const serving::block_version& version = in.held_blocks[position];
        held[position].setKind(static_cast<std::uint8_t>(version.id.kind));
        held[position].setIndex(version.id.index);
        held[position].setCount(version.id.count);
        held[position].setHash(version.hash);
    }
    write_entries(out.initCrashMarks(static_cast<unsigned>(in.crash_marks_known.size())),
                  in.crash_marks_known);
    write_entries(out.initStatements(static_cast<unsigned>(in.statements.size())), in.statements);
    write(out.initEvacuations(), in.evacuations);
}

serving::instance_report read(schema::Report::Reader in)
{
    serving::instance_report out;
    out.self = read(in.getSelf());
    out.ready = in.getReady();
    out.leaving = in.getLeaving();
    out.store_age = milliseconds(in.getStoreAgeMs());
    out.state_version = in.getStateVersion();
    out.partitions = read_partitions(in);
    for (const auto run : in.getRuns()) {
        out.runs.push_back({run.getNumber(), core::target_id(text(run.getTarget())),
                            run.getBatch() ? serving::work_kind::batch : serving::work_kind::online,
                            run.getSilent()});
    }
    out.recent_requests = read_requests(in);
    out.uptime = milliseconds(in.getUptimeMs());
    constexpr auto last_kind = static_cast<std::uint8_t>(serving::block_kind::targets);
    for (const auto version : in.getHeldBlocks()) {
        const auto kind = static_cast<serving::block_kind>(std::min(version.getKind(), last_kind));
        out.held_blocks.push_back(
            {{kind, version.getCount(), version.getIndex()}, version.getHash()});
    }
    out.crash_marks_known = read_entries(in.getCrashMarks());
    out.statements = read_entries(in.getStatements());
    out.evacuations = read(in.getEvacuations());
    return out;
}

void write(schema::Digest::Builder out, const serving::leader_heartbeat& in)
{
    write(out.initLeader(), in.leader);
    out.setResigning(in.resigning);
    out.setIntervalMs(to_wire(in.interval));
    out.setStateVersion(in.state_version);
    out.setStoreAgeMs(to_wire(in.store_age));
    out.setMembers(in.alive_members);
    write_entries(out.initCrashMarks(static_cast<unsigned>(in.crash_marks_known.size())),
                  in.crash_marks_known);
    write(out.initEvacuations(), in.evacuations);
    out.setLargestCapacity(in.largest_capacity.value_or(unknown_capacity));
}

serving::leader_heartbeat read(schema::Digest::Reader in)
{
    serving::leader_heartbeat out;
    out.leader = read(in.getLeader());
    out.resigning = in.getResigning();
    out.interval = milliseconds(in.getIntervalMs());
    out.state_version = in.getStateVersion();
    out.store_age = milliseconds(in.getStoreAgeMs());
    out.alive_members = in.getMembers();
    out.crash_marks_known = read_entries(in.getCrashMarks());
    out.evacuations = read(in.getEvacuations());
    const double capacity = in.getLargestCapacity();
    if (capacity == 0) {
        // An earlier version leads; it is one of the largest instances.
        out.largest_capacity = out.leader.capacity;
    }
    else if (capacity > 0 && std::isfinite(capacity)) {
        out.largest_capacity = capacity;
    }
    return out;
}

void write(schema::Block::Builder out, const serving::fleet_block& in)
{
    out.setIndex(in.id.index);
    out.setCount(in.id.count);
    std::visit(core::visitors{
                   [&](const serving::partition_owners& list) {
                       write_entries(out.initOwners(static_cast<unsigned>(list.size())), list);
                   },
                   [&](const serving::ready_members& list) {
                       write_entries(out.initMembers(static_cast<unsigned>(list.size())), list);
                   },
                   [&](const serving::target_entries& list) {
                       write_entries(out.initTargets(static_cast<unsigned>(list.size())), list);
                   },
               },
               in.content);
}

serving::fleet_block read(schema::Block::Reader in)
{
    serving::fleet_block out;
    out.id.index = in.getIndex();
    out.id.count = in.getCount();
    switch (in.which()) {
    case schema::Block::OWNERS:
        out.id.kind = serving::block_kind::owners;
        out.content = read_entries(in.getOwners());
        return out;
    case schema::Block::MEMBERS:
        out.id.kind = serving::block_kind::members;
        out.content = read_entries(in.getMembers());
        return out;
    case schema::Block::TARGETS:
        out.id.kind = serving::block_kind::targets;
        out.content = read_entries(in.getTargets());
        return out;
    }
    throw wire::conversion_error("unknown kind of block");
}

void write(schema::Update::Builder out, const serving::fleet_update& in)
{
    out.setLeader(in.leader.value());
    auto blocks = out.initBlocks(static_cast<unsigned>(in.blocks.size()));
    for (unsigned index = 0; index < in.blocks.size(); ++index) {
        write(blocks[index], in.blocks[index]);
    }
}

serving::fleet_update read(schema::Update::Reader in)
{
    serving::fleet_update out{core::instance_id(text(in.getLeader())), {}};
    for (const auto block : in.getBlocks()) {
        out.blocks.push_back(read(block));
    }
    return out;
}

void write(schema::LeaderQuestion::Builder out, const serving::leader_query& in)
{
    write(out.initFrom(), in.from);
    out.setFit(in.store_readable);
}

serving::leader_query read(schema::LeaderQuestion::Reader in)
{
    return {read(in.getFrom()), in.getFit()};
}

serving::peer_message read(schema::Datagram::Reader in, const core::instance_id& sender)
{
    switch (in.which()) {
    case schema::Datagram::SLOT_CALL:
        return read(in.getSlotCall(), sender);
    case schema::Datagram::SLOT_REPLY:
        return read(in.getSlotReply());
    case schema::Datagram::SLOT_END:
        return read(in.getSlotEnd(), sender);
    case schema::Datagram::YIELD_ORDER:
        return serving::preemption_order{in.getYieldOrder()};
    case schema::Datagram::REPORT:
        return read(in.getReport());
    case schema::Datagram::DIGEST:
        return read(in.getDigest());
    case schema::Datagram::SLOT_WAITING:
        return serving::admission_pending{in.getSlotWaiting()};
    case schema::Datagram::UPDATE:
        return read(in.getUpdate());
    case schema::Datagram::LEADER_QUESTION:
        return read(in.getLeaderQuestion());
    case schema::Datagram::LEADER_HINT:
        return serving::leader_hint{read(in.getLeaderHint())};
    case schema::Datagram::INSTANCE_ENDED:
        return serving::instance_exited{core::instance_id(text(in.getInstanceEnded()))};
    }
    throw wire::conversion_error("unknown kind of datagram");
}

} // namespace

std::string encode(const serving::peer_message& message)
{
    capnp::MallocMessageBuilder builder(64);
    auto out = builder.initRoot<schema::Datagram>();
    std::visit(
        core::visitors{
            [&](const serving::admission_request& in) { write(out.initSlotCall(), in); },
            [&](const serving::admission_reply& in) { write(out.initSlotReply(), in); },
            [&](const serving::admission_pending& in) { out.setSlotWaiting(in.number); },
            [&](const serving::slot_release& in) { write(out.initSlotEnd(), in); },
            [&](const serving::preemption_order& in) { out.setYieldOrder(in.number); },
            [&](const serving::instance_report& in) { write(out.initReport(), in); },
            [&](const serving::leader_heartbeat& in) { write(out.initDigest(), in); },
            [&](const serving::fleet_update& in) { write(out.initUpdate(), in); },
            [&](const serving::leader_query& in) { write(out.initLeaderQuestion(), in); },
            [&](const serving::leader_hint& in) { write(out.initLeaderHint(), in.leader); },
            [&](const serving::instance_exited& in) { out.setInstanceEnded(in.instance.value()); },
        },
        message);
    return wire::to_bytes(builder);
}

std::string encode_crash_record(const serving::crash_marks& marks,
                                std::chrono::system_clock::time_point written_at)
{
    capnp::MallocMessageBuilder builder(64);
    auto out = builder.initRoot<schema::CrashRecord>();
    out.setWrittenAt(
        std::chrono::duration_cast<milliseconds>(written_at.time_since_epoch()).count());
    write_entries(out.initMarks(static_cast<unsigned>(marks.size())), marks);
    return wire::to_bytes(builder);
}

tl::expected<serving::crash_marks, std::string>
decode_crash_record(std::string_view bytes, std::chrono::system_clock::time_point now)
{
    return wire::read_message<schema::CrashRecord>(
        bytes, datagram_bytes_max, [&](schema::CrashRecord::Reader in) {
            const auto now_ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
            // The clocks of two instances may differ; a mark does not get younger by that.
            const milliseconds passed =
                std::max(now_ms - milliseconds(in.getWrittenAt()), milliseconds(0));
            serving::crash_marks marks = read_entries(in.getMarks());
            for (serving::crash_mark& mark : marks) {
                mark.age += passed;
            }
            return marks;
        });
}

tl::expected<serving::peer_message, std::string> decode(std::string_view bytes,
                                                        const core::instance_id& sender)
{
    return wire::read_message<schema::Datagram>(
        bytes, datagram_bytes_max,
        [&](schema::Datagram::Reader in) -> serving::peer_message { return read(in, sender); });
}

} // namespace gooseberryfall::fleet_wire
