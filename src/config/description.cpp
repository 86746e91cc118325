#include "config/description.hpp"

#include "config/entry_fields.hpp"

#include <map>

namespace gooseberryfall::config {

namespace {

std::string value_text(const raw_value& value)
{
    const auto* number = std::get_if<double>(&value);
    return number != nullptr ? format_number(*number) : to_text(value);
}

/// ` name value`; the value of a secret field is replaced by `(not shown)`.
template <class Entry>
std::string added_field(const field<Entry>& definition, const Entry& entry)
{
    return " " + definition.name +
           (definition.secret ? " (not shown)" : " " + value_text(definition.write(entry)));
}

/// ` name old -> new`, or an empty string if the field is unchanged.
template <class Entry>
std::string changed_field(const field<Entry>& definition, const Entry& before, const Entry& after)
{
    const raw_value old_value = definition.write(before);
    const raw_value new_value = definition.write(after);
    if (old_value == new_value) {
        return "";
    }
    return " " + definition.name +
           (definition.secret ? " (not shown)"
                              : " " + value_text(old_value) + " -> " + value_text(new_value));
}

/// Describes one upsert, compared with the existing entries of its kind.
template <class Id, class Entry>
std::string describe_entry(const std::map<Id, Entry>& base, const Entry& entry)
{
    const auto existing = base.find(entry.id);
    std::string fields;
    for (const field<Entry>& definition : entry_fields<Entry>()) {
        if (definition.name == "name") {
            continue;
        }
        const std::string text = existing == base.end()
                                     ? added_field(definition, entry)
                                     : changed_field(definition, existing->second, entry);
        fields += (fields.empty() || text.empty() ? "" : ",") + text;
    }
    const std::string action =
        existing == base.end() ? "added " : (fields.empty() ? "unchanged " : "changed ");
    return action + core::to_text(core::key_of(entry)) + (fields.empty() ? "" : ":" + fields);
}

struct upsert_description {
    const core::fleet& base;

    std::string operator()(const core::team& entry) const
    {
        return describe_entry(base.teams, entry);
    }
    std::string operator()(const core::api_key& entry) const
    {
        return describe_entry(base.keys, entry);
    }
    std::string operator()(const core::model& entry) const
    {
        return describe_entry(base.models, entry);
    }
    std::string operator()(const core::service& entry) const
    {
        return describe_entry(base.services, entry);
    }
    std::string operator()(const core::target& entry) const
    {
        return describe_entry(base.targets, entry);
    }
};

} // namespace

std::vector<std::string> describe(const core::fleet_difference& change, const core::fleet& base)
{
    std::vector<std::string> lines;
    for (const core::fleet_entry& entry : change.upserts) {
        lines.push_back(std::visit(upsert_description{base}, entry));
    }
    for (const core::entry_key& key : change.removals) {
        lines.push_back("removed " + core::to_text(key));
    }
    return lines;
}

} // namespace gooseberryfall::config
