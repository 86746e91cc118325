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

constexpr std::int64_t int64_max = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t uint32_max = std::numeric_limits<std::uint32_t>::max();

const field_table<core::fleet>& fleet_fields()
{
    static const field_table<core::fleet> table{
        count_field<core::fleet>("version", &core::fleet::version, 0, int64_max).as_required()};
    return table;
}

const field_table<core::operator_apply>& apply_fields()
{
    using core::operator_apply;
    static const field_table<operator_apply> table{
        text_field<operator_apply>("author", &operator_apply::author, author_rule).as_required(),
        text_field<operator_apply>("comment", &operator_apply::comment, comment_rule),
        count_field<operator_apply>("base", &operator_apply::base, 0, int64_max).as_required()};
    return table;
}

const field_table<core::apply_reply>& reply_fields()
{
    using core::apply_reply;
    static const field_table<apply_reply> table{
        count_field<apply_reply>("version", &apply_reply::version, 0, int64_max).as_required(),
        text_field<apply_reply>("refused", &apply_reply::refused, any_string_rule).as_required(),
        count_field<apply_reply>("applied", &apply_reply::applied, 0, uint32_max).as_required(),
        count_field<apply_reply>("members", &apply_reply::members, 0, uint32_max).as_required()};
    return table;
}

json::value entry_to_json(const core::fleet_entry& entry)
{
    json::object object;
    object[core::to_text(core::key_of(entry).kind)] = to_json_object(write_entry(entry, true));
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

/// Reads one entry from an object whose only member is named after the kind.
void read_entry(const json::value& value, const std::string& key_path, fleet_reader& reader)
{
    const json::object* object = value.if_object();
    if (object == nullptr || object->size() != 1) {
        reader.add_problem({"", 0, key_path,
                            "must be an object with one member, named team, key, model, service or "
                            "target"});
        return;
    }
    const auto& [key, member] = *object->begin();
    const std::string kind(key);
    problem_list problems;
    raw_table table = to_raw_table(member, join_key_path(key_path, kind), {}, problems);
    if (!problems.empty()) {
        reader.add_problem(problems.front());
        return;
    }
    table.name = kind;
    reader.add(table);
}

void read_entries(const json::value& value, const std::string& name, fleet_reader& reader)
{
    problem_list problems;
    const std::vector<json::value> elements = read_array(value, name, "", problems);
    for (problem& reported : problems) {
        reader.add_problem(std::move(reported));
    }
    for (std::size_t index = 0; index < elements.size(); ++index) {
        read_entry(elements[index], name + "[" + std::to_string(index) + "]", reader);
    }
}

/// Parses an entry key such as `team/namur`. The name is not checked against the naming rules, so
/// that every entry that the core holds can be removed.
std::optional<core::entry_key> parse_entry_key(const std::string& text)
{
    const std::size_t slash = text.find('/');
    const auto kind =
        std::find(entry_kind_names().begin(), entry_kind_names().end(), text.substr(0, slash));
    const bool has_name = slash != std::string::npos && slash + 1 < text.size();
    if (!has_name || kind == entry_kind_names().end()) {
        return std::nullopt;
    }
    const auto entry_kind_value = static_cast<core::entry_kind>(kind - entry_kind_names().begin());
    return core::entry_key{entry_kind_value, text.substr(slash + 1)};
}

/// Reports entries that a change removes twice, or both upserts and removes, because the result
/// would depend on the order.
void check_conflicts(const core::fleet_difference& change, problem_list& problems)
{
    std::set<core::entry_key> changed_keys;
    for (const core::fleet_entry& entry : change.upserts) {
        changed_keys.insert(core::key_of(entry));
    }
    for (std::size_t index = 0; index < change.removals.size(); ++index) {
        if (!changed_keys.insert(change.removals[index]).second) {
            problems.push_back(
                {"", 0, "removals[" + std::to_string(index) + "]",
                 "must not name an entry that the change already upserts or removes"});
        }
    }
}

/// Reads `upserts` and `removals`.
core::fleet_difference read_difference(const json::value& value, problem_list& problems)
{
    fleet_reader reader;
    read_entries(value, "upserts", reader);
    reader.check(false);
    core::fleet_difference change;
    change.upserts = reader.entries();
    problems.insert(problems.end(), reader.found_problems().begin(), reader.found_problems().end());
    const std::vector<json::value> removals = read_array(value, "removals", "", problems);
    for (std::size_t index = 0; index < removals.size(); ++index) {
        const std::string key_path = "removals[" + std::to_string(index) + "]";
        const json::string* text = removals[index].if_string();
        const auto key = text != nullptr ? parse_entry_key(std::string(*text)) : std::nullopt;
        if (!key) {
            problems.push_back(
                {"", 0, key_path, "must be the name of an entry, such as \"team/namur\""});
            continue;
        }
        change.removals.push_back(*key);
    }
    if (problems.empty()) {
        check_conflicts(change, problems);
    }
    return change;
}

template <class Value>
checked<Value> value_or_problems(Value value, problem_list problems)
{
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return value;
}

} // namespace

checked<json::value> parse_json(std::string_view text)
{
    json::error_code syntax_error;
    json::value value = json::parse(text, syntax_error);
    if (syntax_error) {
        return tl::unexpected(
            problem_list{{"", 0, "", "not valid JSON: " + syntax_error.message()}});
    }
    return value;
}

json::value to_json(const core::fleet& state)
{
    json::object object = to_json_object(write_fields(state, fleet_fields(), true));
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
    json::object object = to_json_object(write_fields(request, apply_fields(), true));
    object["upserts"] = entries_to_json(request.change.upserts);
    object["removals"] = names_to_json(request.change.removals);
    return object;
}

json::value to_json(const core::apply_reply& reply)
{
    return to_json_object(write_fields(reply, reply_fields(), true));
}

checked<core::fleet> fleet_from_json(const json::value& value)
{
    core::fleet header;
    problem_list problems;
    const raw_table table = to_raw_table(value, "", {"entries"}, problems);
    read_fields(header, table, fleet_fields(), {"version", "entries"}, problems);
    fleet_reader reader;
    read_entries(value, "entries", reader);
    reader.check(true);
    problems.insert(problems.end(), reader.found_problems().begin(), reader.found_problems().end());
    core::fleet state = reader.to_fleet();
    state.version = header.version;
    return value_or_problems(std::move(state), std::move(problems));
}

checked<core::fleet_difference> difference_from_json(const json::value& value)
{
    problem_list problems;
    const raw_table table = to_raw_table(value, "", {"upserts", "removals"}, problems);
    struct no_fields {};
    no_fields unused;
    read_fields(unused, table, field_table<no_fields>{}, {"upserts", "removals"}, problems);
    core::fleet_difference change = read_difference(value, problems);
    return value_or_problems(std::move(change), std::move(problems));
}

checked<core::operator_apply> apply_from_json(const json::value& value)
{
    core::operator_apply request;
    problem_list problems;
    const raw_table table = to_raw_table(value, "", {"upserts", "removals"}, problems);
    read_fields(request, table, apply_fields(),
                {"author", "comment", "base", "upserts", "removals"}, problems);
    request.change = read_difference(value, problems);
    return value_or_problems(std::move(request), std::move(problems));
}

checked<core::apply_reply> apply_reply_from_json(const json::value& value)
{
    core::apply_reply reply;
    problem_list problems;
    const raw_table table = to_raw_table(value, "", {}, problems);
    read_fields(reply, table, reply_fields(), field_names(reply_fields(), ""), problems);
    return value_or_problems(reply, std::move(problems));
}

} // namespace gooseberryfall::config
