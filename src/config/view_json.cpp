#include "config/view_json.hpp"

#include "config/fields.hpp"
#include "config/json_input.hpp"

#include <boost/json.hpp>

#include <array>
#include <charconv>
#include <limits>

namespace gooseberryfall::config {

namespace json = boost::json;

namespace {

using core::audit_entry;
using core::job_status;
using core::member_view;
using core::status_view;
using core::target_view;

constexpr std::int64_t number_limit = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t count_limit = std::numeric_limits<std::uint32_t>::max();

/// Names a member of a nested struct.
#define GOOSEBERRYFALL_AT(path) ([](auto& object) -> auto& { return object.path; })

template <class Object, class Access>
field<Object> any_text(std::string name, Access access)
{
    return text_field<Object>(std::move(name), access, any_form).needed();
}

template <class Object, class Access>
field<Object> number(std::string name, Access access)
{
    return count_field<Object>(std::move(name), access, 0, number_limit).needed();
}

template <class Object, class Access>
field<Object> count(std::string name, Access access)
{
    return count_field<Object>(std::move(name), access, 0, count_limit).needed();
}

template <class Object, class Access>
field<Object> flag(std::string name, Access access)
{
    return flag_field<Object>(std::move(name), access).needed();
}

std::optional<std::string> any_line(const std::string& text)
{
    return text;
}

/// Shard from its text, for example `batch-3`.
std::optional<core::shard_id> parse_shard(const std::string& text)
{
    using core::shard_kind;
    if (text == "control") {
        return core::shard_id{shard_kind::control, 0};
    }
    const std::size_t dash = text.find('-');
    const std::string kind = text.substr(0, dash);
    if (dash == std::string::npos || (kind != "limits" && kind != "batch")) {
        return std::nullopt;
    }
    std::uint32_t index = 0;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data() + dash + 1, end, index);
    if (fault != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return core::shard_id{kind == "limits" ? shard_kind::limits : shard_kind::batch, index};
}

field<audit_entry> time_field()
{
    return {"at_ms", "milliseconds since 1970",
            [](audit_entry& entry, const raw_value& value) {
                const auto number = count_in(value, 0, number_limit);
                entry.at = core::wall_time(std::chrono::milliseconds(number.value_or(0)));
                return number.has_value();
            },
            [](const audit_entry& entry) -> raw_value {
                return static_cast<std::int64_t>(entry.at.time_since_epoch().count());
            }};
}

const field_table<job_status>& job_fields()
{
    static const field_table<job_status> table{
        any_text<job_status>("id", &job_status::job),
        any_text<job_status>("team", &job_status::team),
        count<job_status>("items", &job_status::items),
        count<job_status>("succeeded", &job_status::succeeded),
        count<job_status>("failed", &job_status::failed),
        flag<job_status>("cancelled", &job_status::cancelled),
        flag<job_status>("ended", &job_status::ended),
        digest_field<job_status>("content", &job_status::content).needed()};
    return table;
}

const field_table<audit_entry>& audit_fields()
{
    static const field_table<audit_entry> table{
        number<audit_entry>("offset", &audit_entry::offset),
        time_field().needed(),
        any_text<audit_entry>("author", &audit_entry::author),
        any_text<audit_entry>("comment", &audit_entry::comment),
        number<audit_entry>("base", &audit_entry::base),
        number<audit_entry>("version", &audit_entry::version),
        any_text<audit_entry>("refused", &audit_entry::refused),
        list_field<audit_entry>("entries", &audit_entry::entries, "a list of texts", any_line,
                                [](const std::string& text) { return text; })
            .needed()};
    return table;
}

const field_table<member_view>& member_fields()
{
    static const field_table<member_view> table{
        any_text<member_view>("instance", GOOSEBERRYFALL_AT(info.incarnation.instance)),
        number<member_view>("incarnation", GOOSEBERRYFALL_AT(info.incarnation.number)),
        any_text<member_view>("data_centre", GOOSEBERRYFALL_AT(info.data_centre)),
        any_text<member_view>("caller_address", GOOSEBERRYFALL_AT(info.caller_address)),
        any_text<member_view>("peer_address", GOOSEBERRYFALL_AT(info.peer_address)),
        choice_field<member_view>("condition", &member_view::condition,
                                  {"alive", "suspect", "leaving"})
            .needed(),
        number<member_view>("applied_next", &member_view::applied_next),
        list_field<member_view>("shards", &member_view::shards, "a list of shards", parse_shard,
                                [](const core::shard_id& shard) { return core::to_text(shard); })
            .needed()};
    return table;
}

const field_table<target_view>& target_fields()
{
    static const field_table<target_view> table{
        any_text<target_view>("name", GOOSEBERRYFALL_AT(info.id)),
        any_text<target_view>("service", GOOSEBERRYFALL_AT(info.service)),
        any_text<target_view>("address", GOOSEBERRYFALL_AT(info.address)),
        count_field<target_view>("port", GOOSEBERRYFALL_AT(info.port), 0, 65'535).needed(),
        any_text<target_view>("data_centre", GOOSEBERRYFALL_AT(info.data_centre)),
        count<target_view>("slots", GOOSEBERRYFALL_AT(info.slots)),
        flag<target_view>("checks_fencing", GOOSEBERRYFALL_AT(info.checks_fencing)),
        count<target_view>("online", &target_view::online),
        count<target_view>("batch", &target_view::batch),
        flag<target_view>("leaving", &target_view::leaving),
        flag<target_view>("suspect", &target_view::suspect)};
    return table;
}

const field_table<status_view>& status_fields()
{
    static const field_table<status_view> table{
        any_text<status_view>("instance", GOOSEBERRYFALL_AT(self.instance)),
        number<status_view>("incarnation", GOOSEBERRYFALL_AT(self.number)),
        flag<status_view>("current", &status_view::current),
        flag<status_view>("leaving", &status_view::leaving),
        any_text<status_view>("basis", &status_view::basis),
        number<status_view>("version", &status_view::version),
        number<status_view>("applied_next", &status_view::applied_next),
        count<status_view>("queued", &status_view::queued),
        count<status_view>("running_online", &status_view::running_online),
        count<status_view>("running_batch", &status_view::running_batch)};
    return table;
}

#undef GOOSEBERRYFALL_AT

template <class Object>
json::object write_object(const Object& object, const field_table<Object>& fields)
{
    return object_of(write_fields(object, fields, true));
}

template <class Object>
json::array write_list(const std::vector<Object>& objects, const field_table<Object>& fields)
{
    json::array array;
    for (const Object& object : objects) {
        array.push_back(write_object(object, fields));
    }
    return array;
}

/// Reads an object; members named in `apart` are left to the caller.
template <class Object>
Object read_object(const json::value& value, const std::string& place,
                   const field_table<Object>& fields, const std::vector<std::string>& apart,
                   problem_list& faults)
{
    Object object;
    const std::size_t before = faults.size();
    raw_table table = table_of(value, place, apart, faults);
    // Unknown names are compared with the names of the fields alone.
    table.name.clear();
    if (faults.size() == before) {
        std::vector<std::string> known = names_of(fields, "");
        known.insert(known.end(), apart.begin(), apart.end());
        read_fields(object, table, fields, known, faults);
    }
    return object;
}

template <class Object>
std::vector<Object> read_list(const json::value& value, const std::string& name,
                              const field_table<Object>& fields, problem_list& faults)
{
    std::vector<Object> objects;
    for (const json::value& element : array_of(value, name, "", faults)) {
        const std::string place = name + "[" + std::to_string(objects.size()) + "]";
        objects.push_back(read_object(element, place, fields, {}, faults));
    }
    return objects;
}

template <class Value>
checked<Value> result_of(Value value, problem_list faults)
{
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return value;
}

template <class Object>
checked<Object> read_whole(const json::value& value, const field_table<Object>& fields)
{
    problem_list faults;
    Object object = read_object(value, "", fields, {}, faults);
    return result_of(std::move(object), std::move(faults));
}

template <class Object>
checked<std::vector<Object>> read_whole_list(const json::value& value, const std::string& name,
                                             const field_table<Object>& fields)
{
    problem_list faults;
    std::vector<Object> objects = read_list(value, name, fields, faults);
    return result_of(std::move(objects), std::move(faults));
}

} // namespace

json::value to_json(const job_status& job)
{
    return write_object(job, job_fields());
}

json::value to_json(const audit_entry& entry)
{
    return write_object(entry, audit_fields());
}

json::value to_json(const status_view& status)
{
    json::object object = write_object(status, status_fields());
    object["members"] = write_list(status.members, member_fields());
    object["targets"] = write_list(status.targets, target_fields());
    return object;
}

json::value to_json(const std::vector<job_status>& jobs)
{
    json::object object;
    object["jobs"] = write_list(jobs, job_fields());
    return object;
}

json::value to_json(const std::vector<audit_entry>& audit)
{
    json::object object;
    object["audit"] = write_list(audit, audit_fields());
    return object;
}

checked<job_status> job_from_json(const json::value& value)
{
    return read_whole(value, job_fields());
}

checked<audit_entry> audit_entry_from_json(const json::value& value)
{
    return read_whole(value, audit_fields());
}

checked<status_view> status_from_json(const json::value& value)
{
    problem_list faults;
    status_view status = read_object(value, "", status_fields(), {"members", "targets"}, faults);
    status.members = read_list(value, "members", member_fields(), faults);
    status.targets = read_list(value, "targets", target_fields(), faults);
    return result_of(std::move(status), std::move(faults));
}

checked<std::vector<job_status>> jobs_from_json(const json::value& value)
{
    return read_whole_list(value, "jobs", job_fields());
}

checked<std::vector<audit_entry>> audit_from_json(const json::value& value)
{
    return read_whole_list(value, "audit", audit_fields());
}

} // namespace gooseberryfall::config
