#include "daemon/platform_service.hpp"

#include "daemon/decision_service.hpp"
#include "wire/wire.hpp"

namespace gooseberryfall::daemon {

namespace {

constexpr const char* control_stream = "control";

std::string batch_stream(std::uint32_t partition)
{
    return "batch-" + std::to_string(partition);
}

const char* to_text(platform::record_error error)
{
    switch (error) {
    case platform::record_error::expired:
        return "the record is older than the log's retention";
    case platform::record_error::absent:
        return "there is no such record";
    case platform::record_error::unavailable:
        return "the log does not answer";
    }
    return "unknown";
}

} // namespace

platform_service::platform_service(platform::http_platform_settings settings,
                                   std::size_t cache_bytes, kernel::logger& log,
                                   kernel::metrics& numbers)
    : settings_(std::move(settings)), log_(log),
      bad_records_(numbers.add_counter("gooseberryfall_bad_records_total",
                                       "Log records that could not be decoded.")),
      appends_(numbers.add_counter("gooseberryfall_log_appends_total", "Groups appended.")),
      append_bytes_(numbers.add_counter("gooseberryfall_log_append_bytes_total",
                                        "Bytes of groups appended.")),
      cache_(cache_bytes)
{
    settings_.metrics = &numbers;
}

platform_service::~platform_service() = default;

tl::expected<void, std::string> platform_service::start(kernel::service_registry& registry)
{
    decisions_ = &registry.get<decision_service>(decision_service::name);
    platform::platform_observer observer;
    observer.on_instances = [this](core::instance_list list) { decisions_->post(std::move(list)); };
    observer.on_failure = [this](const platform::platform_failure& failure) {
        on_failure(failure);
    };
    client_ = std::make_unique<platform::http_platform>(settings_, std::move(observer));
    client_->follow(control_stream, 0,
                    [this](const platform::stream_read& read) { on_control(read); });
    return {};
}

void platform_service::stop()
{
    client_.reset();
}

void platform_service::on_failure(const platform::platform_failure& failure)
{
    decisions_->post(core::log_failed{std::chrono::steady_clock::now()});
    // One line for each outage, not for each try.
    if (failure.tries == 1) {
        log_.write(kernel::log_level::warning, "platform_call_failed",
                   {{"operation", platform::to_text(failure.operation)},
                    {"stream", failure.stream},
                    {"reason", failure.reason}});
    }
}

void platform_service::on_bad_record(const std::string& stream, core::log_offset offset,
                                     const std::string& reason)
{
    bad_records_.add();
    log_.write(kernel::log_level::error, "log_record_skipped",
               {{"stream", stream}, {"offset", std::to_string(offset)}, {"reason", reason}});
}

void platform_service::on_control(const platform::stream_read& read)
{
    core::control_read event;
    event.asked_at = read.asked_at;
    event.head = read.head;
    event.earliest = read.earliest;
    for (const platform::log_record& record : read.records) {
        // A group that cannot be decoded counts as empty, so that all instances skip the same.
        core::control_group group;
        group.offset = record.offset;
        group.appended_at = record.appended_at;
        auto records = wire::decode_control_group(record.bytes);
        if (records) {
            group.records = std::move(*records);
        }
        else {
            on_bad_record(control_stream, record.offset, records.error());
        }
        event.groups.push_back(std::move(group));
    }
    decisions_->post(std::move(event));
}

void platform_service::on_batch(std::uint32_t partition, const platform::stream_read& read)
{
    core::batch_read event;
    event.partition = partition;
    event.head = read.head;
    event.earliest = read.earliest;
    for (const platform::log_record& record : read.records) {
        core::batch_group group;
        group.offset = record.offset;
        group.appended_at = record.appended_at;
        auto records = wire::decode_batch_group(record.bytes);
        if (records) {
            auto shared =
                std::make_shared<const std::vector<core::batch_record>>(std::move(*records));
            cache_.add(partition, record.offset, shared, record.bytes.size());
            group.records = *shared;
        }
        else {
            on_bad_record(batch_stream(partition), record.offset, records.error());
        }
        event.groups.push_back(std::move(group));
    }
    decisions_->post(std::move(event));
}

void platform_service::append_bytes(const std::string& stream, std::uint64_t number,
                                    std::string bytes)
{
    if (bytes.size() > settings_.record_limit) {
        log_.write(kernel::log_level::error, "group_too_large",
                   {{"stream", stream}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    appends_.add();
    append_bytes_.add(bytes.size());
    client_->append(stream, std::move(bytes), [this, number](core::log_offset offset) {
        decisions_->post(core::append_acknowledged{number, offset});
    });
}

void platform_service::append(const core::append_control& order)
{
    append_bytes(control_stream, order.append, wire::encode_control_group(order.records));
}

void platform_service::append(const core::append_batch& order)
{
    append_bytes(batch_stream(order.partition), order.append,
                 wire::encode_batch_group(order.records));
}

void platform_service::open(std::uint32_t partition)
{
    client_->follow(batch_stream(partition), 0,
                    [this, partition](const auto& read) { on_batch(partition, read); });
}

void platform_service::close(std::uint32_t partition)
{
    client_->stop_following(batch_stream(partition));
}

void platform_service::read_body(std::uint32_t partition, const core::body_position& position,
                                 body_callback callback)
{
    const auto answer = [position](const std::vector<core::batch_record>& records,
                                   const body_callback& to) {
        std::optional<std::string> body = body_at(records, position);
        if (body) {
            to(std::move(*body));
        }
        else {
            to(tl::unexpected<std::string>("the group has no body at this place"));
        }
    };
    const core::log_offset offset = position.position.offset;
    if (const batch_records cached = cache_.find(partition, offset)) {
        answer(*cached, callback);
        return;
    }
    client_->read_record(
        batch_stream(partition), offset,
        [this, partition, offset, answer, callback = std::move(callback)](const auto& record) {
            if (!record) {
                callback(tl::unexpected<std::string>(to_text(record.error())));
                return;
            }
            auto records = wire::decode_batch_group(record->bytes);
            if (!records) {
                callback(tl::unexpected(records.error()));
                return;
            }
            auto shared =
                std::make_shared<const std::vector<core::batch_record>>(std::move(*records));
            cache_.add(partition, offset, shared, record->bytes.size());
            answer(*shared, callback);
        });
}

void platform_service::carry_body(const core::read_body& order)
{
    read_body(order.partition, order.position, [this, order](const auto& body) {
        if (body) {
            decisions_->post(core::body_read{order.partition, order.position, *body});
            return;
        }
        // The partition plans what is still to be carried again after a while.
        log_.write(kernel::log_level::warning, "carry_read_failed",
                   {{"partition", std::to_string(order.partition)},
                    {"offset", std::to_string(order.position.position.offset)},
                    {"reason", body.error()}});
    });
}

} // namespace gooseberryfall::daemon
