#include "config/fleet_reader.hpp"

#include "config/entry_fields.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace gooseberryfall::config {

namespace {

/// Field names under which users mistakenly write the plaintext of an API key.
constexpr std::array<std::string_view, 5> plaintext_key_names{"key", "plain", "secret", "token",
                                                              "value"};

/// Paths of the callers' API. They take precedence over the path prefixes of services.
constexpr std::array<std::string_view, 3> reserved_paths{"/v1/chat/completions/", "/v1/batches/",
                                                         "/v1/directory/"};

bool is_plaintext_key(const raw_field& input_field)
{
    return std::find(plaintext_key_names.begin(), plaintext_key_names.end(), input_field.name) !=
           plaintext_key_names.end();
}

bool is_reserved_path(const std::string& prefix)
{
    return std::any_of(reserved_paths.begin(), reserved_paths.end(),
                       [&prefix](std::string_view path) { return prefix.starts_with(path); });
}

/// Location of an entry in the input, for messages.
std::string location_of(const raw_table& table)
{
    return table.line > 0 ? "line " + std::to_string(table.line) : table.key_path;
}

} // namespace

void fleet_reader::add(const raw_table& table)
{
    declare_name(table);
    if (table.name == "team") {
        read<core::team>(table);
    }
    else if (table.name == "key") {
        read<core::api_key>(remove_plaintext_keys(table));
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
        problems_.push_back({"", table.line, table.key_path,
                             "unknown kind of entry; the nearest known kind is " +
                                 nearest_name(table.name, entry_kind_names())});
    }
}

void fleet_reader::add_problem(problem reported)
{
    problems_.push_back(std::move(reported));
}

void fleet_reader::check(bool complete)
{
    for (const located_entry& located : entries_) {
        check_unique(located);
        if (complete) {
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

core::fleet fleet_reader::to_fleet() const
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
    const std::size_t problems_before = problems_.size();
    Entry entry;
    read_fields(entry, table, entry_fields<Entry>(), entry_field_names(), problems_);
    if (problems_.size() != problems_before) {
        return;
    }
    if constexpr (std::is_same_v<Entry, core::service>) {
        check_service(entry, table);
    }
    entries_.push_back({std::move(entry), table});
}

raw_table fleet_reader::remove_plaintext_keys(raw_table table)
{
    for (const raw_field& input_field : table.fields) {
        if (is_plaintext_key(input_field)) {
            problems_.push_back(
                {"", input_field.line, join_key_path(table.key_path, input_field.name),
                 "a plaintext key is not allowed; write `hash`, the SHA-256 of the key, "
                 "as printed by: printf %s KEY | sha256sum"});
        }
    }
    std::erase_if(table.fields, is_plaintext_key);
    return table;
}

void fleet_reader::declare_name(const raw_table& table)
{
    const raw_field* input_field = table.find("name");
    const auto* name =
        input_field != nullptr ? std::get_if<std::string>(&input_field->value) : nullptr;
    if (name == nullptr) {
        return;
    }
    const auto [existing, added] =
        declared_.emplace(std::pair(table.name, *name), location_of(table));
    if (!added) {
        problems_.push_back({"", input_field->line, table.key_path + ".name",
                             "the " + table.name + " " + quoted(*name) +
                                 " is already declared at " + existing->second});
    }
}

void fleet_reader::check_service(const core::service& entry, const raw_table& table)
{
    const auto require = [this, &table](bool condition, const std::string& field,
                                        const std::string& text) {
        if (!condition) {
            problems_.push_back({"", table.line_of(field), table.key_path + "." + field, text});
        }
    };
    if (entry.kind == core::service_kind::engine) {
        require(!entry.model.empty(), "model", "missing; an engine service names its model");
        require(entry.path_prefix.empty(), "path_prefix",
                "must not be set for an engine service, which is found by its model");
        return;
    }
    require(entry.model.empty(), "model", "must not be set for a plain service");
    require(!entry.path_prefix.empty(), "path_prefix",
            "missing; a plain service is found by its path prefix, such as \"/studio/\"");
    require(!is_reserved_path(entry.path_prefix), "path_prefix",
            "must not lie within /v1/chat/completions/, /v1/batches/ or /v1/directory/");
}

void fleet_reader::check_reference(const located_entry& located)
{
    if (const auto* key = std::get_if<core::api_key>(&located.entry)) {
        require_declared(located.table, "team", "team", key->team.value());
    }
    if (const auto* service = std::get_if<core::service>(&located.entry)) {
        require_declared(located.table, "model", "model", service->model.value());
    }
    if (const auto* target = std::get_if<core::target>(&located.entry)) {
        require_declared(located.table, "service", "service", target->service.value());
    }
}

void fleet_reader::check_unique(const located_entry& located)
{
    if (const auto* key = std::get_if<core::api_key>(&located.entry)) {
        require_unique(located.table, "hash", to_hex(key->hash));
    }
    if (const auto* service = std::get_if<core::service>(&located.entry)) {
        require_unique(located.table, "model", service->model.value());
        require_unique(located.table, "path_prefix", service->path_prefix);
    }
    if (const auto* target = std::get_if<core::target>(&located.entry)) {
        const std::string address = to_text(ip_endpoint{target->address, target->port});
        require_unique(located.table, "address", target->service.value() + " at " + address);
    }
}

void fleet_reader::require_declared(const raw_table& table, const std::string& field,
                                    const std::string& kind, const std::string& name)
{
    if (name.empty() || declared_.contains({kind, name})) {
        return;
    }
    std::vector<std::string> known;
    for (const auto& [key, location] : declared_) {
        if (key.first == kind) {
            known.push_back(key.second);
        }
    }
    const std::string suggestion = known.empty()
                                       ? "none is declared"
                                       : "the nearest name is " + quoted(nearest_name(name, known));
    problems_.push_back({"", table.line_of(field), table.key_path + "." + field,
                         "there is no " + kind + " " + quoted(name) + "; " + suggestion});
}

void fleet_reader::require_unique(const raw_table& table, const std::string& field,
                                  const std::string& value)
{
    if (value.empty()) {
        return;
    }
    const auto [existing, added] =
        unique_values_.emplace(std::pair(table.name + "." + field, value), location_of(table));
    if (!added) {
        problems_.push_back({"", table.line_of(field), table.key_path + "." + field,
                             "must be unique; the " + table.name + " at " + existing->second +
                                 " has the same value"});
    }
}

} // namespace gooseberryfall::config
