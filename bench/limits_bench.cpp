// Compares ways to keep a team's limit over ten instances: tokens above the limit, refusals of
// callers within it, and messages for each request. The seed is fixed.

#include "core/limit_simulation.hpp"

#include <cstdio>
#include <functional>

namespace {

using limit_simulation::simulation;
using std::chrono::minutes;
using std::chrono::seconds;

struct way {
    const char* name = "";
    limit_simulation::ownership owners = limit_simulation::ownership::leases;
    bool borrowing = true;
    gooseberryfall::core::limit_portioning division;
};

struct course {
    const char* name = "";
    bool skewed = false;
    std::function<void(simulation&)> run;
};

constexpr std::size_t instances = 10;

/// The larger team's owner; instance 0 if shares are fixed.
std::size_t victim(const simulation& run)
{
    return run.owner_of(0).value_or(0);
}

void calm(simulation& run)
{
    run.run_for(seconds(120));
}

void owner_killed(simulation& run)
{
    run.run_for(seconds(30));
    const std::size_t index = victim(run);
    run.kill(index);
    run.run_for(seconds(30));
    run.restart(index);
    run.run_for(seconds(60));
}

void owner_frozen(simulation& run)
{
    run.run_for(seconds(30));
    run.freeze(victim(run), seconds(8));
    run.run_for(seconds(90));
}

void cut_in_halves(simulation& run)
{
    run.run_for(seconds(30));
    run.cut(instances / 2);
    run.run_for(seconds(20));
    run.cut(0);
    run.run_for(seconds(70));
}

void log_down(simulation& run)
{
    run.run_for(seconds(30));
    run.set_log(false);
    run.run_for(minutes(10));
    run.set_log(true);
    run.run_for(seconds(30));
}

void replaced_in_turn(simulation& run)
{
    for (std::size_t index = 0; index < instances; ++index) {
        run.run_for(seconds(8));
        run.leave(index);
        run.run_for(seconds(6));
        run.restart(index);
    }
    run.run_for(seconds(20));
}

void measure(const way& chosen, const course& scenario)
{
    limit_simulation::options options;
    options.seed = 11;
    options.owners = chosen.owners;
    options.borrowing = chosen.borrowing;
    options.division = chosen.division;
    options.skewed = scenario.skewed;
    simulation run(options);
    run.add_team("fleurus", 200, 200);
    run.add_team("gembloux", 100, 100);
    run.add_team("eupen", 20, 20);
    run.add_team("dinant", 5, 5);
    run.add_team("binche", 1, 2);
    run.begin();
    scenario.run(run);
    const auto& totals = run.totals();
    const auto offered = static_cast<double>(totals.offered);
    std::printf("| %s | %s | %.3f | %.3f | %.2f |\n", scenario.name, chosen.name, run.excess(),
                100 * static_cast<double>(totals.refused) / offered,
                static_cast<double>(totals.messages) / offered);
}

} // namespace

int main()
{
    using limit_simulation::ownership;
    const way ways[] = {
        {"equal static shares", ownership::fixed, false, {0.001, instances}},
        {"one owner for each team", ownership::leases, true, {32, 1}},
        {"pairwise escrow", ownership::fixed, true, {0.001, instances}},
        {"portions with owners", ownership::leases, true, {32, 4}},
        {"portions, at least 8 tokens", ownership::leases, true, {8, 4}},
    };
    const course courses[] = {
        {"skewed callers", true, calm},
        {"uniform callers", false, calm},
        {"owner killed", false, owner_killed},
        {"owner frozen and woken", false, owner_frozen},
        {"cut in two halves", false, cut_in_halves},
        {"log down for ten minutes", false, log_down},
        {"all replaced in turn", false, replaced_in_turn},
    };
    std::printf("| course | way | tokens over the limit | wrongful refusals, %% | messages/request "
                "|\n|---|---|---|---|---|\n");
    for (const course& scenario : courses) {
        for (const way& chosen : ways) {
            measure(chosen, scenario);
        }
    }
}
