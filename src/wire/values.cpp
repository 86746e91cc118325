#include "wire/values.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberryfall::wire {

namespace {

core::team read(schema::Team::Reader reader)
{
    core::team value;
    value.id = read_id<core::team_id>(reader.getId());
    value.rate = read_number(reader.getRate());
    value.burst = read_number(reader.getBurst());
    value.weight = read_number(reader.getWeight());
    value.queue_limit = reader.getQueueLimit();
    return value;
}

core::api_key read(schema::ApiKey::Reader reader)
{
    core::api_key value;
    value.id = read_id<core::key_id>(reader.getId());
    value.team = read_id<core::team_id>(reader.getTeam());
    value.hash = read_digest(reader.getHash());
    return value;
}

core::model read(schema::Model::Reader reader)
{
    core::model value;
    value.id = read_id<core::model_id>(reader.getId());
    value.expected_tokens = reader.getExpectedTokens();
    return value;
}

core::service_kind read(schema::ServiceKind value)
{
    switch (value) {
    case schema::ServiceKind::ENGINE:
        return core::service_kind::engine;
    case schema::ServiceKind::PLAIN:
        return core::service_kind::plain;
    }
    unknown_kind("service kind", static_cast<unsigned>(value));
}

core::service read(schema::Service::Reader reader)
{
    core::service value;
    value.id = read_id<core::service_id>(reader.getId());
    value.kind = read(reader.getKind());
    value.model = read_id<core::model_id>(reader.getModel());
    value.path_prefix = read_text(reader.getPathPrefix());
    value.open = reader.getOpen();
    value.repeatable = reader.getRepeatable();
    return value;
}

core::target read(schema::Target::Reader reader)
{
    core::target value;
    value.id = read_id<core::target_id>(reader.getId());
    value.service = read_id<core::service_id>(reader.getService());
    value.address = read_text(reader.getAddress());
    value.port = reader.getPort();
    value.data_centre = read_id<core::data_centre_id>(reader.getDataCentre());
    value.slots = reader.getSlots();
    value.checks_fencing = reader.getChecksFencing();
    return value;
}

core::entry_kind read(schema::EntryKind value)
{
    switch (value) {
    case schema::EntryKind::TEAM:
        return core::entry_kind::team;
    case schema::EntryKind::API_KEY:
        return core::entry_kind::api_key;
    case schema::EntryKind::MODEL:
        return core::entry_kind::model;
    case schema::EntryKind::SERVICE:
        return core::entry_kind::service;
    case schema::EntryKind::TARGET:
        return core::entry_kind::target;
    }
    unknown_kind("entry kind", static_cast<unsigned>(value));
}

schema::EntryKind to_schema(core::entry_kind value)
{
    switch (value) {
    case core::entry_kind::team:
        return schema::EntryKind::TEAM;
    case core::entry_kind::api_key:
        return schema::EntryKind::API_KEY;
    case core::entry_kind::model:
        return schema::EntryKind::MODEL;
    case core::entry_kind::service:
        return schema::EntryKind::SERVICE;
    case core::entry_kind::target:
        break;
    }
    return schema::EntryKind::TARGET;
}

/// Writes one entry of the fleet.
struct entry_writer {
    schema::FleetEntry::Builder builder;

    void operator()(const core::team& value)
    {
        auto to = builder.initTeam();
        to.setId(text_of(value.id.value()));
        to.setRate(value.rate);
        to.setBurst(value.burst);
        to.setWeight(value.weight);
        to.setQueueLimit(value.queue_limit);
    }

    void operator()(const core::api_key& value)
    {
        auto to = builder.initApiKey();
        to.setId(text_of(value.id.value()));
        to.setTeam(text_of(value.team.value()));
        to.setHash(data_of(value.hash));
    }

    void operator()(const core::model& value)
    {
        auto to = builder.initModel();
        to.setId(text_of(value.id.value()));
        to.setExpectedTokens(value.expected_tokens);
    }

    void operator()(const core::service& value)
    {
        auto to = builder.initService();
        to.setId(text_of(value.id.value()));
        to.setKind(value.kind == core::service_kind::engine ? schema::ServiceKind::ENGINE
                                                            : schema::ServiceKind::PLAIN);
        to.setModel(text_of(value.model.value()));
        to.setPathPrefix(text_of(value.path_prefix));
        to.setOpen(value.open);
        to.setRepeatable(value.repeatable);
    }

    void operator()(const core::target& value)
    {
        auto to = builder.initTarget();
        to.setId(text_of(value.id.value()));
        to.setService(text_of(value.service.value()));
        to.setAddress(text_of(value.address));
        to.setPort(value.port);
        to.setDataCentre(text_of(value.data_centre.value()));
        to.setSlots(value.slots);
        to.setChecksFencing(value.checks_fencing);
    }
};

} // namespace

void unknown_kind(const char* what, unsigned number)
{
    throw conversion_error(std::string(what) + " has kind number " + std::to_string(number) +
                           ", which this version does not know");
}

std::string read_text(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

std::string read_data(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

core::digest read_digest(capnp::Data::Reader data)
{
    core::digest value{};
    if (data.size() != value.size()) {
        throw conversion_error("digest of " + std::to_string(data.size()) + " bytes");
    }
    std::copy(data.begin(), data.end(), value.begin());
    return value;
}

double read_number(double number)
{
    if (!std::isfinite(number)) {
        throw conversion_error("number that is not finite");
    }
    return number;
}

capnp::Text::Reader text_of(const std::string& text)
{
    return {text.c_str(), text.size()};
}

capnp::Data::Reader data_of(const std::string& data)
{
    return {reinterpret_cast<const kj::byte*>(data.data()), data.size()};
}

capnp::Data::Reader data_of(const core::digest& data)
{
    return {data.data(), data.size()};
}

std::int64_t milliseconds_of(core::wall_time time)
{
    return time.time_since_epoch().count();
}

core::wall_time wall_time_of(std::int64_t milliseconds)
{
    return core::wall_time(std::chrono::milliseconds(milliseconds));
}

core::incarnation_id read(schema::Incarnation::Reader reader)
{
    return {read_id<core::instance_id>(reader.getInstance()), reader.getNumber()};
}

void write(schema::Incarnation::Builder builder, const core::incarnation_id& value)
{
    builder.setInstance(text_of(value.instance.value()));
    builder.setNumber(value.number);
}

core::fleet_entry read(schema::FleetEntry::Reader reader)
{
    switch (reader.which()) {
    case schema::FleetEntry::TEAM:
        return read(reader.getTeam());
    case schema::FleetEntry::API_KEY:
        return read(reader.getApiKey());
    case schema::FleetEntry::MODEL:
        return read(reader.getModel());
    case schema::FleetEntry::SERVICE:
        return read(reader.getService());
    case schema::FleetEntry::TARGET:
        return read(reader.getTarget());
    case schema::FleetEntry::UNSET:
        break;
    }
    unknown_kind("fleet entry", static_cast<unsigned>(reader.which()));
}

void write(schema::FleetEntry::Builder builder, const core::fleet_entry& value)
{
    std::visit(entry_writer{builder}, value);
}

core::entry_key read(schema::EntryKey::Reader reader)
{
    return {read(reader.getKind()), read_text(reader.getId())};
}

void write(schema::EntryKey::Builder builder, const core::entry_key& value)
{
    builder.setKind(to_schema(value.kind));
    builder.setId(text_of(value.id));
}

core::item_status read(schema::ItemStatus value)
{
    switch (value) {
    case schema::ItemStatus::SUCCEEDED:
        return core::item_status::succeeded;
    case schema::ItemStatus::FAILED:
        return core::item_status::failed;
    }
    unknown_kind("item status", static_cast<unsigned>(value));
}

schema::ItemStatus to_schema(core::item_status value)
{
    return value == core::item_status::succeeded ? schema::ItemStatus::SUCCEEDED
                                                 : schema::ItemStatus::FAILED;
}

} // namespace gooseberryfall::wire
