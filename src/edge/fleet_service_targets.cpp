// What `fleet_service` knows about targets: the list, what they have said of themselves, and the
// evacuated data centres.

#include "edge/fleet_service.hpp"

#include "core/visitors.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace gooseberryfall::edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Age of what an entry in the store says: targets write it about every 1.2 s, and it is read some
/// hundred milliseconds later.
constexpr milliseconds entry_age_max{2000};

/// Entry of a target, or null if it isn't listed.
const serving::target_entry* find_entry(const std::vector<serving::target_entry>& listed,
                                        const core::target_id& target)
{
    const auto found =
        std::find_if(listed.begin(), listed.end(),
                     [&](const serving::target_entry& each) { return each.id == target; });
    return found == listed.end() ? nullptr : &*found;
}

} // namespace

void fleet_service::set_targets(const std::vector<serving::target_entry>& targets)
{
    if (must_read_targets()) {
        apply_cold_entries(targets);
        apply_targets(targets);
    }
}

serving::target_process fleet_service::identify_process(const core::target_id& target) const
{
    const serving::target_entry* entry = find_entry(listed_targets_, target);
    return {target, entry == nullptr ? 0 : entry->started_at};
}

void fleet_service::on_target_leaving(const serving::target_process& target,
                                      const std::string& request_id)
{
    const core::time_point now = steady_clock::now();
    if (!conditions_.merge({target, serving::target_leaves{}}, now,
                           serving::statement_source::answer)) {
        return;
    }
    leaving_heard_counter_.add();
    logger_.write(kernel::log_level::info, "target_leaving",
                  {{"target", target.id.value()},
                   {"id", request_id},
                   {"store_age_ms", std::to_string(store_age(now).count())}});
    apply_targets(listed_targets_);
    report_triggered_ = true;
}

void fleet_service::on_target_response(const serving::target_process& target,
                                       const target_response_flags& flags, core::time_point sent_at)
{
    const core::time_point now = steady_clock::now();
    // A response that names no limit, or no time for which the target is cold, may have been made
    // before one that does, but not before its own request.
    const auto since_sent = std::chrono::ceil<milliseconds>(now - sent_at);
    std::vector<serving::target_statement> statements;
    if (flags.rate_limit) {
        statements.push_back({target, serving::target_takes{flags.rate_limit->rate},
                              flags.rate_limit->rate ? milliseconds(0) : since_sent});
    }
    if (flags.cold_for && !cold_limits_.services().empty()) {
        statements.push_back({target, serving::target_cold_for{*flags.cold_for},
                              flags.cold_for->count() > 0 ? milliseconds(0) : since_sent});
    }
    bool changed = apply_statements(statements, serving::statement_source::answer, "answer", now);
    const auto cold_start = flags.cold_for ? std::nullopt : cold_start_of(target);
    if (cold_start && conditions_.on_answer(target, sent_at, *cold_start, now)) {
        apply_targets(listed_targets_);
        changed = true;
    }
    if (changed) {
        report_triggered_ = true;
    }
}

std::optional<milliseconds>
fleet_service::cold_start_of(const serving::target_process& target) const
{
    if (cold_limits_.services().empty()) {
        return std::nullopt;
    }
    const serving::target_entry* entry = find_entry(listed_targets_, target.id);
    return entry == nullptr ? std::nullopt : cold_limits_.cold_start(entry->service);
}

bool fleet_service::apply_statements(const std::vector<serving::target_statement>& statements,
                                     serving::statement_source source, const char* source_name,
                                     core::time_point now)
{
    bool changed = false;
    for (const serving::target_statement& statement : statements) {
        // In a report, an unknown process could take a later one away, whose entry comes after it.
        const serving::target_process& process = statement.process;
        const bool is_ambiguous = source == serving::statement_source::report &&
                                  process.started_at == 0 &&
                                  identify_process(process.id) != process;
        if (!is_ambiguous && conditions_.merge(statement, now, source)) {
            log_statement(statement, source_name);
            changed = true;
        }
    }
    if (changed) {
        apply_targets(listed_targets_);
    }
    return changed;
}

void fleet_service::apply_cold_entries(const std::vector<serving::target_entry>& targets)
{
    if (cold_limits_.services().empty()) {
        return;
    }
    std::map<core::target_id, const serving::target_entry*> before;
    for (const serving::target_entry& each : listed_targets_) {
        before[each.id] = &each;
    }
    const core::time_point now = steady_clock::now();
    for (const serving::target_entry& each : targets) {
        const auto known = before.find(each.id);
        const bool is_new = known == before.end() || known->second->started_at != each.started_at ||
                            known->second->cold_left != each.cold_left;
        if (!is_new || !each.cold_left) {
            continue;
        }
        // An entry without a cold time may be older than what was heard since.
        const milliseconds age = each.cold_left->count() > 0 ? milliseconds(0) : entry_age_max;
        const serving::target_statement statement{
            {each.id, each.started_at}, serving::target_cold_for{*each.cold_left}, age};
        if (conditions_.merge(statement, now)) {
            log_statement(statement, "store");
        }
    }
}

void fleet_service::log_statement(const serving::target_statement& statement,
                                  const char* source) const
{
    const std::string& target = statement.process.id.value();
    std::visit(core::visitors{
                   [&](const serving::target_leaves&) {
                       logger_.write(kernel::log_level::info, "target_heard_leaving",
                                     {{"target", target}, {"source", source}});
                   },
                   [&](const serving::target_takes& said) {
                       const auto& rate = said.rate;
                       logger_.write(kernel::log_level::info,
                                     rate ? "target_limited" : "target_limit_ended",
                                     {{"target", target},
                                      {"rate", rate ? std::to_string(*rate) : std::string("none")},
                                      {"source", source}});
                   },
                   [&](const serving::target_cold_for& said) {
                       const bool is_cold = said.time.count() > 0;
                       logger_.write(kernel::log_level::info,
                                     is_cold ? "target_cold" : "target_warm",
                                     {{"target", target},
                                      {"cold_for_ms", std::to_string(said.time.count())},
                                      {"source", source}});
                   },
               },
               statement.condition);
}

void fleet_service::note_lost_connection(const serving::slot_release& release, core::time_point now)
{
    const serving::slot_outcome outcome = release.run_result.outcome;
    if (outcome != serving::slot_outcome::unreachable && outcome != serving::slot_outcome::broken) {
        return;
    }
    const serving::target_entry* entry = find_entry(listed_targets_, release.target);
    if (entry != nullptr && conditions_.on_connection_lost(*entry, now)) {
        logger_.write(kernel::log_level::info, "target_cold",
                      {{"target", release.target.value()},
                       {"cold_for_ms", "unknown"},
                       {"source", "connection"}});
        apply_targets(listed_targets_);
    }
}

void fleet_service::apply_cold_limits()
{
    conditions_.set_cold_services(cold_limits_.services());
    placement_.set_cold_rates(cold_limits_.leader_rates());
    if (!listed_targets_.empty()) {
        apply_targets(listed_targets_);
    }
}

std::vector<serving::target_entry> fleet_service::local_targets(core::time_point now) const
{
    return cold_limits_.select_local_targets(targets_, conditions_, leadership_.self().id,
                                             roster_.peers(), member_count(), now);
}

void fleet_service::apply_targets(std::vector<serving::target_entry> targets)
{
    const core::time_point now = steady_clock::now();
    listed_targets_ = std::move(targets);
    conditions_.learn_starts(listed_targets_);
    targets_ = conditions_.apply_to(evacuations_.filter(listed_targets_), now);
    next_warm_at_ = conditions_.next_warm_at(now);
    placement_.set_targets(targets_, now);
    if (leadership_.leads()) {
        roster_.set_targets(targets_);
    }
}

void fleet_service::on_evacuations_changed()
{
    // An empty list may mean that it isn't known yet.
    if (!listed_targets_.empty()) {
        apply_targets(listed_targets_);
    }
    // The other instances may not be able to read the store.
    report_triggered_ = true;
    heartbeat_triggered_ = true;
}

bool fleet_service::is_evacuated(const core::target_id& target) const
{
    const serving::target_entry* entry = find_entry(listed_targets_, target);
    return entry != nullptr && evacuations_.contains(entry->data_centre);
}

} // namespace gooseberryfall::edge
