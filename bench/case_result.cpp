#include "case_result.hpp"

#include <algorithm>
#include <cstdio>

namespace json = boost::json;

namespace {

constexpr double harm_objective = 1.1;
constexpr double goodput_objective = 0.95;
constexpr double batch_objective = 0.9;

/// Part of wrongful refusals that is the objective, and that from which on the term is 0.
constexpr double wrongful_objective = 0.001;
constexpr double wrongful_worst = 0.01;

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double ratio(double above, double below)
{
    return below > 0 ? above / below : 0;
}

} // namespace

case_result summarize(const std::string& name, const std::map<std::string, team_result>& teams,
                      const std::string& flooding_team)
{
    case_result result;
    result.name = name;
    latency_histogram first_token;
    latency_histogram between;
    std::vector<double> goodputs;
    std::vector<double> tails;
    std::uint64_t within = 0;
    for (const auto& [team, counts] : teams) {
        result.sent += counts.sent;
        result.completed += counts.completed;
        result.refused += counts.refused;
        within += counts.within;
        for (const auto& [code, count] : counts.wrongful) {
            result.wrongful += count;
            result.wrongful_by_code[code] += count;
        }
        for (const auto& [code, count] : counts.failed) {
            result.failed += count;
            result.failed_by_code[code] += count;
        }
        if (team == flooding_team) {
            continue;
        }
        first_token.merge(counts.first_token);
        between.merge(counts.between_tokens);
        goodputs.push_back(ratio(static_cast<double>(counts.within_completed),
                                 static_cast<double>(counts.within)));
        tails.push_back(counts.first_token.quantile_ms(0.95));
    }
    result.first_token_p50 = first_token.quantile_ms(0.5);
    result.first_token_p95 = first_token.quantile_ms(0.95);
    result.first_token_p99 = first_token.quantile_ms(0.99);
    result.between_p50 = between.quantile_ms(0.5);
    result.between_p95 = between.quantile_ms(0.95);
    result.between_p99 = between.quantile_ms(0.99);
    result.wrongful_part = ratio(static_cast<double>(result.wrongful), static_cast<double>(within));
    result.worst_goodput = *std::min_element(goodputs.begin(), goodputs.end());
    result.median_goodput = median(goodputs);
    result.worst_first_token_p95 = *std::max_element(tails.begin(), tails.end());
    result.median_first_token_p95 = median(tails);
    return result;
}

json::object to_json(const case_result& result)
{
    json::object wrongful(result.wrongful_by_code.begin(), result.wrongful_by_code.end());
    json::object failed(result.failed_by_code.begin(), result.failed_by_code.end());
    return {{"first_token_ms",
             json::array{result.first_token_p50, result.first_token_p95, result.first_token_p99}},
            {"between_tokens_ms",
             json::array{result.between_p50, result.between_p95, result.between_p99}},
            {"sent", result.sent},
            {"completed", result.completed},
            {"refused", result.refused},
            {"wrongful", std::move(wrongful)},
            {"failed", std::move(failed)},
            {"wrongful_part", result.wrongful_part},
            {"worst_goodput", result.worst_goodput},
            {"median_goodput", result.median_goodput},
            {"worst_first_token_p95_ms", result.worst_first_token_p95},
            {"median_first_token_p95_ms", result.median_first_token_p95},
            {"online_slots", result.usage.online_part},
            {"batch_slots", result.usage.batch_part},
            {"batch_use_of_idle", result.usage.batch_use_of_idle},
            {"batch_items_per_second", result.usage.batch_items_per_second},
            {"batch_streams_cancelled", result.usage.batch_cancelled},
            {"slot_wait_p99_ms", result.usage.slot_wait_p99_ms},
            {"slot_wait_max_ms", result.usage.slot_wait_max_ms},
            {"waited_part", result.usage.waited_part},
            {"over_admission", result.usage.over_admission},
            {"driver_cpu", result.driver_cpu},
            {"machine_load", result.machine_load}};
}

std::string table_header()
{
    return "| case | first token p50/p95/p99 ms | between tokens p50/p95/p99 ms | sent | answered "
           "| "
           "refused | wrongful | failed | worst/median goodput | worst/median p95 ms | online "
           "slots | batch of idle | items/s | slot wait p99/max ms | over limit | driver CPU | "
           "load |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string table_row(const case_result& result)
{
    char row[512];
    std::snprintf(
        row, sizeof row,
        "| %s | %.1f/%.1f/%.1f | %.1f/%.1f/%.1f | %llu | %llu | %llu | %llu | %llu | %.3f/%.3f | "
        "%.1f/%.1f | %.3f | %.3f | %.1f | %.1f/%.1f | %.1f | %.2f | %.1f |\n",
        result.name.c_str(), result.first_token_p50, result.first_token_p95, result.first_token_p99,
        result.between_p50, result.between_p95, result.between_p99,
        static_cast<unsigned long long>(result.sent),
        static_cast<unsigned long long>(result.completed),
        static_cast<unsigned long long>(result.refused),
        static_cast<unsigned long long>(result.wrongful),
        static_cast<unsigned long long>(result.failed), result.worst_goodput, result.median_goodput,
        result.worst_first_token_p95, result.median_first_token_p95, result.usage.online_part,
        result.usage.batch_use_of_idle, result.usage.batch_items_per_second,
        result.usage.slot_wait_p99_ms, result.usage.slot_wait_max_ms, result.usage.over_admission,
        result.driver_cpu, result.machine_load);
    return row;
}

double score::verbeke() const
{
    return 0.4 * online_tail + 0.4 * worst_team + 0.1 * batch_use + 0.1 * no_wrongful_refusals;
}

double score::torsyq() const
{
    return 0.4 * batch_use + 0.4 * no_wrongful_refusals + 0.1 * online_tail + 0.1 * worst_team;
}

std::optional<score> score_of(const std::map<std::string, case_result>& cases)
{
    for (const char* name : {"online", "batch", "noisy", "random"}) {
        if (!cases.contains(name)) {
            return std::nullopt;
        }
    }
    const case_result& online = cases.at("online");
    const case_result& batch = cases.at("batch");
    const case_result& noisy = cases.at("noisy");
    const case_result& random = cases.at("random");
    const double harm = std::max(ratio(batch.first_token_p99, online.first_token_p99),
                                 ratio(batch.between_p99, online.between_p99));
    const double goodput = ratio(noisy.worst_goodput, noisy.median_goodput);
    const double wrongful = std::max(online.wrongful_part, random.wrongful_part);
    score result;
    result.online_tail = std::clamp(ratio(harm_objective, harm), 0.0, 1.0);
    result.worst_team = std::clamp(goodput / goodput_objective, 0.0, 1.0);
    result.batch_use = std::clamp(batch.usage.batch_use_of_idle / batch_objective, 0.0, 1.0);
    result.no_wrongful_refusals =
        std::clamp((wrongful_worst - wrongful) / (wrongful_worst - wrongful_objective), 0.0, 1.0);
    return result;
}
