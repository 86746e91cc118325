#include "config/fleet_json.hpp"

#include "config/entry_fields.hpp"
#include "config/fleet_reader.hpp"
#include "config/json_input.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace gooseberryfall::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t number_limit = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t count_limit = std::numeric_limits<std::uint32_t>::max();

const field_table<core::fleet>& fleet_fields()
{
    static const field_table<core::fleet> table{
        count_field<core::fleet>("version", &core::fleet::version, 0, number_limit).needed()};
    return table;
}

const field_table<core::operator_apply>& apply_fields()
{
    using core::operator_apply;
    static const field_table<operator_apply> table{
        text_field<operator_apply>("author", &operator_apply::author, author_form).needed(),
        text_field<operator_apply>("comment", &operator_apply::comment, note_form),
        count_field<operator_apply>("base", &operator_apply::base, 0, number_limit).needed()};
    return table;
}

const field_table<core::apply_reply>& reply_fields()
{
    using core::apply_reply;
    static const field_table<apply_reply> table{
        count_field<apply_reply>("version", &apply_reply::version, 0, number_limit).needed(),
        text_field<apply_reply>("refused", &apply_reply::refused, any_form).needed(),
        count_field<apply_reply>("applied", &apply_reply::applied, 0, count_limit).needed(),
        count_field<apply_reply>("members", &apply_reply::members, 0, count_limit).needed()};
    return table;
}

json::value entry_to_json(const core::fleet_entry& entry)
{
    json::object object;
    object[core::to_text(core::key_of(entry).kind)] = object_of(write_entry(entry, true));
    return object;
}

json::array entries_to_json(const std::vector<core::fleet_entry>& entries)
{
    json::array array;
    for (const core::fleet_entry& entry : entries) {
        array.push_back(entry_to_json(entry));
    }
    return array;
}

json::array names_to_json(const std::vector<core::entry_key>& keys)
{
    json::array array;
    for (const core::entry_key& key : keys) {
        array.emplace_back(core::to_text(key));
    }
    return array;
}

/// Reads one entry, which is an object with one member.
void read_entry(const json::value& value, const std::string& place, fleet_reader& reader)
{
    const json::object* object = value.if_object();
    if (object == nullptr || object->size() != 1) {
        reader.add_problem({"", 0, place,
                            "must be an object with one member, named team, key, model, service or "
                            "target"});
        return;
    }
    const auto& [key, member] = *object->begin();
    const std::string kind(key);
    problem_list faults;
    raw_table table = table_of(member, place_in(place, kind), {}, faults);
    if (!faults.empty()) {
        reader.add_problem(faults.front());
        return;
    }
    table.name = kind;
    reader.add(table);
}

void read_entries(const json::value& value, const std::string& name, fleet_reader& reader)
{
    problem_list faults;
    const std::vector<json::value> elements = array_of(value, name, "", faults);
    for (problem& fault : faults) {
        reader.add_problem(std::move(fault));
    }
    for (std::size_t index = 0; index < elements.size(); ++index) {
        read_entry(elements[index], name + "[" + std::to_string(index) + "]", reader);
    }
}

/// Name of an entry from a text such as `team/namur`. Any name that the core accepts is taken, so
/// that every entry can be removed.
std::optional<core::entry_key> parse_entry_key(const std::string& text)
{
    const std::size_t slash = text.find('/');
    const auto kind = std::find(kind_names().begin(), kind_names().end(), text.substr(0, slash));
    const bool named = slash != std::string::npos && slash + 1 < text.size();
    if (!named || kind == kind_names().end()) {
        return std::nullopt;
    }
    const auto index = static_cast<core::entry_kind>(kind - kind_names().begin());
    return core::entry_key{index, text.substr(slash + 1)};
}

/// Refuses entries that a change removes twice, or sets and removes, as their order would decide.
void check_contradictions(const core::fleet_difference& change, problem_list& faults)
{
    std::set<core::entry_key> named;
    for (const core::fleet_entry& entry : change.upserts) {
        named.insert(core::key_of(entry));
    }
    for (std::size_t index = 0; index < change.removals.size(); ++index) {
        if (!named.insert(change.removals[index]).second) {
            faults.push_back({"", 0, "removals[" + std::to_string(index) + "]",
                              "must not name an entry that the change names already"});
        }
    }
}

/// Reads `upserts` and `removals`.
core::fleet_difference read_difference(const json::value& value, problem_list& faults)
{
    fleet_reader reader;
    read_entries(value, "upserts", reader);
    reader.check(false);
    core::fleet_difference change;
    change.upserts = reader.entries();
    faults.insert(faults.end(), reader.problems().begin(), reader.problems().end());
    const std::vector<json::value> removals = array_of(value, "removals", "", faults);
    for (std::size_t index = 0; index < removals.size(); ++index) {
        const std::string place = "removals[" + std::to_string(index) + "]";
        const json::string* text = removals[index].if_string();
        const auto key = text != nullptr ? parse_entry_key(std::string(*text)) : std::nullopt;
        if (!key) {
            faults.push_back(
                {"", 0, place, "must be the name of an entry, such as \"team/namur\""});
            continue;
        }
        change.removals.push_back(*key);
    }
    if (faults.empty()) {
        check_contradictions(change, faults);
    }
    return change;
}

template <class Value>
checked<Value> result_of(Value value, problem_list faults)
{
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return value;
}

} // namespace

checked<json::value> parse_json(std::string_view text)
{
    json::error_code fault;
    json::value value = json::parse(text, fault);
    if (fault) {
        return tl::unexpected(problem_list{{"", 0, "", "not valid JSON: " + fault.message()}});
    }
    return value;
}

json::value to_json(const core::fleet& state)
{
    json::object object = object_of(write_fields(state, fleet_fields(), true));
    object["entries"] = entries_to_json(state.entries());
    return object;
}

json::value to_json(const core::fleet_difference& change)
{
    json::object object;
    object["upserts"] = entries_to_json(change.upserts);
    object["removals"] = names_to_json(change.removals);
    return object;
}

json::value to_json(const core::operator_apply& request)
{
    json::object object = object_of(write_fields(request, apply_fields(), true));
    object["upserts"] = entries_to_json(request.change.upserts);
    object["removals"] = names_to_json(request.change.removals);
    return object;
}

json::value to_json(const core::apply_reply& reply)
{
    return object_of(write_fields(reply, reply_fields(), true));
}

checked<core::fleet> fleet_from_json(const json::value& value)
{
    core::fleet header;
    problem_list faults;
    const raw_table table = table_of(value, "", {"entries"}, faults);
    read_fields(header, table, fleet_fields(), {"version", "entries"}, faults);
    fleet_reader reader;
    read_entries(value, "entries", reader);
    reader.check(true);
    faults.insert(faults.end(), reader.problems().begin(), reader.problems().end());
    core::fleet state = reader.result();
    state.version = header.version;
    return result_of(std::move(state), std::move(faults));
}

checked<core::fleet_difference> difference_from_json(const json::value& value)
{
    problem_list faults;
    const raw_table table = table_of(value, "", {"upserts", "removals"}, faults);
    struct nothing {};
    nothing unused;
    read_fields(unused, table, field_table<nothing>{}, {"upserts", "removals"}, faults);
    core::fleet_difference change = read_difference(value, faults);
    return result_of(std::move(change), std::move(faults));
}

checked<core::operator_apply> apply_from_json(const json::value& value)
{
    core::operator_apply request;
    problem_list faults;
    const raw_table table = table_of(value, "", {"upserts", "removals"}, faults);
    read_fields(request, table, apply_fields(),
                {"author", "comment", "base", "upserts", "removals"}, faults);
    request.change = read_difference(value, faults);
    return result_of(std::move(request), std::move(faults));
}

checked<core::apply_reply> apply_reply_from_json(const json::value& value)
{
    core::apply_reply reply;
    problem_list faults;
    const raw_table table = table_of(value, "", {}, faults);
    read_fields(reply, table, reply_fields(), names_of(reply_fields(), ""), faults);
    return result_of(reply, std::move(faults));
}

} // namespace gooseberryfall::config
