#include "config/fleet_reader.hpp"

#include "config/entry_fields.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace gooseberryfall::config {

namespace {

/// Names under which people try to give a key as it is.
constexpr std::array<std::string_view, 5> plain_key_names{"key", "plain", "secret", "token",
                                                          "value"};

/// Paths of the callers' API, which are matched before any prefix.
constexpr std::array<std::string_view, 3> reserved_paths{"/v1/chat/completions/", "/v1/batches/",
                                                         "/v1/directory/"};

bool is_plain_key(const raw_field& given)
{
    return std::find(plain_key_names.begin(), plain_key_names.end(), given.name) !=
           plain_key_names.end();
}

bool is_reserved(const std::string& prefix)
{
    return std::any_of(reserved_paths.begin(), reserved_paths.end(),
                       [&prefix](std::string_view path) { return prefix.starts_with(path); });
}

/// Where an entry stands, for messages.
std::string place_of(const raw_table& table)
{
    return table.line > 0 ? "line " + std::to_string(table.line) : table.place;
}

} // namespace

void fleet_reader::add(const raw_table& table)
{
    declare(table);
    if (table.name == "team") {
        read<core::team>(table);
    }
    else if (table.name == "key") {
        read<core::api_key>(without_plain_keys(table));
    }
    else if (table.name == "model") {
        read<core::model>(table);
    }
    else if (table.name == "service") {
        read<core::service>(table);
    }
    else if (table.name == "target") {
        read<core::target>(table);
    }
    else {
        faults_.push_back({"", table.line, table.place,
                           "unknown kind of entry; the nearest known kind is " +
                               nearest_name(table.name, kind_names())});
    }
}

void fleet_reader::add_problem(problem fault)
{
    faults_.push_back(std::move(fault));
}

void fleet_reader::check(bool whole)
{
    for (const located_entry& located : entries_) {
        check_unique(located);
        if (whole) {
            check_reference(located);
        }
    }
}

std::vector<core::fleet_entry> fleet_reader::entries() const
{
    std::vector<core::fleet_entry> result;
    for (const located_entry& located : entries_) {
        result.push_back(located.entry);
    }
    return result;
}

core::fleet fleet_reader::result() const
{
    core::fleet state;
    for (const located_entry& located : entries_) {
        state.upsert(located.entry);
    }
    return state;
}

template <class Entry>
void fleet_reader::read(const raw_table& table)
{
    const std::size_t before = faults_.size();
    Entry entry;
    read_fields(entry, table, entry_fields<Entry>(), entry_field_names(), faults_);
    if (faults_.size() != before) {
        return;
    }
    if constexpr (std::is_same_v<Entry, core::service>) {
        check_form(entry, table);
    }
    entries_.push_back({std::move(entry), table});
}

raw_table fleet_reader::without_plain_keys(raw_table table)
{
    for (const raw_field& given : table.fields) {
        if (is_plain_key(given)) {
            faults_.push_back({"", given.line, place_in(table.place, given.name),
                               "a key is never written as it is; write `hash`, the SHA-256 of the "
                               "key, as printed by: printf %s KEY | sha256sum"});
        }
    }
    std::erase_if(table.fields, is_plain_key);
    return table;
}

void fleet_reader::declare(const raw_table& table)
{
    const raw_field* given = table.find("name");
    const auto* name = given != nullptr ? std::get_if<std::string>(&given->value) : nullptr;
    if (name == nullptr) {
        return;
    }
    const auto [known, added] = declared_.emplace(std::pair(table.name, *name), place_of(table));
    if (!added) {
        faults_.push_back({"", given->line, table.place + ".name",
                           "the " + table.name + " " + quoted(*name) + " is already declared at " +
                               known->second});
    }
}

void fleet_reader::check_form(const core::service& entry, const raw_table& table)
{
    const auto expect = [this, &table](bool holds, const std::string& field,
                                       const std::string& text) {
        if (!holds) {
            faults_.push_back({"", table.line_of(field), table.place + "." + field, text});
        }
    };
    if (entry.kind == core::service_kind::engine) {
        expect(!entry.model.empty(), "model", "missing; an engine service names its model");
        expect(entry.path_prefix.empty(), "path_prefix",
               "must not be set for an engine service, which is found by its model");
        return;
    }
    expect(entry.model.empty(), "model", "must not be set for a plain service");
    expect(!entry.path_prefix.empty(), "path_prefix",
           "missing; a plain service is found by its path prefix, such as \"/studio/\"");
    expect(!is_reserved(entry.path_prefix), "path_prefix",
           "must not lie within /v1/chat/completions/, /v1/batches/ or /v1/directory/");
}

void fleet_reader::check_reference(const located_entry& located)
{
    if (const auto* key = std::get_if<core::api_key>(&located.entry)) {
        require(located.table, "team", "team", key->team.value());
    }
    if (const auto* service = std::get_if<core::service>(&located.entry)) {
        require(located.table, "model", "model", service->model.value());
    }
    if (const auto* target = std::get_if<core::target>(&located.entry)) {
        require(located.table, "service", "service", target->service.value());
    }
}

void fleet_reader::check_unique(const located_entry& located)
{
    if (const auto* key = std::get_if<core::api_key>(&located.entry)) {
        claim(located.table, "hash", to_hex(key->hash));
    }
    if (const auto* service = std::get_if<core::service>(&located.entry)) {
        claim(located.table, "model", service->model.value());
        claim(located.table, "path_prefix", service->path_prefix);
    }
    if (const auto* target = std::get_if<core::target>(&located.entry)) {
        const std::string address = to_text(ip_endpoint{target->address, target->port});
        claim(located.table, "address", target->service.value() + " at " + address);
    }
}

void fleet_reader::require(const raw_table& table, const std::string& field,
                           const std::string& kind, const std::string& name)
{
    if (name.empty() || declared_.contains({kind, name})) {
        return;
    }
    std::vector<std::string> known;
    for (const auto& [key, place] : declared_) {
        if (key.first == kind) {
            known.push_back(key.second);
        }
    }
    const std::string hint = known.empty()
                                 ? "none is declared"
                                 : "the nearest name is " + quoted(nearest_name(name, known));
    faults_.push_back({"", table.line_of(field), table.place + "." + field,
                       "there is no " + kind + " " + quoted(name) + "; " + hint});
}

void fleet_reader::claim(const raw_table& table, const std::string& field, const std::string& value)
{
    if (value.empty()) {
        return;
    }
    const auto [known, added] =
        claimed_.emplace(std::pair(table.name + "." + field, value), place_of(table));
    if (!added) {
        faults_.push_back(
            {"", table.line_of(field), table.place + "." + field,
             "must be unique; the " + table.name + " at " + known->second + " has the same"});
    }
}

} // namespace gooseberryfall::config
