#include "platform/log_wire.hpp"

#include "core/numbers.hpp"

#include <boost/endian/conversion.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace gooseberryfall::platform {

namespace {

namespace json = boost::json;

std::uint64_t read_u64(std::string_view bytes)
{
    return boost::endian::load_big_u64(reinterpret_cast<const unsigned char*>(bytes.data()));
}

std::uint32_t read_u32(std::string_view bytes)
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
}

tl::unexpected<std::string> malformed(const std::string& what)
{
    return tl::make_unexpected("malformed answer: " + what);
}

/// Object of a JSON text, or null.
const json::object* parse_object(std::string_view body, json::value& value)
{
    boost::system::error_code error;
    value = json::parse({body.data(), body.size()}, error);
    return error ? nullptr : value.if_object();
}

/// Text of a member, or null.
const json::string* text_of(const json::object& object, const char* name)
{
    const json::value* member = object.if_contains(name);
    return member == nullptr ? nullptr : member->if_string();
}

} // namespace

const char* to_text(platform_operation operation)
{
    switch (operation) {
    case platform_operation::append:
        return "append";
    case platform_operation::follow:
        return "follow";
    case platform_operation::read_record:
        return "read_record";
    case platform_operation::list:
        return "list";
    }
    return "unknown";
}

tl::expected<std::vector<log_record>, std::string>
parse_records(std::string_view body, core::log_offset from, core::log_offset head)
{
    std::vector<log_record> records;
    while (!body.empty()) {
        if (body.size() < record_header_size) {
            return malformed("cut-off record header");
        }
        log_record record;
        record.offset = read_u64(body);
        const std::uint64_t appended_ms = read_u64(body.substr(8));
        record.appended_at =
            core::wall_time(std::chrono::milliseconds(static_cast<std::int64_t>(appended_ms)));
        const std::size_t size = read_u32(body.substr(16));
        body.remove_prefix(record_header_size);
        if (body.size() < size) {
            return malformed("cut-off record");
        }
        if (record.offset != from + records.size() || record.offset >= head) {
            return malformed("unexpected offset " + std::to_string(record.offset));
        }
        record.bytes = std::string(body.substr(0, size));
        body.remove_prefix(size);
        records.push_back(std::move(record));
    }
    return records;
}

tl::expected<core::log_offset, std::string> parse_append_answer(std::string_view body)
{
    json::value value;
    const json::object* object = parse_object(body, value);
    const json::value* offset = object == nullptr ? nullptr : object->if_contains("offset");
    if (offset == nullptr || !offset->is_number()) {
        return malformed("no offset");
    }
    boost::system::error_code error;
    const auto number = offset->to_number<core::log_offset>(error);
    if (error) {
        return malformed("offset out of range");
    }
    return number;
}

tl::expected<core::instance_list, std::string> parse_instances(std::string_view body)
{
    json::value value;
    const json::object* object = parse_object(body, value);
    const json::value* member = object == nullptr ? nullptr : object->if_contains("instances");
    const json::array* entries = member == nullptr ? nullptr : member->if_array();
    if (entries == nullptr) {
        return malformed("no instances");
    }
    core::instance_list list;
    for (const json::value& entry : *entries) {
        const json::object* instance = entry.if_object();
        const json::string* id = instance == nullptr ? nullptr : text_of(*instance, "id");
        const json::string* state = instance == nullptr ? nullptr : text_of(*instance, "state");
        if (id == nullptr || state == nullptr || (*state != "live" && *state != "leaving")) {
            return malformed("instance without id or known state");
        }
        list.instances.push_back({core::instance_id(std::string(*id)), *state == "leaving"});
    }
    return list;
}

tl::expected<core::log_offset, std::string> parse_offset(std::string_view text)
{
    const auto offset = core::parse_number<core::log_offset>(text);
    if (!offset) {
        return malformed("no offset in a header");
    }
    return *offset;
}

} // namespace gooseberryfall::platform
