#include "serving/job_owners.hpp"

namespace gooseberryfall::serving {

bool job_owner_policy::update(double capacity, bool owns, std::optional<double> largest,
                              core::time_point now)
{
    const bool qualifies = largest && capacity >= settings_.capacity_share_min * *largest;
    if (!owns || !largest || qualifies) {
        unqualified_since_.reset();
        return qualifies || (owns && !largest);
    }
    unqualified_since_ = unqualified_since_.value_or(now);
    return now - *unqualified_since_ < settings_.yield_delay;
}

} // namespace gooseberryfall::serving
