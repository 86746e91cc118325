#include "workload.hpp"

#include <stdexcept>

namespace {

/// Part of its limit that a team sends.
constexpr double offered_part = 0.5;

/// Burst in seconds of the rate, as in the example fleets.
constexpr double burst_seconds = 2;

team_load team(const std::string& name, double rate, double weight)
{
    return {name, rate, rate * burst_seconds, weight, rate * offered_part};
}

} // namespace

workload workload_of(const std::string& name)
{
    workload chosen;
    chosen.name = name;
    chosen.slots = 16;
    chosen.online_tokens = 16;
    chosen.batch_tokens = 24;
    if (name == "verbeke") {
        chosen.engines = 12;
        chosen.data_centres = 3;
        chosen.teams = {team("captions", 60, 4),   team("broadcast", 45, 3),
                        team("publishing", 30, 2), team("archive", 9, 1),
                        team("fashion", 8, 1),     team("sports", 8, 1),
                        team("schools", 6, 1),     team("library", 6, 1)};
        return chosen;
    }
    if (name == "torsyq") {
        chosen.engines = 9;
        chosen.data_centres = 4;
        chosen.teams = {team("production", 40, 4), team("design", 30, 3), team("retail", 18, 2),
                        team("repair", 8, 1),      team("quality", 8, 1), team("training", 6, 1),
                        team("logistics", 6, 1),   team("museum", 5, 1)};
        return chosen;
    }
    throw std::invalid_argument("no workload \"" + name + "\"");
}
