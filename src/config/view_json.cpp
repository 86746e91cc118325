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

constexpr std::int64_t int64_max = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t uint32_max = std::numeric_limits<std::uint32_t>::max();

/// Accessor of a member of a nested struct, for the `Access` parameter of the field functions.
#define GOOSEBERRYFALL_MEMBER(path) ([](auto& object) -> auto& { return object.path; })

template <class Object, class Access>
field<Object> required_text(std::string name, Access access)
{
    return text_field<Object>(std::move(name), access, any_string_rule).as_required();
}

template <class Object, class Access>
field<Object> required_number(std::string name, Access access)
{
    return count_field<Object>(std::move(name), access, 0, int64_max).as_required();
}

template <class Object, class Access>
field<Object> required_count(std::string name, Access access)
{
    return count_field<Object>(std::move(name), access, 0, uint32_max).as_required();
}

template <class Object, class Access>
field<Object> required_flag(std::string name, Access access)
{
    return flag_field<Object>(std::move(name), access).as_required();
}

std::optional<std::string> accept_text(const std::string& text)
{
    return text;
}

/// Parses a shard id, for example `batch-3`.
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
    const auto [parsed_end, error] = std::from_chars(text.data() + dash + 1, end, index);
    if (error != std::errc{} || parsed_end != end) {
        return std::nullopt;
    }
    return core::shard_id{kind == "limits" ? shard_kind::limits : shard_kind::batch, index};
}

field<audit_entry> time_field()
{
    return {"at_ms", "milliseconds since 1970",
            [](audit_entry& entry, const raw_value& value) {
                const auto number = count_in_range(value, 0, int64_max);
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
        required_text<job_status>("id", &job_status::job),
        required_text<job_status>("team", &job_status::team),
        required_count<job_status>("items", &job_status::items),
        required_count<job_status>("succeeded", &job_status::succeeded),
        required_count<job_status>("failed", &job_status::failed),
        required_flag<job_status>("cancelled", &job_status::cancelled),
        required_flag<job_status>("ended", &job_status::ended),
        digest_field<job_status>("content", &job_status::content).as_required()};
    return table;
}

const field_table<audit_entry>& audit_fields()
{
    static const field_table<audit_entry> table{
        required_number<audit_entry>("offset", &audit_entry::offset),
        time_field().as_required(),
        required_text<audit_entry>("author", &audit_entry::author),
        required_text<audit_entry>("comment", &audit_entry::comment),
        required_number<audit_entry>("base", &audit_entry::base),
        required_number<audit_entry>("version", &audit_entry::version),
        required_text<audit_entry>("refused", &audit_entry::refused),
        list_field<audit_entry>("entries", &audit_entry::entries, "a list of texts", accept_text,
                                [](const std::string& text) { return text; })
            .as_required()};
    return table;
}

const field_table<member_view>& member_fields()
{
    static const field_table<member_view> table{
        required_text<member_view>("instance", GOOSEBERRYFALL_MEMBER(info.incarnation.instance)),
        required_number<member_view>("incarnation", GOOSEBERRYFALL_MEMBER(info.incarnation.number)),
        required_text<member_view>("data_centre", GOOSEBERRYFALL_MEMBER(info.data_centre)),
        required_text<member_view>("caller_address", GOOSEBERRYFALL_MEMBER(info.caller_address)),
        required_text<member_view>("peer_address", GOOSEBERRYFALL_MEMBER(info.peer_address)),
        choice_field<member_view>("condition", &member_view::condition,
                                  {"alive", "suspect", "leaving"})
            .as_required(),
        required_number<member_view>("applied_next", &member_view::applied_next),
        list_field<member_view>("shards", &member_view::shards, "a list of shards", parse_shard,
                                [](const core::shard_id& shard) { return core::to_text(shard); })
            .as_required()};
    return table;
}

const field_table<target_view>& target_fields()
{
    static const field_table<target_view> table{
        required_text<target_view>("name", GOOSEBERRYFALL_MEMBER(info.id)),
        required_text<target_view>("service", GOOSEBERRYFALL_MEMBER(info.service)),
        required_text<target_view>("address", GOOSEBERRYFALL_MEMBER(info.address)),
        count_field<target_view>("port", GOOSEBERRYFALL_MEMBER(info.port), 0, 65'535).as_required(),
        required_text<target_view>("data_centre", GOOSEBERRYFALL_MEMBER(info.data_centre)),
        required_count<target_view>("slots", GOOSEBERRYFALL_MEMBER(info.slots)),
        required_flag<target_view>("checks_fencing", GOOSEBERRYFALL_MEMBER(info.checks_fencing)),
        required_count<target_view>("online", &target_view::online),
        required_count<target_view>("batch", &target_view::batch),
        required_flag<target_view>("leaving", &target_view::leaving),
        required_flag<target_view>("suspect", &target_view::suspect)};
    return table;
}

const field_table<status_view>& status_fields()
{
    static const field_table<status_view> table{
        required_text<status_view>("instance", GOOSEBERRYFALL_MEMBER(self.instance)),
        required_number<status_view>("incarnation", GOOSEBERRYFALL_MEMBER(self.number)),
        required_flag<status_view>("current", &status_view::current),
        required_flag<status_view>("leaving", &status_view::leaving),
        required_text<status_view>("basis", &status_view::basis),
        required_number<status_view>("version", &status_view::version),
        required_number<status_view>("applied_next", &status_view::applied_next),
        required_count<status_view>("queued", &status_view::queued),
        required_count<status_view>("running_online", &status_view::running_online),
        required_count<status_view>("running_batch", &status_view::running_batch)};
    return table;
}

#undef GOOSEBERRYFALL_MEMBER

template <class Object>
json::object write_object(const Object& object, const field_table<Object>& fields)
{
    return to_json_object(write_fields(object, fields, true));
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

/// Reads an object, except for the members named in `excluded`, which the caller reads.
template <class Object>
Object read_object(const json::value& value, const std::string& key_path,
                   const field_table<Object>& fields, const std::vector<std::string>& excluded,
                   problem_list& problems)
{
    Object object;
    const std::size_t problems_before = problems.size();
    raw_table table = to_raw_table(value, key_path, excluded, problems);
    // The names in `known` have no prefix, so that unknown names are compared without one.
    table.name.clear();
    if (problems.size() == problems_before) {
        std::vector<std::string> known = field_names(fields, "");
        known.insert(known.end(), excluded.begin(), excluded.end());
        read_fields(object, table, fields, known, problems);
    }
    return object;
}

template <class Object>
std::vector<Object> read_list(const json::value& value, const std::string& name,
                              const field_table<Object>& fields, problem_list& problems)
{
    std::vector<Object> objects;
    for (const json::value& element : read_array(value, name, "", problems)) {
        const std::string key_path = name + "[" + std::to_string(objects.size()) + "]";
        objects.push_back(read_object(element, key_path, fields, {}, problems));
    }
    return objects;
}

template <class Value>
checked<Value> value_or_problems(Value value, problem_list problems)
{
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return value;
}

template <class Object>
checked<Object> read_document(const json::value& value, const field_table<Object>& fields)
{
    problem_list problems;
    Object object = read_object(value, "", fields, {}, problems);
    return value_or_problems(std::move(object), std::move(problems));
}

template <class Object>
checked<std::vector<Object>> read_list_document(const json::value& value, const std::string& name,
                                                const field_table<Object>& fields)
{
    problem_list problems;
    std::vector<Object> objects = read_list(value, name, fields, problems);
    return value_or_problems(std::move(objects), std::move(problems));
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
    return read_document(value, job_fields());
}

checked<audit_entry> audit_entry_from_json(const json::value& value)
{
    return read_document(value, audit_fields());
}

checked<status_view> status_from_json(const json::value& value)
{
    problem_list problems;
    status_view status = read_object(value, "", status_fields(), {"members", "targets"}, problems);
    status.members = read_list(value, "members", member_fields(), problems);
    status.targets = read_list(value, "targets", target_fields(), problems);
    return value_or_problems(std::move(status), std::move(problems));
}

checked<std::vector<job_status>> jobs_from_json(const json::value& value)
{
    return read_list_document(value, "jobs", job_fields());
}

checked<std::vector<audit_entry>> audit_from_json(const json::value& value)
{
    return read_list_document(value, "audit", audit_fields());
}

} // namespace gooseberryfall::config
