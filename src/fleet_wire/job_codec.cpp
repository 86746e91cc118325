#include "fleet_wire/job_codec.hpp"

#include "core/numbers.hpp"
#include "core/visitors.hpp"
#include "wire/message_bytes.hpp"

#include "generated/fleet.capnp.h"

#include <algorithm>

namespace gooseberryfall::fleet_wire {

namespace {

/// Bytes of one record in all its parts.
constexpr std::size_t record_bytes_max = 16U << 20U;
/// Stands between a key and the number of its part; no job id has it, since ids are header values.
constexpr char part_mark = '\x01';

/// First characters of keys, by kind of record.
constexpr char opening_mark = 'j';
constexpr char result_mark = 'r';
constexpr char closing_mark = 'e';
constexpr char progress_mark = 'p';
/// Each part begins with the number of all parts as 4 digits.
constexpr std::size_t count_digits = 4;

std::string text(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

std::string bytes(capnp::Data::Reader value)
{
    return {reinterpret_cast<const char*>(value.begin()), value.size()};
}

capnp::Data::Reader data(const std::string& value)
{
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

void write(schema::Job::Builder out, const serving::job_opened& in)
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
        items[index].setBody(data(item.body));
        items[index].setTokens(item.tokens);
        auto headers = items[index].initHeaders(static_cast<unsigned>(item.headers.size()));
        for (unsigned header = 0; header < item.headers.size(); ++header) {
            headers[header].setName(item.headers[header].first);
            headers[header].setValue(item.headers[header].second);
        }
    }
}

serving::job_opened read(schema::Job::Reader in)
{
    serving::job_opened out;
    out.job.id = text(in.getId());
    out.job.team = core::team_id(text(in.getTeam()));
    out.job.route = text(in.getRoute());
    out.accepted_at = core::wall_time(std::chrono::milliseconds(in.getAcceptedAt()));
    for (const auto item : in.getItems()) {
        serving::job_item added;
        added.id = text(item.getId());
        added.path = text(item.getPath());
        added.body = bytes(item.getBody());
        added.tokens = item.getTokens();
        for (const auto header : item.getHeaders()) {
            added.headers.emplace_back(text(header.getName()), text(header.getValue()));
        }
        out.job.items.push_back(std::move(added));
    }
    return out;
}

void write(schema::JobRecord::Finished::Builder out, const serving::item_finished& in)
{
    out.setJob(in.job);
    out.setPosition(in.position);
    out.setItem(in.result.item);
    out.setDeadLetter(in.result.state == serving::result_state::dead_letter);
    out.setOutput(data(in.result.output));
}

void write(schema::JobRecord::Advanced::Builder out, const serving::item_advanced& in)
{
    out.setJob(in.job);
    out.setItem(in.item);
    out.setNextEvent(in.progress.last_event ? *in.progress.last_event + 1 : 0);
    out.setText(data(in.progress.text));
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
        const auto advanced = in.getAdvanced();
        serving::item_advanced out{text(advanced.getJob()), advanced.getItem(), {}};
        if (advanced.getNextEvent() > 0) {
            out.progress.last_event = advanced.getNextEvent() - 1;
        }
        out.progress.text = bytes(advanced.getText());
        return out;
    }
    }
    throw wire::conversion_error("job record of an unknown kind");
}

std::string key_of(const serving::job_record& record)
{
    return std::visit(core::visitors{
                          [](const serving::job_opened& in) { return opening_mark + in.job.id; },
                          [](const serving::item_finished& in) {
                              return result_mark + in.job + '/' + std::to_string(in.position);
                          },
                          [](const serving::job_closed& in) { return closing_mark + in.job; },
                          [](const serving::item_advanced& in) {
                              return progress_mark + in.job + '/' + std::to_string(in.item);
                          },
                      },
                      record);
}

std::string count_text(std::size_t count)
{
    const std::string digits = std::to_string(count);
    return std::string(count_digits - std::min(count_digits, digits.size()), '0') + digits;
}

} // namespace

std::vector<keyed_record> encode(const serving::job_record& record, std::size_t value_bytes_max)
{
    capnp::MallocMessageBuilder builder(256);
    auto out = builder.initRoot<schema::JobRecord>();
    std::visit(core::visitors{
                   [&](const serving::job_opened& in) { write(out.initOpened(), in); },
                   [&](const serving::item_finished& in) { write(out.initFinished(), in); },
                   [&](const serving::job_closed& in) { out.setClosed(in.job); },
                   [&](const serving::item_advanced& in) { write(out.initAdvanced(), in); },
               },
               record);
    const std::string whole = wire::to_bytes(builder);
    const std::size_t part_size = value_bytes_max - count_digits;
    const std::size_t count = (whole.size() + part_size - 1) / part_size;
    const std::string key = key_of(record);
    std::vector<keyed_record> parts;
    for (std::size_t part = 0; part < count; ++part) {
        parts.push_back({key + part_mark + std::to_string(part),
                         count_text(count) + whole.substr(part * part_size, part_size)});
    }
    return parts;
}

std::string_view job_id_of_key(std::string_view key)
{
    const std::size_t end = key.rfind(part_mark);
    if (end == std::string_view::npos || end == 0) {
        return {};
    }
    const char kind = key.front();
    const std::string_view name = key.substr(1, end - 1);
    if (kind == opening_mark || kind == closing_mark) {
        return name;
    }
    const std::size_t slash = name.rfind('/');
    const bool of_item = kind == result_mark || kind == progress_mark;
    return of_item && slash != std::string_view::npos ? name.substr(0, slash) : std::string_view();
}

bool is_accepted_key(std::string_view key)
{
    return key.starts_with(opening_mark);
}

bool is_closed_key(std::string_view key)
{
    return key.starts_with(closing_mark);
}

void job_record_assembler::add(const std::string& key, std::string value)
{
    const std::size_t mark = key.rfind(part_mark);
    const auto part =
        mark == std::string::npos
            ? std::nullopt
            : core::parse_number<std::uint32_t>(std::string_view(key).substr(mark + 1));
    if (!part) {
        ++unreadable_count_;
        return;
    }
    parts_[key.substr(0, mark)][*part] = std::move(value);
}

std::vector<serving::job_record> job_record_assembler::take_records()
{
    std::vector<serving::job_record> records;
    for (const auto& [key, parts] : parts_) {
        // A record that replaced a longer one leaves parts of it behind; the first part tells how
        // many belong together.
        const auto first = parts.find(0);
        const std::string_view digits =
            first == parts.end() ? std::string_view()
                                 : std::string_view(first->second).substr(0, count_digits);
        const std::size_t count = core::parse_number<std::size_t>(digits).value_or(0);
        std::string whole;
        bool complete = digits.size() == count_digits && count > 0;
        for (std::uint32_t part = 0; complete && part < count; ++part) {
            const auto found = parts.find(part);
            complete = found != parts.end() && found->second.size() >= count_digits;
            whole += complete ? found->second.substr(count_digits) : std::string();
        }
        auto record = complete ? wire::read_message<schema::JobRecord>(
                                     whole, record_bytes_max,
                                     [](schema::JobRecord::Reader in) { return read(in); })
                               : tl::expected<serving::job_record, std::string>(
                                     tl::unexpected(std::string("incomplete")));
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
