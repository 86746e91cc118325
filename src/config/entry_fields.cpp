#include "config/entry_fields.hpp"

namespace gooseberryfall::config {

namespace {

using core::api_key;
using core::model;
using core::service;
using core::target;
using core::team;

constexpr double rate_max = 1'000'000;

template <class Entry>
void append_field_names(const std::string& kind, std::vector<std::string>& names)
{
    const std::vector<std::string> added = field_names(entry_fields<Entry>(), kind + ".");
    names.insert(names.end(), added.begin(), added.end());
}

} // namespace

template <>
const field_table<team>& entry_fields()
{
    static const field_table<team> table{
        text_field<team>("name", &team::id, name_rule).as_required(),
        number_field<team>("rate", &team::rate, 0.001, rate_max).as_required(),
        number_field<team>("burst", &team::burst, 1, rate_max).as_required(),
        number_field<team>("weight", &team::weight, 0.001, 1000),
        count_field<team>("queue_limit", &team::queue_limit, 1, 100'000)};
    return table;
}

template <>
const field_table<api_key>& entry_fields()
{
    static const field_table<api_key> table{
        text_field<api_key>("name", &api_key::id, name_rule).as_required(),
        text_field<api_key>("team", &api_key::team, name_rule).as_required(),
        digest_field<api_key>("hash", &api_key::hash).as_required().as_secret()};
    return table;
}

template <>
const field_table<model>& entry_fields()
{
    static const field_table<model> table{
        text_field<model>("name", &model::id, name_rule).as_required(),
        count_field<model>("expected_tokens", &model::expected_tokens, 1, 1'000'000)};
    return table;
}

template <>
const field_table<service>& entry_fields()
{
    static const field_table<service> table{
        text_field<service>("name", &service::id, name_rule).as_required(),
        choice_field<service>("kind", &service::kind, {"engine", "plain"}).as_required(),
        text_field<service>("model", &service::model, optional_name_rule),
        text_field<service>("path_prefix", &service::path_prefix, path_prefix_rule),
        flag_field<service>("open", &service::open),
        flag_field<service>("repeatable", &service::repeatable)};
    return table;
}

template <>
const field_table<target>& entry_fields()
{
    static const field_table<target> table{
        text_field<target>("name", &target::id, name_rule).as_required(),
        text_field<target>("service", &target::service, name_rule).as_required(),
        text_field<target>("address", &target::address, ip_address_rule).as_required(),
        count_field<target>("port", &target::port, 1, 65'535).as_required(),
        text_field<target>("data_centre", &target::data_centre, name_rule).as_required(),
        count_field<target>("slots", &target::slots, 1, 100'000).as_required(),
        flag_field<target>("checks_fencing", &target::checks_fencing)};
    return table;
}

const std::vector<std::string>& entry_kind_names()
{
    static const std::vector<std::string> names{"team", "key", "model", "service", "target"};
    return names;
}

std::vector<std::string> entry_field_names()
{
    std::vector<std::string> names;
    append_field_names<team>("team", names);
    append_field_names<api_key>("key", names);
    append_field_names<model>("model", names);
    append_field_names<service>("service", names);
    append_field_names<target>("target", names);
    return names;
}

std::vector<raw_field> write_entry(const core::fleet_entry& entry, bool defaults)
{
    const auto write = [defaults](const auto& value) {
        using type = std::remove_cvref_t<decltype(value)>;
        return write_fields(value, entry_fields<type>(), defaults);
    };
    return std::visit(write, entry);
}

} // namespace gooseberryfall::config
