#include "config/fleet_check.hpp"

#include "config/file_text.hpp"
#include "config/fleet_file.hpp"
#include "config/toml_input.hpp"
#include "config/units.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace gooseberryfall::config {

namespace {

using core::entry_kind;

/// No engine generates a token of one request in less time.
constexpr double token_time_min_ms = 1.0;
constexpr double milliseconds_per_second = 1000.0;

/// Slots of all targets of a service.
std::uint64_t slots_of(const core::fleet& state, const core::service_id& service)
{
    std::uint64_t slots = 0;
    for (const auto& [id, target] : state.targets) {
        slots += target.service == service ? target.slots : 0;
    }
    return slots;
}

/// Finds warnings for a valid fleet and their lines in the file.
class fleet_inspector {
public:
    fleet_inspector(const core::fleet& state, const toml_input& input)
        : state_(state), input_(input)
    {
    }

    problem_list find_warnings()
    {
        find_unused_teams();
        find_unused_models();
        find_services_without_targets();
        find_rates_above_capacity();
        sort_by_line(warnings_);
        return std::move(warnings_);
    }

private:
    void warn(entry_kind kind, const std::string& name, const std::string& field,
              const std::string& text)
    {
        for (const raw_table& table : input_.tables) {
            const raw_field* name_field = table.find("name");
            if (table.name == core::to_text(kind) && name_field != nullptr &&
                name_field->value == raw_value(name)) {
                warnings_.push_back(
                    {"", table.line_of(field), join_key_path(table.key_path, field), text});
                return;
            }
        }
    }

    void find_unused_teams()
    {
        for (const auto& [id, team] : state_.teams) {
            const bool has_key = std::any_of(
                state_.keys.begin(), state_.keys.end(),
                [&owner = id](const auto& entry) { return entry.second.team == owner; });
            if (!has_key) {
                warn(entry_kind::team, id.value(), "name",
                     "the team has no key, so nobody can send its requests");
            }
        }
    }

    void find_unused_models()
    {
        for (const auto& [id, model] : state_.models) {
            const bool is_served =
                std::any_of(state_.services.begin(), state_.services.end(),
                            [&name = id](const auto& entry) { return entry.second.model == name; });
            if (!is_served) {
                warn(entry_kind::model, id.value(), "name", "no service serves the model");
            }
        }
    }

    void find_services_without_targets()
    {
        for (const auto& [id, service] : state_.services) {
            if (slots_of(state_, id) == 0) {
                warn(entry_kind::service, id.value(), "name",
                     "the service has no target, so all of its requests are refused");
            }
        }
    }

    /// A single engine service gets the requests of all teams; with several, their shares of the
    /// rates are unknown.
    void find_rates_above_capacity()
    {
        const core::service* engine_service = nullptr;
        for (const auto& [id, service] : state_.services) {
            if (service.kind != core::service_kind::engine) {
                return;
            }
            if (engine_service != nullptr) {
                return;
            }
            engine_service = &service;
        }
        const std::uint64_t slots =
            engine_service == nullptr ? 0 : slots_of(state_, engine_service->id);
        if (slots == 0) {
            return;
        }
        double rate = 0;
        for (const auto& [id, team] : state_.teams) {
            rate += team.rate;
        }
        const core::model& model = state_.models.at(engine_service->model);
        const double request_ms = token_time_min_ms * model.expected_tokens;
        const double capacity = static_cast<double>(slots) * milliseconds_per_second / request_ms;
        if (rate > capacity) {
            warn(entry_kind::service, engine_service->id.value(), "name",
                 "the rates of all teams add up to " + format_number(rate) +
                     " requests a second; the " + std::to_string(slots) + " slots carry " +
                     std::to_string(static_cast<std::int64_t>(capacity)) + " at best, with " +
                     std::to_string(model.expected_tokens) + " tokens of 1 ms each");
        }
    }

    const core::fleet& state_;
    const toml_input& input_;
    problem_list warnings_;
};

std::string decrease(const std::string& field, double before, double after)
{
    return field + " falls from " + format_number(before) + " to " + format_number(after);
}

void add_team_effects(const core::team& before, const core::team& after,
                      std::vector<std::string>& effects)
{
    const std::string name = "team/" + after.id.value();
    if (after.rate < before.rate) {
        effects.push_back(name + " may send less: " + decrease("rate", before.rate, after.rate));
    }
    if (after.burst < before.burst) {
        effects.push_back(
            name + " may send less at once: " + decrease("burst", before.burst, after.burst));
    }
    if (after.weight < before.weight) {
        effects.push_back(name + " gets a smaller share when slots are scarce: " +
                          decrease("weight", before.weight, after.weight));
    }
    if (after.queue_limit < before.queue_limit) {
        effects.push_back(name + " is refused sooner under load: " +
                          decrease("queue_limit", before.queue_limit, after.queue_limit));
    }
}

void add_key_effects(const core::api_key& before, const core::api_key& after,
                     std::vector<std::string>& effects)
{
    const std::string name = "key/" + after.id.value();
    if (after.hash != before.hash) {
        effects.push_back(name + " is replaced: callers with the former key are refused");
    }
    if (after.team != before.team) {
        effects.push_back(name + " moves from team/" + before.team.value() + " to team/" +
                          after.team.value() + ": its requests count against the other team");
    }
}

void add_service_effects(const core::service& before, const core::service& after,
                         std::vector<std::string>& effects)
{
    const std::string name = "service/" + after.id.value();
    if (after.model != before.model || after.path_prefix != before.path_prefix) {
        effects.push_back(
            name + " is no longer found at " +
            (before.model.empty() ? before.path_prefix : "model " + before.model.value()));
    }
    if (before.open && !after.open) {
        effects.push_back(name + " is closed to callers without a key");
    }
    if (before.repeatable && !after.repeatable) {
        effects.push_back(name + " no longer repeats POST and PATCH after a failure");
    }
}

/// Effects of an entry that replaces one of `base`.
void add_upsert_effects(const core::fleet_entry& entry, const core::fleet& base,
                        std::vector<std::string>& effects)
{
    const auto compare = [&effects](const auto& existing, const auto& after, auto add_effects) {
        const auto before = existing.find(after.id);
        if (before != existing.end()) {
            add_effects(before->second, after, effects);
        }
    };
    std::visit(core::visitors{
                   [&](const core::team& team) { compare(base.teams, team, add_team_effects); },
                   [&](const core::api_key& key) { compare(base.keys, key, add_key_effects); },
                   [&](const core::service& service) {
                       compare(base.services, service, add_service_effects);
                   },
                   [](const auto&) {},
               },
               entry);
}

void add_removal_effects(const core::entry_key& key, std::vector<std::string>& effects)
{
    const std::string name = core::to_text(key);
    switch (key.kind) {
    case entry_kind::team:
        effects.push_back(name + " is removed: its requests are refused");
        break;
    case entry_kind::api_key:
        effects.push_back(name + " stops working: callers that use it are refused");
        break;
    case entry_kind::service:
        effects.push_back(name + " is removed: its requests are refused");
        break;
    case entry_kind::model:
    case entry_kind::target:
        break;
    }
}

} // namespace

checked<checked_fleet> check_fleet(const std::string& text, const std::string& file)
{
    auto state = parse_fleet(text, file);
    if (!state) {
        return tl::unexpected(std::move(state.error()));
    }
    const auto input = parse_toml(text);
    if (!input) {
        return tl::unexpected(with_file_name(input.error(), file));
    }
    problem_list warnings = fleet_inspector(*state, *input).find_warnings();
    return checked_fleet{std::move(*state), with_file_name(std::move(warnings), file)};
}

checked<checked_fleet> check_fleet_file(const std::string& file)
{
    return read_file(file).and_then(
        [&file](const std::string& text) { return check_fleet(text, file); });
}

std::vector<std::string> describe_effects(const core::fleet_difference& change,
                                          const core::fleet& base)
{
    std::vector<std::string> effects;
    core::fleet after = base;
    for (const core::fleet_entry& entry : change.upserts) {
        add_upsert_effects(entry, base, effects);
        after.upsert(entry);
    }
    for (const core::entry_key& key : change.removals) {
        add_removal_effects(key, effects);
        after.remove(key);
    }
    for (const auto& [id, service] : after.services) {
        const std::uint64_t slots_before = slots_of(base, id);
        const std::uint64_t slots_after = slots_of(after, id);
        if (base.services.contains(id) && slots_after < slots_before) {
            effects.push_back("service/" + id.value() +
                              " loses capacity: " + std::to_string(slots_before) +
                              " slots before, " + std::to_string(slots_after) + " after");
        }
    }
    return effects;
}

} // namespace gooseberryfall::config
