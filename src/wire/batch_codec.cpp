#include "wire/batch_codec.hpp"

#include "wire/message_bytes.hpp"
#include "wire/values.hpp"

#include <utility>

namespace gooseberryfall::wire {

namespace {

core::job_options read(schema::JobOptions::Reader reader)
{
    return {reader.getRepeatable(), reader.getMaxTokens()};
}

void write(schema::JobOptions::Builder builder, const core::job_options& value)
{
    builder.setRepeatable(value.repeatable);
    builder.setMaxTokens(value.max_tokens);
}

core::upload_chunk read(schema::UploadChunk::Reader reader)
{
    core::upload_chunk value;
    value.upload = read_text(reader.getUpload());
    value.first_index = reader.getFirstIndex();
    value.items = read_list(reader.getItems(), [](auto data) { return read_data(data); });
    return value;
}

core::job_open read(schema::JobOpen::Reader reader)
{
    core::job_open value;
    value.job = read_id<core::job_id>(reader.getJob());
    value.team = read_id<core::team_id>(reader.getTeam());
    value.service = read_id<core::service_id>(reader.getService());
    value.upload = read_text(reader.getUpload());
    value.item_count = reader.getItemCount();
    value.content = read_digest(reader.getContent());
    value.options = read(reader.getOptions());
    return value;
}

core::item_attempt read(schema::ItemAttempt::Reader reader)
{
    return {reader.getEpoch(), read_id<core::job_id>(reader.getJob()), reader.getIndex()};
}

core::item_result read(schema::ItemResult::Reader reader)
{
    core::item_result value;
    value.epoch = reader.getEpoch();
    value.job = read_id<core::job_id>(reader.getJob());
    value.index = reader.getIndex();
    value.status = wire::read(reader.getStatus());
    value.body = read_data(reader.getBody());
    return value;
}

std::optional<core::wall_time> read(schema::OptionalTime::Reader reader)
{
    switch (reader.which()) {
    case schema::OptionalTime::NONE:
        return std::nullopt;
    case schema::OptionalTime::MS:
        return wall_time_of(reader.getMs());
    }
    unknown_kind("optional time", static_cast<unsigned>(reader.which()));
}

core::job_snapshot read(schema::JobSnapshot::Reader reader)
{
    core::job_snapshot value;
    value.epoch = reader.getEpoch();
    value.job = read_id<core::job_id>(reader.getJob());
    value.team = read_id<core::team_id>(reader.getTeam());
    value.service = read_id<core::service_id>(reader.getService());
    value.item_count = reader.getItemCount();
    value.content = read_digest(reader.getContent());
    value.options = read(reader.getOptions());
    value.cancelled = reader.getCancelled();
    value.opened_at = wall_time_of(reader.getOpenedAtMs());
    value.ended_at = read(reader.getEndedAt());
    return value;
}

core::carried_items read(schema::CarriedItems::Reader reader)
{
    core::carried_items value;
    value.epoch = reader.getEpoch();
    value.job = read_id<core::job_id>(reader.getJob());
    value.items = read_list(reader.getItems(), [](schema::CarriedItems::Item::Reader element) {
        return core::carried_items::item{element.getIndex(), element.getAttempted(),
                                         read_data(element.getBody())};
    });
    return value;
}

core::carried_results read(schema::CarriedResults::Reader reader)
{
    core::carried_results value;
    value.epoch = reader.getEpoch();
    value.job = read_id<core::job_id>(reader.getJob());
    value.items = read_list(reader.getItems(), [](schema::CarriedResults::Item::Reader element) {
        return core::carried_results::item{element.getIndex(), wire::read(element.getStatus()),
                                           read_data(element.getBody())};
    });
    return value;
}

core::batch_body read_body(schema::BatchRecord::Reader reader)
{
    switch (reader.which()) {
    case schema::BatchRecord::PARTITION_OPEN:
        return core::partition_open{reader.getPartitionOpen().getEpoch()};
    case schema::BatchRecord::UPLOAD_CHUNK:
        return read(reader.getUploadChunk());
    case schema::BatchRecord::JOB_OPEN:
        return read(reader.getJobOpen());
    case schema::BatchRecord::ITEM_ATTEMPT:
        return read(reader.getItemAttempt());
    case schema::BatchRecord::ITEM_RESULT:
        return read(reader.getItemResult());
    case schema::BatchRecord::JOB_CANCEL:
        return core::job_cancel{read_id<core::job_id>(reader.getJobCancel().getJob())};
    case schema::BatchRecord::JOB_SNAPSHOT:
        return read(reader.getJobSnapshot());
    case schema::BatchRecord::CARRIED_ITEMS:
        return read(reader.getCarriedItems());
    case schema::BatchRecord::CARRIED_RESULTS:
        return read(reader.getCarriedResults());
    case schema::BatchRecord::UNSET:
        break;
    }
    unknown_kind("batch record", static_cast<unsigned>(reader.which()));
}

/// Writes the body of a batch record.
struct body_writer {
    schema::BatchRecord::Builder builder;

    void operator()(const core::partition_open& value)
    {
        builder.initPartitionOpen().setEpoch(value.epoch);
    }

    void operator()(const core::upload_chunk& value)
    {
        auto to = builder.initUploadChunk();
        to.setUpload(text_of(value.upload));
        to.setFirstIndex(value.first_index);
        auto items = to.initItems(value.items.size());
        for (unsigned index = 0; index < items.size(); ++index) {
            items.set(index, data_of(value.items[index]));
        }
    }

    void operator()(const core::job_open& value)
    {
        auto to = builder.initJobOpen();
        to.setJob(text_of(value.job.value()));
        to.setTeam(text_of(value.team.value()));
        to.setService(text_of(value.service.value()));
        to.setUpload(text_of(value.upload));
        to.setItemCount(value.item_count);
        to.setContent(data_of(value.content));
        write(to.initOptions(), value.options);
    }

    void operator()(const core::item_attempt& value)
    {
        auto to = builder.initItemAttempt();
        to.setEpoch(value.epoch);
        to.setJob(text_of(value.job.value()));
        to.setIndex(value.index);
    }

    void operator()(const core::item_result& value)
    {
        auto to = builder.initItemResult();
        to.setEpoch(value.epoch);
        to.setJob(text_of(value.job.value()));
        to.setIndex(value.index);
        to.setStatus(to_schema(value.status));
        to.setBody(data_of(value.body));
    }

    void operator()(const core::job_cancel& value)
    {
        builder.initJobCancel().setJob(text_of(value.job.value()));
    }

    void operator()(const core::job_snapshot& value)
    {
        auto to = builder.initJobSnapshot();
        to.setEpoch(value.epoch);
        to.setJob(text_of(value.job.value()));
        to.setTeam(text_of(value.team.value()));
        to.setService(text_of(value.service.value()));
        to.setItemCount(value.item_count);
        to.setContent(data_of(value.content));
        write(to.initOptions(), value.options);
        to.setCancelled(value.cancelled);
        to.setOpenedAtMs(milliseconds_of(value.opened_at));
        if (value.ended_at) {
            to.initEndedAt().setMs(milliseconds_of(*value.ended_at));
        }
    }

    void operator()(const core::carried_items& value)
    {
        auto to = builder.initCarriedItems();
        to.setEpoch(value.epoch);
        to.setJob(text_of(value.job.value()));
        write_list(to.initItems(value.items.size()), value.items,
                   [](schema::CarriedItems::Item::Builder entry, const auto& item) {
                       entry.setIndex(item.index);
                       entry.setAttempted(item.attempted);
                       entry.setBody(data_of(item.body));
                   });
    }

    void operator()(const core::carried_results& value)
    {
        auto to = builder.initCarriedResults();
        to.setEpoch(value.epoch);
        to.setJob(text_of(value.job.value()));
        write_list(to.initItems(value.items.size()), value.items,
                   [](schema::CarriedResults::Item::Builder entry, const auto& item) {
                       entry.setIndex(item.index);
                       entry.setStatus(to_schema(item.status));
                       entry.setBody(data_of(item.body));
                   });
    }
};

} // namespace

std::string encode_batch_group(const std::vector<core::batch_record>& records)
{
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::BatchGroup>().initRecords(records.size());
    write_list(list, records,
               [](schema::BatchRecord::Builder builder, const core::batch_record& record) {
                   wire::write(builder.initWriter(), record.writer);
                   builder.setSequence(record.sequence);
                   std::visit(body_writer{builder}, record.body);
               });
    return to_bytes(message);
}

tl::expected<std::vector<core::batch_record>, std::string>
decode_batch_group(std::string_view bytes)
{
    return read_message<schema::BatchGroup>(
        bytes, group_bytes_limit, [](schema::BatchGroup::Reader root) {
            return read_list(root.getRecords(), [](schema::BatchRecord::Reader record) {
                return core::batch_record{wire::read(record.getWriter()), record.getSequence(),
                                          read_body(record)};
            });
        });
}

} // namespace gooseberryfall::wire
