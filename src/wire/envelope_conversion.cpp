#include "wire/envelope_conversion.hpp"

#include "wire/control_conversion.hpp"

#include <utility>

namespace gooseberryfall::wire {

namespace {

core::member_condition read(schema::MemberCondition value)
{
    switch (value) {
    case schema::MemberCondition::ALIVE:
        return core::member_condition::alive;
    case schema::MemberCondition::SUSPECT:
        return core::member_condition::suspect;
    case schema::MemberCondition::LEAVING:
        return core::member_condition::leaving;
    }
    unknown_kind("member condition", static_cast<unsigned>(value));
}

schema::MemberCondition to_schema(core::member_condition value)
{
    switch (value) {
    case core::member_condition::alive:
        return schema::MemberCondition::ALIVE;
    case core::member_condition::suspect:
        return schema::MemberCondition::SUSPECT;
    case core::member_condition::leaving:
        break;
    }
    return schema::MemberCondition::LEAVING;
}

std::vector<core::member_news> read(capnp::List<schema::MemberNews>::Reader list)
{
    return read_list(list, [](schema::MemberNews::Reader element) {
        return core::member_news{wire::read(element.getMember()), read(element.getCondition()),
                                 element.getRefutation()};
    });
}

void write(capnp::List<schema::MemberNews>::Builder list,
           const std::vector<core::member_news>& news)
{
    write_list(list, news, [](schema::MemberNews::Builder builder, const auto& entry) {
        wire::write(builder.initMember(), entry.member);
        builder.setCondition(to_schema(entry.condition));
        builder.setRefutation(entry.refutation);
    });
}

core::probe read(schema::Probe::Reader reader)
{
    return {reader.getSequence(), reader.getAppliedNext(), read(reader.getNews())};
}

core::probe_answer read(schema::ProbeAnswer::Reader reader)
{
    return {reader.getSequence(), reader.getAppliedNext(), reader.getLeaving(),
            read(reader.getNews())};
}

core::control_relay read(schema::ControlRelay::Reader reader)
{
    core::control_relay value;
    if (reader.hasSnapshot()) {
        value.snapshot = wire::read(reader.getSnapshot());
    }
    value.groups = read_list(reader.getGroups(), [](schema::RelayedGroup::Reader element) {
        return core::control_group{
            element.getOffset(), wall_time_of(element.getAppendedAtMs()),
            read_list(element.getRecords(), [](auto record) { return wire::read(record); })};
    });
    return value;
}

core::limit_request read(schema::LimitRequest::Reader reader)
{
    core::limit_request value;
    value.team = read_id<core::team_id>(reader.getTeam());
    value.portion = reader.getPortion();
    value.grant = reader.getGrant();
    value.wanted = read_number(reader.getWanted());
    value.ahead = read_number(reader.getAhead());
    value.reports = read_list(reader.getReports(), [](schema::GrantReport::Reader element) {
        return core::grant_report{
            element.getGrant(), read_number(element.getSpent()), read_number(element.getReturned()),
            std::chrono::nanoseconds(element.getAgeNs()), element.getClosed()};
    });
    return value;
}

core::limit_grant read(schema::LimitGrant::Reader reader)
{
    core::limit_grant value;
    value.team = read_id<core::team_id>(reader.getTeam());
    value.portion = reader.getPortion();
    value.grant = reader.getGrant();
    value.tokens = read_number(reader.getTokens());
    value.owner = reader.getOwner();
    value.left = read_number(reader.getLeft());
    value.next_token = std::chrono::nanoseconds(reader.getNextTokenNs());
    return value;
}

core::capacity_report read(schema::CapacityReport::Reader reader)
{
    return {read_id<core::target_id>(reader.getTarget()), reader.getOnline(), reader.getBatch(),
            reader.getBatchWanted()};
}

core::capacity_permit read(schema::CapacityPermit::Reader reader)
{
    return {read_id<core::target_id>(reader.getTarget()), reader.getBatch(),
            reader.getOnlineElsewhere(), reader.getLeaving()};
}

core::crash_notice read(schema::CrashNotice::Reader reader)
{
    return {read_digest(reader.getFingerprint()), reader.getDeaths(), reader.getDeathsAlone()};
}

std::optional<core::log_offset> read(schema::OptionalOffset::Reader reader)
{
    switch (reader.which()) {
    case schema::OptionalOffset::NONE:
        return std::nullopt;
    case schema::OptionalOffset::OFFSET:
        return reader.getOffset();
    }
    unknown_kind("optional offset", static_cast<unsigned>(reader.which()));
}

core::job_query read(schema::JobQuery::Reader reader)
{
    core::job_query value;
    value.query = reader.getQuery();
    value.partition = reader.getPartition();
    value.applied = read(reader.getApplied());
    value.job = read_id<core::job_id>(reader.getJob());
    value.first_result = reader.getFirstResult();
    value.result_limit = reader.getResultLimit();
    value.list = reader.getList();
    return value;
}

core::job_status read(schema::JobStatus::Reader reader)
{
    core::job_status value;
    value.job = read_id<core::job_id>(reader.getJob());
    value.team = read_id<core::team_id>(reader.getTeam());
    value.items = reader.getItems();
    value.succeeded = reader.getSucceeded();
    value.failed = reader.getFailed();
    value.cancelled = reader.getCancelled();
    value.ended = reader.getEnded();
    value.content = read_digest(reader.getContent());
    return value;
}

core::result_reference read(schema::ResultReference::Reader reader)
{
    core::result_reference value;
    value.index = reader.getIndex();
    value.status = wire::read(reader.getStatus());
    value.body.position = {reader.getOffset(), reader.getRecord()};
    value.body.index = reader.getBodyIndex();
    return value;
}

core::job_answer read(schema::JobAnswer::Reader reader)
{
    core::job_answer value;
    value.query = reader.getQuery();
    value.holder = reader.getHolder();
    value.jobs = read_list(reader.getJobs(), [](auto element) { return read(element); });
    value.results = read_list(reader.getResults(), [](auto element) { return read(element); });
    return value;
}

core::peer_message read(schema::PeerMessage::Reader reader)
{
    switch (reader.which()) {
    case schema::PeerMessage::PROBE:
        return read(reader.getProbe());
    case schema::PeerMessage::PROBE_ANSWER:
        return read(reader.getProbeAnswer());
    case schema::PeerMessage::CONTROL_REQUEST_FROM:
        return core::control_request{reader.getControlRequestFrom()};
    case schema::PeerMessage::CONTROL_RELAY:
        return read(reader.getControlRelay());
    case schema::PeerMessage::LIMIT_REQUEST:
        return read(reader.getLimitRequest());
    case schema::PeerMessage::LIMIT_GRANT:
        return read(reader.getLimitGrant());
    case schema::PeerMessage::CAPACITY_REPORT:
        return read(reader.getCapacityReport());
    case schema::PeerMessage::CAPACITY_PERMIT:
        return read(reader.getCapacityPermit());
    case schema::PeerMessage::CRASH_NOTICE:
        return read(reader.getCrashNotice());
    case schema::PeerMessage::JOB_QUERY:
        return read(reader.getJobQuery());
    case schema::PeerMessage::JOB_ANSWER:
        return read(reader.getJobAnswer());
    case schema::PeerMessage::UNSET:
        break;
    }
    unknown_kind("peer message", static_cast<unsigned>(reader.which()));
}

void write(schema::JobStatus::Builder to, const core::job_status& value)
{
    to.setJob(text_of(value.job.value()));
    to.setTeam(text_of(value.team.value()));
    to.setItems(value.items);
    to.setSucceeded(value.succeeded);
    to.setFailed(value.failed);
    to.setCancelled(value.cancelled);
    to.setEnded(value.ended);
    to.setContent(data_of(value.content));
}

void write(schema::ResultReference::Builder to, const core::result_reference& value)
{
    to.setIndex(value.index);
    to.setStatus(wire::to_schema(value.status));
    to.setOffset(value.body.position.offset);
    to.setRecord(value.body.position.record);
    to.setBodyIndex(value.body.index);
}

/// Writes one message.
struct message_writer {
    schema::PeerMessage::Builder builder;

    void operator()(const core::probe& value)
    {
        auto to = builder.initProbe();
        to.setSequence(value.sequence);
        to.setAppliedNext(value.applied_next);
        write(to.initNews(value.news.size()), value.news);
    }

    void operator()(const core::probe_answer& value)
    {
        auto to = builder.initProbeAnswer();
        to.setSequence(value.sequence);
        to.setAppliedNext(value.applied_next);
        to.setLeaving(value.leaving);
        write(to.initNews(value.news.size()), value.news);
    }

    void operator()(const core::control_request& value)
    {
        builder.setControlRequestFrom(value.from);
    }

    void operator()(const core::control_relay& value)
    {
        auto relay = builder.initControlRelay();
        if (value.snapshot) {
            wire::write(relay.initSnapshot(), *value.snapshot);
        }
        write_list(relay.initGroups(value.groups.size()), value.groups,
                   [](schema::RelayedGroup::Builder to, const core::control_group& group) {
                       to.setOffset(group.offset);
                       to.setAppendedAtMs(milliseconds_of(group.appended_at));
                       write_list(
                           to.initRecords(group.records.size()), group.records,
                           [](auto entry, const auto& record) { wire::write(entry, record); });
                   });
    }

    void operator()(const core::limit_request& value)
    {
        auto to = builder.initLimitRequest();
        to.setTeam(text_of(value.team.value()));
        to.setPortion(value.portion);
        to.setGrant(value.grant);
        to.setWanted(value.wanted);
        to.setAhead(value.ahead);
        write_list(to.initReports(value.reports.size()), value.reports,
                   [](schema::GrantReport::Builder entry, const core::grant_report& report) {
                       entry.setGrant(report.grant);
                       entry.setSpent(report.spent);
                       entry.setClosed(report.closed);
                       entry.setReturned(report.returned);
                       entry.setAgeNs(std::chrono::nanoseconds(report.age).count());
                   });
    }

    void operator()(const core::limit_grant& value)
    {
        auto to = builder.initLimitGrant();
        to.setTeam(text_of(value.team.value()));
        to.setPortion(value.portion);
        to.setGrant(value.grant);
        to.setTokens(value.tokens);
        to.setOwner(value.owner);
        to.setLeft(value.left);
        to.setNextTokenNs(std::chrono::nanoseconds(value.next_token).count());
    }

    void operator()(const core::capacity_report& value)
    {
        auto to = builder.initCapacityReport();
        to.setTarget(text_of(value.target.value()));
        to.setOnline(value.online);
        to.setBatch(value.batch);
        to.setBatchWanted(value.batch_wanted);
    }

    void operator()(const core::capacity_permit& value)
    {
        auto to = builder.initCapacityPermit();
        to.setTarget(text_of(value.target.value()));
        to.setBatch(value.batch);
        to.setOnlineElsewhere(value.online_elsewhere);
        to.setLeaving(value.leaving);
    }

    void operator()(const core::crash_notice& value)
    {
        auto to = builder.initCrashNotice();
        to.setFingerprint(data_of(value.fingerprint));
        to.setDeaths(value.deaths);
        to.setDeathsAlone(value.deaths_alone);
    }

    void operator()(const core::job_query& value)
    {
        auto to = builder.initJobQuery();
        to.setQuery(value.query);
        to.setPartition(value.partition);
        if (value.applied) {
            to.initApplied().setOffset(*value.applied);
        }
        to.setJob(text_of(value.job.value()));
        to.setFirstResult(value.first_result);
        to.setResultLimit(value.result_limit);
        to.setList(value.list);
    }

    void operator()(const core::job_answer& value)
    {
        auto to = builder.initJobAnswer();
        to.setQuery(value.query);
        to.setHolder(value.holder);
        write_list(to.initJobs(value.jobs.size()), value.jobs,
                   [](auto entry, const auto& job) { write(entry, job); });
        write_list(to.initResults(value.results.size()), value.results,
                   [](auto entry, const auto& result) { write(entry, result); });
    }
};

} // namespace

core::peer_envelope read(schema::Envelope::Reader reader)
{
    core::peer_envelope value;
    value.from = read(reader.getFrom());
    value.from_address = read_text(reader.getFromAddress());
    value.to = read(reader.getTo());
    value.messages = read_list(reader.getMessages(), [](auto element) { return read(element); });
    return value;
}

void write(schema::Envelope::Builder builder, const core::peer_envelope& value)
{
    write(builder.initFrom(), value.from);
    builder.setFromAddress(text_of(value.from_address));
    write(builder.initTo(), value.to);
    write_list(builder.initMessages(value.messages.size()), value.messages,
               [](auto entry, const auto& message) { std::visit(message_writer{entry}, message); });
}

} // namespace gooseberryfall::wire
