#include "serving/job_owners.hpp"

#include <algorithm>

namespace gooseberryfall::serving {

bool may_own_jobs(double capacity, const known_capacities& known, double capacity_share_min)
{
    if (!known.listed && !known.leader) {
        return false;
    }
    const double largest =
        std::max({known.listed.value_or(0), known.leader.value_or(0), known.ready});
    return capacity >= capacity_share_min * largest;
}

} // namespace gooseberryfall::serving
