#pragma once

#include "engine_usage.hpp"
#include "online_load.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <optional>
#include <string>

/// Figures of one case, over all teams. Times in milliseconds.
struct case_result {
    std::string name;
    double first_token_p50 = 0;
    double first_token_p95 = 0;
    double first_token_p99 = 0;
    double between_p50 = 0;
    double between_p95 = 0;
    double between_p99 = 0;
    std::uint64_t sent = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongful = 0;
    std::uint64_t failed = 0;
    /// Wrongful refusals as a part of the requests within rate and burst.
    double wrongful_part = 0;
    std::map<std::string, std::uint64_t> wrongful_by_code;
    std::map<std::string, std::uint64_t> failed_by_code;
    /// Worst and median team, without the team that floods: part of the requests within the limit
    /// that were answered, and 95th percentile of the first token.
    double worst_goodput = 0;
    double median_goodput = 0;
    double worst_first_token_p95 = 0;
    double median_first_token_p95 = 0;
    engine_usage usage;
    /// Load driver's processor time as a part of one core, and the machine's load average.
    double driver_cpu = 0;
    double machine_load = 0;
};

/// Summarizes the teams' results. Thread-safe.
case_result summarize(const std::string& name, const std::map<std::string, team_result>& teams,
                      const std::string& flooding_team);

boost::json::object to_json(const case_result& result);

/// Header and row of the table.
std::string table_header();
std::string table_row(const case_result& result);

/// The two deployments' scores; the terms are defined in docs/MEASURES.md.
struct score {
    double online_tail = 0;
    double worst_team = 0;
    double batch_use = 0;
    double no_wrongful_refusals = 0;

    double verbeke() const;
    double torsyq() const;
};

/// Cases as in docs/MEASURES.md. Returns nothing if one is missing.
std::optional<score> score_of(const std::map<std::string, case_result>& cases);
