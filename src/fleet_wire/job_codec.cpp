#include "fleet_wire/job_codec.hpp"

#include "core/numbers.hpp"
#include "core/visitors.hpp"
#include "wire/message_bytes.hpp"

#include "generated/fleet.capnp.h"

#include <algorithm>

namespace gooseberryfall::fleet_wire {

namespace {

/// Largest encoded job record, all parts together.
constexpr std::size_t record_bytes_max = 2 * submission_bytes_max;
/// Separates a key from its part number. A job id cannot contain it, since ids are header values.
constexpr char part_separator = '\x01';

/// Key prefixes, by kind of record.
constexpr char accepted_prefix = 'j';
constexpr char result_prefix = 'r';
constexpr char closed_prefix = 'e';
constexpr char progress_prefix = 'p';
constexpr char failed_prefix = 'f';
/// Each part begins with the total number of parts, as 4 decimal digits.
constexpr std::size_t part_count_digits = 4;
constexpr std::size_t part_count_max = 9999;

/// Upper bounds of the encoded bytes of a structure and its pointer, and of what the encoding adds
/// to a text: its pointer, its terminating zero and its padding.
constexpr std::size_t structure_bytes_max = 64;
constexpr std::size_t text_overhead_max = 16;

std::string text(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

std::string bytes(capnp::Data::Reader value)
{
    return {reinterpret_cast<const char*>(value.begin()), value.size()};
}

capnp::Data::Reader as_data(const std::string& value)
{
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

std::size_t max_encoded_size(const std::string& text)
{
    return text.size() + text_overhead_max;
}

std::size_t max_encoded_size(const serving::job_item& item)
{
    std::size_t size = structure_bytes_max + max_encoded_size(item.id) +
                       max_encoded_size(item.path) + max_encoded_size(item.body);
    for (const auto& [name, value] : item.headers) {
        size += max_encoded_size(name) + max_encoded_size(value);
    }
    return size;
}

void write(schema::Job::Builder out, const serving::job_accepted& in)
{
    out.setId(in.job.id);
    out.setTeam(in.job.team.value());
    out.setRoute(in.job.route);
    out.setAcceptedAt(in.accepted_at.time_since_epoch().count());
    auto items = out.initItems(static_cast<unsigned>(in.job.items.size()));
    for (unsigned index = 0; index < in.job.items.size(); ++index) {
        const serving::job_item& item = in.job.items[index];
        items[index].setId(item.id);
        items[index].setPath(item.path);
        items[index].setBody(as_data(item.body));
        items[index].setTokens(item.tokens);
        auto headers = items[index].initHeaders(static_cast<unsigned>(item.headers.size()));
        for (unsigned header = 0; header < item.headers.size(); ++header) {
            headers[header].setName(item.headers[header].first);
            headers[header].setValue(item.headers[header].second);
        }
    }
}

serving::job_accepted read(schema::Job::Reader in)
{
    serving::job_accepted out;
    out.job.id = text(in.getId());
    out.job.team = core::team_id(text(in.getTeam()));
    out.job.route = text(in.getRoute());
    out.accepted_at = core::wall_time(std::chrono::milliseconds(in.getAcceptedAt()));
    for (const auto item : in.getItems()) {
        serving::job_item decoded_item;
        decoded_item.id = text(item.getId());
        decoded_item.path = text(item.getPath());
        decoded_item.body = bytes(item.getBody());
        decoded_item.tokens = item.getTokens();
        for (const auto header : item.getHeaders()) {
            decoded_item.headers.emplace_back(text(header.getName()), text(header.getValue()));
        }
        out.job.items.push_back(std::move(decoded_item));
    }
    return out;
}

void write(schema::JobRecord::Finished::Builder out, const serving::item_finished& in)
{
    out.setJob(in.job);
    out.setPosition(in.position);
    out.setItem(in.result.item);
    out.setDeadLetter(in.result.state == serving::result_state::dead_letter);
    out.setOutput(as_data(in.result.output));
}

void write(schema::JobRecord::Advanced::Builder out, const serving::item_progressed& in)
{
    out.setJob(in.job);
    out.setItem(in.item);
    out.setNextEvent(in.progress.last_event ? *in.progress.last_event + 1 : 0);
    out.setText(as_data(in.progress.text));
}

void write(schema::JobRecord::Failed::Builder out, const serving::item_failed& in)
{
    out.setJob(in.job);
    out.setItem(in.item);
    out.setFailures(in.failures);
}

serving::job_record read(schema::JobRecord::Reader in)
{
    switch (in.which()) {
    case schema::JobRecord::OPENED:
        return read(in.getOpened());
    case schema::JobRecord::FINISHED: {
        const auto finished = in.getFinished();
        const auto state = finished.getDeadLetter() ? serving::result_state::dead_letter
                                                    : serving::result_state::complete;
        return serving::item_finished{text(finished.getJob()),
                                      finished.getPosition(),
                                      {finished.getItem(), state, bytes(finished.getOutput())}};
    }
    case schema::JobRecord::CLOSED:
        return serving::job_closed{text(in.getClosed())};
    case schema::JobRecord::ADVANCED: {
        const auto progressed = in.getAdvanced();
        serving::item_progressed out{text(progressed.getJob()), progressed.getItem(), {}};
        if (progressed.getNextEvent() > 0) {
            out.progress.last_event = progressed.getNextEvent() - 1;
        }
        out.progress.text = bytes(progressed.getText());
        return out;
    }
    case schema::JobRecord::FAILED: {
        const auto failed = in.getFailed();
        return serving::item_failed{text(failed.getJob()), failed.getItem(), failed.getFailures()};
    }
    }
    throw wire::conversion_error("unknown kind of job record");
}

std::string make_key(const serving::job_record& record)
{
    return std::visit(
        core::visitors{
            [](const serving::job_accepted& in) { return accepted_prefix + in.job.id; },
            [](const serving::item_finished& in) {
                return result_prefix + in.job + '/' + std::to_string(in.position);
            },
            [](const serving::job_closed& in) { return closed_prefix + in.job; },
            [](const serving::item_progressed& in) {
                return progress_prefix + in.job + '/' + std::to_string(in.item);
            },
            [](const serving::item_failed& in) {
                return failed_prefix + in.job + '/' + std::to_string(in.item);
            },
        },
        record);
}

std::string format_part_count(std::size_t count)
{
    const std::string count_digits = std::to_string(count);
    return std::string(part_count_digits - std::min(part_count_digits, count_digits.size()), '0') +
           count_digits;
}

} // namespace

bool is_encodable(const serving::job_submission& job)
{
    // The message, its root, the job and the list of items.
    std::size_t size = 4 * structure_bytes_max + max_encoded_size(job.id) +
                       max_encoded_size(job.team.value()) + max_encoded_size(job.route);
    for (const serving::job_item& item : job.items) {
        size += max_encoded_size(item);
    }
    return size <= record_bytes_max;
}

std::size_t min_value_bytes()
{
    return (record_bytes_max + part_count_max - 1) / part_count_max + part_count_digits;
}

std::vector<keyed_record> encode(const serving::job_record& record, std::size_t value_bytes_max)
{
    capnp::MallocMessageBuilder builder(256);
    auto out = builder.initRoot<schema::JobRecord>();
    std::visit(core::visitors{
                   [&](const serving::job_accepted& in) { write(out.initOpened(), in); },
                   [&](const serving::item_finished& in) { write(out.initFinished(), in); },
                   [&](const serving::job_closed& in) { out.setClosed(in.job); },
                   [&](const serving::item_progressed& in) { write(out.initAdvanced(), in); },
                   [&](const serving::item_failed& in) { write(out.initFailed(), in); },
               },
               record);
    const std::string encoded = wire::to_bytes(builder);
    const std::size_t part_size = value_bytes_max - part_count_digits;
    const std::size_t count = (encoded.size() + part_size - 1) / part_size;
    const std::string key = make_key(record);
    std::vector<keyed_record> parts;
    for (std::size_t part = 0; part < count; ++part) {
        parts.push_back({key + part_separator + std::to_string(part),
                         format_part_count(count) + encoded.substr(part * part_size, part_size)});
    }
    return parts;
}

std::string_view job_id_of_key(std::string_view key)
{
    const std::size_t end = key.rfind(part_separator);
    if (end == std::string_view::npos || end == 0) {
        return {};
    }
    const char kind = key.front();
    const std::string_view key_body = key.substr(1, end - 1);
    if (kind == accepted_prefix || kind == closed_prefix) {
        return key_body;
    }
    const std::size_t slash = key_body.rfind('/');
    const bool is_item_key =
        kind == result_prefix || kind == progress_prefix || kind == failed_prefix;
    return is_item_key && slash != std::string_view::npos ? key_body.substr(0, slash)
                                                          : std::string_view();
}

bool is_accepted_key(std::string_view key)
{
    return key.starts_with(accepted_prefix);
}

bool is_closed_key(std::string_view key)
{
    return key.starts_with(closed_prefix);
}

void job_record_assembler::add(const std::string& key, std::string value)
{
    const std::size_t separator = key.rfind(part_separator);
    const auto part =
        separator == std::string::npos
            ? std::nullopt
            : core::parse_number<std::uint32_t>(std::string_view(key).substr(separator + 1));
    if (!part) {
        ++unreadable_count_;
        return;
    }
    parts_[key.substr(0, separator)][*part] = std::move(value);
}

std::vector<serving::job_record> job_record_assembler::take_records()
{
    std::vector<serving::job_record> records;
    for (const auto& [key, parts] : parts_) {
        // A record that replaces a longer one leaves the surplus parts of the longer one in the
        // log. The first part holds the number of parts that belong together.
        const auto first = parts.find(0);
        const std::string_view count_digits =
            first == parts.end() ? std::string_view()
                                 : std::string_view(first->second).substr(0, part_count_digits);
        const std::size_t count = core::parse_number<std::size_t>(count_digits).value_or(0);
        std::string encoded;
        bool complete = count_digits.size() == part_count_digits && count > 0;
        for (std::uint32_t part = 0; complete && part < count; ++part) {
            const auto found_part = parts.find(part);
            complete = found_part != parts.end() && found_part->second.size() >= part_count_digits;
            encoded += complete ? found_part->second.substr(part_count_digits) : std::string();
        }
        auto record = complete ? wire::read_message<schema::JobRecord>(
                                     encoded, record_bytes_max,
                                     [](schema::JobRecord::Reader in) { return read(in); })
                               : tl::expected<serving::job_record, std::string>(tl::unexpected(
                                     std::string("parts of the job record are missing")));
        if (record) {
            records.push_back(std::move(*record));
        }
        else {
            ++unreadable_count_;
        }
    }
    parts_.clear();
    return records;
}

} // namespace gooseberryfall::fleet_wire
